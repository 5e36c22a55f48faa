package entry

import (
	"context"
	"encoding/json"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiacove/sequoiacove/pkg/request"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

const (
	// connectionsPerRequest allows callers to keep idle connections open.
	connectionsPerRequest = 4
	// receiveTimeout bounds how long a caller may take to send a request.
	receiveTimeout = 30 * time.Second
	// sendTimeout bounds how long a caller may take to receive an answer.
	sendTimeout = 30 * time.Second
	// idleTimeout closes connections on which no request comes.
	idleTimeout = 75 * time.Second
)

// NewServer returns the HTTP server of the caller API.
func (e *Entry) NewServer() *fasthttp.Server {
	return &fasthttp.Server{
		Name:                  "sequoia-entry",
		NoDefaultServerHeader: true,
		NoDefaultContentType:  true,
		Handler:               e.serveHTTP,
		ErrorHandler:          e.serveBroken,
		MaxRequestBodySize:    request.MaxBodyBytes,
		StreamRequestBody:     true,
		// A parsed form is encoded anew and its files go to the disk.
		DisablePreParseMultipartForm: true,
		ReadBufferSize:               request.MaxHeaderBytes + request.MaxPathBytes,
		Concurrency:                  connectionsPerRequest * e.opt.MaxConcurrent,
		ReadTimeout:                  receiveTimeout,
		WriteTimeout:                 sendTimeout,
		IdleTimeout:                  idleTimeout,
		CloseOnShutdown:              true,
		Logger:                       discardLogger{},
	}
}

// discardLogger drops fasthttp's log lines, which any caller could provoke.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// serveBroken answers a request that could not be read.
func (e *Entry) serveBroken(ctx *fasthttp.RequestCtx, err error) {
	code := result.BadRequest
	if strings.Contains(err.Error(), "body size exceeds") {
		code = result.BodyTooLarge
	}
	refuse(ctx, result.New(code, "%s", printable(err.Error())))
	ctx.SetConnectionClose()
}

// printable bounds a text that may quote a caller's bytes.
func printable(s string) string {
	const limit = 200
	if len(s) > limit {
		s = s[:limit]
	}
	return strings.ToValidUTF8(s, "?")
}

func (e *Entry) serveHTTP(ctx *fasthttp.RequestCtx) {
	if e.gate.leaving.Load() {
		// Callers then have no idle connection that the stop would close.
		ctx.SetConnectionClose()
	}
	if !e.limits.allow(callerAddr(ctx), e.opt.Now()) {
		e.metrics.limited.Inc(1)
		refuse(ctx, beforeTable(ctx, result.New(result.TooManyRequests, "more than %g requests per second", e.opt.CallerRequestsPerSecond)))
		return
	}
	path := string(ctx.RequestURI())
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	switch {
	case path == "/v1/lookup" && ctx.IsGet():
		e.limited(ctx, e.serveLookup)
	case path == "/v1/request-ids" && ctx.IsPost():
		e.limited(ctx, e.serveRequestIDs)
	case strings.HasPrefix(path, servicePrefix):
		e.serveRequest(ctx)
	default:
		refuse(ctx, result.New(result.BadRequest, "no such resource"))
	}
}

// callerAddr returns the address of the caller, the invalid one if unknown.
func callerAddr(ctx *fasthttp.RequestCtx) netip.Addr {
	addr, _ := netip.AddrFromSlice(ctx.RemoteIP())
	return addr.Unmap()
}

// limited serves a call that carries no request unless the instance is at its
// limit.
func (e *Entry) limited(ctx *fasthttp.RequestCtx, serve fasthttp.RequestHandler) {
	if !e.enter() {
		refuse(ctx, e.atLimit())
		return
	}
	defer e.leave()
	serve(ctx)
}

func (e *Entry) atLimit() error {
	return result.New(result.TooManyRequests, "%d requests are in flight", e.opt.MaxConcurrent)
}

// enter counts a request in; it is refused above the limit.
func (e *Entry) enter() bool {
	if e.inFlight.Add(1) > int64(e.opt.MaxConcurrent) {
		e.inFlight.Add(-1)
		e.metrics.limited.Inc(1)
		return false
	}
	return true
}

func (e *Entry) leave() { e.inFlight.Add(-1) }

func (e *Entry) serveRequest(ctx *fasthttp.RequestCtx) {
	start := e.opt.Now()
	resp, err := e.serve(ctx, start)
	e.metrics.record(result.CodeOf(err), e.opt.Now().Sub(start))
	if err != nil {
		refuse(ctx, err)
		return
	}
	answer(ctx, resp)
}

// serve runs a caller's request and returns its answer or refusal.
func (e *Entry) serve(ctx *fasthttp.RequestCtx, start time.Time) (*request.Response, error) {
	v, err := e.admit()
	if v == nil {
		v = e.view.Load()
	}
	if v == nil || (err != nil && !hasIdentifier(ctx)) {
		return nil, beforeTable(ctx, err)
	}
	req, err := parseRequest(ctx, v.description, start)
	if err != nil {
		return nil, beforeTable(ctx, err)
	}
	body, reserved, err := e.bodies.read(ctx)
	defer e.bodies.release(reserved)
	if err != nil {
		ctx.SetConnectionClose()
		return nil, beforeTable(ctx, err)
	}
	// Only a request that has arrived takes a place, so that slow senders
	// cannot hold all of them.
	if !e.enter() {
		return nil, beforeTable(ctx, e.atLimit())
	}
	defer e.leave()
	req.Body, req.Trace = body, e.newTrace()
	run, cancel := context.WithDeadline(context.Background(), req.Deadline)
	defer cancel()
	defer e.callers.watch(ctx.Conn(), cancel)()
	if req.ID != "" {
		return e.submit(run, req)
	}
	return e.route(run, v, req)
}

// newTrace returns a name that no other submission has.
func (e *Entry) newTrace() string {
	return e.tracePrefix + strconv.FormatUint(e.trace.Add(1), 36)
}

// answer writes an upstream's complete answer.
func answer(ctx *fasthttp.RequestCtx, resp *request.Response) {
	ctx.SetStatusCode(resp.Status)
	h := &ctx.Response.Header
	for _, f := range resp.Header {
		name := strings.ToLower(f.Name)
		if name == "content-length" && ctx.IsHead() {
			setHeadLength(ctx, f.Value)
			continue
		}
		if hopByHop[name] || strings.HasPrefix(name, systemPrefix) {
			continue
		}
		h.Add(f.Name, f.Value)
	}
	h.Set(request.HeaderOutcome, result.Complete.String())
	h.Set(request.HeaderCode, strconv.Itoa(int(result.OK)))
	h.Set(request.HeaderUpstream, resp.Upstream)
	h.Set(request.HeaderDomain, resp.Domain)
	ctx.Response.SetBodyRaw(resp.Body)
}

// setHeadLength passes on the length of the body that HEAD leaves out.
func setHeadLength(ctx *fasthttp.RequestCtx, text string) {
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		return
	}
	ctx.Response.SkipBody = true
	ctx.Response.Header.SetContentLength(n)
}

// refusal is the body of an answer that is not complete.
type refusal struct {
	Code    result.Code `json:"code"`
	Name    string      `json:"name"`
	Outcome string      `json:"outcome"`
	Detail  string      `json:"detail"`
}

func refuse(ctx *fasthttp.RequestCtx, err error) {
	info := result.Lookup(result.CodeOf(err))
	ctx.SetStatusCode(info.HTTPStatus)
	ctx.Response.Header.Set(request.HeaderOutcome, info.Outcome.String())
	ctx.Response.Header.Set(request.HeaderCode, strconv.Itoa(int(info.Code)))
	writeJSON(ctx, refusal{info.Code, info.Name, info.Outcome.String(), result.Detail(err)})
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
