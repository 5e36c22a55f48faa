package ingress

import (
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// respond writes an answer in its turn.
func (x *session) respond(resp *Response, method string) {
	x.mu.Lock()
	if x.closing || resp == nil {
		// An older answer closed the connection, or the caller has left.
		x.mu.Unlock()
		x.release(false)
		return
	}
	closing := x.server.draining.Load() && x.active == 1
	x.closing, x.answered = closing, closing
	x.mu.Unlock()
	err := x.conn.SetWriteDeadline(x.server.config.Now().Add(writeTimeout))
	if err == nil {
		_, err = x.conn.Write(encode(resp, method, closing))
	}
	if err != nil {
		x.cancel()
		_ = x.conn.Close()
	}
	x.release(closing)
}

// release counts a request out and wakes the reader where needed.
func (x *session) release(closing bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.active--
	x.room.Signal()
	switch {
	case closing:
		// Ends the wait of the reader, which then lingers.
		_ = x.conn.SetReadDeadline(time.Unix(1, 0))
	case x.waiting:
		x.setIdleDeadline()
	}
}

// refuse answers a request that could not be read.
func (x *session) refuse(err error) {
	var r *refusal
	if !errors.As(err, &r) {
		return
	}
	x.mu.Lock()
	last := x.last
	x.mu.Unlock()
	<-last
	x.mu.Lock()
	closing := x.closing
	x.closing, x.answered = true, true
	x.mu.Unlock()
	if closing {
		return
	}
	if x.conn.SetWriteDeadline(x.server.config.Now().Add(writeTimeout)) == nil {
		_, _ = x.conn.Write(encode(&Response{Status: r.status}, http.MethodGet, true))
	}
}

// encode renders an answer.
func encode(resp *Response, method string, closing bool) []byte {
	b := make([]byte, 0, len(resp.Body)+512)
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(resp.Status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(resp.Status)...)
	b = append(b, "\r\n"...)
	for _, f := range resp.Header {
		b = append(b, f.Name...)
		b = append(b, ": "...)
		b = append(b, f.Value...)
		b = append(b, "\r\n"...)
	}
	if resp.RetryAfter > 0 {
		b = append(b, "Retry-After: "...)
		b = strconv.AppendFloat(b, resp.RetryAfter.Seconds(), 'f', 3, 64)
		b = append(b, "\r\n"...)
	}
	if closing {
		b = append(b, "Connection: close\r\n"...)
	}
	if resp.Status != http.StatusNoContent && resp.Status != http.StatusNotModified {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(resp.Body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	if method == http.MethodHead {
		return b
	}
	return append(b, resp.Body...)
}
