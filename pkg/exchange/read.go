package exchange

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/sequoiacove/sequoiacove/pkg/httpio"
)

// read reads responses until it finds the one to req, of which w is the write. used
// reports whether an earlier request was sent on the connection. The second result
// reports whether the connection can be reused.
func (c *Client) read(ctx context.Context, w *requestWrite, req *Request, used bool) (*Result, bool) {
	skipped := false
	for range maxMismatchedResponses + 1 {
		message := fasthttp.AcquireResponse()
		r, reusable, matched := c.readResponse(ctx, w, message, req, used || skipped)
		// A large buffer is not worth keeping for the next, usually short response.
		message.ReleaseBody(minBufferedBytes)
		fasthttp.ReleaseResponse(message)
		if matched {
			return r, reusable && !skipped
		}
		skipped = true
	}
	return &Result{Outcome: Unknown, Reason: Malformed, Err: errors.New("too many responses to other requests")}, false
}

// readResponse reads one response. matched is false if the response carries the
// identifier of another request.
func (c *Client) readResponse(ctx context.Context, w *requestWrite, message *fasthttp.Response, req *Request, used bool) (r *Result, reusable, matched bool) {
	k := w.conn
	closeDelimited, err := httpio.ReadResponse(k.reader, message, req.Method, int(min(maxResponseBytes, c.config.MaxBufferedBytes)))
	if err == nil && closeDelimited {
		err = w.stop()
	}
	if err != nil {
		return readFailure(ctx, k, err), false, true
	}
	h := &c.config.Headers
	id := string(message.Header.Peek(h.RequestID))
	if id != "" && id != req.ID {
		return nil, false, false
	}
	notRun := len(message.Header.Peek(h.NotRun)) > 0 || message.StatusCode() == http.StatusMisdirectedRequest
	if id == "" && req.ID != "" && (!notRun || used) {
		// A response without the identifier may be a late response to another
		// request.
		return &Result{Outcome: Unknown, Reason: Malformed, Err: errors.New("response without request identifier")}, false, true
	}
	r = c.toResult(message)
	reusable = !closeDelimited && !message.ConnectionClose() && k.reader.Buffered() == 0 && req.ID != ""
	if idle := parseKeepAlive(message.Header.Peek("Keep-Alive")); idle > 0 {
		k.peerIdleTimeout = idle
	}
	switch {
	case message.StatusCode() == http.StatusMisdirectedRequest:
		// Another upstream has answered, for itself.
		r.Outcome, r.Reason, r.Leaving, r.RetryAfter = NotRun, Misdirected, false, 0
	case notRun:
		r.Outcome, r.Reason = NotRun, Shed
	case r.Status < http.StatusMultipleChoices && !r.Signed:
		return &Result{Outcome: Unknown, Reason: Malformed, Load: r.Load, RateLimit: r.RateLimit, Leaving: r.Leaving, Err: errors.New("successful response without signature")}, false, true
	default:
		r.Outcome, r.Reason = Answered, Complete
	}
	return r, reusable, true
}

func readFailure(ctx context.Context, k *conn, err error) *Result {
	r := &Result{Outcome: Unknown, Reason: Malformed, Err: errors.Trace(err)}
	var netErr net.Error
	switch {
	case ctx.Err() != nil:
		r.Reason = Cancelled
	case k.ackTimedOut:
		r.Reason = ConnectionLost
	case errors.Is(err, errors.NotValid):
		// The text of the error may quote the upstream.
	case isTimeout(err):
		r.Reason = TimedOut
	case errors.As(err, &netErr), isConnectionLost(err):
		r.Reason = ConnectionLost
	}
	return r
}

// isConnectionLost reports whether the text of a fasthttp error states that the
// connection has ended.
func isConnectionLost(err error) bool {
	text := err.Error()
	return strings.Contains(text, "EOF") || strings.Contains(text, "reset") || strings.Contains(text, "closed")
}

// hopByHop holds the header fields that apply to a single connection, and the
// framing fields, which are written anew for each hop.
var hopByHop = map[string]bool{
	"connection": true, "keep-alive": true, "te": true, "trailer": true, "transfer-encoding": true,
	"upgrade": true, "content-length": true, "proxy-connection": true, "proxy-authorization": true,
	"proxy-authenticate": true, "expect": true,
}

// IsEndToEnd reports whether a header field is forwarded to the next hop.
func IsEndToEnd(name string) bool { return !hopByHop[strings.ToLower(name)] }

func (c *Client) toResult(message *fasthttp.Response) *Result {
	h := &c.config.Headers
	r := &Result{Status: message.StatusCode(), ConnectionClose: message.ConnectionClose()}
	message.Header.SetNoDefaultContentType(true)
	for key, value := range message.Header.All() {
		name := string(key)
		switch {
		case strings.EqualFold(name, h.Load):
			r.Load = parseLoad(value)
		case strings.EqualFold(name, h.RateLimit):
			r.RateLimit = parseRateLimit(value)
			r.Header = append(r.Header, Field{name, string(value)})
		case strings.EqualFold(name, h.Leaving):
			r.Leaving = r.Leaving || string(bytes.TrimSpace(value)) == leavingValue
			r.Header = append(r.Header, Field{name, string(value)})
		case strings.EqualFold(name, "Retry-After"):
			if r.Status == http.StatusServiceUnavailable {
				r.RetryAfter = max(r.RetryAfter, parseRetryAfter(value))
			}
			r.Header = append(r.Header, Field{name, string(value)})
		case strings.EqualFold(name, h.Signature):
			r.Signed = len(value) > 0
			r.Header = append(r.Header, Field{h.Signature, string(value)})
		case IsEndToEnd(name):
			r.Header = append(r.Header, Field{name, string(value)})
		}
	}
	r.Body = append([]byte(nil), message.Body()...)
	return r
}
