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

// echo answers each request with its own path.
type echo struct {
	mu    sync.Mutex
	paths []string
}

func (e *echo) Idempotent(*Request) bool { return true }

func (e *echo) Serve(_ context.Context, r *Request) *Response {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.paths = append(e.paths, r.URI)
	return &Response{Status: http.StatusOK, Body: []byte(r.URI)}
}

// FuzzSession guards against bytes of a caller that stop the process, against
// answers that no request asked for, and against a body that is taken for a
// second request.
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
			}, MaxConnections: 1, MaxBufferedBytes: 1 << 20})
		own, theirs := net.Pipe()
		done := make(chan struct{})
		go func() { defer close(done); newSession(s, own).run() }()
		go func() {
			// The session may close the connection before it has read all.
			_, _ = theirs.Write(data)
			_ = theirs.SetWriteDeadline(time.Now())
			time.Sleep(time.Millisecond)
			_ = theirs.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		}()
		answers := 0
		for b := bufio.NewReader(theirs); ; answers++ {
			r, err := http.ReadResponse(b, nil)
			if err != nil {
				break
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				break
			}
		}
		_ = theirs.Close()
		<-done
		handler.mu.Lock()
		defer handler.mu.Unlock()
		// One more answer may refuse bytes that are no request.
		require.LessOrEqual(t, answers, len(handler.paths)+1)
		for _, p := range handler.paths {
			require.Equal(t, byte('/'), p[0])
		}
	})
}
