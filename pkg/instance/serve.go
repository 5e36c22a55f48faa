package instance

import (
	"context"
	"net/http"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/balance"
	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/exchange"
	"github.com/sequoiacove/sequoiacove/pkg/ingress"
	"github.com/sequoiacove/sequoiacove/pkg/policy"
	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/pkg/steering"
)

const (
	// answerMargin is left before the caller's deadline for the answer to
	// travel.
	responseMargin = 20 * time.Millisecond
	// holdPart is the part of the target latency that a request waits for an
	// upstream before it is refused.
	maxQueueWaitFraction = 0.12
	// defaultTarget stands for the target latency of routes that have none.
	defaultTargetLatency = 500 * time.Millisecond
	// defaultWait bounds a request whose caller states no deadline.
	defaultRequestTimeout = 10 * time.Second
	// comeBack is the time after which a refused caller should come back;
	// comeBackSpread spreads the callers.
	minRetryAfter    = 80 * time.Millisecond
	retryAfterJitter = 120 * time.Millisecond
	// waitPart is the part of the remaining time that callers honor.
	maxRetryAfterFraction = 0.3
	// maxConnectTries bounds the upstreams that are tried without a connection.
	maxConnectAttempts = 4
	// minSendTime and minSendPart, a part of the target latency, are the time
	// that must be left to send a request: with less, an upstream could not
	// answer in time.
	minTimeToSend         = 30 * time.Millisecond
	minTimeToSendFraction = 0.1
)

// Reasons of requests that were not sent.
const (
	// noUpstream is that of a request that no upstream took.
	reasonNoUpstream = "no_upstream"
	// tooLate is that of a request without the time for an answer.
	reasonTooLate = "too_late"
)

// call is the work on one request.
type dispatch struct {
	instance       *Instance
	request        *ingress.Request
	route          *steering.Route
	version        steering.Version
	service        string
	deadline       time.Time
	triedUpstreams []string
	attempts       int
	// unknown tells that an attempt may have run the request.
	mayHaveRun bool
	queueTime  time.Duration
	// place is the failure domain that the description chose, or nil.
	place          *policy.Assignment
	acquireRequest balance.AcquireRequest
	lease          *balance.Lease
	lastResult     *exchange.Result
	// failures holds the log lines of the attempts that failed.
	failedAttempts [][]any
}

// Idempotent implements ingress.Handler.
func (i *Instance) Idempotent(r *ingress.Request) bool {
	c := i.catalog.View().Config
	if c == nil {
		return true
	}
	route := c.Match(r.Host, r.URI)
	return route == nil || route.Idempotent
}

// Serve implements ingress.Handler.
func (i *Instance) Serve(ctx context.Context, r *ingress.Request) *ingress.Response {
	i.pauses.wait(ctx)
	config := i.catalog.View().Config
	if config == nil {
		event.Log(i.logger, event.RequestRefused, "request", r.ID, "reason", "no_configuration")
		return &ingress.Response{Status: http.StatusServiceUnavailable, RetryAfter: minRetryAfter}
	}
	route := config.Match(r.Host, r.URI)
	if route == nil {
		event.Log(i.logger, event.RequestRefused, "request", r.ID, "reason", "no_route", "host", r.Host, "path", r.URI, "version", config.Version)
		return &ingress.Response{Status: http.StatusNotFound}
	}
	r.Idempotent = route.Idempotent
	c := &dispatch{instance: i, request: r, route: route, version: config.Version, service: i.balancer.Service(route)}
	c.deadline = c.computeDeadline()
	if !i.admits(c) {
		return c.refuse("leaving")
	}
	if reason := c.choosePlace(ctx); reason != "" {
		if ctx.Err() != nil {
			return c.abandoned()
		}
		return c.refuse(reason)
	}
	response := c.run(ctx)
	if c.place != nil {
		size := 0
		if response != nil {
			size = len(response.Body)
		}
		c.place.Release(size)
	}
	return response
}

// choosePlace takes the failure domain of the request from the description, if
// that names the service, and returns why there is none.
func (c *dispatch) choosePlace(ctx context.Context) (reason string) {
	start := c.instance.opt.Now()
	if domain, due := c.instance.balancer.ProbeDue(c.service, c.route.Idempotent); due {
		if c.place = c.instance.policy.AssignProbe(ctx, c.placeRequest(start), domain); c.place != nil {
			return ""
		}
	}
	place, err := c.instance.policy.Assign(ctx, c.placeRequest(start))
	c.queueTime += c.instance.opt.Now().Sub(start)
	if err != nil {
		return result.Lookup(result.CodeOf(err)).Name
	}
	c.place = place
	return ""
}

// placeRequest leaves half of the time that the request may wait for the
// choice of the upstream.
func (c *dispatch) placeRequest(now time.Time) policy.Request {
	return policy.Request{Service: c.service, Bytes: len(c.request.Head) + len(c.request.Body), RegionAllowed: c.route.AllowsRegion, MaxWait: c.maxQueueWait(now) / 2}
}

// hold returns how long the request may still wait before it is refused.
func (c *dispatch) maxQueueWait(now time.Time) time.Duration {
	return min(time.Duration(maxQueueWaitFraction*float64(c.target()))-now.Sub(c.request.Arrived), c.deadline.Sub(now))
}

// movePlace takes another failure domain if no upstream of the present one can
// take the request, and tells whether there is one.
func (c *dispatch) moveToOtherDomain(ctx context.Context) bool {
	if c.place == nil || !c.place.Probe && c.instance.balancer.Explain(c.acquireRequest).Full > 0 {
		return false
	}
	place, err := c.instance.policy.Reassign(ctx, c.place, c.placeRequest(c.instance.opt.Now()))
	c.place = place
	if err != nil {
		c.failedAttempts = append(c.failedAttempts, []any{"request", c.request.ID, "reason", "no_other_domain", "error", err.Error()})
	}
	return err == nil
}

// deadline returns the time at which the request is given up.
func (c *dispatch) computeDeadline() time.Time {
	wait := defaultRequestTimeout
	if c.request.Timeout > 0 {
		wait = max(c.request.Timeout-responseMargin, c.request.Timeout/2)
	}
	if c.route.Timeout > 0 {
		wait = min(wait, c.route.Timeout)
	}
	if maxDuration := c.instance.policy.Description().Services[c.service].MaxRequest(); maxDuration > 0 {
		wait = min(wait, maxDuration)
	}
	return c.request.Arrived.Add(wait)
}

// mayStart tells whether a request can end before a leaving instance stops.
func (i *Instance) admits(c *dispatch) bool {
	shutdown := i.shutdown.Load()
	if shutdown == nil {
		return true
	}
	return i.opt.Now().Sub(shutdown.started) < admitAllTime || c.deadline.Before(shutdown.deadline)
}

// run tries upstreams until the request has its answer.
func (c *dispatch) run(ctx context.Context) *ingress.Response {
	i := c.instance
	for tries := 0; ; tries++ {
		if !c.hasTimeToSend() {
			return c.fail(reasonTooLate)
		}
		lease := c.acquire(ctx, tries > 0)
		if ctx.Err() != nil && lease == nil {
			return c.abandoned()
		}
		if lease == nil && c.moveToOtherDomain(ctx) {
			continue
		}
		if lease == nil {
			return c.fail(reasonNoUpstream)
		}
		r := c.attempt(ctx, lease)
		if ctx.Err() != nil && r.Reason == exchange.Cancelled {
			return c.abandoned()
		}
		c.lastResult = r
		c.mayHaveRun = c.mayHaveRun || r.Outcome != exchange.NotRun
		if r.Outcome == exchange.Answered && (r.Status < 500 || !c.allowRetry(r, tries)) {
			return c.respond(r)
		}
		if r.Outcome != exchange.Answered && !c.allowRetry(r, tries) {
			return c.fail(r.Reason.String())
		}
		i.metrics.retries.Inc(1)
	}
}

// target returns the target latency of the request.
func (c *dispatch) target() time.Duration {
	if c.route.TargetLatency > 0 {
		return c.route.TargetLatency
	}
	return defaultTargetLatency
}

// timeToSend tells whether an upstream could still answer in time.
func (c *dispatch) hasTimeToSend() bool {
	needed := max(minTimeToSend, time.Duration(minTimeToSendFraction*float64(c.target())))
	return c.deadline.Sub(c.instance.opt.Now()) >= needed
}

// acquire asks for an upstream; a request that was sent before does not wait.
func (c *dispatch) acquire(ctx context.Context, isRetry bool) *balance.Lease {
	start := c.instance.opt.Now()
	c.acquireRequest = balance.AcquireRequest{Service: c.service, Route: c.route, Key: c.request.AffinityKey, Exclude: c.triedUpstreams, Retry: isRetry}
	if c.place != nil {
		c.acquireRequest.Domain = c.place.Domain
	}
	l := c.instance.balancer.Acquire(ctx, c.acquireRequest, c.maxQueueWait(start))
	c.queueTime += c.instance.opt.Now().Sub(start)
	return l
}

// mayRepeat tells whether the request is sent to another upstream after r, and
// takes the repeat from the budget.
func (c *dispatch) allowRetry(r *exchange.Result, tries int) bool {
	switch {
	case !c.hasTimeToSend():
		return false
	case r.Reason == exchange.ConnectFailed:
		// Nothing reached the upstream.
		return tries < maxConnectAttempts
	case r.Outcome != exchange.NotRun && !c.route.Idempotent:
		return false
	}
	return c.attempts < c.route.MaxAttempts && c.instance.balancer.AllowRetry(c.service)
}

// attempt sends the request to an upstream and gives the lease back.
func (c *dispatch) attempt(ctx context.Context, l *balance.Lease) *exchange.Result {
	c.triedUpstreams = append(c.triedUpstreams, l.Target.ID)
	c.lease = l
	r := c.instance.client.Do(ctx, l.Target, &c.request.Request, c.deadline)
	l.Done(r)
	if r.Reason != exchange.ConnectFailed {
		c.attempts++
	}
	c.instance.metrics.observe("upstream_time_us", r.Elapsed, "service", c.service)
	if r.Reason != exchange.Complete && r.Reason != exchange.Cancelled {
		args := []any{"request", c.request.ID, "upstream", l.Target.ID, "reason", r.Reason.String(), "status", r.Status,
			"took_ms", r.Elapsed.Milliseconds(), "new_connection", r.NewConnection, "load", l.Load, "slots", l.Slots, "error", errorText(r.Err)}
		event.Log(c.instance.logger, event.AttemptFailed, args...)
		c.failedAttempts = append(c.failedAttempts, args)
	}
	return r
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// answer passes on the upstream's answer.
func (c *dispatch) respond(r *exchange.Result) *ingress.Response {
	c.logOutcome(event.RequestAnswered, r.Status, "answered")
	return &ingress.Response{Status: r.Status, Header: r.Header, Body: r.Body}
}

// giveUp answers a request for which no upstream gave an answer.
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

// refuse answers a request that has not run.
func (c *dispatch) refuse(reason string) *ingress.Response {
	remaining := c.request.Arrived.Add(c.request.Timeout).Sub(c.instance.opt.Now())
	after := minRetryAfter + time.Duration(c.instance.opt.Random()*float64(retryAfterJitter))
	after = max(time.Millisecond, min(after, time.Duration(maxRetryAfterFraction*float64(remaining))))
	c.logOutcome(event.RequestRefused, http.StatusServiceUnavailable, reason)
	return &ingress.Response{Status: http.StatusServiceUnavailable, RetryAfter: after}
}

func (c *dispatch) abandoned() *ingress.Response {
	c.logOutcome(event.RequestCancelled, 0, "caller_left")
	return nil
}

// log writes the line that ends the work on a request.
func (c *dispatch) logOutcome(id event.ID, status int, reason string) {
	now := c.instance.opt.Now()
	took := now.Sub(c.request.Arrived)
	c.instance.metrics.recordRequest(c, id, status, reason, took)
	args := []any{"request", c.request.ID, "route", c.route.Name, "service", c.service, "version", c.version, "status", status, "reason", reason,
		"took_ms", took.Milliseconds(), "waited_ms", c.queueTime.Milliseconds(), "attempts", c.attempts, "left_ms", c.deadline.Sub(now).Milliseconds()}
	if l := c.lease; l != nil {
		args = append(args, "upstream", l.Target.ID, "domain", l.Domain, "load", l.Load, "slots", l.Slots, "slowness_percent", int(100*l.Slowness),
			"expected_ms", l.Expected.Milliseconds(), "warm", l.Warm, "cold", l.Cold)
	}
	if reason == reasonNoUpstream {
		args = append(args, "refusal", c.instance.balancer.Explain(c.acquireRequest))
	}
	if id != event.RequestAnswered {
		directives, upstreams := c.instance.catalog.Ages()
		args = append(args, "directives_age_ms", directives.Milliseconds(), "upstreams_age_ms", upstreams.Milliseconds())
	}
	event.Log(c.instance.logger, id, args...)
	if id != event.RequestAnswered || took > c.target() || status >= http.StatusInternalServerError {
		c.instance.recent.add(&finishedRequest{requestID: c.request.ID, finishedAt: now, outcome: outcomeNames[id], logLines: append(c.failedAttempts, args)})
	}
}
