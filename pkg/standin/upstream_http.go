package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiacove/sequoiacove/pkg/request"
)

// statusClientClosed is the status of an execution that was cancelled.
const statusClientClosed = 499

func (u *Upstream) handle(ctx *fasthttp.RequestCtx) {
	path, method := string(ctx.Path()), string(ctx.Method())
	switch {
	case path == request.StatusPath && method == http.MethodGet:
		replyJSON(ctx, http.StatusOK, u.status())
	case path == "/log" && method == http.MethodGet:
		replyJSON(ctx, http.StatusOK, u.Log())
	case path == "/control" && method == http.MethodPost:
		u.control(ctx)
	case strings.HasPrefix(path, request.ExecutionsPath) && method == http.MethodDelete:
		replyJSON(ctx, http.StatusOK, map[string]string{"state": u.cancelExecution(strings.TrimPrefix(path, request.ExecutionsPath))})
	default:
		u.run(ctx)
	}
}

func (u *Upstream) control(ctx *fasthttp.RequestCtx) {
	var fault UpstreamFault
	if err := json.Unmarshal(ctx.PostBody(), &fault); err != nil {
		ctx.Error(err.Error(), http.StatusBadRequest)
		return
	}
	u.SetFault(fault)
	replyJSON(ctx, http.StatusOK, fault)
}

// UpstreamStatus is the answer to GET on request.StatusPath.
type UpstreamStatus struct {
	State    string `json:"state"`
	Slots    int    `json:"slots"`
	InFlight int    `json:"in_flight"`
	Queued   int    `json:"queued"`
	AgeMS    int64  `json:"age_ms"`
}

func (u *Upstream) status() UpstreamStatus {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	lag := time.Duration(u.fault.StatusLagMS) * time.Millisecond
	load := u.loadBefore(now.Add(-lag))
	s := UpstreamStatus{State: u.state(now), Slots: u.config.Slots, InFlight: load.running, Queued: load.waiting, AgeMS: u.fault.StatusLagMS}
	if u.fault.StatusFalse {
		s.InFlight, s.Queued, s.AgeMS = u.config.Slots-u.running, 0, 0
	}
	return s
}

func (u *Upstream) state(now time.Time) string {
	lag := time.Duration(u.fault.StatusLeavingLagMS) * time.Millisecond
	switch {
	case u.fault.Leaving && now.Sub(u.leftAt) >= lag:
		return "leaving"
	case u.cold > 0:
		return "warming"
	default:
		return "ready"
	}
}

// cancelExecution ends an execution and returns its state once it holds no slot.
func (u *Upstream) cancelExecution(id string) string {
	u.mu.Lock()
	e := u.known[id]
	if e == nil {
		u.mu.Unlock()
		return "unknown"
	}
	e.cancel()
	u.mu.Unlock()
	<-e.done
	if e.result == UpstreamCancelled {
		return "cancelled"
	}
	return "finished"
}

// run executes a request. The execution is recorded even when a fault keeps its
// answer back, because a caller that resends must see that it ran.
func (u *Upstream) run(ctx *fasthttp.RequestCtx) {
	deadline := requestDeadline(ctx, time.Now())
	e := newUpstreamExecution(u.executionID(ctx), string(ctx.RequestURI()))
	admitted, leaving := u.admit(e)
	if !admitted {
		shed(ctx, leaving)
		return
	}
	result, fail := u.execute(e, requestedWork(ctx), deadline)
	switch {
	case fail == UpstreamFailCloseAfterRead:
		closeAfter(ctx, "")
	case fail == UpstreamFailHalfAnswer:
		closeAfter(ctx, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nfirst half")
	case result == UpstreamDone:
		u.answerDone(ctx, e)
	case !deadline.IsZero() && !time.Now().Before(deadline):
		ctx.Error("deadline passed", http.StatusGatewayTimeout)
	default:
		ctx.Error("cancelled", statusClientClosed)
	}
}

// answerDone answers with the execution and path, so that a caller can check
// that the answer is its own.
func (u *Upstream) answerDone(ctx *fasthttp.RequestCtx, e *upstreamExecution) {
	u.mu.Lock()
	leaving := u.fault.Leaving
	u.mu.Unlock()
	if leaving {
		ctx.Response.Header.Set(request.HeaderLeaving, "1")
	}
	replyJSON(ctx, http.StatusOK, UpstreamAnswer{Upstream: u.config.ID, Execution: e.id, Path: e.path, BodyBytes: len(ctx.PostBody())})
}

// UpstreamAnswer is the body of a complete answer.
type UpstreamAnswer struct {
	Upstream  string `json:"upstream"`
	Execution string `json:"execution"`
	Path      string `json:"path"`
	BodyBytes int    `json:"body_bytes"`
}

func (u *Upstream) executionID(ctx *fasthttp.RequestCtx) string {
	if id := string(ctx.Request.Header.Peek(request.HeaderExecution)); id != "" {
		return id
	}
	return "direct-" + strconv.FormatUint(ctx.ID(), 10)
}

func shed(ctx *fasthttp.RequestCtx, leaving bool) {
	ctx.Error("shed", http.StatusServiceUnavailable)
	ctx.Response.Header.Set(request.HeaderNotRun, "1")
	if leaving {
		ctx.Response.Header.Set(request.HeaderLeaving, "1")
	}
}

// closeAfter writes a part of an answer and closes the connection.
func closeAfter(ctx *fasthttp.RequestCtx, part string) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _, _ = c.Write([]byte(part)) })
}

func requestDeadline(ctx *fasthttp.RequestCtx, now time.Time) time.Time {
	ms, err := strconv.ParseInt(string(ctx.Request.Header.Peek(request.HeaderDeadline)), 10, 64)
	if err != nil {
		return time.Time{}
	}
	return now.Add(time.Duration(ms) * time.Millisecond)
}

// requestedWork returns the service time that the request asks for, or a
// negative one.
func requestedWork(ctx *fasthttp.RequestCtx) time.Duration {
	ms, err := strconv.ParseFloat(string(ctx.QueryArgs().Peek("work_ms")), 64)
	if err != nil {
		return -1
	}
	return time.Duration(ms * float64(time.Millisecond))
}
