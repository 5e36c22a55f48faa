package instance

import (
	"context"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/balance"
	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/exchange"
)

const (
	// maxConnectRetries limits the retries on other upstreams after a failed
	// connection attempt.
	maxConnectRetries = 4
	// minTimeToSend is the time that must remain before the deadline for a request
	// to be sent, because an upstream could not respond in less. For routes with a
	// long target latency it is minTimeToSendFraction of that latency, and for those
	// with a long service time minServiceTimeFraction of the mean service time.
	minTimeToSend          = 30 * time.Millisecond
	minTimeToSendFraction  = 0.1
	minServiceTimeFraction = 0.5
)

// acquire requests a lease on an upstream from the balancer and waits for it at
// most for the rest of the queue wait. isRetry is true from the second lease
// request on, even if the request has not been sent to an upstream yet.
func (c *dispatch) acquire(ctx context.Context, isRetry bool) *balance.Lease {
	start := c.instance.opt.Now()
	c.acquireRequest = balance.AcquireRequest{Service: c.service, Route: c.route, Key: c.request.AffinityKey, ExcludedUpstreams: c.triedUpstreams, Retry: isRetry}
	if c.assignment != nil {
		c.acquireRequest.Domain = c.assignment.Domain
	}
	l := c.instance.balancer.Acquire(ctx, c.acquireRequest, c.maxQueueWait(start))
	c.queueTime += c.instance.opt.Now().Sub(start)
	return l
}

// hasTimeToSend reports whether an upstream could still respond in time.
func (c *dispatch) hasTimeToSend() bool {
	needed := max(minTimeToSend, time.Duration(minTimeToSendFraction*float64(c.targetLatency())),
		time.Duration(minServiceTimeFraction*float64(c.instance.balancer.ServiceTime(c.service, c.route))))
	return c.deadline.Sub(c.instance.opt.Now()) >= needed
}

// allowRetry reports whether the request may be retried on another upstream
// after r, and if so takes one retry from the budget. Retries after a failed
// connection attempt do not count against the budget. leaseRequests is the
// number of leases requested before the current one.
func (c *dispatch) allowRetry(r *exchange.Result, leaseRequests int) bool {
	switch {
	case !c.hasTimeToSend():
		return false
	case r.Reason == exchange.ConnectFailed, r.Reason == exchange.Expired:
		// The upstream received nothing.
		return leaseRequests < maxConnectRetries
	case r.Outcome != exchange.NotRun && !c.route.Idempotent:
		return false
	}
	return c.attempts < c.route.MaxAttempts && c.instance.balancer.AllowRetry(c.service)
}

// attempt sends the request to the leased upstream and releases the lease.
func (c *dispatch) attempt(ctx context.Context, l *balance.Lease) *exchange.Result {
	c.triedUpstreams = append(c.triedUpstreams, l.Target.ID)
	c.lease = l
	r := c.instance.client.Do(ctx, l.Target, &c.request.Request, c.deadline)
	l.Done(r)
	switch {
	case r.Reason == exchange.ConnectFailed, r.Reason == exchange.OutOfTime, r.Reason == exchange.Cancelled && r.Outcome == exchange.NotRun:
		// Nothing was sent.
	case r.Reason == exchange.Expired:
		c.triedUpstreams = c.triedUpstreams[:len(c.triedUpstreams)-1]
	default:
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
