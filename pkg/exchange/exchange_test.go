package exchange

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

var testHeaders = Headers{RequestID: "X-Id", Deadline: "X-Deadline", AffinityKey: "X-Key", Signature: "X-Signature", Target: "X-Target",
	Load: "X-Load", NotRun: "X-Not-Run", Upstream: "X-Upstream", ColdRemaining: "X-Cold", RateLimit: "X-Limit", Leaving: "X-Leaving"}

// upstream is an HTTP stand-in for an upstream. It responds to each request with
// the text that the reply function returns for the identifier of the request. An
// empty text closes the connection.
type upstream struct {
	address         string
	connectionCount atomic.Int64
}

func newUpstream(t *testing.T, reply func(id string, connection net.Conn) string) *upstream {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	u := &upstream{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.connectionCount.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				b := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(b)
					if err != nil {
						return
					}
					text := reply(r.Header.Get("X-Id"), c)
					if _, err := c.Write([]byte(text)); err != nil || text == "" {
						return
					}
				}
			}()
		}
	}()
	return u
}

func signedResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\nX-Load: 1,2,4,250\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func testClient() *Client { return NewClient(Config{Headers: testHeaders, Now: time.Now}) }

func testRequest(id string) *Request {
	return &Request{ID: id, Method: "GET", Head: []byte("GET /a HTTP/1.1\r\nHost: h\r\nX-Id: " + id + "\r\n"), Idempotent: true}
}

func do(c *Client, u *upstream, id string, timeout time.Duration) *Result {
	return c.Do(context.Background(), Target{ID: "u", Address: u.address, SameRegion: true}, testRequest(id), time.Now().Add(timeout))
}

// Guards against an idle connection that is discarded because the deadline of
// its previous request has passed.
func TestConnectionIsReusedAfterDeadlineOfPreviousRequest(t *testing.T) {
	u := newUpstream(t, func(id string, _ net.Conn) string { return signedResponse(id, "x") })
	c := testClient()
	deadline := time.Now().Add(50 * time.Millisecond)
	require.Equal(t, Answered, do(c, u, "1", 50*time.Millisecond).Outcome)
	require.Eventually(t, func() bool { return time.Now().After(deadline.Add(10 * time.Millisecond)) }, time.Second, time.Millisecond)
	require.Equal(t, Answered, do(c, u, "2", time.Second).Outcome)
	require.EqualValues(t, 1, u.connectionCount.Load())
}

// Guards against a late response to another request that is taken for the
// response to the current one.
func TestResponseToOtherRequestIsSkipped(t *testing.T) {
	u := newUpstream(t, func(id string, _ net.Conn) string {
		return signedResponse("other", "wrong") + signedResponse(id, "right")
	})
	r := do(testClient(), u, "1", time.Second)
	require.Equal(t, Answered, r.Outcome)
	require.Equal(t, "right", string(r.Body))
}

// Guards against the reuse of a connection that has an unsolicited second
// response buffered.
func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	u := newUpstream(t, func(id string, _ net.Conn) string { return signedResponse(id, "x") + signedResponse(id, "x") })
	c := testClient()
	require.Equal(t, Answered, do(c, u, "1", time.Second).Outcome)
	require.Equal(t, Answered, do(c, u, "2", time.Second).Outcome)
	require.EqualValues(t, 2, u.connectionCount.Load())
}

// Guards against reporting "not run" for a request that may have been executed,
// and against accepting a successful response that is incomplete or unsigned.
func TestOutcomes(t *testing.T) {
	cases := []struct {
		name, reply string
		outcome     Outcome
		reason      Reason
	}{
		{"shed", "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", NotRun, Shed},
		{"misdirected", "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n", NotRun, Misdirected},
		{"error response", "HTTP/1.1 500 Error\r\nX-Id: 1\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n", Answered, Complete},
		{"503 without not-run header", "HTTP/1.1 503 Service Unavailable\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n", Answered, Complete},
		{"unsigned", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n", Unknown, Malformed},
		{"without request identifier", "HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n", Unknown, Malformed},
		{"truncated body", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\nContent-Length: 10\r\n\r\nabc", Unknown, ConnectionLost},
		{"connection closed", "", Unknown, ConnectionLost},
		{"not HTTP", "\x01\x02 not http\r\n\r\n", Unknown, Malformed},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			u := newUpstream(t, func(_ string, c net.Conn) string {
				if strings.HasSuffix(tc.reply, "abc") {
					_, _ = c.Write([]byte(tc.reply))
					return ""
				}
				return tc.reply
			})
			r := do(testClient(), u, "1", time.Second)
			require.Equal(t, tc.outcome, r.Outcome, "%v", r.Err)
			require.Equal(t, tc.reason, r.Reason, "%v", r.Err)
		})
	}
}

// Guards against a timeout that is reported as a malformed response, and
// against treating the request as not executed after a timeout.
func TestMissingResponseTimesOut(t *testing.T) {
	block := make(chan struct{})
	defer close(block)
	u := newUpstream(t, func(string, net.Conn) string { <-block; return "" })
	r := do(testClient(), u, "1", 30*time.Millisecond)
	require.Equal(t, Unknown, r.Outcome)
	require.Equal(t, TimedOut, r.Reason)
}

// Guards against upstream work that continues after the caller has disconnected.
func TestCancelClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	u := newUpstream(t, func(_ string, c net.Conn) string {
		var b [1]byte
		_, _ = c.Read(b[:])
		close(closed)
		return ""
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	r := testClient().Do(ctx, Target{ID: "u", Address: u.address}, testRequest("1"), time.Now().Add(5*time.Second))
	require.Equal(t, Cancelled, r.Reason)
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the connection to the upstream was not closed within 1 s")
	}
}

// Guards against reporting that an unreachable upstream may have executed a
// request.
func TestConnectFailureIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	r := testClient().Do(context.Background(), Target{ID: "u", Address: address}, testRequest("1"), time.Now().Add(time.Second))
	require.Equal(t, NotRun, r.Outcome)
	require.Equal(t, ConnectFailed, r.Reason)
}

// Guards against accepting load reports that overflow or lack fields.
func TestParseLoad(t *testing.T) {
	require.Equal(t, Load{Known: true, Running: 3, Waiting: 0, Slots: 8, Slowness: 1}, parseLoad([]byte("3,0,8")))
	require.Equal(t, 2.5, parseLoad([]byte("3,0,8,250")).Slowness)
	for _, bad := range []string{"", "1,2", "-1,0,8", "a,b,c", "99999999999999999999,0,1"} {
		require.False(t, parseLoad([]byte(bad)).Known, bad)
	}
}

// delayedReadConn is a connection whose reads start only after the deadline, as in
// a process that was not scheduled in time.
type delayedReadConn struct {
	*net.TCPConn
	deadline time.Time
}

// Read implements net.Conn.
func (r *delayedReadConn) Read(p []byte) (int, error) {
	time.Sleep(time.Until(r.deadline.Add(5 * time.Millisecond)))
	return r.TCPConn.Read(p)
}

// Guards against a timeout for a response that arrived in time but was read
// only after the deadline.
func TestResponseReceivedBeforeDeadlineIsAccepted(t *testing.T) {
	u := newUpstream(t, func(id string, _ net.Conn) string { return signedResponse(id, "x") })
	deadline := time.Now().Add(100 * time.Millisecond)
	c := NewClient(Config{Headers: testHeaders, Now: time.Now, Dial: func(ctx context.Context, address string, timeout, ackTimeout time.Duration) (net.Conn, error) {
		raw, err := Dial(ctx, address, timeout, ackTimeout)
		if err != nil {
			return nil, err
		}
		return &delayedReadConn{raw.(*net.TCPConn), deadline}, nil
	}})
	r := c.Do(context.Background(), Target{ID: "u", Address: u.address}, testRequest("1"), deadline)
	require.Equal(t, Answered, r.Outcome, "%v", r.Err)
	require.Equal(t, "x", string(r.Body))
}

// newOffsetClient returns a Client whose clock is ahead of the real clock by
// offset. Deadlines follow the real clock, so the remaining time that the Client
// computes is wrong; dials therefore use a fixed timeout of one second.
func newOffsetClient(offset *atomic.Int64) *Client {
	return NewClient(Config{Headers: testHeaders, Now: func() time.Time { return time.Now().Add(time.Duration(offset.Load())) },
		Dial: func(ctx context.Context, address string, _, ackTimeout time.Duration) (net.Conn, error) {
			return Dial(ctx, address, time.Second, ackTimeout)
		}})
}

// Guards against repeated request losses on idle connections that the upstreams
// of a service drop without notice: after one loss, connections of that service
// with the same idle time must not be reused until the idle limit has recovered.
func TestIdleLimitIsLoweredAfterLossOfReusedConnection(t *testing.T) {
	const idle = 300 * time.Millisecond
	var offset, dropReused atomic.Int64
	u := newUpstream(t, func(id string, _ net.Conn) string {
		if dropReused.Load() > 0 && strings.HasPrefix(id, "reused") {
			return ""
		}
		return signedResponse(id, "x")
	})
	c := newOffsetClient(&offset)
	send := func(id, service string, idempotent bool) *Result {
		req := testRequest(id)
		req.Idempotent = idempotent
		return c.Do(context.Background(), Target{ID: "u", Address: u.address, Service: service, SameRegion: true}, req, time.Now().Add(time.Second))
	}
	require.Equal(t, Answered, send("first", "a", false).Outcome)
	dropReused.Store(1)
	offset.Add(int64(idle))
	require.Equal(t, ConnectionLost, send("reused1", "a", false).Reason)
	dropReused.Store(0)
	for _, idempotent := range []bool{false, true} {
		require.Equal(t, Answered, send("next", "a", idempotent).Outcome)
		offset.Add(int64(idle))
		require.True(t, send("after", "a", idempotent).NewConnection)
	}
	require.Equal(t, Answered, send("other", "b", false).Outcome)
	offset.Add(int64(idle))
	require.False(t, send("other", "b", false).NewConnection, "the loss must not affect another service")
	for range 6 {
		offset.Add(int64(idleRecoveryInterval))
		require.Equal(t, Answered, send("again", "a", false).Outcome)
	}
	offset.Add(int64(idle))
	require.False(t, send("again", "a", false).NewConnection, "the limit must recover after a period without losses")
}

// Guards against a request that waits until its deadline on a dead connection:
// TCP must fail the connection when sent bytes remain unacknowledged.
func TestDialSetsTCPUserTimeout(t *testing.T) {
	u := newUpstream(t, func(id string, _ net.Conn) string { return signedResponse(id, "x") })
	c, err := Dial(context.Background(), u.address, time.Second, sameRegionAckTimeout)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	raw, err := c.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	var timeoutMS int
	var optionErr error
	require.NoError(t, raw.Control(func(fd uintptr) {
		timeoutMS, optionErr = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout)
	}))
	require.NoError(t, optionErr)
	require.EqualValues(t, sameRegionAckTimeout.Milliseconds(), timeoutMS)
}

// Guards against opening more connections than the upstream accepts: it resets
// the excess connections, and the requests on them are lost.
func TestMaxConnectionsIsEnforced(t *testing.T) {
	release := make(chan struct{})
	u := newUpstream(t, func(id string, _ net.Conn) string {
		if strings.HasPrefix(id, "held") {
			<-release
		}
		return signedResponse(id, "x")
	})
	var offset atomic.Int64
	c := newOffsetClient(&offset)
	target := Target{ID: "u", Address: u.address, SameRegion: true, MaxConnections: 2}
	var done sync.WaitGroup
	for i := range 2 {
		done.Add(1)
		go func() {
			defer done.Done()
			c.Do(context.Background(), target, testRequest(fmt.Sprint("held", i)), time.Now().Add(10*time.Second))
		}()
	}
	require.Eventually(t, func() bool { return u.connectionCount.Load() == 2 }, 5*time.Second, time.Millisecond)
	close(release)
	done.Wait()
	// Both connections now exceed the idle limit for requests that are not
	// idempotent, but not the limit for idempotent ones.
	offset.Add(int64(nonIdempotentIdleLimit + time.Second))
	req := testRequest("non-idempotent")
	req.Idempotent = false
	require.Equal(t, Answered, c.Do(context.Background(), target, req, time.Now().Add(time.Second)).Outcome)
	p := c.pool(target)
	p.mu.Lock()
	defer p.mu.Unlock()
	require.Len(t, p.open, 2)
}

// Guards against repeated request losses on idle connections that are dead
// behind a middlebox that still acknowledges the sent bytes: after one timeout
// on a reused connection the other idle connections must be closed.
func TestIdleConnectionsAreClosedAfterResponseTimeout(t *testing.T) {
	var hang atomic.Bool
	var seen sync.Map
	u := newUpstream(t, func(id string, c net.Conn) string {
		if _, known := seen.LoadOrStore(c, true); known && hang.Load() {
			time.Sleep(time.Hour)
		}
		time.Sleep(50 * time.Millisecond)
		return signedResponse(id, "x")
	})
	c := testClient()
	const connections = 3
	var requests sync.WaitGroup
	for i := range connections {
		requests.Go(func() { do(c, u, fmt.Sprint("first", i), time.Second) })
	}
	requests.Wait()
	hang.Store(true)
	require.Equal(t, TimedOut, do(c, u, "lost", unresponsiveThreshold+50*time.Millisecond).Reason)
	require.Equal(t, Answered, do(c, u, "next", time.Second).Outcome)
	require.EqualValues(t, connections+1, c.Dials())
}

// Guards against stated rate limits that are misread, above all one of 0 for none.
func TestParseRateLimit(t *testing.T) {
	for value, want := range map[string]float64{"8.6": 8.6, " 12 ": 12, "0": smallestRateLimit} {
		require.Equal(t, want, parseRateLimit([]byte(value)), value)
	}
	for _, bad := range []string{"", "x", "-1", "NaN", "Inf", "1,2", "1e999"} {
		require.EqualValues(t, unreadableRateLimit, parseRateLimit([]byte(bad)), bad)
	}
}

// Guards against a stated rate limit that is not read from the response.
func TestRateLimitIsReadFromResponse(t *testing.T) {
	for head, want := range map[string]float64{"X-Limit: 8.6\r\n": 8.6, "x-limit: y\r\n": unreadableRateLimit, "": 0} {
		message := fasthttp.AcquireResponse()
		require.NoError(t, message.Header.Read(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\n"+head+"Content-Length: 0\r\n\r\n"))))
		r := NewClient(Config{Headers: testHeaders, Now: time.Now}).toResult(message)
		require.EqualValues(t, want, r.RateLimit, head)
		fasthttp.ReleaseResponse(message)
	}
}
