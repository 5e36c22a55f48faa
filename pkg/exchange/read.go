package exchange

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

// read reads answers until the one to this request.
func (c *Client) read(ctx context.Context, k *conn, req *Request, used bool) (*Result, bool) {
	foreign := false
	for range maxForeignAnswers + 1 {
		message := fasthttp.AcquireResponse()
		r, reusable, mine := c.readOne(ctx, k, message, req, used || foreign)
		fasthttp.ReleaseResponse(message)
		if mine {
			return r, reusable && !foreign
		}
		foreign = true
	}
	return &Result{Outcome: Unknown, Reason: Malformed, Err: errors.New("answers to other requests")}, false
}

func (c *Client) readOne(ctx context.Context, k *conn, message *fasthttp.Response, req *Request, used bool) (r *Result, reusable, mine bool) {
	if err := readHeader(k.reader, message); err != nil {
		return readFailure(ctx, k, err), false, true
	}
	complete, err := readBody(k.reader, message, req.Method)
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
		// Without the identifier it may be a late answer to another request.
		return &Result{Outcome: Unknown, Reason: Malformed, Err: errors.New("answer without identifier")}, false, true
	}
	r = c.convert(message)
	reusable = complete && !message.ConnectionClose() && k.reader.Buffered() == 0
	if idle := parseKeepAlive(message.Header.Peek("Keep-Alive")); idle > 0 {
		k.peerIdle = idle
	}
	switch {
	case message.StatusCode() == http.StatusMisdirectedRequest:
		r.Outcome, r.Reason = NotRun, Misdirected
	case notRun:
		r.Outcome, r.Reason = NotRun, Shed
	case r.Status < http.StatusMultipleChoices && !r.Signed:
		return &Result{Outcome: Unknown, Reason: Malformed, Load: r.Load, Err: errors.New("success without signature")}, false, true
	default:
		r.Outcome, r.Reason = Answered, Complete
	}
	return r, reusable, true
}

func readHeader(b *bufio.Reader, message *fasthttp.Response) error {
	for range maxInterim {
		if err := message.Header.Read(b); err != nil {
			return err
		}
		status := message.StatusCode()
		if status == http.StatusSwitchingProtocols {
			return errors.New("unexpected switch of protocols")
		}
		if status >= http.StatusOK {
			return nil
		}
	}
	return errors.New("too many interim answers")
}

// readBody reads the body; complete is false when the answer ends with the
// connection, so that no other answer can follow.
func readBody(b *bufio.Reader, message *fasthttp.Response, method string) (complete bool, err error) {
	status := message.StatusCode()
	if method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified {
		return true, nil
	}
	length := message.Header.ContentLength()
	if err := message.ReadBody(b, maxResponseBytes); err != nil {
		return false, err
	}
	if length == -1 {
		if err := message.Header.ReadTrailer(b); err != nil {
			return false, err
		}
	}
	return length != unframed, nil
}

func readFailure(ctx context.Context, k *conn, err error) *Result {
	r := &Result{Outcome: Unknown, Reason: Malformed, Err: errors.Trace(err)}
	var netErr net.Error
	switch {
	case ctx.Err() != nil:
		r.Reason = Cancelled
	case k.silent:
		r.Reason = Lost
	case timeout(err):
		r.Reason = TimedOut
	case errors.As(err, &netErr), lostConnection(err):
		r.Reason = Lost
	}
	return r
}

// lostConnection tells whether fasthttp reports the end of the connection.
func lostConnection(err error) bool {
	text := err.Error()
	return strings.Contains(text, "EOF") || strings.Contains(text, "reset") || strings.Contains(text, "closed")
}

// hopByHop holds the header fields that concern one connection or its framing.
var hopByHop = map[string]bool{
	"connection": true, "keep-alive": true, "te": true, "trailer": true, "transfer-encoding": true,
	"upgrade": true, "content-length": true, "proxy-connection": true, "proxy-authorization": true,
	"proxy-authenticate": true, "expect": true,
}

// IsEndToEnd tells whether a header field goes on to the next hop.
func IsEndToEnd(name string) bool { return !hopByHop[strings.ToLower(name)] }

func (c *Client) convert(message *fasthttp.Response) *Result {
	h := &c.config.Headers
	r := &Result{Status: message.StatusCode(), ConnectionClose: message.ConnectionClose()}
	message.Header.SetNoDefaultContentType(true)
	for key, value := range message.Header.All() {
		name := string(key)
		switch {
		case strings.EqualFold(name, h.Load):
			r.Load = parseLoad(value)
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
