package balance

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/exchange"
	"github.com/sequoiacove/sequoiacove/pkg/steering"
)

const (
	// domainLatency and regionLatency are round trips to another domain of the
	// region and to another region, until connections have shown better.
	domainLatency = 3 * time.Millisecond
	regionLatency = 110 * time.Millisecond
	// jitter spreads the choices of instances that know the same.
	jitter = 0.04
	// defaultWorkPart is the part of the target latency that work is expected
	// to take before the first answer.
	defaultWorkPart = 0.6
)

// queueDepth is the number of requests that may wait at an upstream, by the
// priority of the route. The least urgent ones are refused first.
var queueDepth = [...]int{6, 4, 2}

func depth(priority int) int {
	return queueDepth[min(max(priority, 0), len(queueDepth)-1)]
}

// Ask describes the request for an upstream.
type Ask struct {
	Service string
	Route   *steering.Route
	// Key names the object of the request, or is empty.
	Key string
	// Domain is the only failure domain for the request, or is empty.
	Domain string
	// Exclude holds the ids of upstreams that had the request before.
	Exclude []string
	// Again tells that the request was sent before; it follows no shares.
	Again bool
	// Idle asks for an upstream with a free slot.
	Idle bool
}

// Lease is the right to send one request to an upstream.
type Lease struct {
	Target exchange.Target
	Domain string
	// Expected is the expected time of the attempt.
	Expected time.Duration
	// Load and Slots are the requests found at the upstream and its slots.
	Load  int
	Slots int
	// Slowness is the estimate that the choice used.
	Slowness float64
	Cold     bool
	Warm     bool

	balancer *Balancer
	upstream *upstream
	pool     *pool
	route    *routeState
	start    time.Time
	usual    time.Duration
	probe    bool
}

// waiter is a request that waits for an upstream.
type waiter struct {
	ask    Ask
	region string
	ready  chan *Lease
}

// Acquire returns an upstream for the request. It waits up to hold for one that
// admits the request, and returns nil if none does.
func (b *Balancer) Acquire(ctx context.Context, ask Ask, hold time.Duration) *Lease {
	b.mu.Lock()
	now := b.config.Now()
	p := b.pool(ask.Service)
	route := b.route(p, ask.Route)
	region := ""
	if !ask.Again {
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

// open returns the slots of the usable upstreams of each region.
func (b *Balancer) open(p *pool, now time.Time) map[string]float64 {
	slots := make(map[string]float64)
	for _, u := range p.upstreams {
		if u.usable(now) && !b.evacuated[u.Domain] {
			slots[u.region] += float64(u.Slots)
		}
	}
	return slots
}

// pick chooses an upstream in region, or in any region if it is empty. With no
// admitting upstream in the region, a few requests go to free slots elsewhere.
func (b *Balancer) pick(p *pool, route *routeState, ask Ask, region string, now time.Time) *Lease {
	best, reachable := b.best(p, route, ask, region, now)
	if best.upstream == nil && region != "" && ask.Domain == "" {
		switch {
		case !reachable:
			best, _ = b.best(p, route, ask, "", now)
		case p.spills.allow():
			ask.Idle = true
			best, _ = b.best(p, route, ask, "", now)
			if best.upstream != nil {
				p.spills.spend()
			}
		}
	}
	if best.upstream == nil {
		return nil
	}
	return b.lease(p, route, best, now)
}

// candidate is an upstream with the estimates that rank it.
type candidate struct {
	upstream *upstream
	expected time.Duration
	score    float64
	load     int
	slow     float64
	warm     bool
	// place is the place of the upstream among the homes of the object.
	place int
}

// best returns the admitting upstream with the lowest expected latency. The
// second value tells whether the region has any upstream for the route.
func (b *Balancer) best(p *pool, route *routeState, ask Ask, region string, now time.Time) (best candidate, reachable bool) {
	homes := b.homesOf(p, route, ask, region, now)
	for i, u := range homes {
		c := candidate{upstream: u, place: i, load: u.load(now), warm: true}
		if b.admits(u, ask, c.load, now) {
			b.estimate(&c, p, route, now)
			best.keep(c)
		}
	}
	if best.upstream != nil {
		return best, true
	}
	keyed := len(homes) > 0
	for _, u := range p.upstreams {
		if !b.eligible(u, ask, region, now) || slices.Contains(homes, u) {
			continue
		}
		reachable = true
		c := candidate{upstream: u, load: u.load(now)}
		if !b.admits(u, ask, c.load, now) || keyed && float64(c.load) >= strayPart*float64(u.Slots) {
			continue
		}
		b.estimate(&c, p, route, now)
		best.keep(c)
	}
	return best, reachable || keyed
}

func (c *candidate) keep(other candidate) {
	if c.upstream == nil || other.score < c.score {
		*c = other
	}
}

// homesOf returns the usable upstreams that should hold the object of the
// request in a region, or in every region if it is empty.
func (b *Balancer) homesOf(p *pool, route *routeState, ask Ask, region string, now time.Time) []*upstream {
	if ask.Key == "" || !ask.Route.Affinity {
		return nil
	}
	if region != "" {
		return b.regionHomes(p, route, ask, region, now)
	}
	var all []*upstream
	for name := range b.open(p, now) {
		all = append(all, b.regionHomes(p, route, ask, name, now)...)
	}
	return all
}

func (b *Balancer) regionHomes(p *pool, route *routeState, ask Ask, region string, now time.Time) []*upstream {
	n := 0
	for _, u := range p.upstreams {
		if u.region == region {
			n++
		}
	}
	part := 1.0
	if region == b.config.Region {
		part = route.shares.weights[region]
	}
	want := p.homeCount(n, part)
	homes := make([]*upstream, 0, maxHomes)
	for _, u := range p.homes(ask.Key, region) {
		if len(homes) < want && b.eligible(u, ask, region, now) {
			homes = append(homes, u)
		}
	}
	return homes
}

// eligible tells whether the upstream may get the request at all.
func (b *Balancer) eligible(u *upstream, ask Ask, region string, now time.Time) bool {
	return (region == "" || u.region == region) && (ask.Domain == "" || u.Domain == ask.Domain) && !b.evacuated[u.Domain] && ask.Route.AllowsRegion(u.region) &&
		!slices.Contains(ask.Exclude, u.ID) && u.usable(now)
}

// admits tells whether the upstream takes a request of the route.
func (b *Balancer) admits(u *upstream, ask Ask, load int, now time.Time) bool {
	allowed := u.Slots + depth(ask.Route.Priority)
	if limit := b.maxConnections(u); limit > 0 && u.inFlight >= limit {
		return false
	}
	switch {
	case ask.Idle:
		allowed = u.Slots
	case now.Before(u.shedUntil):
		return false
	}
	if u.ejections > 0 {
		// One probe; a request that must not be repeated is none.
		return ask.Route.Idempotent && u.inFlight == 0
	}
	if now.Before(u.coldUntil) {
		return load < u.Slots && b.coldAllowed(u, now)
	}
	return load < allowed
}

// estimate fills in the expected latency and the score of a candidate.
func (b *Balancer) estimate(c *candidate, p *pool, route *routeState, now time.Time) {
	u := c.upstream
	c.slow = u.slow(now)
	work := float64(route.work) * c.slow
	if !c.warm && route.route.Affinity {
		work *= coldObject
	}
	wait := 0.0
	if ahead := c.load + 1 - u.Slots; ahead > 0 {
		mean := p.work
		if mean == 0 {
			mean = route.work
		}
		wait = float64(ahead) / float64(u.Slots) * float64(mean) * c.slow
	}
	expected := work + wait + float64(b.roundTrip(u))
	c.expected = time.Duration(expected)
	penalty := u.failing(now) * float64(max(route.route.TargetLatency, route.work))
	crowd := 0.05 * work * float64(c.load) / float64(u.Slots)
	crowd += placePenalty * work * float64(c.place)
	c.score = (expected+penalty+crowd)*(1+jitter*b.config.Random()) + float64(time.Microsecond)
	if math.IsNaN(c.score) {
		c.score = math.MaxFloat64
	}
}

func (b *Balancer) roundTrip(u *upstream) time.Duration {
	switch {
	case u.Domain == b.config.Domain:
		return 0
	case u.region == b.config.Region:
		return domainLatency
	}
	return regionLatency
}

func (b *Balancer) lease(p *pool, route *routeState, c candidate, now time.Time) *Lease {
	u := c.upstream
	l := &Lease{Target: b.target(u), Domain: u.Domain, Expected: c.expected, Load: c.load, Slots: u.Slots, Slowness: c.slow, Warm: c.warm,
		balancer: b, upstream: u, pool: p, route: route, start: now, usual: route.work + b.roundTrip(u)}
	if !c.warm && route.route.Affinity {
		l.usual = time.Duration(coldObject*float64(route.work)) + b.roundTrip(u)
	}
	if u.ejections > 0 {
		l.probe, u.probing = true, true
	}
	if now.Before(u.coldUntil) {
		l.Cold = true
		b.spendCold(u, now)
	}
	u.inFlight++
	u.flights = append(u.flights, l)
	return l
}

// Done gives the lease back with the end of the attempt.
func (l *Lease) Done(r *exchange.Result) {
	b := l.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.config.Now()
	u := l.upstream
	u.inFlight--
	if i := slices.Index(u.flights, l); i >= 0 {
		u.flights = slices.Delete(u.flights, i, i+1)
	}
	before := u.ejections
	u.learn(l, r, now, l.pool.config.ColdStart)
	b.logEjection(u, before, r)
	if r.Outcome == exchange.Answered && r.Status < 300 {
		l.learnWork(r)
	}
	b.dispatch(l.pool, now)
}

// learnWork updates the usual work of the route and the service from an
// attempt that had to wait for nothing but its own work.
func (l *Lease) learnWork(r *exchange.Result) {
	const gain, poolGain = 0.05, 0.02
	took := r.Elapsed - l.balancer.roundTrip(l.upstream)
	if took <= 0 || l.Load >= l.Slots || l.Cold || l.route.route.Affinity && !l.Warm {
		return
	}
	work := float64(took) / l.Slowness
	s := l.route
	s.answers++
	g := math.Max(gain, 1/float64(s.answers))
	// A few requests run many times longer; they say little of the others.
	work = math.Min(work, 3*float64(s.work))
	s.work += time.Duration(g * (work - float64(s.work)))
	if l.pool.work == 0 {
		l.pool.work = s.work
	}
	l.pool.work += time.Duration(poolGain * (work - float64(l.pool.work)))
}
