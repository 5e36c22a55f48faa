package instance

import (
	"context"
	"net/http"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/balance"
	"github.com/sequoiacove/sequoiacove/pkg/exchange"
	"github.com/sequoiacove/sequoiacove/pkg/ingress"
	"github.com/sequoiacove/sequoiacove/pkg/policy"
	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/pkg/steering"
)

const (
	// responseMargin is the time reserved before the caller's deadline for the
	// response to reach the caller.
	responseMargin = 20 * time.Millisecond
	// maxQueueWaitFraction is the fraction of the target latency that a request
	// may wait for an upstream before it is refused.
	maxQueueWaitFraction = 0.12
	// defaultTargetLatency applies to routes without a target latency.
	defaultTargetLatency = 500 * time.Millisecond
	// defaultRequestTimeout applies to requests without a caller's deadline.
	defaultRequestTimeout = 10 * time.Second
)

// dispatch is the state of one request while it is steered to an upstream.
type dispatch struct {
	instance       *Instance
	request        *ingress.Request
	route          *steering.Route
	version        steering.Version
	service        string
	deadline       time.Time
	triedUpstreams []string
	// attempts counts the times that the request was sent to a connected upstream.
	attempts int
	// mayHaveRun is set once an upstream may have executed the request.
	mayHaveRun bool
	queueTime  time.Duration
	// assignment is the assigned failure domain; nil if the description does not
	// define the service, and after a failed reassignment.
	assignment     *policy.Assignment
	acquireRequest balance.AcquireRequest
	lease          *balance.Lease
	lastResult     *exchange.Result
	// failedAttempts holds the log fields of the failed attempts and of a failed
	// reassignment to another failure domain.
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
	i.pauseDetector.wait(ctx)
	config := i.catalog.View().Config
	if config == nil {
		i.logUnrouted(r, http.StatusServiceUnavailable, "no_configuration")
		return &ingress.Response{Status: http.StatusServiceUnavailable, RetryAfter: retryAfterBase}
	}
	route := config.Match(r.Host, r.URI)
	if route == nil {
		i.logUnrouted(r, http.StatusNotFound, "no_route", "host", r.Host, "path", r.URI, "version", config.Version)
		return &ingress.Response{Status: http.StatusNotFound}
	}
	r.Idempotent = route.Idempotent
	c := &dispatch{instance: i, request: r, route: route, version: config.Version, service: i.balancer.ChooseService(route)}
	c.deadline = c.computeDeadline()
	if !i.descriptionKnownOrTimedOut() {
		// Without the description, the request could reach an upstream that operators
		// drained, or exceed their limits.
		return c.refuse("description_unknown")
	}
	if !i.admits(c) {
		return c.refuse("leaving")
	}
	if reason := c.assignDomain(ctx); reason != "" {
		if ctx.Err() != nil {
			return c.abandon()
		}
		return c.refuse(reason)
	}
	response := c.run(ctx)
	if c.assignment != nil {
		size := 0
		if response != nil {
			size = len(response.Body)
		}
		c.assignment.Release(size)
	}
	return response
}

// assignDomain assigns a failure domain to the request if the description defines
// the service. A due probe of an unreachable domain takes precedence over the
// shares. If no domain can be assigned, it returns the reason, otherwise "".
func (c *dispatch) assignDomain(ctx context.Context) (reason string) {
	start := c.instance.opt.Now()
	if domain, due := c.instance.balancer.DomainToProbe(c.service, c.route.Idempotent); due {
		if c.assignment = c.instance.policy.AssignProbe(ctx, c.assignmentRequest(start), domain); c.assignment != nil {
			return ""
		}
	}
	assignment, err := c.instance.policy.Assign(ctx, c.assignmentRequest(start))
	c.queueTime += c.instance.opt.Now().Sub(start)
	if err != nil {
		return result.Lookup(result.CodeOf(err)).Name
	}
	c.assignment = assignment
	return ""
}

// assignmentRequest returns the request for a failure domain. The assignment may
// take half of the remaining queue wait; the rest is left for acquiring an
// upstream.
func (c *dispatch) assignmentRequest(now time.Time) policy.Request {
	return policy.Request{Service: c.service, Bytes: len(c.request.Head) + len(c.request.Body), RegionAllowed: c.route.AllowsRegion, MaxWait: c.maxQueueWait(now) / 2}
}

// maxQueueWait returns how long the request may still wait before it is refused.
func (c *dispatch) maxQueueWait(now time.Time) time.Duration {
	return min(time.Duration(maxQueueWaitFraction*float64(c.targetLatency()))-now.Sub(c.request.ArrivedAt), c.deadline.Sub(now))
}

// moveToOtherDomain assigns another failure domain and reports whether there is
// one. A request that is not a probe stays in its domain if an upstream there has
// merely reached its queue limit.
func (c *dispatch) moveToOtherDomain(ctx context.Context) bool {
	if c.assignment == nil || !c.assignment.Probe && c.instance.balancer.Explain(c.acquireRequest).Full > 0 {
		return false
	}
	assignment, err := c.instance.policy.Reassign(ctx, c.assignment, c.assignmentRequest(c.instance.opt.Now()))
	c.assignment = assignment
	if err != nil {
		c.failedAttempts = append(c.failedAttempts, []any{"request", c.request.ID, "reason", "no_other_domain", "error", err.Error()})
	}
	return err == nil
}

// computeDeadline returns the time at which the request times out.
func (c *dispatch) computeDeadline() time.Time {
	wait := defaultRequestTimeout
	if c.request.Timeout > 0 {
		wait = max(c.request.Timeout-responseMargin, c.request.Timeout/2)
	}
	if c.route.Timeout > 0 {
		wait = min(wait, c.route.Timeout)
	}
	if maxDuration := c.instance.policy.Description().Services[c.service].MaxRequestTimeout(); maxDuration > 0 {
		wait = min(wait, maxDuration)
	}
	return c.request.ArrivedAt.Add(wait)
}

// admits reports whether a new request is accepted. Late in a shutdown, only requests that
// time out well before its end are accepted.
func (i *Instance) admits(c *dispatch) bool {
	shutdown := i.shutdown.Load()
	if shutdown == nil {
		return true
	}
	return i.opt.Now().Before(shutdown.admitAllUntil) || c.deadline.Add(answerMargin).Before(shutdown.deadline)
}

// run sends the request to upstreams, with retries, and returns the response; it
// returns nil if the caller has disconnected.
func (c *dispatch) run(ctx context.Context) *ingress.Response {
	i := c.instance
	for leaseRequests := 0; ; leaseRequests++ {
		if !c.hasTimeToSend() {
			return c.fail(reasonTooLate)
		}
		pauseCount := i.pauseDetector.wait(ctx)
		lease := c.acquire(ctx, leaseRequests > 0)
		if ctx.Err() != nil && lease == nil {
			return c.abandon()
		}
		if lease == nil && c.moveToOtherDomain(ctx) {
			continue
		}
		if lease == nil {
			return c.fail(reasonNoUpstream)
		}
		lease.Target.OutOfDate = func() bool { return i.pauseDetector.pausedSince(pauseCount) || lease.Withdrawn() }
		r := c.attempt(ctx, lease)
		if ctx.Err() != nil && r.Reason == exchange.Cancelled {
			return c.abandon()
		}
		c.lastResult = r
		c.mayHaveRun = c.mayHaveRun || r.Outcome != exchange.NotRun
		if r.Outcome == exchange.Answered && (r.Status < 500 || !c.allowRetry(r, leaseRequests)) {
			return c.respond(r)
		}
		if r.Outcome != exchange.Answered && !c.allowRetry(r, leaseRequests) {
			return c.fail(r.Reason.String())
		}
		i.metrics.retries.Inc(1)
	}
}

// targetLatency returns the target latency of the route, or the default.
func (c *dispatch) targetLatency() time.Duration {
	if c.route.TargetLatency > 0 {
		return c.route.TargetLatency
	}
	return defaultTargetLatency
}
