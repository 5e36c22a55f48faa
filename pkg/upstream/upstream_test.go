package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/sequoiacove/sequoiacove/pkg/request"
	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/pkg/standin"
)

// server answers each request with the raw bytes that script returns for its
// number and closes the connection when keep is false.
type server struct {
	net.Listener
	requests    atomic.Int32
	connections atomic.Int32
}

func serve(t *testing.T, script func(n int, c net.Conn) (answer string, keep bool)) *server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &server{Listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go s.talk(c, script)
		}
	}()
	return s
}

func (s *server) talk(c net.Conn, script func(int, net.Conn) (string, bool)) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		var message fasthttp.Request
		if message.Read(reader) != nil {
			return
		}
		answer, keep := script(int(s.requests.Add(1)), c)
		if _, err := io.WriteString(c, answer); err != nil || !keep {
			return
		}
	}
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func post(deadline time.Duration) *request.Request {
	return &request.Request{Method: "POST", Path: "/a?b=c", Body: []byte("body"), Deadline: time.Now().Add(deadline)}
}

// Guards against a partial, refused or malformed answer that counts as complete,
// and against a wrong statement on whether the request may have run.
func TestOutcomeOfEachAnswer(t *testing.T) {
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	cases := []struct {
		name, answer string
		code         result.Code
	}{
		{"complete", okAnswer, result.OK},
		{"complete chunked", chunked + "2\r\nok\r\n0\r\n\r\n", result.OK},
		{"closed after reading", "", result.UpstreamNoAnswer},
		{"half a header", "HTTP/1.1 200 OK\r\nContent-Le", result.UpstreamTruncated},
		{"half a body", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf", result.UpstreamTruncated},
		{"half a chunk", chunked + "20\r\nhalf", result.UpstreamTruncated},
		{"last chunk missing", chunked + "2\r\nok\r\n", result.UpstreamTruncated},
		{"end of trailer missing", chunked + "2\r\nok\r\n0\r\n", result.UpstreamTruncated},
		{"no framing", "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nall?", result.UpstreamProtocol},
		{"no HTTP", "hello\r\n\r\n", result.UpstreamProtocol},
		{"too large", "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", result.UpstreamTooLarge},
		{"header too large", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*bufferBytes) + "\r\n\r\n", result.UpstreamTooLarge},
		{"shed", "HTTP/1.1 503 Busy\r\nSequoia-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", result.UpstreamRefused},
		{"503 that ran", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", result.OK},
		{"no content", "HTTP/1.1 204 None\r\n\r\n", result.OK},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := serve(t, func(int, net.Conn) (string, bool) { return c.answer, false })
			client := NewClient(Config{})
			defer client.Close()
			_, err := client.Do(context.Background(), s.Addr().String(), post(5*time.Second), "x-1")
			require.Equal(t, c.code, result.CodeOf(err), "%v", err)
			require.EqualValues(t, 1, s.requests.Load(), "the request must be sent once")
		})
	}
}

// Guards against a refused connection that counts as a request that may have run.
func TestConnectErrorIsNotRun(t *testing.T) {
	s := serve(t, nil)
	address := s.Addr().String()
	require.NoError(t, s.Close())
	_, err := NewClient(Config{}).Do(context.Background(), address, post(time.Second), "x-1")
	require.Equal(t, result.UpstreamConnect, result.CodeOf(err))
}

// Guards against a second transmission when the upstream closes a kept
// connection just as the next request is written.
func TestCloseOfIdleConnectionDuringWrite(t *testing.T) {
	s := serve(t, func(n int, _ net.Conn) (string, bool) { return map[bool]string{true: okAnswer}[n == 1], n == 1 })
	client := NewClient(Config{})
	defer client.Close()
	_, err := client.Do(context.Background(), s.Addr().String(), post(time.Second), "x-1")
	require.NoError(t, err)
	_, err = client.Do(context.Background(), s.Addr().String(), post(time.Second), "x-2")
	require.Equal(t, result.UpstreamNoAnswer, result.CodeOf(err))
	require.EqualValues(t, 2, s.requests.Load())
	require.EqualValues(t, 1, s.connections.Load(), "the second request must have used the kept connection")
}

// Guards against an unknown outcome for a request that was written to a
// connection that was visibly closed before.
func TestConnectionClosedWhileIdleIsNotUsed(t *testing.T) {
	closed := make(chan struct{})
	s := serve(t, func(n int, c net.Conn) (string, bool) {
		if n > 1 {
			return okAnswer, true
		}
		_, _ = io.WriteString(c, okAnswer)
		_ = c.Close()
		close(closed)
		return "", false
	})
	client := NewClient(Config{})
	defer client.Close()
	_, err := client.Do(context.Background(), s.Addr().String(), post(time.Second), "x-1")
	require.NoError(t, err)
	<-closed
	pool := client.pool(s.Addr().String())
	require.Eventually(t, func() bool { return len(pool.idle) == 0 || pool.idle[0].closedByPeer() }, time.Second, time.Millisecond)
	_, err = client.Do(context.Background(), s.Addr().String(), post(time.Second), "x-2")
	require.NoError(t, err)
}

// Guards against the use of connections that may have gone silent while idle.
func TestIdleConnectionsAreReplaced(t *testing.T) {
	s := serve(t, func(int, net.Conn) (string, bool) { return okAnswer, true })
	var offset atomic.Int64
	client := NewClient(Config{Now: func() time.Time { return time.Now().Add(time.Duration(offset.Load())) }})
	defer client.Close()
	do := func(idempotent bool) int32 {
		req := post(5 * time.Second)
		req.Idempotent = idempotent
		_, err := client.Do(context.Background(), s.Addr().String(), req, "x-1")
		require.NoError(t, err)
		return s.connections.Load()
	}
	require.EqualValues(t, 1, do(false))
	require.EqualValues(t, 1, do(false), "a fresh connection is used again")
	offset.Add(int64(700 * time.Millisecond))
	require.EqualValues(t, 1, do(true), "an idempotent request may use a connection that was idle for 700 ms")
	offset.Add(int64(700 * time.Millisecond))
	require.EqualValues(t, 2, do(false), "others may not")
	offset.Add(int64(1100 * time.Millisecond))
	require.EqualValues(t, 3, do(true), "no request uses a connection that was idle for over 1 s")
}

// Guards against requests that hang on connections that went silent although
// new connections work.
func TestRetireReplacesSilentConnections(t *testing.T) {
	s := serve(t, func(int, net.Conn) (string, bool) { return okAnswer, true })
	dialer := &standin.SilentDialer{}
	client := NewClient(Config{Dial: dialer.Dial})
	defer client.Close()
	address := s.Addr().String()
	_, err := client.Do(context.Background(), address, post(time.Second), "x-1")
	require.NoError(t, err)
	cut := time.Now()
	dialer.Silence(cut)
	failed := make(chan error, 1)
	go func() {
		_, err := client.Do(context.Background(), address, post(10*time.Second), "x-2")
		failed <- err
	}()
	pool := client.pool(address)
	require.Eventually(t, func() bool { pool.mu.Lock(); defer pool.mu.Unlock(); return len(pool.idle) == 0 }, time.Second, time.Millisecond)
	_, err = client.Do(WithNewConnection(context.Background()), address, post(time.Second), "x-3")
	require.NoError(t, err, "a new connection works")
	require.Equal(t, 1, client.Retire(address, cut))
	require.Equal(t, result.UpstreamNoAnswer, result.CodeOf(<-failed), "what was in flight on it is unknown")
	_, err = client.Do(context.Background(), address, post(time.Second), "x-4")
	require.NoError(t, err)
	require.EqualValues(t, 2, s.connections.Load())
}

// Guards against an end of the caller's patience that is reported as not run.
func TestEndDuringExchange(t *testing.T) {
	block := make(chan struct{})
	defer close(block)
	s := serve(t, func(int, net.Conn) (string, bool) { <-block; return "", false })
	client := NewClient(Config{})
	defer client.Close()
	_, err := client.Do(context.Background(), s.Addr().String(), post(30*time.Millisecond), "x-1")
	require.Equal(t, result.DeadlineAfterStart, result.CodeOf(err))
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for s.requests.Load() < 2 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, err = client.Do(ctx, s.Addr().String(), post(10*time.Second), "x-2")
	require.Equal(t, result.CancelledAfterStart, result.CodeOf(err))
	_, err = client.Do(ctx, s.Addr().String(), post(10*time.Second), "x-3")
	require.Equal(t, result.CancelledBeforeStart, result.CodeOf(err))
}

// Guards against a path or header that changes the framing of the request.
func TestRequestCannotBreakFraming(t *testing.T) {
	for _, path := range []string{"", "a", "/a b", "/a\r\nX: y", "/\x00"} {
		_, err := NewClient(Config{}).Do(context.Background(), "127.0.0.1:1", &request.Request{Method: "GET", Path: path}, "")
		require.Equal(t, result.BadRequest, result.CodeOf(err), "%q", path)
	}
	for _, req := range []request.Request{
		{Method: "GET /x HTTP/1.1\r\nA:", Path: "/"},
		{Method: "GET", Path: "/", Header: []request.Field{{Name: "A\r\nB", Value: "c"}}},
		{Method: "GET", Path: "/", Header: []request.Field{{Name: "A", Value: "c\r\nContent-Length: 5"}}},
	} {
		_, err := NewClient(Config{}).Do(context.Background(), "127.0.0.1:1", &req, "")
		require.Equal(t, result.BadRequest, result.CodeOf(err), "%+v", req)
	}
	for _, name := range []string{"Content-Length", "transfer-encoding", "Connection", "Sequoia-Execution"} {
		require.False(t, passed(name), name)
	}
}

// Guards against header fields or bodies that are lost, added or changed on the
// way to and from the upstream.
func TestHeadersAndBodyPassUnchanged(t *testing.T) {
	seen := make(chan string, 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		buffer := make([]byte, 4096)
		n, _ := c.Read(buffer)
		seen <- string(buffer[:n])
		_, _ = io.WriteString(c, "HTTP/1.1 201 Made\r\nX-A: 1\r\nSet-Cookie: a=b\r\nSet-Cookie: c=d; Path=/\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok")
	}()
	client := NewClient(Config{})
	defer client.Close()
	req := &request.Request{Method: "GET", Path: "//a?x=%20y", Body: []byte("body"), Deadline: time.Now().Add(time.Second),
		Header: []request.Field{{Name: "X-B", Value: "2"}, {Name: "Cookie", Value: "k=v"}, {Name: "User-Agent", Value: "t"}}}
	resp, err := client.Do(context.Background(), listener.Addr().String(), req, "x-1")
	require.NoError(t, err)
	sent := <-seen
	require.True(t, strings.HasPrefix(sent, "GET //a?x=%20y HTTP/1.1\r\n"), sent)
	for _, part := range []string{"\r\nX-B: 2\r\n", "\r\nCookie: k=v\r\n", "\r\nUser-Agent: t\r\n", "\r\nSequoia-Execution: x-1\r\n", "\r\nContent-Length: 4\r\n", "\r\n\r\nbody"} {
		require.Contains(t, sent, part)
	}
	require.NotContains(t, sent, "Content-Type")
	require.Equal(t, 201, resp.Status)
	require.ElementsMatch(t, []request.Field{{Name: "X-A", Value: "1"}, {Name: "Set-Cookie", Value: "a=b"}, {Name: "Set-Cookie", Value: "c=d; Path=/"}}, resp.Header)
}

// Guards against HEAD answers that lose the length of the body they leave out.
func TestHeadKeepsTheLength(t *testing.T) {
	s := serve(t, func(int, net.Conn) (string, bool) {
		return "HTTP/1.1 200 OK\r\nContent-Length: 1234\r\n\r\n", true
	})
	client := NewClient(Config{})
	defer client.Close()
	req := &request.Request{Method: "HEAD", Path: "/", Idempotent: true, Deadline: time.Now().Add(time.Second)}
	resp, err := client.Do(context.Background(), s.Addr().String(), req, "x-1")
	require.NoError(t, err)
	require.Contains(t, resp.Header, request.Field{Name: "Content-Length", Value: "1234"})
	require.Empty(t, resp.Body)
}
