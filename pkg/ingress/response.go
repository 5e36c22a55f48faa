package ingress

import (
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// respond writes the response to the oldest pending request.
func (x *session) respond(resp *Response, method string) {
	x.mu.Lock()
	if x.closing || resp == nil {
		// An older response closed the connection, or the caller has disconnected.
		x.mu.Unlock()
		x.release(false)
		return
	}
	closing := x.server.draining.Load() && x.inFlight == 1
	x.closing, x.closeSent = closing, closing
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

// release decrements the in-flight count and wakes the reader if it waits because
// maxPipelined requests are in flight. It interrupts the reader if the connection
// is closing, and updates the idle deadline if the reader waits for a request.
func (x *session) release(closing bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.inFlight--
	x.inFlightDecreased.Signal()
	switch {
	case closing:
		// Interrupts the pending read; the reader then runs linger.
		_ = x.conn.SetReadDeadline(time.Unix(1, 0))
	case x.awaitingRequest:
		x.setIdleDeadline()
	}
}

// writeError responds to a request that could not be read, after the responses
// to all earlier requests.
func (x *session) writeError(err error) {
	var r *requestError
	if !errors.As(err, &r) {
		return
	}
	x.mu.Lock()
	last := x.lastDone
	x.mu.Unlock()
	<-last
	x.mu.Lock()
	closing := x.closing
	x.closing, x.closeSent = true, true
	x.mu.Unlock()
	if closing {
		return
	}
	if x.conn.SetWriteDeadline(x.server.config.Now().Add(writeTimeout)) == nil {
		_, _ = x.conn.Write(encode(&Response{Status: r.status}, http.MethodGet, true))
	}
}

// encode serializes a response.
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
