package entry

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiacove/sequoiacove/pkg/description"
	"github.com/sequoiacove/sequoiacove/pkg/request"
	"github.com/sequoiacove/sequoiacove/pkg/requestid"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

const (
	servicePrefix  = "/v1/services/"
	maxMethodBytes = 16
	// maxTraceBytes leaves room for the instance, incarnation and serial of
	// newTrace, which are at most 92 bytes.
	maxTraceBytes = 128
	// systemPrefix starts the names of headers that only the system sets or
	// reads.
	systemPrefix = "sequoia-"
)

// hopByHop are the headers that belong to one connection (RFC 9110, 7.6.1).
// The message codec sets the length and framing again on each hop.
var hopByHop = map[string]bool{
	"connection": true, "proxy-connection": true, "keep-alive": true,
	"proxy-authenticate": true, "proxy-authorization": true, "te": true,
	"trailer": true, "transfer-encoding": true, "upgrade": true,
	"content-length": true, "host": true, "expect": true,
}

// parseRequest reads a caller's request without its body. All parts are copied,
// because fasthttp reuses its buffers while an execution may still read them.
func parseRequest(ctx *fasthttp.RequestCtx, d *description.Description, now time.Time) (*request.Request, error) {
	service, path, err := splitPath(string(ctx.RequestURI()))
	if err != nil {
		return nil, err
	}
	svc, ok := d.Services[service]
	if !ok {
		return nil, result.New(result.UnknownService, "no service %q", service)
	}
	req := &request.Request{Service: service, Path: path, Method: string(ctx.Method())}
	if !validMethod(req.Method) {
		return nil, result.New(result.BadRequest, "method %q", req.Method)
	}
	if err := readFields(&ctx.Request.Header, req); err != nil {
		return nil, err
	}
	if err := readOwnHeaders(&ctx.Request.Header, svc, req, now); err != nil {
		return nil, err
	}
	return req, nil
}

// splitPath splits /v1/services/{service}/{path} without decoding the path,
// which the upstream receives as the caller wrote it.
func splitPath(uri string) (service, path string, err error) {
	if i := strings.IndexByte(uri, '#'); i >= 0 {
		uri = uri[:i]
	}
	rest, ok := strings.CutPrefix(uri, servicePrefix)
	if !ok {
		return "", "", result.New(result.BadRequest, "path is not below %s", servicePrefix)
	}
	end := strings.IndexAny(rest, "/?")
	if end < 0 {
		end = len(rest)
	}
	service, path = rest[:end], rest[end:]
	if service == "" || len(service) > request.MaxServiceBytes {
		return "", "", result.New(result.BadRequest, "service name of %d bytes", len(service))
	}
	if path == "" || path[0] != '/' {
		path = "/" + path
	}
	if request.IsControlPath(path) {
		return "", "", result.New(result.BadRequest, "the path is reserved for the control of upstreams")
	}
	if len(path) > request.MaxPathBytes {
		return "", "", result.New(result.BadRequest, "path of %d bytes", len(path))
	}
	if i := strings.IndexFunc(path, func(r rune) bool { return r <= ' ' || r == 0x7f }); i >= 0 {
		return "", "", result.New(result.BadRequest, "control character in path")
	}
	return service, path, nil
}

// validMethod accepts the tokens that methods consist of. CONNECT and TRACE
// concern the connection and not the service.
func validMethod(m string) bool {
	if m == "" || len(m) > maxMethodBytes || m == "CONNECT" || m == "TRACE" {
		return false
	}
	for i := 0; i < len(m); i++ {
		if !tokenByte(m[i]) {
			return false
		}
	}
	return true
}

func tokenByte(c byte) bool {
	switch {
	case c >= '0' && c <= '9', c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z':
		return true
	}
	return strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}

// readFields copies the headers that the upstream receives. Headers that the
// Connection header names are hop-by-hop too.
func readFields(h *fasthttp.RequestHeader, req *request.Request) error {
	var dropped []string
	for _, name := range strings.Split(string(h.Peek("Connection")), ",") {
		if name = strings.ToLower(strings.TrimSpace(name)); name != "" {
			dropped = append(dropped, name)
		}
	}
	for key, value := range h.All() {
		name := strings.ToLower(string(key))
		if hopByHop[name] || strings.HasPrefix(name, systemPrefix) || slices.Contains(dropped, name) {
			continue
		}
		req.Header = append(req.Header, request.Field{Name: string(key), Value: string(value)})
		if len(req.Header) > request.MaxHeaderFields {
			return result.New(result.BadRequest, "more than %d header fields", request.MaxHeaderFields)
		}
	}
	return checkFields(req.Header)
}

// checkFields applies the limits on headers and refuses bytes that could end a
// header line.
func checkFields(fields []request.Field) error {
	if len(fields) > request.MaxHeaderFields {
		return result.New(result.BadRequest, "%d header fields", len(fields))
	}
	size := 0
	for _, f := range fields {
		size += len(f.Name) + len(f.Value)
		if f.Name == "" || strings.IndexFunc(f.Name, func(r rune) bool { return r > 0x7f || !tokenByte(byte(r)) }) >= 0 {
			return result.New(result.BadRequest, "header name %q", f.Name)
		}
		if strings.ContainsAny(f.Value, "\r\n\x00") {
			return result.New(result.BadRequest, "control character in header %s", f.Name)
		}
	}
	if size > request.MaxHeaderBytes {
		return result.New(result.BadRequest, "headers of %d bytes", size)
	}
	return nil
}

// readOwnHeaders reads the Sequoia- headers.
func readOwnHeaders(h *fasthttp.RequestHeader, svc description.Service, req *request.Request, now time.Time) error {
	wait, err := parseDeadline(string(h.Peek(request.HeaderDeadline)), svc.MaxRequest())
	if err != nil {
		return err
	}
	req.Deadline = now.Add(wait)
	req.ID = string(h.Peek(request.HeaderRequestID))
	if len(req.ID) > requestid.MaxTextBytes {
		return result.New(result.RequestIDMalformed, "identifier of %d bytes", len(req.ID))
	}
	switch flag := string(h.Peek(request.HeaderIdempotent)); flag {
	case "":
		// An identifier says that the request is not idempotent, so that a
		// new version cannot refuse a resend.
		req.Idempotent = req.ID == "" && svc.Idempotent(req.Method)
	case "true", "false":
		req.Idempotent = flag == "true"
	default:
		return result.New(result.BadRequest, "%s %q", request.HeaderIdempotent, flag)
	}
	if req.ID != "" && req.Idempotent {
		return result.New(result.RequestIDNotRequired, "the request is idempotent")
	}
	return nil
}

// parseDeadline reads the time that the caller waits.
func parseDeadline(text string, limit time.Duration) (time.Duration, error) {
	if text == "" {
		return min(request.DefaultDeadline, limit), nil
	}
	ms, err := strconv.ParseUint(text, 10, 32)
	wait := time.Duration(ms) * time.Millisecond
	if err != nil || wait <= 0 || wait > limit {
		return 0, result.New(result.BadRequest, "%s must be 1 to %d", request.HeaderDeadline, limit.Milliseconds())
	}
	return wait, nil
}
