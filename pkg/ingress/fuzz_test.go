package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/exchange"
	"github.com/sequoiacove/sequoiacove/pkg/steering"
)

// echo responds to each request with its URI and records the URIs.
type echo struct {
	mu   sync.Mutex
	uris []string
}

func (e *echo) Idempotent(*Request) bool { return true }

func (e *echo) Serve(_ context.Context, r *Request) *Response {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.uris = append(e.uris, r.URI)
	return &Response{Status: http.StatusOK, Body: []byte(r.URI)}
}

// FuzzSession guards against a panic on malformed requests, against unsolicited
// responses, and against request smuggling, where a body is parsed as a second
// request.
func FuzzSession(f *testing.F) {
	const get = "GET /a HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n\r\n"
	for _, seed := range []string{get, get + get, "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc" + get,
		"POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" + get,
		"POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n0\r\n\r\n" + get,
		"POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nGET /x", "GET  HTTP/1.1\r\n\r\n", "\x16\x03\x01", ""} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		handler := &echo{}
		s := NewServer(Config{Headers: exchange.Headers{RequestID: "X-Id", Deadline: "X-Deadline"}, Now: time.Now, Handler: handler,
			Limits: func() steering.Limits {
				return steering.Limits{HeaderBytes: 4096, BodyBytes: 4096, HeaderTimeout: time.Second, IdleTimeout: time.Second}
			}, MaxConnections: 1, MaxBufferedBodyBytes: 1 << 20})
		local, remote := net.Pipe()
		done := make(chan struct{})
		go func() { defer close(done); newSession(s, local).run() }()
		go func() {
			// The session may close the connection before it has read everything.
			_, _ = remote.Write(data)
			_ = remote.SetWriteDeadline(time.Now())
			time.Sleep(time.Millisecond)
			_ = remote.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		}()
		responses := 0
		for b := bufio.NewReader(remote); ; responses++ {
			r, err := http.ReadResponse(b, nil)
			if err != nil {
				break
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				break
			}
		}
		_ = remote.Close()
		<-done
		handler.mu.Lock()
		defer handler.mu.Unlock()
		// One additional error response is allowed, for bytes that are not a
		// valid request.
		require.LessOrEqual(t, responses, len(handler.uris)+1)
		for _, uri := range handler.uris {
			require.Equal(t, byte('/'), uri[0])
		}
	})
}
