package balance

import (
	"context"
	"slices"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/exchange"
	"github.com/sequoiacove/sequoiacove/pkg/steering"
)

// defaultWorkPart is the part of the target latency that work is expected to
// take before the first answer.
const defaultServiceTimeFraction = 0.6

// queueDepth is the number of requests that may wait at an upstream, by the
// priority of the route. The least urgent ones are refused first.
var queueLimits = [...]int{6, 4, 2}

func queueLimit(priority int) int {
	return queueLimits[min(max(priority, 0), len(queueLimits)-1)]
}

// AcquireRequest describes the request for an upstream.
type AcquireRequest struct {
	Service string
	Route   *steering.Route
	// Key names the object of the request, or is empty.
	Key string
	// Domain is the only failure domain for the request, or is empty.
	Domain string
	// Exclude holds the ids of upstreams that had the request before.
	Exclude []string
	// Retry tells that the request was sent before; it follows no shares.
	Retry bool
	// FreeSlotOnly asks for an upstream with a free slot.
	FreeSlotOnly bool
}

// waiter is a request that waits for an upstream.
type waiter struct {
	req    AcquireRequest
	region string
	ready  chan *Lease
}

// Acquire returns an upstream for the request. It waits up to hold for one that
// admits the request, and returns nil if none does.
func (b *Balancer) Acquire(ctx context.Context, req AcquireRequest, maxWait time.Duration) *Lease {
	b.mu.Lock()
	now := b.config.Now()
	p := b.pool(req.Service)
	route := b.route(p, req.Route)
	region := ""
	if !req.Retry {
		route.demand.add(now, 1)
		p.retries.advance(now, b.config.Bounds.RetryWindow)
		p.retries.recordRequest()
		p.spills.refill()
		if req.Key != "" {
			p.activeObjects.record(req.Route.Prefix+req.Key, now)
		}
		region = route.shares.next(req.Route, req.Key, b.config.Region, b.usableSlots(p, now))
	}
	if req.Domain != "" {
		// The operators' shares chose the place.
		region = b.config.Regions[req.Domain]
	}
	l := b.pick(p, route, req, region, now)
	if l != nil || maxWait <= 0 {
		b.mu.Unlock()
		return l
	}
	w := &waiter{req: req, region: region, ready: make(chan *Lease, 1)}
	p.enqueue(w)
	b.mu.Unlock()
	t := time.NewTimer(maxWait)
	defer t.Stop()
	select {
	case l := <-w.ready:
		return l
	case <-t.C:
	case <-ctx.Done():
	}
	return b.withdraw(p, w, ctx.Err() != nil)
}

// withdraw ends a wait. A lease that came at the same moment is returned,
// unless the caller has left.
func (b *Balancer) withdraw(p *pool, w *waiter, callerLeft bool) *Lease {
	b.mu.Lock()
	if i := slices.Index(p.waiters, w); i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
	}
	b.mu.Unlock()
	select {
	case l := <-w.ready:
		if callerLeft {
			l.Done(&exchange.Result{Outcome: exchange.NotRun, Reason: exchange.Cancelled})
			return nil
		}
		return l
	default:
		return nil
	}
}

// enqueue inserts a waiter behind those of the same or a higher priority.
func (p *pool) enqueue(w *waiter) {
	i := len(p.waiters)
	for i > 0 && p.waiters[i-1].req.Route.Priority > w.req.Route.Priority {
		i--
	}
	p.waiters = slices.Insert(p.waiters, i, w)
}

// dispatch gives upstreams to the requests that wait, the most urgent first.
func (b *Balancer) dispatch(p *pool, now time.Time) {
	kept := p.waiters[:0]
	for _, w := range p.waiters {
		l := b.pick(p, b.route(p, w.req.Route), w.req, w.region, now)
		if l == nil {
			kept = append(kept, w)
			continue
		}
		w.ready <- l
	}
	clear(p.waiters[len(kept):])
	p.waiters = kept
}

func (b *Balancer) dispatchAll() {
	now := b.config.Now()
	for _, p := range b.pools {
		if len(p.waiters) > 0 {
			b.dispatch(p, now)
		}
	}
}

func (b *Balancer) route(p *pool, r *steering.Route) *routeState {
	s := p.routes[r.Name]
	if s == nil {
		s = &routeState{hash: hash(r.Host, r.Prefix), serviceTime: time.Duration(defaultServiceTimeFraction * float64(r.TargetLatency))}
		p.routes[r.Name] = s
	}
	s.route = r
	return s
}
