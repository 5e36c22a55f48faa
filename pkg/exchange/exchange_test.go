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
)

var testHeaders = Headers{RequestID: "X-Id", Deadline: "X-Deadline", AffinityKey: "X-Key", Signature: "X-Signature", Target: "X-Target",
	Load: "X-Load", NotRun: "X-Not-Run", Upstream: "X-Upstream", ColdRemaining: "X-Cold"}

// upstream answers every request on its connections with the text that reply
// returns for the identifier of the request.
type upstream struct {
	address     string
	connections atomic.Int64
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
			u.connections.Add(1)
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

func whole(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\nX-Load: 1,2,4,250\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func testClient() *Client { return NewClient(Config{Headers: testHeaders, Now: time.Now}) }

func testRequest(id string) *Request {
	return &Request{ID: id, Method: "GET", Head: []byte("GET /a HTTP/1.1\r\nHost: h\r\nX-Id: " + id + "\r\n"), Idempotent: true}
}

func do(c *Client, u *upstream, id string, wait time.Duration) *Result {
	return c.Do(context.Background(), Target{ID: "u", Address: u.address, SameRegion: true}, testRequest(id), time.Now().Add(wait))
}

// Guards against a kept connection that is thrown away because the deadline of
// its last request has passed.
func TestConnectionOutlivesDeadlineOfLastRequest(t *testing.T) {
	u := newUpstream(t, func(id string, _ net.Conn) string { return whole(id, "x") })
	c := testClient()
	deadline := time.Now().Add(50 * time.Millisecond)
	require.Equal(t, Answered, do(c, u, "1", 50*time.Millisecond).Outcome)
	require.Eventually(t, func() bool { return time.Now().After(deadline.Add(10 * time.Millisecond)) }, time.Second, time.Millisecond)
	require.Equal(t, Answered, do(c, u, "2", time.Second).Outcome)
	require.EqualValues(t, 1, u.connections.Load())
}

// Guards against a late second answer that is taken for the next request's.
func TestForeignAnswerIsSkipped(t *testing.T) {
	u := newUpstream(t, func(id string, _ net.Conn) string { return whole("other", "wrong") + whole(id, "right") })
	r := do(testClient(), u, "1", time.Second)
	require.Equal(t, Answered, r.Outcome)
	require.Equal(t, "right", string(r.Body))
}

// Guards against the reuse of a connection that holds a second answer.
func TestConnectionWithExtraBytesIsNotUsedAgain(t *testing.T) {
	u := newUpstream(t, func(id string, _ net.Conn) string { return whole(id, "x") + whole(id, "x") })
	c := testClient()
	require.Equal(t, Answered, do(c, u, "1", time.Second).Outcome)
	require.Equal(t, Answered, do(c, u, "2", time.Second).Outcome)
	require.EqualValues(t, 2, u.connections.Load())
}

// Guards against "not run" for a request that may have run, and against a
// success that is not whole or not signed.
func TestOutcomes(t *testing.T) {
	cases := []struct {
		name, reply string
		outcome     Outcome
		reason      Reason
	}{
		{"shed", "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", NotRun, Shed},
		{"misdirected", "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n", NotRun, Misdirected},
		{"own failure", "HTTP/1.1 500 Error\r\nX-Id: 1\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n", Answered, Complete},
		{"503 without the mark", "HTTP/1.1 503 Service Unavailable\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n", Answered, Complete},
		{"unsigned", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n", Unknown, Malformed},
		{"without identifier", "HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n", Unknown, Malformed},
		{"cut short", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\nContent-Length: 10\r\n\r\nabc", Unknown, Lost},
		{"closed", "", Unknown, Lost},
		{"noise", "\x01\x02 not http\r\n\r\n", Unknown, Malformed},
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

// Guards against a time-out that is reported as broken bytes, and against an
// upstream that is believed not to have run the request then.
func TestSilenceTimesOut(t *testing.T) {
	block := make(chan struct{})
	defer close(block)
	u := newUpstream(t, func(string, net.Conn) string { <-block; return "" })
	r := do(testClient(), u, "1", 30*time.Millisecond)
	require.Equal(t, Unknown, r.Outcome)
	require.Equal(t, TimedOut, r.Reason)
}

// Guards against work that goes on after the caller has left.
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
		t.Fatal("the upstream's connection stayed open")
	}
}

// Guards against an unreachable upstream that counts as having run a request.
func TestConnectFailureIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	r := testClient().Do(context.Background(), Target{ID: "u", Address: address}, testRequest("1"), time.Now().Add(time.Second))
	require.Equal(t, NotRun, r.Outcome)
	require.Equal(t, ConnectFailed, r.Reason)
}

// Guards against load reports that overflow or lack fields.
func TestParseLoad(t *testing.T) {
	require.Equal(t, Load{Known: true, Running: 3, Waiting: 0, Slots: 8, Slowness: 1}, parseLoad([]byte("3,0,8")))
	require.Equal(t, 2.5, parseLoad([]byte("3,0,8,250")).Slowness)
	for _, bad := range []string{"", "1,2", "-1,0,8", "a,b,c", "99999999999999999999,0,1"} {
		require.False(t, parseLoad([]byte(bad)).Known, bad)
	}
}

// lateReader is a connection whose reads begin only after the deadline, as
// they do in a process that was not scheduled in time.
type lateReader struct {
	*net.TCPConn
	deadline time.Time
}

// Read implements net.Conn.
func (l *lateReader) Read(p []byte) (int, error) {
	time.Sleep(time.Until(l.deadline.Add(5 * time.Millisecond)))
	return l.TCPConn.Read(p)
}

// Guards against an answer that arrived in time and is replaced by a failure
// because the process came to read it after the deadline.
func TestAnswerThatIsThereAtTheDeadlineCounts(t *testing.T) {
	u := newUpstream(t, func(id string, _ net.Conn) string { return whole(id, "x") })
	deadline := time.Now().Add(100 * time.Millisecond)
	c := NewClient(Config{Headers: testHeaders, Now: time.Now, Dial: func(ctx context.Context, address string, timeout, silence time.Duration) (net.Conn, error) {
		raw, err := Dial(ctx, address, timeout, silence)
		if err != nil {
			return nil, err
		}
		return &lateReader{raw.(*net.TCPConn), deadline}, nil
	}})
	r := c.Do(context.Background(), Target{ID: "u", Address: u.address}, testRequest("1"), deadline)
	require.Equal(t, Answered, r.Outcome, "%v", r.Err)
	require.Equal(t, "x", string(r.Body))
}

// shiftedClient returns a client whose clock is ahead of the real one, which
// deadlines follow. Its dials have a second, because the time left to a deadline
// by the shifted clock says nothing.
func shiftedClient(offset *atomic.Int64) *Client {
	return NewClient(Config{Headers: testHeaders, Now: func() time.Time { return time.Now().Add(time.Duration(offset.Load())) },
		Dial: func(ctx context.Context, address string, _, silence time.Duration) (net.Conn, error) {
			return Dial(ctx, address, time.Second, silence)
		}})
}

// Guards against requests that are lost one after the other on connections
// that the upstreams of a service forget without notice.
func TestForgottenConnectionsAreNotUsed(t *testing.T) {
	const idle = 300 * time.Millisecond
	var offset, forgetful atomic.Int64
	u := newUpstream(t, func(id string, _ net.Conn) string {
		if forgetful.Load() > 0 && strings.HasPrefix(id, "kept") {
			return ""
		}
		return whole(id, "x")
	})
	c := shiftedClient(&offset)
	send := func(id, service string, idempotent bool) *Result {
		req := testRequest(id)
		req.Idempotent = idempotent
		return c.Do(context.Background(), Target{ID: "u", Address: u.address, Service: service, SameRegion: true}, req, time.Now().Add(time.Second))
	}
	require.Equal(t, Answered, send("first", "a", false).Outcome)
	forgetful.Store(1)
	offset.Add(int64(idle))
	require.Equal(t, Lost, send("kept1", "a", false).Reason)
	forgetful.Store(0)
	for _, idempotent := range []bool{false, true} {
		require.Equal(t, Answered, send("next", "a", idempotent).Outcome)
		offset.Add(int64(idle))
		require.True(t, send("after", "a", idempotent).NewConnection)
	}
	require.Equal(t, Answered, send("other", "b", false).Outcome)
	offset.Add(int64(idle))
	require.False(t, send("other", "b", false).NewConnection, "another service")
	for range 6 {
		offset.Add(int64(idleRecovery))
		require.Equal(t, Answered, send("again", "a", false).Outcome)
	}
	offset.Add(int64(idle))
	require.False(t, send("again", "a", false).NewConnection, "after a time without losses")
}

// Guards against a request that waits for its whole time on a connection that
// went silent: TCP must give up bytes that stay unconfirmed.
func TestSilenceOfSentBytesIsBounded(t *testing.T) {
	u := newUpstream(t, func(id string, _ net.Conn) string { return whole(id, "x") })
	c, err := Dial(context.Background(), u.address, time.Second, nearSilence)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	raw, err := c.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	var bound int
	var optionErr error
	require.NoError(t, raw.Control(func(fd uintptr) {
		bound, optionErr = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout)
	}))
	require.NoError(t, optionErr)
	require.EqualValues(t, nearSilence.Milliseconds(), bound)
}

// Guards against more connections than the upstream accepts: it resets those
// beyond, and the requests on them are lost.
func TestConnectionsStayWithinTheBound(t *testing.T) {
	release := make(chan struct{})
	u := newUpstream(t, func(id string, _ net.Conn) string {
		if strings.HasPrefix(id, "held") {
			<-release
		}
		return whole(id, "x")
	})
	var offset atomic.Int64
	c := shiftedClient(&offset)
	target := Target{ID: "u", Address: u.address, SameRegion: true, MaxConnections: 2}
	var done sync.WaitGroup
	for i := range 2 {
		done.Add(1)
		go func() {
			defer done.Done()
			c.Do(context.Background(), target, testRequest(fmt.Sprint("held", i)), time.Now().Add(10*time.Second))
		}()
	}
	require.Eventually(t, func() bool { return u.connections.Load() == 2 }, 5*time.Second, time.Millisecond)
	close(release)
	done.Wait()
	// Both connections are idle for too long for a request that must not be
	// repeated, but not for others.
	offset.Add(int64(firmIdleLimit + time.Second))
	req := testRequest("firm")
	req.Idempotent = false
	require.Equal(t, Answered, c.Do(context.Background(), target, req, time.Now().Add(time.Second)).Outcome)
	p := c.pool(target)
	p.mu.Lock()
	defer p.mu.Unlock()
	require.Len(t, p.open, 2)
}

// Guards against requests that are lost one after the other on kept connections
// that went silent behind something that still confirms what is sent.
func TestUnprovenConnectionsAreRetiredAfterSilence(t *testing.T) {
	var silent atomic.Bool
	var old sync.Map
	u := newUpstream(t, func(id string, c net.Conn) string {
		if _, known := old.LoadOrStore(c, true); known && silent.Load() {
			time.Sleep(time.Hour)
		}
		time.Sleep(50 * time.Millisecond)
		return whole(id, "x")
	})
	c := testClient()
	const kept = 3
	var open sync.WaitGroup
	for i := range kept {
		open.Go(func() { do(c, u, fmt.Sprint("first", i), time.Second) })
	}
	open.Wait()
	silent.Store(true)
	require.Equal(t, TimedOut, do(c, u, "lost", suspectSilence+50*time.Millisecond).Reason)
	require.Equal(t, Answered, do(c, u, "next", time.Second).Outcome)
	require.EqualValues(t, kept+1, c.Dials())
}
