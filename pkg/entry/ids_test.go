package entry

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/peer"
	"github.com/sequoiacove/sequoiacove/pkg/request"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

func withID(id string) func(*request.Request) {
	return func(req *request.Request) { post(req); req.ID = id }
}

// Guards against "not run" for an identifier whose earlier submission may have
// run: the caller would repeat the request under a new identifier.
func TestRefusalBeforeTheTableIsUnknown(t *testing.T) {
	w := newWorld(t, twoRegions)
	id := w.entries["s1"].ids.Issue("calls")
	_, err := w.do("a1", withID(id))
	require.NoError(t, err)
	for _, code := range []result.Code{result.PeerUnreachable, result.PeerRefused, result.TooManyRequests} {
		w.net.setFail(func(_ string, typ peer.MessageType) error {
			if typ == peer.Submit {
				return result.New(code, "test")
			}
			return nil
		})
		_, err = w.do("a1", withID(id))
		require.Equal(t, result.RequestIDNotDelivered, result.CodeOf(err), "%d", code)
	}
	w.net.setFail(nil)
	base := serve(t, w.entries["a1"])
	w.entries["a1"].inFlight.Store(100)
	resp := call(t, "POST", base+"/v1/services/calls/x", "", request.HeaderRequestID, id)
	require.Equal(t, "unknown", string(resp.Header.Peek(request.HeaderOutcome)))
	w.entries["a1"].inFlight.Store(0)
	w.clock.Add(time.Minute)
	resp = call(t, "POST", base+"/v1/services/calls/x", "", request.HeaderRequestID, id)
	require.Equal(t, "unknown", string(resp.Header.Peek(request.HeaderOutcome)), "in the stale state")
	require.Equal(t, 1, w.executions())
}

// Guards against an execution by a new incarnation of the issuer, which does
// not know whether the request ran.
func TestIssuerRestarted(t *testing.T) {
	w := newWorld(t, twoRegions)
	id := w.entries["s1"].ids.Issue("calls")
	w.clock.Add(time.Millisecond)
	w.start("s1", "south-a")
	for _, from := range []string{"a1", "s1", "s2"} {
		w.push()
		_, err := w.do(from, withID(id))
		require.Equal(t, result.RequestIDOwnerGone, result.CodeOf(err), "from %s", from)
	}
	require.Zero(t, w.executions())
}

// Guards against an execution that ends with the submission that started it: a
// resend could then not learn its outcome.
func TestExecutionSurvivesItsSubmission(t *testing.T) {
	w := newWorld(t, twoRegions)
	e := w.entries["a1"]
	id := e.ids.Issue("calls")
	started, finish := make(chan struct{}), make(chan struct{})
	for _, adm := range w.adm {
		adm.set(func(ctx context.Context, _ *request.Request) (*request.Response, error) {
			close(started)
			select {
			case <-ctx.Done():
				return nil, result.New(result.CancelledAfterStart, "cancelled")
			case <-finish:
				return &request.Response{Status: 201}, nil
			}
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	req := &request.Request{Service: "calls", Method: "POST", Path: "/x", ID: id, Trace: "1", Deadline: time.Now().Add(time.Minute)}
	first := make(chan error, 1)
	go func() { _, err := e.submit(ctx, req); first <- err }()
	<-started
	short, done := context.WithTimeout(context.Background(), time.Millisecond)
	defer done()
	again := *req
	_, err := e.submit(short, &again)
	require.Equal(t, result.RequestIDInFlight, result.CodeOf(err))
	cancel()
	close(finish)
	require.NoError(t, <-first)
	resp, err := e.submit(context.Background(), &again)
	require.NoError(t, err)
	require.Equal(t, 201, resp.Status)
	require.Equal(t, 1, w.executions())
}

// Guards against an execution that goes on for a caller that is gone, and
// against a watch that takes bytes from a pipelined request.
func TestCallerGoneCancels(t *testing.T) {
	w := newWorld(t, map[string]string{"a1": "north-a", "b1": "north-b", "s1": "south-a"})
	e := w.entries["a1"]
	base := serve(t, e)
	cancelled, started := make(chan struct{}, 1), make(chan struct{}, 2)
	release := make(chan struct{})
	for _, adm := range w.adm {
		adm.set(func(ctx context.Context, req *request.Request) (*request.Response, error) {
			started <- struct{}{}
			select {
			case <-ctx.Done():
				cancelled <- struct{}{}
			case <-release:
			}
			return &request.Response{Status: 200, Body: []byte(req.Path)}, nil
		})
	}
	conn, err := net.Dial("tcp", base[len("http://"):])
	require.NoError(t, err)
	const two = "GET /v1/services/calls/1 HTTP/1.1\r\nHost: x\r\n\r\nGET /v1/services/calls/2 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
	_, err = fmt.Fprint(conn, two)
	require.NoError(t, err)
	<-started
	for range 5 {
		require.Zero(t, e.callers.check(), "a connection with pipelined bytes is open")
	}
	release <- struct{}{}
	<-started
	require.NoError(t, conn.Close())
	require.Eventually(t, func() bool { return e.callers.check() > 0 }, 5*time.Second, time.Millisecond)
	select {
	case <-cancelled:
	case <-time.After(5 * time.Second):
		t.Fatal("the execution was not cancelled")
	}
}
