package exchange

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

// write sends the message; a message longer than inlineWriteBytes is sent
// concurrently with reading the response. The channel receives the error of the
// write, or nil. The second result is the number of bytes written, or the length
// of a message that is still being sent.
func write(k *conn, message []byte) (<-chan error, int, error) {
	written := make(chan error, 1)
	if len(message) <= inlineWriteBytes {
		n, err := k.Write(message)
		written <- err
		return written, n, err
	}
	go func() {
		_, err := k.Write(message)
		written <- err
	}()
	return written, len(message), nil
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
