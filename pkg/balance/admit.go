package balance

import (
	"context"
	"slices"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/exchange"
	"github.com/sequoiacove/sequoiacove/pkg/steering"
)

// defaultServiceTimeFraction is the initial service time of a route as a fraction
// of its target latency. It applies until the first response has been measured.
const defaultServiceTimeFraction = 0.6

// queueLimits holds the maximum number of requests queued at an upstream, indexed by
// route priority. Lower priorities get shorter queues, so that they are refused first
// under overload.
var queueLimits = [...]int{6, 4, 2}

// queueLimit returns the queue limit of a priority; out-of-range priorities are
// clamped.
func queueLimit(priority int) int {
	return queueLimits[min(max(priority, 0), len(queueLimits)-1)]
}

// AcquireRequest describes the request for which an upstream is acquired.
type AcquireRequest struct {
	Service string
	Route   *steering.Route
	// Key is the affinity key of the object that is requested, if any.
	Key string
	// Domain, if set, is the only failure domain that may serve the request.
	Domain string
	// ExcludedUpstreams holds the ids of upstreams that the request was already sent to.
	ExcludedUpstreams []string
	// Retry is set if the request was sent before. Retries ignore the region
	// shares and do not count as demand.
	Retry bool
}

// waiter is a request that is queued in this instance until an upstream admits
// it.
type waiter struct {
	req     AcquireRequest
	region  string
	granted chan *Lease
}

// Acquire returns a lease on an upstream for the request. If no upstream admits the
// request, Acquire waits for up to maxWait. It returns nil if none has admitted the
// request by then, or at once if all want no requests for longer.
func (b *Balancer) Acquire(ctx context.Context, req AcquireRequest, maxWait time.Duration) *Lease {
	b.mu.Lock()
	now := b.config.Now()
	p := b.pool(req.Service)
	route := b.route(p, req.Route)
	region := ""
	if !req.Retry {
		route.requestRate.add(now, 1)
		p.retryBudget.advance(now, b.config.GlobalLimits.RetryWindow)
		p.retryBudget.recordRequest()
		if route.shares.weights == nil {
			// Without shares, the first requests of the route would be spread over all
			// regions.
			regions := b.regionLoads(p, now)
			route.shares.weights = b.targetShares(p, regions, b.targetSlots(p, regions))[req.Route.Name]
		}
		region = route.shares.nextRegion(req.Route, req.Key, b.config.Region, b.usableSlots(p, now))
	}
	if req.Domain != "" {
		// The failure domain was chosen by the shares in the operators' description. The
		// request has to be served in the region of that domain.
		region = b.config.RegionByDomain[req.Domain]
	}
	l := b.pick(p, route, req, region, now)
	if l != nil || maxWait <= 0 || b.closedFor(p, req, now) > maxWait {
		b.mu.Unlock()
		return l
	}
	w := &waiter{req: req, region: region, granted: make(chan *Lease, 1)}
	p.enqueue(w)
	b.mu.Unlock()
	t := time.NewTimer(maxWait)
	defer t.Stop()
	select {
	case l := <-w.granted:
		return l
	case <-t.C:
	case <-ctx.Done():
	}
	return b.withdraw(p, w, ctx.Err() != nil)
}

// withdraw removes a waiter from the queue. If a lease was granted concurrently,
// withdraw returns it, or releases it if the caller has left.
func (b *Balancer) withdraw(p *pool, w *waiter, callerLeft bool) *Lease {
	b.mu.Lock()
	if i := slices.Index(p.waiters, w); i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
	}
	b.mu.Unlock()
	select {
	case l := <-w.granted:
		if callerLeft {
			l.Done(&exchange.Result{Outcome: exchange.NotRun, Reason: exchange.Cancelled})
			return nil
		}
		return l
	default:
		return nil
	}
}

// enqueue inserts a waiter behind those of the same or higher priority.
func (p *pool) enqueue(w *waiter) {
	i := len(p.waiters)
	for i > 0 && p.waiters[i-1].req.Route.Priority > w.req.Route.Priority {
		i--
	}
	p.waiters = slices.Insert(p.waiters, i, w)
}

// dispatch grants leases to waiting requests, highest priority first.
func (b *Balancer) dispatch(p *pool, now time.Time) {
	kept := p.waiters[:0]
	for _, w := range p.waiters {
		l := b.pick(p, b.route(p, w.req.Route), w.req, w.region, now)
		if l == nil {
			kept = append(kept, w)
			continue
		}
		w.granted <- l
	}
	clear(p.waiters[len(kept):])
	p.waiters = kept
}

// dispatchAll grants leases to the waiting requests of all services; b.mu must be
// held.
func (b *Balancer) dispatchAll() {
	now := b.config.Now()
	for _, p := range b.pools {
		if len(p.waiters) > 0 {
			b.dispatch(p, now)
		}
	}
}

// route returns the state of a route at a service, creating it if needed.
func (b *Balancer) route(p *pool, r *steering.Route) *routeState {
	s := p.routes[r.Name]
	if s == nil {
		s = &routeState{serviceTime: time.Duration(defaultServiceTimeFraction * float64(r.TargetLatency))}
		p.routes[r.Name] = s
	}
	s.config = r
	return s
}

// ServiceTime returns the mean service time of a route at a service, without queueing.
func (b *Balancer) ServiceTime(service string, r *steering.Route) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.route(b.pool(service), r).serviceTime
}
