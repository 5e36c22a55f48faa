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
const defaultWorkPart = 0.6

// queueDepth is the number of requests that may wait at an upstream, by the
// priority of the route. The least urgent ones are refused first.
var queueDepth = [...]int{6, 4, 2}

func depth(priority int) int {
	return queueDepth[min(max(priority, 0), len(queueDepth)-1)]
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
	ask    AcquireRequest
	region string
	ready  chan *Lease
}

// Acquire returns an upstream for the request. It waits up to hold for one that
// admits the request, and returns nil if none does.
func (b *Balancer) Acquire(ctx context.Context, ask AcquireRequest, hold time.Duration) *Lease {
	b.mu.Lock()
	now := b.config.Now()
	p := b.pool(ask.Service)
	route := b.route(p, ask.Route)
	region := ""
	if !ask.Retry {
		route.demand.add(now, 1)
		p.retries.advance(now, b.config.Bounds.RetryWindow)
		p.retries.request()
		p.spills.earn()
		if ask.Key != "" {
			p.objects.see(ask.Route.Prefix+ask.Key, now)
		}
		region = route.shares.next(ask.Route, ask.Key, b.config.Region, b.open(p, now))
	}
	if ask.Domain != "" {
		// The operators' shares chose the place.
		region = b.config.Regions[ask.Domain]
	}
	l := b.pick(p, route, ask, region, now)
	if l != nil || hold <= 0 {
		b.mu.Unlock()
		return l
	}
	w := &waiter{ask: ask, region: region, ready: make(chan *Lease, 1)}
	p.enqueue(w)
	b.mu.Unlock()
	t := time.NewTimer(hold)
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
func (b *Balancer) withdraw(p *pool, w *waiter, abandoned bool) *Lease {
	b.mu.Lock()
	if i := slices.Index(p.waiters, w); i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
	}
	b.mu.Unlock()
	select {
	case l := <-w.ready:
		if abandoned {
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
	for i > 0 && p.waiters[i-1].ask.Route.Priority > w.ask.Route.Priority {
		i--
	}
	p.waiters = slices.Insert(p.waiters, i, w)
}

// dispatch gives upstreams to the requests that wait, the most urgent first.
func (b *Balancer) dispatch(p *pool, now time.Time) {
	kept := p.waiters[:0]
	for _, w := range p.waiters {
		l := b.pick(p, b.route(p, w.ask.Route), w.ask, w.region, now)
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
		s = &routeState{hash: hash(r.Host, r.Prefix), work: time.Duration(defaultWorkPart * float64(r.TargetLatency))}
		p.routes[r.Name] = s
	}
	s.route = r
	return s
}
