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
	answerMargin = 20 * time.Millisecond
	// holdPart is the part of the target latency that a request waits for an
	// upstream before it is refused.
	holdPart = 0.12
	// defaultTarget stands for the target latency of routes that have none.
	defaultTarget = 500 * time.Millisecond
	// defaultWait bounds a request whose caller states no deadline.
	defaultWait = 10 * time.Second
	// comeBack is the time after which a refused caller should come back;
	// comeBackSpread spreads the callers.
	comeBack       = 80 * time.Millisecond
	comeBackSpread = 120 * time.Millisecond
	// waitPart is the part of the remaining time that callers honor.
	waitPart = 0.3
	// maxConnectTries bounds the upstreams that are tried without a connection.
	maxConnectTries = 4
	// minSendTime and minSendPart, a part of the target latency, are the time
	// that must be left to send a request: with less, an upstream could not
	// answer in time.
	minSendTime = 30 * time.Millisecond
	minSendPart = 0.1
)

// Reasons of requests that were not sent.
const (
	// noUpstream is that of a request that no upstream took.
	noUpstream = "no_upstream"
	// tooLate is that of a request without the time for an answer.
	tooLate = "too_late"
)

// call is the work on one request.
type call struct {
	instance *Instance
	request  *ingress.Request
	route    *steering.Route
	version  steering.Version
	service  string
	end      time.Time
	tried    []string
	attempts int
	// unknown tells that an attempt may have run the request.
	unknown bool
	waited  time.Duration
	// place is the failure domain that the description chose, or nil.
	place *policy.Place
	ask   balance.Ask
	lease *balance.Lease
	last  *exchange.Result
	// failures holds the log lines of the attempts that failed.
	failures [][]any
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
	i.stillness.wait(ctx)
	config := i.catalog.View().Config
	if config == nil {
		event.Log(i.logger, event.RequestRefused, "request", r.ID, "reason", "no_configuration")
		return &ingress.Response{Status: http.StatusServiceUnavailable, RetryAfter: comeBack}
	}
	route := config.Match(r.Host, r.URI)
	if route == nil {
		event.Log(i.logger, event.RequestRefused, "request", r.ID, "reason", "no_route", "host", r.Host, "path", r.URI, "version", config.Version)
		return &ingress.Response{Status: http.StatusNotFound}
	}
	r.Idempotent = route.Idempotent
	c := &call{instance: i, request: r, route: route, version: config.Version, service: i.balancer.Service(route)}
	c.end = c.deadline()
	if !i.mayStart(c) {
		return c.refuse("leaving")
	}
	if reason := c.choosePlace(ctx); reason != "" {
		if ctx.Err() != nil {
			return c.abandoned()
		}
		return c.refuse(reason)
	}
	answer := c.run(ctx)
	if c.place != nil {
		size := 0
		if answer != nil {
			size = len(answer.Body)
		}
		c.place.Release(size)
	}
	return answer
}

// choosePlace takes the failure domain of the request from the description, if
// that names the service, and returns why there is none.
func (c *call) choosePlace(ctx context.Context) (reason string) {
	start := c.instance.opt.Now()
	if domain, due := c.instance.balancer.ProbeDue(c.service, c.route.Idempotent); due {
		if c.place = c.instance.policy.PlaceIn(ctx, c.placeRequest(start), domain); c.place != nil {
			return ""
		}
	}
	place, err := c.instance.policy.Place(ctx, c.placeRequest(start))
	c.waited += c.instance.opt.Now().Sub(start)
	if err != nil {
		return result.Lookup(result.CodeOf(err)).Name
	}
	c.place = place
	return ""
}

// placeRequest leaves half of the time that the request may wait for the
// choice of the upstream.
func (c *call) placeRequest(now time.Time) policy.Request {
	return policy.Request{Service: c.service, Bytes: len(c.request.Head) + len(c.request.Body), Allowed: c.route.AllowsRegion, Hold: c.hold(now) / 2}
}

// hold returns how long the request may still wait before it is refused.
func (c *call) hold(now time.Time) time.Duration {
	return min(time.Duration(holdPart*float64(c.target()))-now.Sub(c.request.Arrived), c.end.Sub(now))
}

// movePlace takes another failure domain if no upstream of the present one can
// take the request, and tells whether there is one.
func (c *call) movePlace(ctx context.Context) bool {
	if c.place == nil || !c.place.Probe && c.instance.balancer.Explain(c.ask).Full > 0 {
		return false
	}
	place, err := c.instance.policy.Move(ctx, c.place, c.placeRequest(c.instance.opt.Now()))
	c.place = place
	if err != nil {
		c.failures = append(c.failures, []any{"request", c.request.ID, "reason", "no_other_domain", "error", err.Error()})
	}
	return err == nil
}

// deadline returns the time at which the request is given up.
func (c *call) deadline() time.Time {
	wait := defaultWait
	if c.request.Timeout > 0 {
		wait = max(c.request.Timeout-answerMargin, c.request.Timeout/2)
	}
	if c.route.Timeout > 0 {
		wait = min(wait, c.route.Timeout)
	}
	if longest := c.instance.policy.Description().Services[c.service].MaxRequest(); longest > 0 {
		wait = min(wait, longest)
	}
	return c.request.Arrived.Add(wait)
}

// mayStart tells whether a request can end before a leaving instance stops.
func (i *Instance) mayStart(c *call) bool {
	leave := i.leave.Load()
	if leave == nil {
		return true
	}
	return i.opt.Now().Sub(leave.at) < latestStart || c.end.Before(leave.end)
}

// run tries upstreams until the request has its answer.
func (c *call) run(ctx context.Context) *ingress.Response {
	i := c.instance
	for tries := 0; ; tries++ {
		if !c.timeToSend() {
			return c.giveUp(tooLate)
		}
		lease := c.acquire(ctx, tries > 0)
		if ctx.Err() != nil && lease == nil {
			return c.abandoned()
		}
		if lease == nil && c.movePlace(ctx) {
			continue
		}
		if lease == nil {
			return c.giveUp(noUpstream)
		}
		r := c.attempt(ctx, lease)
		if ctx.Err() != nil && r.Reason == exchange.Cancelled {
			return c.abandoned()
		}
		c.last = r
		c.unknown = c.unknown || r.Outcome != exchange.NotRun
		if r.Outcome == exchange.Answered && (r.Status < 500 || !c.mayRepeat(r, tries)) {
			return c.answer(r)
		}
		if r.Outcome != exchange.Answered && !c.mayRepeat(r, tries) {
			return c.giveUp(r.Reason.String())
		}
		i.metrics.repeats.Inc(1)
	}
}

// target returns the target latency of the request.
func (c *call) target() time.Duration {
	if c.route.TargetLatency > 0 {
		return c.route.TargetLatency
	}
	return defaultTarget
}

// timeToSend tells whether an upstream could still answer in time.
func (c *call) timeToSend() bool {
	needed := max(minSendTime, time.Duration(minSendPart*float64(c.target())))
	return c.end.Sub(c.instance.opt.Now()) >= needed
}

// acquire asks for an upstream; a request that was sent before does not wait.
func (c *call) acquire(ctx context.Context, again bool) *balance.Lease {
	start := c.instance.opt.Now()
	c.ask = balance.Ask{Service: c.service, Route: c.route, Key: c.request.AffinityKey, Exclude: c.tried, Again: again}
	if c.place != nil {
		c.ask.Domain = c.place.Domain
	}
	l := c.instance.balancer.Acquire(ctx, c.ask, c.hold(start))
	c.waited += c.instance.opt.Now().Sub(start)
	return l
}

// mayRepeat tells whether the request is sent to another upstream after r, and
// takes the repeat from the budget.
func (c *call) mayRepeat(r *exchange.Result, tries int) bool {
	switch {
	case !c.timeToSend():
		return false
	case r.Reason == exchange.ConnectFailed:
		// Nothing reached the upstream.
		return tries < maxConnectTries
	case r.Outcome != exchange.NotRun && !c.route.Idempotent:
		return false
	}
	return c.attempts < c.route.MaxAttempts && c.instance.balancer.AllowRepeat(c.service)
}

// attempt sends the request to an upstream and gives the lease back.
func (c *call) attempt(ctx context.Context, l *balance.Lease) *exchange.Result {
	c.tried = append(c.tried, l.Target.ID)
	c.lease = l
	r := c.instance.client.Do(ctx, l.Target, &c.request.Request, c.end)
	l.Done(r)
	if r.Reason != exchange.ConnectFailed {
		c.attempts++
	}
	c.instance.metrics.observe("upstream_time_us", r.Elapsed, "service", c.service)
	if r.Reason != exchange.Complete && r.Reason != exchange.Cancelled {
		args := []any{"request", c.request.ID, "upstream", l.Target.ID, "reason", r.Reason.String(), "status", r.Status,
			"took_ms", r.Elapsed.Milliseconds(), "new_connection", r.NewConnection, "load", l.Load, "slots", l.Slots, "error", errorText(r.Err)}
		event.Log(c.instance.logger, event.AttemptFailed, args...)
		c.failures = append(c.failures, args)
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
func (c *call) answer(r *exchange.Result) *ingress.Response {
	c.log(event.RequestAnswered, r.Status, "answered")
	return &ingress.Response{Status: r.Status, Header: r.Header, Body: r.Body}
}

// giveUp answers a request for which no upstream gave an answer.
func (c *call) giveUp(reason string) *ingress.Response {
	if !c.unknown {
		return c.refuse(reason)
	}
	if c.last.Outcome == exchange.Answered {
		return c.answer(c.last)
	}
	status := http.StatusBadGateway
	if c.last.Reason == exchange.TimedOut {
		status = http.StatusGatewayTimeout
	}
	c.log(event.RequestFailed, status, reason)
	return &ingress.Response{Status: status}
}

// refuse answers a request that has not run.
func (c *call) refuse(reason string) *ingress.Response {
	left := c.request.Arrived.Add(c.request.Timeout).Sub(c.instance.opt.Now())
	after := comeBack + time.Duration(c.instance.opt.Random()*float64(comeBackSpread))
	after = max(time.Millisecond, min(after, time.Duration(waitPart*float64(left))))
	c.log(event.RequestRefused, http.StatusServiceUnavailable, reason)
	return &ingress.Response{Status: http.StatusServiceUnavailable, RetryAfter: after}
}

func (c *call) abandoned() *ingress.Response {
	c.log(event.RequestCancelled, 0, "caller_left")
	return nil
}

// log writes the line that ends the work on a request.
func (c *call) log(id event.ID, status int, reason string) {
	now := c.instance.opt.Now()
	took := now.Sub(c.request.Arrived)
	c.instance.metrics.ended(c, id, status, reason, took)
	args := []any{"request", c.request.ID, "route", c.route.Name, "service", c.service, "version", c.version, "status", status, "reason", reason,
		"took_ms", took.Milliseconds(), "waited_ms", c.waited.Milliseconds(), "attempts", c.attempts, "left_ms", c.end.Sub(now).Milliseconds()}
	if l := c.lease; l != nil {
		args = append(args, "upstream", l.Target.ID, "domain", l.Domain, "load", l.Load, "slots", l.Slots, "slowness_percent", int(100*l.Slowness),
			"expected_ms", l.Expected.Milliseconds(), "warm", l.Warm, "cold", l.Cold)
	}
	if reason == noUpstream {
		args = append(args, "refusal", c.instance.balancer.Explain(c.ask))
	}
	if id != event.RequestAnswered {
		directives, upstreams := c.instance.catalog.Ages()
		args = append(args, "directives_age_ms", directives.Milliseconds(), "upstreams_age_ms", upstreams.Milliseconds())
	}
	event.Log(c.instance.logger, id, args...)
	if id != event.RequestAnswered || took > c.target() || status >= http.StatusInternalServerError {
		c.instance.recent.add(&endedRequest{request: c.request.ID, ended: now, outcome: outcomeNames[id], lines: append(c.failures, args)})
	}
}
