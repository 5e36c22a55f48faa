package balance

import (
	"math"
	"slices"
	"time"
)

const (
	// domainLatency and regionLatency are round trips to another domain of the
	// region and to another region, until connections have shown better.
	domainLatency = 3 * time.Millisecond
	regionLatency = 110 * time.Millisecond
	// jitter spreads the choices of instances that know the same.
	jitter = 0.04
)

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
func (b *Balancer) pick(p *pool, route *routeState, ask AcquireRequest, region string, now time.Time) *Lease {
	best, reachable := b.best(p, route, ask, region, now)
	if best.upstream == nil && region != "" && ask.Domain == "" {
		switch {
		case !reachable:
			best, _ = b.best(p, route, ask, "", now)
		case p.spills.allow():
			ask.FreeSlotOnly = true
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
func (b *Balancer) best(p *pool, route *routeState, ask AcquireRequest, region string, now time.Time) (best candidate, reachable bool) {
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
func (b *Balancer) homesOf(p *pool, route *routeState, ask AcquireRequest, region string, now time.Time) []*upstream {
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

func (b *Balancer) regionHomes(p *pool, route *routeState, ask AcquireRequest, region string, now time.Time) []*upstream {
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
func (b *Balancer) eligible(u *upstream, ask AcquireRequest, region string, now time.Time) bool {
	return (region == "" || u.region == region) && (ask.Domain == "" || u.Domain == ask.Domain) && !b.evacuated[u.Domain] && ask.Route.AllowsRegion(u.region) &&
		!slices.Contains(ask.Exclude, u.ID) && u.usable(now)
}

// admits tells whether the upstream takes a request of the route.
func (b *Balancer) admits(u *upstream, ask AcquireRequest, load int, now time.Time) bool {
	allowed := u.Slots + depth(ask.Route.Priority)
	if limit := b.maxConnections(u); limit > 0 && u.inFlight >= limit {
		return false
	}
	switch {
	case ask.FreeSlotOnly:
		allowed = u.Slots
	case now.Before(u.shedUntil):
		return false
	}
	if u.ejections > 0 {
		return u.inFlight == 0 && u.probeBy(ask.Route.Idempotent, now)
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
