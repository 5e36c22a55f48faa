package instance

import (
	"net/http"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/exchange"
	"github.com/sequoiacove/sequoiacove/pkg/ingress"
)

const (
	// retryAfterBase is the Retry-After of a refused request. A random part of
	// retryAfterJitter is added, so that callers do not retry all at once.
	retryAfterBase   = 80 * time.Millisecond
	retryAfterJitter = 120 * time.Millisecond
	// maxRetryAfterFraction is the largest Retry-After that callers honor, as a
	// fraction of the time that remains until their timeout.
	maxRetryAfterFraction = 0.3
)

// Reasons why a request is not sent to an upstream, or not sent again.
const (
	// reasonNoUpstream means that no upstream admitted the request.
	reasonNoUpstream = "no_upstream"
	// reasonTooLate means that too little time remained for a response.
	reasonTooLate = "too_late"
	// reasonUnprovenRefusal means that the upstream refused the request without stating
	// that it did not run.
	reasonUnprovenRefusal = "unproven_refusal"
)

// respond returns the upstream's response. For a request that may not run twice, a status
// that tells callers that it has not run is replaced: the upstream did not state that.
func (c *dispatch) respond(r *exchange.Result) *ingress.Response {
	if !c.route.Idempotent && promisesNotRun(r.Status) {
		c.logOutcome(event.RequestFailed, http.StatusBadGateway, reasonUnprovenRefusal)
		return &ingress.Response{Status: http.StatusBadGateway}
	}
	c.logOutcome(event.RequestAnswered, r.Status, "answered")
	return &ingress.Response{Status: r.Status, Header: r.Header, Body: r.Body}
}

// promisesNotRun reports whether callers take the status as a promise that the request has
// not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// fail returns the response to a request that is not retried any further. A
// request that has certainly not run is refused; otherwise the last response, 504
// or 502 is returned.
func (c *dispatch) fail(reason string) *ingress.Response {
	if !c.mayHaveRun {
		return c.refuse(reason)
	}
	if c.lastResult.Outcome == exchange.Answered {
		return c.respond(c.lastResult)
	}
	status := http.StatusBadGateway
	if c.lastResult.Reason == exchange.TimedOut {
		status = http.StatusGatewayTimeout
	}
	c.logOutcome(event.RequestFailed, status, reason)
	return &ingress.Response{Status: status}
}

// refuse responds with 503 and a Retry-After to a request that has not run. If all upstreams
// want no requests for a time, the Retry-After covers the time until the first opens, as far
// as callers honor it.
func (c *dispatch) refuse(reason string) *ingress.Response {
	callerDeadline := c.deadline
	if c.request.Timeout > 0 {
		callerDeadline = c.request.ArrivedAt.Add(c.request.Timeout)
	}
	remaining := callerDeadline.Sub(c.instance.opt.Now())
	after := retryAfterBase + time.Duration(c.instance.opt.Random()*float64(retryAfterJitter))
	if c.acquireRequest.Route != nil {
		after += c.instance.balancer.OpensIn(c.acquireRequest)
	}
	after = max(time.Millisecond, min(after, time.Duration(maxRetryAfterFraction*float64(remaining))))
	c.logOutcome(event.RequestRejected, http.StatusServiceUnavailable, reason)
	return &ingress.Response{Status: http.StatusServiceUnavailable, RetryAfter: after}
}

// abandon records that the caller disconnected; there is nobody to respond to.
func (c *dispatch) abandon() *ingress.Response {
	c.logOutcome(event.RequestCancelled, 0, "caller_left")
	return nil
}

// logUnrouted logs a request that is rejected before a route is known. args are further
// fields.
func (i *Instance) logUnrouted(r *ingress.Request, status int, reason string, args ...any) {
	directives, upstreams := i.catalog.ProofAges()
	fields := append([]any{"request", r.ID, "status", status, "reason", reason}, args...)
	event.Log(i.logger, event.RequestRejected, append(fields, "directives_age_ms", directives.Milliseconds(), "upstreams_age_ms", upstreams.Milliseconds())...)
}

// logOutcome logs and counts the outcome of the request. Requests that were not
// answered, were late or got a server error are also kept for operators.
func (c *dispatch) logOutcome(id event.ID, status int, reason string) {
	now := c.instance.opt.Now()
	took := now.Sub(c.request.ArrivedAt)
	c.instance.metrics.recordRequest(c, id, status, reason, took)
	args := []any{"request", c.request.ID, "route", c.route.Name, "service", c.service, "version", c.version, "status", status, "reason", reason,
		"object", c.request.AffinityKey, "took_ms", took.Milliseconds(), "waited_ms", c.queueTime.Milliseconds(), "attempts", c.attempts, "left_ms", c.deadline.Sub(now).Milliseconds()}
	if l := c.lease; l != nil {
		args = append(args, "upstream", l.Target.ID, "domain", l.Domain, "load", l.Load, "slots", l.Slots, "slowness_percent", int(100*l.Slowness),
			"expected_ms", l.ExpectedLatency.Milliseconds(), "warm", l.HoldsObject, "cold", l.Cold)
	}
	if reason == reasonNoUpstream {
		args = append(args, "refusal", c.instance.balancer.Explain(c.acquireRequest))
	}
	if id != event.RequestAnswered {
		directives, upstreams := c.instance.catalog.ProofAges()
		args = append(args, "directives_age_ms", directives.Milliseconds(), "upstreams_age_ms", upstreams.Milliseconds())
	}
	event.Log(c.instance.logger, id, args...)
	if id != event.RequestAnswered || took > c.targetLatency() || status >= http.StatusInternalServerError {
		c.instance.recentRequests.add(&finishedRequest{requestID: c.request.ID, finishedAt: now, outcome: outcomeNames[id], logLines: append(c.failedAttempts, args)})
	}
}
