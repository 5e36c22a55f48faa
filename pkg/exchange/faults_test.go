package exchange

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/slowdown"
)

// resetOnClose makes the close of a connection send a reset instead of a FIN.
func resetOnClose(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) }

// Guards against a response that broke off and is taken for a complete one.
func TestBrokenOffResponseIsNotComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\n"
	for name, reply := range map[string]string{
		"short of its length":             head + "Content-Length: 10\r\n\r\nabc",
		"in a chunk":                      head + "Transfer-Encoding: chunked\r\n\r\n5\r\nab",
		"between chunks":                  head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
		"in the last chunk":               head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n",
		"in the head":                     head + "Content-Le",
		"in the head, after a line":       head,
		"two lengths, the last is lower":  head + "Content-Length: 5\r\nContent-Length: 3\r\n\r\nabcde",
		"two lengths, the first is lower": head + "Content-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
		"a length and chunks":             head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n",
		"a length that is no number":      head + "Content-Length: 3x\r\n\r\nabcde",
		"without a length, by a reset":    head + "\r\nabc",
	} {
		for _, connection := range []string{"", "Connection: close\r\n"} {
			t.Run(name+" "+strings.TrimSpace(connection), func(t *testing.T) {
				u := newUpstream(t, func(_ string, c net.Conn) string {
					if strings.HasSuffix(name, "reset") {
						resetOnClose(c)
					}
					_, _ = c.Write([]byte(strings.Replace(reply, "X-Id", connection+"X-Id", 1)))
					time.Sleep(20 * time.Millisecond) // the bytes arrive before the end of the connection
					return ""
				})
				r := do(testClient(), u, "1", time.Second)
				require.Equal(t, Unknown, r.Outcome, "%d %q", r.Status, r.Body)
				require.Empty(t, r.Body)
			})
		}
	}
}

// Guards against a second copy of a response that arrives late, when the next request
// is waiting for its response on the connection.
func TestLateSecondCopyIsNotTakenForTheNextResponse(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			var mu sync.Mutex
			previous := ""
			u := newUpstream(t, func(id string, c net.Conn) string {
				mu.Lock()
				defer mu.Unlock()
				if previous != "" {
					_, _ = c.Write([]byte(signedResponse(previous, "body of "+previous)))
					time.Sleep(delay)
				}
				previous = id
				return signedResponse(id, "body of "+id)
			})
			c := testClient()
			for i := range 5 {
				id := fmt.Sprint("r", i)
				r := do(c, u, id, time.Second)
				require.Equal(t, Answered, r.Outcome, "%v", r.Err)
				require.Equal(t, "body of "+id, string(r.Body))
			}
		})
	}
}

// Guards against a second copy of a response that is taken for the response to a
// request without identifier, which cannot be told from it.
func TestRequestWithoutIdentifierUsesNoOldConnection(t *testing.T) {
	responses := 0
	u := newUpstream(t, func(_ string, c net.Conn) string {
		responses++
		reply := func(n int) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 1\r\n\r\n%d", n)
		}
		if responses == 1 {
			time.AfterFunc(50*time.Millisecond, func() { _, _ = c.Write([]byte(reply(1))) })
			return reply(1)
		}
		time.Sleep(100 * time.Millisecond)
		return reply(responses)
	})
	c := testClient()
	require.Equal(t, "1", string(do(c, u, "", time.Second).Body))
	require.NotEqual(t, "1", string(do(c, u, "", time.Second).Body))
}

// socketBufferBytes returns the most bytes that the system keeps for one connection in
// its buffers for sending and receiving.
func socketBufferBytes(t *testing.T) int {
	total := 0
	for _, name := range []string{"tcp_rmem", "tcp_wmem"} {
		text, err := os.ReadFile("/proc/sys/net/ipv4/" + name)
		require.NoError(t, err)
		fields := strings.Fields(string(text))
		n, err := strconv.Atoi(fields[len(fields)-1])
		require.NoError(t, err)
		total += n
	}
	return total
}

// Guards against memory and time without bound for responses without end: the attempt
// ends, the connection is closed, and other requests are served meanwhile.
func TestResponseWithoutEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\n"
	fill := strings.Repeat("a", 1<<14)
	for _, tc := range []struct {
		name, start, repeated string
		pause                 time.Duration
	}{
		{"head", head, "X-Fill: " + fill[:1000] + "\r\n", 0},
		{"head of one line", "HTTP/1.1 200 OK\r\nX-Fill: ", fill, 0},
		{"no head", "", fill, 0},
		{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n", 0},
		{"chunked body", head + "Transfer-Encoding: chunked\r\n\r\n", "4000\r\n" + fill + "\r\n", 0},
		{"body of a great length", head + "Content-Length: 99999999999\r\n\r\n", fill, 0},
		{"body without a length", head + "\r\n", fill, 0},
		{"chunk size", head + "Transfer-Encoding: chunked\r\n\r\n", fill, 0},
		{"trailer", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Fill: " + fill[:1000] + "\r\n", 0},
		{"slow head", head, "X", 5 * time.Millisecond},
		{"slow body", head + "\r\n", "X", 5 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			closed := make(chan int, 16)
			u := newUpstream(t, func(id string, c net.Conn) string {
				if id != "1" {
					return signedResponse(id, "ok")
				}
				sent, _ := c.Write([]byte(tc.start))
				for {
					n, err := c.Write([]byte(tc.repeated))
					sent += n
					if err != nil {
						closed <- sent
						return ""
					}
					time.Sleep(tc.pause)
				}
			})
			c := NewClient(Config{Headers: testHeaders, Now: time.Now, MaxBufferedBytes: 4 << 20})
			const timeout = 300 * time.Millisecond
			meter, start := slowdown.Start(), time.Now()
			done := make(chan *Result, 4)
			for range cap(done) {
				go func() { done <- doUntilSent(c, u, "1", timeout) }()
			}
			other := do(c, u, "2", time.Second)
			require.Equal(t, Answered, other.Outcome, "%v", other.Err)
			sent := 0
			for range cap(done) {
				r := <-done
				require.Equal(t, Unknown, r.Outcome)
				require.Contains(t, []Reason{Malformed, TimedOut}, r.Reason, "%v", r.Err)
				sent += <-closed
			}
			took := time.Since(start)
			require.Less(t, took, meter.Scale(timeout+500*time.Millisecond))
			// Each attempt may read MaxBufferedBytes in turn, and each connection has bytes
			// in the buffers of its sockets.
			require.Less(t, sent, cap(done)*(4<<20+socketBufferBytes(t)))
			require.Zero(t, c.bufferedBytes.Load())
		})
	}
}

// doUntilSent sends the request again while none of it can be sent in time, as on a machine
// that does not let the test run.
func doUntilSent(c *Client, u *upstream, id string, timeout time.Duration) *Result {
	const maxAttempts = 20
	r := do(c, u, id, timeout)
	for n := 1; n < maxAttempts && r.Outcome == NotRun; n++ {
		r = do(c, u, id, timeout)
	}
	return r
}

// Guards against a request that is sent on the permission of a lease that ran out while
// the process was paused or waited for a connection.
func TestRequestIsNotSentAfterItsLeaseExpired(t *testing.T) {
	var mu sync.Mutex
	now := time.Now()
	clock := func() time.Time {
		mu.Lock()
		defer mu.Unlock()
		return now
	}
	received := make(chan string, 1)
	u := newUpstream(t, func(id string, _ net.Conn) string {
		received <- id
		return signedResponse(id, "x")
	})
	c := NewClient(Config{Headers: testHeaders, Now: clock, Dial: func(ctx context.Context, address string, timeout, ack time.Duration) (net.Conn, error) {
		connection, err := Dial(ctx, address, timeout, ack)
		mu.Lock()
		defer mu.Unlock()
		now = now.Add(3 * time.Second)
		return connection, err
	}})
	target := Target{ID: "u", Address: u.address, SameRegion: true, ExpiresAt: clock().Add(2 * time.Second)}
	r := c.Do(context.Background(), target, testRequest("1"), time.Now().Add(10*time.Second))
	require.Equal(t, NotRun, r.Outcome)
	require.Equal(t, Expired, r.Reason)
	target.ExpiresAt, target.OutOfDate = time.Time{}, func() bool { return true }
	r = c.Do(context.Background(), target, testRequest("2"), time.Now().Add(10*time.Second))
	require.Equal(t, Expired, r.Reason, "the machine was suspended, which the clock does not show")
	require.Empty(t, received)
}

// endlessConn always has bytes to read and reports that its deadline has passed.
type endlessConn struct {
	*net.TCPConn
	advance func()
}

// Read implements net.Conn.
func (c *endlessConn) Read([]byte) (int, error) {
	c.advance()
	return 0, os.ErrDeadlineExceeded
}

// Guards against a response that never pauses and is read long after its deadline. The
// clock advances by 30 ms with each read, so four reads pass within maxLateReadTime.
func TestResponseThatNeverPausesEndsAfterItsDeadline(t *testing.T) {
	u := newUpstream(t, func(_ string, c net.Conn) string {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\n\r\n")
		for {
			if _, err := c.Write(make([]byte, 1<<14)); err != nil {
				return ""
			}
		}
	})
	now, reads := time.Now(), 0
	c := NewClient(Config{Headers: testHeaders, Now: func() time.Time { return now }, Dial: func(ctx context.Context, address string, timeout, ack time.Duration) (net.Conn, error) {
		raw, err := Dial(ctx, address, timeout, ack)
		if err != nil {
			return nil, err
		}
		return &endlessConn{raw.(*net.TCPConn), func() {
			time.Sleep(5 * time.Millisecond) // bytes arrive
			now = now.Add(30 * time.Millisecond)
			reads++
		}}, nil
	}})
	r := do(c, u, "1", time.Second)
	require.Equal(t, Unknown, r.Outcome)
	require.Equal(t, TimedOut, r.Reason, "%v", r.Err)
	require.LessOrEqual(t, reads, 6)
}

// Guards against an earlier refusal that an upstream writes once more and that is taken for
// the response to a request that it runs.
func TestEarlierRefusalIsNotTakenForTheNextResponse(t *testing.T) {
	for name, refusal := range map[string]string{
		"503":                    "HTTP/1.1 503 Busy\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"429":                    "HTTP/1.1 429 Busy\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"421":                    "HTTP/1.1 421 Misdirected\r\nX-Id: %s\r\nX-Upstream: v\r\nContent-Length: 0\r\n\r\n",
		"503 without identifier": "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nX-Fill: %s\r\nContent-Length: 0\r\n\r\n",
		"421 without identifier": "HTTP/1.1 421 Misdirected\r\nX-Upstream: v\r\nX-Fill: %s\r\nContent-Length: 0\r\n\r\n",
	} {
		for _, delay := range []time.Duration{0, time.Millisecond, 50 * time.Millisecond} {
			t.Run(fmt.Sprint(name, " ", delay), func(t *testing.T) {
				first := fmt.Sprintf(refusal, "r0")
				u := newUpstream(t, func(id string, c net.Conn) string {
					if id == "r0" {
						time.AfterFunc(delay, func() { _, _ = c.Write([]byte(first)) })
						return first
					}
					time.Sleep(2 * delay)
					return signedResponse(id, "body of "+id)
				})
				c := testClient()
				require.Equal(t, NotRun, do(c, u, "r0", time.Second).Outcome)
				for i := 1; i < 4; i++ {
					r := do(c, u, fmt.Sprint("r", i), time.Second)
					require.NotEqual(t, NotRun, r.Outcome, "a request that ran was reported as not run")
					if r.Outcome == Answered {
						require.Equal(t, fmt.Sprint("body of r", i), string(r.Body))
					}
				}
			})
		}
	}
}

// Guards against statements of an upstream about itself that are misread, or taken from
// another upstream that answers at its address.
func TestStatementsOfUpstreamsThatLeaveOrClose(t *testing.T) {
	const shed, misdirected = "503 X\r\nX-Not-Run: 1\r\n", "421 X\r\nX-Not-Run: 1\r\n"
	for header, want := range map[string]struct {
		leaving    bool
		retryAfter time.Duration
	}{
		shed + "X-Leaving: 1\r\nRetry-After: 2\r\n":                      {true, 2 * time.Second},
		shed + "Retry-After: 0.25\r\n":                                   {false, 250 * time.Millisecond},
		shed + "Retry-After: 0\r\n":                                      {false, 0},
		shed + "Retry-After: -1\r\n":                                     {false, 0},
		shed + "Retry-After: soon\r\n":                                   {false, 0},
		shed + "Retry-After: NaN\r\n":                                    {false, 0},
		shed + "Retry-After: 1e300\r\n":                                  {false, maxRetryAfter},
		shed + "Retry-After: 1\r\nRetry-After: 3\r\nRetry-After: 2\r\n":  {false, 3 * time.Second},
		shed + "X-Leaving: 0\r\n":                                        {false, 0},
		misdirected + "X-Leaving: 1\r\nRetry-After: 2\r\n":               {false, 0},
		"200 OK\r\nX-Signature: s\r\nX-Leaving: 1\r\nRetry-After: 2\r\n": {true, 0},
		"500 X\r\nX-Signature: s\r\nx-leaving:  1 \r\n":                  {true, 0},
		"200 OK\r\nX-Leaving: 1\r\n":                                     {true, 0},
		"429 X\r\nX-Signature: s\r\nRetry-After: 2\r\n":                  {false, 0},
	} {
		u := newUpstream(t, func(id string, _ net.Conn) string {
			return "HTTP/1.1 " + header + "X-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"
		})
		r := do(NewClient(Config{Headers: testHeaders, Now: time.Now}), u, "1", time.Second)
		require.Equal(t, want.leaving, r.Leaving, header)
		require.Equal(t, want.retryAfter, r.RetryAfter, header)
	}
}

// Guards against a request that was given up and still runs seconds later, because its bytes
// were held up on their way and are delivered after the connection was closed.
func TestConnectionOfRequestThatWasGivenUpIsReset(t *testing.T) {
	closed := make(chan error, 2)
	u := newUpstream(t, func(_ string, c net.Conn) string {
		_, err := c.Read(make([]byte, 1))
		closed <- err
		return ""
	})
	c := NewClient(Config{Headers: testHeaders, Now: time.Now})
	require.Equal(t, TimedOut, do(c, u, "1", 50*time.Millisecond).Reason)
	require.ErrorIs(t, <-closed, syscall.ECONNRESET)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	require.Equal(t, Cancelled, c.Do(ctx, Target{ID: "u", Address: u.address, SameRegion: true}, testRequest("2"), time.Now().Add(time.Second)).Reason)
	require.ErrorIs(t, <-closed, syscall.ECONNRESET)
}

// Guards against an upstream that is blamed because a request ended, by its caller or by its
// deadline, while a connection was being opened.
func TestEndOfTheRequestDuringADialIsNoFailureToConnect(t *testing.T) {
	// hangingDial opens no connection until its time is over.
	hangingDial := func(ctx context.Context, _ string, timeout, _ time.Duration) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	}
	c := NewClient(Config{Headers: testHeaders, Now: time.Now, Dial: hangingDial})
	do := func(ctx context.Context, timeout time.Duration) *Result {
		return c.Do(ctx, Target{ID: "u", Address: "127.0.0.1:1", SameRegion: true}, testRequest("1"), time.Now().Add(timeout))
	}
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(10*time.Millisecond, cancel)
	for name, r := range map[string]struct {
		result *Result
		want   Reason
	}{
		"the caller left":                 {do(ctx, 5*time.Second), Cancelled},
		"the caller had left":             {do(ctx, 5*time.Second), Cancelled},
		"the deadline of the request":     {do(context.Background(), sameRegionDialTimeout/4), OutOfTime},
		"no connection in the usual time": {do(context.Background(), 5*time.Second), ConnectFailed},
	} {
		require.Equal(t, NotRun, r.result.Outcome, name)
		require.Equal(t, r.want, r.result.Reason, name)
	}
}
