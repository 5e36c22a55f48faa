package operator

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/sequoiacove/sequoiacove/pkg/httpio/httpiotest"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// fakeInstance serves canned responses in order and repeats the last one. A
// result.Code is served as an error response; closeConnection stands for closing the
// connection without a response.
type fakeInstance struct {
	mu        sync.Mutex
	responses []any
	bodies    []string
	tokens    []string
	addr      string
}

type closeConnection struct{}

func newFakeInstance(t *testing.T, responses ...any) *fakeInstance {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &fakeInstance{responses: responses, addr: listener.Addr().String()}
	server := &fasthttp.Server{Handler: f.handle, CloseOnShutdown: true}
	go server.Serve(listener)
	t.Cleanup(func() { listener.Close() })
	return f
}

func (f *fakeInstance) handle(ctx *fasthttp.RequestCtx) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bodies = append(f.bodies, string(ctx.PostBody()))
	f.tokens = append(f.tokens, string(ctx.Request.Header.Peek("Authorization")))
	response := f.responses[0]
	if len(f.responses) > 1 {
		f.responses = f.responses[1:]
	}
	switch response := response.(type) {
	case closeConnection:
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { c.Close() })
	case result.Code:
		body, _ := json.Marshal(NewErrorBody(result.New(response, "refused"), 9))
		ctx.SetStatusCode(result.Lookup(response).HTTPStatus)
		ctx.SetBody(body)
	default:
		body, _ := json.Marshal(response)
		ctx.SetBody(body)
	}
}

func (f *fakeInstance) requestCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.bodies)
}

func newTestClient(addrs ...string) *Client {
	return NewClient(ClientConfig{
		Addresses: addrs, Token: "secret", Timeout: 5 * time.Second,
		Sleep: func(context.Context, time.Duration) error { return nil },
	})
}

// refusingAddress returns an address that refuses connections.
func refusingAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

var testPatch = PatchRequest{BaseVersion: 8, PatchID: "p1", Kind: "merge", Patch: json.RawMessage(`{"a":1}`)}

// Guards against the API being unavailable to operators because one instance is
// unreachable or cannot serve.
func TestCallFailsOverToNextInstance(t *testing.T) {
	unreachable := refusingAddress(t)
	storeDown := newFakeInstance(t, result.StoreUnavailable)
	healthy := newFakeInstance(t, Version{Version: 7})
	got, err := newTestClient(unreachable, storeDown.addr, healthy.addr).Current(context.Background())
	require.NoError(t, err)
	require.EqualValues(t, 7, got.Version)
	require.Equal(t, "Bearer secret", healthy.tokens[0])
}

// Guards against retrying on other instances after a non-retryable error, which would
// use up the operator's rate limits there and hide the first error.
func TestNonRetryableRefusalIsNotRetried(t *testing.T) {
	a, b := newFakeInstance(t, result.Unauthorized), newFakeInstance(t, Version{Version: 7})
	_, err := newTestClient(a.addr, b.addr).Current(context.Background())
	require.Equal(t, result.Unauthorized, result.CodeOf(err))
	require.Zero(t, b.requestCount())
}

// Guards against an accepted patch that appears rejected because its response was
// lost, and against a retry with a different patch id.
func TestPatchRetriesKeepPatchID(t *testing.T) {
	a := newFakeInstance(t, closeConnection{}, result.StoreUnavailable, PatchReply{Version: 9, Replayed: true})
	got, err := newTestClient(a.addr).Patch(context.Background(), testPatch)
	require.NoError(t, err)
	require.Equal(t, PatchReply{Version: 9, Replayed: true}, got)
	require.Len(t, a.bodies, 3)
	for _, body := range a.bodies {
		require.JSONEq(t, `{"base_version":8,"patch_id":"p1","kind":"merge","patch":{"a":1}}`, body)
	}
}

// Guards against a patch that is reported as not executed although an earlier
// attempt may have been accepted.
func TestRefusedRetryLeavesPatchOutcomeUnknown(t *testing.T) {
	for _, code := range []result.Code{result.StoreUnavailable, result.RateLimited, result.Unauthorized} {
		a := newFakeInstance(t, closeConnection{}, code)
		_, err := newTestClient(a.addr).Patch(context.Background(), testPatch)
		require.Equal(t, result.PatchOutcomeUnknown, result.CodeOf(err), "after %d", code)
	}
	a := newFakeInstance(t, closeConnection{}, result.VersionConflict)
	_, err := newTestClient(a.addr).Patch(context.Background(), testPatch)
	require.Equal(t, result.VersionConflict, result.CodeOf(err), "a version conflict is final: the instance has looked up the patch id")
	require.Contains(t, err.Error(), "current version 9")
}

// Guards against reporting an unknown outcome for a patch that was never sent because
// no instance was reachable.
func TestPatchToUnreachableInstancesIsNotRun(t *testing.T) {
	_, err := newTestClient(refusingAddress(t)).Patch(context.Background(), testPatch)
	require.Equal(t, result.PeerUnreachable, result.CodeOf(err))
}

// Guards against a broken response of an instance that is taken for its answer.
func TestBrokenResponseOfAnInstanceIsNoAnswer(t *testing.T) {
	httpiotest.CheckReader(t, "", `{}`, func(address string) error {
		_, err := newTestClient(address).Members(context.Background())
		return err
	})
}
