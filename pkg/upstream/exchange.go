package upstream

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/sequoiacove/sequoiacove/pkg/request"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// maxInterim bounds the 1xx answers before the final one.
const maxInterim = 4

// identityLength is fasthttp's content length of an answer that has neither a
// length nor chunked framing.
const identityLength = -2

// exchange writes the request once and reads one answer. reusable tells whether
// the connection can carry another exchange.
func exchange(ctx context.Context, c *conn, address string, req *request.Request, execution string) (resp *request.Response, reusable bool, err error) {
	c.begin()
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer func() {
		if !stop() {
			reusable = false
		}
	}()
	if err := send(ctx, c, address, req, execution); err != nil {
		return nil, false, err
	}
	return receive(ctx, c, req.Method)
}

func send(ctx context.Context, c *conn, address string, req *request.Request, execution string) error {
	message := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(message)
	fill(ctx, message, address, req, execution)
	err := message.Write(c.writer)
	if err == nil {
		err = c.writer.Flush()
	}
	if err == nil {
		return nil
	}
	if c.sent > 0 {
		return afterStart(ctx, result.UpstreamNoAnswer, err)
	}
	if ended := beforeStart(ctx); ended != nil {
		return ended
	}
	return result.New(result.UpstreamConnect, "%s: nothing was sent: %v", address, err)
}

func fill(ctx context.Context, message *fasthttp.Request, address string, req *request.Request, execution string) {
	header := &message.Header
	header.SetMethod(req.Method)
	header.SetRequestURI(req.Path)
	header.SetHost(address)
	header.SetNoDefaultContentType(true)
	for _, f := range req.Header {
		if passed(f.Name) {
			header.Add(f.Name, f.Value)
		}
	}
	if execution != "" {
		header.Set(request.HeaderExecution, execution)
	}
	if deadline, ok := ctx.Deadline(); ok {
		header.Set(request.HeaderDeadline, strconv.FormatInt(remainingMS(deadline), 10))
	}
	message.SetBodyRaw(req.Body)
}

// remainingMS returns the time to the deadline, rounded up and at least 1 ms.
func remainingMS(deadline time.Time) int64 {
	remaining := time.Until(deadline)
	return max(1, (remaining + time.Millisecond - 1).Milliseconds())
}

// hopByHop holds the header fields that apply to one hop only, among them those
// of the message framing.
var hopByHop = map[string]bool{
	"connection": true, "keep-alive": true, "te": true, "trailer": true, "transfer-encoding": true,
	"upgrade": true, "content-length": true, "proxy-connection": true, "proxy-authorization": true,
	"proxy-authenticate": true, "expect": true,
}

// passed tells whether a header field goes on to the next hop; the system's own
// fields do not.
func passed(name string) bool {
	lower := strings.ToLower(name)
	return !hopByHop[lower] && !strings.HasPrefix(lower, "sequoia-")
}

func receive(ctx context.Context, c *conn, method string) (*request.Response, bool, error) {
	message := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(message)
	if err := readHeader(c, message); err != nil {
		return nil, false, readFailure(ctx, c, err)
	}
	notRun := message.StatusCode() == http.StatusServiceUnavailable && len(message.Header.Peek(request.HeaderNotRun)) > 0
	complete, err := readBody(c, message, method)
	reusable := complete && err == nil && !message.ConnectionClose() && c.reader.Buffered() == 0
	switch {
	case notRun:
		return nil, reusable, refusal(message)
	case err != nil:
		return nil, false, readFailure(ctx, c, err)
	case !complete:
		return nil, false, result.New(result.UpstreamProtocol, "answer has neither a content length nor chunked framing")
	}
	resp := convert(message)
	if length := message.Header.ContentLength(); method == http.MethodHead && length >= 0 {
		resp.Header = append(resp.Header, request.Field{Name: "Content-Length", Value: strconv.Itoa(length)})
	}
	return resp, reusable, nil
}

func readHeader(c *conn, message *fasthttp.Response) error {
	for range maxInterim {
		if err := message.Header.Read(c.reader); err != nil {
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

// readBody reads the body; complete is false when the framing does not tell
// where the answer ends.
func readBody(c *conn, message *fasthttp.Response, method string) (complete bool, err error) {
	status := message.StatusCode()
	if method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified {
		return true, nil
	}
	length := message.Header.ContentLength()
	if length == identityLength {
		return false, nil
	}
	if err := message.ReadBody(c.reader, request.MaxResponseBytes); err != nil {
		return false, err
	}
	if length < 0 {
		err = message.Header.ReadTrailer(c.reader)
	}
	return err == nil, err
}

// readFailure classifies an error of reading the answer.
func readFailure(ctx context.Context, c *conn, err error) error {
	switch {
	case c.readError != nil && c.received == 0:
		return afterStart(ctx, result.UpstreamNoAnswer, c.readError)
	case c.readError != nil:
		return afterStart(ctx, result.UpstreamTruncated, c.readError)
	case errors.Is(err, fasthttp.ErrBodyTooLarge), tooLargeHeader(err):
		return result.New(result.UpstreamTooLarge, "%v", err)
	default:
		return result.New(result.UpstreamProtocol, "%v", err)
	}
}

func tooLargeHeader(err error) bool {
	var small *fasthttp.ErrSmallBuffer
	return errors.As(err, &small)
}

// afterStart returns the error of an exchange that failed after bytes may have
// left: the end of the context explains it when there is one.
func afterStart(ctx context.Context, code result.Code, err error) error {
	switch ctx.Err() {
	case context.DeadlineExceeded:
		return result.New(result.DeadlineAfterStart, "deadline passed during the exchange")
	case context.Canceled:
		return result.New(result.CancelledAfterStart, "cancelled during the exchange")
	}
	return result.New(code, "%v", err)
}

func refusal(message *fasthttp.Response) error {
	if len(message.Header.Peek(request.HeaderLeaving)) > 0 {
		return errors.Trace(&Refusal{Leaving: true, cause: result.New(result.UpstreamRefused, "upstream is leaving")})
	}
	return errors.Trace(&Refusal{cause: result.New(result.UpstreamRefused, "upstream shed the request")})
}

// Refusal is an UpstreamRefused error that tells whether the upstream leaves.
type Refusal struct {
	Leaving bool
	cause   error
}

// Error implements error.
func (r *Refusal) Error() string { return r.cause.Error() }

// Unwrap returns the error with the result code.
func (r *Refusal) Unwrap() error { return r.cause }

func convert(message *fasthttp.Response) *request.Response {
	resp := &request.Response{Status: message.StatusCode()}
	// The codec would otherwise add a type that the upstream did not send.
	message.Header.SetNoDefaultContentType(true)
	for key, value := range message.Header.All() {
		name := string(key)
		if passed(name) || name == request.HeaderLeaving {
			resp.Header = append(resp.Header, request.Field{Name: name, Value: string(value)})
		}
	}
	resp.Body = append([]byte(nil), message.Body()...)
	return resp
}

// validate refuses requests that could break the framing of their header.
func validate(req *request.Request) error {
	if !token(req.Method) {
		return result.New(result.BadRequest, "method %q", req.Method)
	}
	for _, f := range req.Header {
		if !token(f.Name) || strings.ContainsAny(f.Value, "\r\n\x00") {
			return result.New(result.BadRequest, "header field %q", f.Name)
		}
	}
	return validPath(req.Path)
}

// token tells whether s is a token of the HTTP grammar.
func token(s string) bool {
	for i := 0; i < len(s); i++ {
		if s[i] <= ' ' || s[i] >= 0x7f || strings.IndexByte("\"(),/:;<=>?@[\\]{}", s[i]) >= 0 {
			return false
		}
	}
	return s != ""
}

func validPath(path string) error {
	if path == "" || path[0] != '/' || len(path) > request.MaxPathBytes {
		return result.New(result.BadRequest, "path must start with / and have at most %d bytes", request.MaxPathBytes)
	}
	for i := 0; i < len(path); i++ {
		if path[i] <= ' ' || path[i] == 0x7f {
			return result.New(result.BadRequest, "path has a control character or space")
		}
	}
	return nil
}
