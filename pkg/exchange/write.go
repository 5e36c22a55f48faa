package exchange

import (
	"context"
	"net"
	"os"
	"strconv"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

// requestWrite is the write of a request. It may still run while the response is read.
type requestWrite struct {
	conn *conn
	// ended is closed when the write has ended, with err.
	ended chan struct{}
	err   error
}

// write sends the message; a message longer than inlineWriteBytes is sent
// concurrently with reading the response. The second result is the number of bytes
// written, or the length of a message that is still being sent.
func write(k *conn, message []byte) (*requestWrite, int, error) {
	w := &requestWrite{conn: k, ended: make(chan struct{})}
	if len(message) <= inlineWriteBytes {
		n, err := k.Write(message)
		w.end(err)
		return w, n, err
	}
	go func() {
		_, err := k.Write(message)
		w.end(err)
	}()
	return w, len(message), nil
}

func (w *requestWrite) end(err error) {
	w.err = err
	close(w.ended)
}

// complete reports whether the whole request has been written.
func (w *requestWrite) complete() bool {
	select {
	case <-w.ended:
		return w.err == nil
	default:
		return false
	}
}

// stop ends the write, and returns the error of the connection if it has ended the write
// before the peer has closed its sending side.
//
// The system reports an error of a connection to one call only. If that is the write, a read
// sees the end of the data as after an orderly close. A reset that comes after an orderly
// close ends the write with EPIPE.
func (w *requestWrite) stop() error {
	if err := w.conn.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		return errors.Trace(err)
	}
	<-w.ended
	if w.err == nil || errors.Is(w.err, os.ErrDeadlineExceeded) || errors.Is(w.err, syscall.EPIPE) {
		return nil
	}
	w.conn.ackTimedOut = w.conn.ackTimedOut || errors.Is(w.err, syscall.ETIMEDOUT)
	return w.err
}

// writeFailure returns the Result of an attempt whose write failed after n bytes.
func writeFailure(ctx context.Context, n int, err error) *Result {
	r := &Result{Outcome: Unknown, Reason: ConnectionLost, Err: errors.Trace(err)}
	switch {
	case ctx.Err() != nil:
		r.Reason = Cancelled
	case isTimeout(err):
		r.Reason = TimedOut
	}
	if n == 0 {
		r.Outcome = NotRun
		if r.Reason == ConnectionLost {
			r.Reason = ConnectFailed
		}
	}
	return r
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.Is(err, fasthttp.ErrTimeout) || errors.As(err, &netErr) && netErr.Timeout()
}

// encode serializes the request with the header fields of this attempt.
func (c *Client) encode(t Target, req *Request, deadline time.Time) []byte {
	b := make([]byte, 0, len(req.Head)+len(req.Body)+256)
	b = append(b, req.Head...)
	b = appendField(b, c.config.Headers.Target, t.ID)
	left := max(1, deadline.Sub(c.config.Now()).Milliseconds())
	b = appendField(b, c.config.Headers.Deadline, strconv.FormatInt(left, 10))
	if req.HasBody {
		b = appendField(b, "Content-Length", strconv.Itoa(len(req.Body)))
	}
	b = append(b, "\r\n"...)
	return append(b, req.Body...)
}

func appendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}
