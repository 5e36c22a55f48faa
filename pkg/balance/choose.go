package balance

import (
	"maps"
	"math"
	"slices"
	"time"
)

// scoreJitter is the relative random variation of scores. It keeps instances with the
// same information from all choosing the same upstream.
const scoreJitter = 0.04

// usableSlots returns the number of slots of usable upstreams per region.
func (b *Balancer) usableSlots(p *pool, now time.Time) map[string]float64 {
	slots := make(map[string]float64)
	for _, u := range p.upstreams {
		if u.usable(now) && !b.evacuatedDomains[u.Domain] {
			slots[u.region] += p.effectiveSlots(u, now)
		}
	}
	return slots
}

// effectiveSlots returns the number of slots of an upstream that requests can use, which is
// smaller than its slots if it states a low request rate.
func (p *pool) effectiveSlots(u *upstream, now time.Time) float64 {
	slots := float64(u.Slots)
	if u.stated.inForce(now) && p.serviceTime > 0 {
		slots = min(slots, u.stated.limit*p.serviceTime.Seconds())
	}
	return slots
}

// pick grants a lease on an upstream in region, or in any region if region is empty. If
// the region has no eligible upstream, any region may serve the request. pick returns nil
// if no upstream is found.
func (b *Balancer) pick(p *pool, route *routeState, req AcquireRequest, region string, now time.Time) *Lease {
	best, hasEligible := b.best(p, route, req, region, now)
	if !hasEligible && region != "" && req.Domain == "" {
		best, _ = b.best(p, route, req, "", now)
	}
	if best.upstream == nil {
		return nil
	}
	return b.lease(p, route, best, objectHash(req), now)
}

// candidate is an upstream with its estimates and score; the lowest score wins.
type candidate struct {
	upstream        *upstream
	expectedLatency time.Duration
	score           float64
	load            int
	slowness        float64
	// holdsObject is set if the upstream is assumed to hold the requested object in its
	// cache, or if the request names none.
	holdsObject bool
}

// best returns the upstream with the lowest score among those that admit the request. A
// request that names an object goes to an owner of it instead, if there is one.
// hasEligible reports whether the region has an eligible upstream.
func (b *Balancer) best(p *pool, route *routeState, req AcquireRequest, region string, now time.Time) (best candidate, hasEligible bool) {
	object := objectHash(req)
	if object != 0 {
		if best, hasEligible = b.bestOwner(p, route, req, region, now); hasEligible {
			return best, true
		}
	}
	for _, u := range p.upstreams {
		if !b.eligible(u, req, region, now) {
			continue
		}
		hasEligible = true
		c := candidate{upstream: u, load: u.load(now), holdsObject: object == 0 || u.held.has(object, now)}
		if b.admits(u, req, c.load, now) {
			b.estimate(&c, p, route, now)
			best.keepBetter(c)
		}
	}
	return best, hasEligible
}

// bestOwner returns the best of the owners that the requested object has in each region
// (one region, or all if region is empty). One owner per region is enough: a second one
// would have to cache the object too, which takes longer than most queues. If no owner
// admits the request, the next upstream in the object's ranking takes it that has slots to
// spare. All instances choose the same one, so that the object is cached there once,
// and the upstream that was the owner before another one joined still holds it.
func (b *Balancer) bestOwner(p *pool, route *routeState, req AcquireRequest, region string, now time.Time) (best candidate, hasEligible bool) {
	regions := []string{region}
	if region == "" {
		regions = slices.Collect(maps.Keys(b.usableSlots(p, now)))
	}
	object := objectHash(req)
	var owner, next candidate
	for _, name := range regions {
		isOwner := true
		for _, u := range p.rankedOwners(req.Key, name) {
			if !b.eligible(u, req, name, now) {
				continue
			}
			hasEligible = true
			if u.stated.inForce(now) && !b.rateAllows(u, now) {
				// What an owner does not take because of its stated rate goes to the next
				// upstream as to an owner, with all of its slots and its queue.
				continue
			}
			// All instances of a region send the object's requests to its owner there, so
			// it is assumed to hold the object even if this instance has not sent it there.
			c := candidate{upstream: u, load: u.load(now), holdsObject: isOwner && name == b.config.Region || u.held.has(object, now)}
			if b.admits(u, req, c.load, now) && (isOwner || float64(c.load) < maxNonOwnerUtilization*float64(u.Slots)) {
				b.estimate(&c, p, route, now)
				if isOwner {
					owner.keepBetter(c)
				} else {
					next.keepBetter(c)
				}
				break
			}
			isOwner = false
		}
	}
	if owner.upstream != nil {
		return owner, hasEligible
	}
	return next, hasEligible
}

// keepBetter replaces c by other if other has a lower score.
func (c *candidate) keepBetter(other candidate) {
	if c.upstream == nil || other.score < c.score {
		*c = other
	}
}

// eligible reports whether the upstream is usable and may serve the request,
// regardless of its load.
func (b *Balancer) eligible(u *upstream, req AcquireRequest, region string, now time.Time) bool {
	return (region == "" || u.region == region) && (req.Domain == "" || u.Domain == req.Domain) && !b.evacuatedDomains[u.Domain] && req.Route.AllowsRegion(u.region) &&
		!slices.Contains(req.ExcludedUpstreams, u.ID) && u.usable(now)
}

// admits reports whether the upstream can take the request now: it checks the
// connection limit, the queue limit, load shedding, ejection and the limited rates.
func (b *Balancer) admits(u *upstream, req AcquireRequest, load int, now time.Time) bool {
	if limit := b.maxConnections(u); limit > 0 && u.inFlight >= limit {
		return false
	}
	if now.Before(u.shedUntil) || u.notice.reopening && u.reopenProbing {
		return false
	}
	if u.consecutiveEjections > 0 {
		return u.inFlight == 0 && u.allowsProbe(req.Route.Idempotent, now) && b.rateAllows(u, now)
	}
	maxLoad := u.Slots + queueLimit(req.Route.Priority)
	if now.Before(u.coldUntil) {
		maxLoad = u.Slots
	}
	return load < maxLoad && b.rateAllows(u, now)
}

// estimate fills in the expected latency and the score of a candidate.
func (b *Balancer) estimate(c *candidate, p *pool, route *routeState, now time.Time) {
	u := c.upstream
	c.slowness = u.slowness(now)
	serviceTime := float64(route.serviceTime) * c.slowness
	if !c.holdsObject {
		serviceTime *= cacheMissFactor
	}
	wait := 0.0
	if queued := c.load + 1 - u.Slots; queued > 0 {
		mean := p.serviceTime
		if mean == 0 {
			mean = route.serviceTime
		}
		wait = float64(queued) / float64(u.Slots) * float64(mean) * c.slowness
	}
	expected := serviceTime + wait + float64(b.roundTrip(u))
	c.expectedLatency = time.Duration(expected)
	failurePenalty := u.currentFailureRate(now) * float64(max(route.config.TargetLatency, route.serviceTime))
	loadPenalty := 0.05 * serviceTime * float64(c.load) / float64(u.Slots)
	c.score = (expected+failurePenalty+loadPenalty)*(1+scoreJitter*b.config.Random()) + float64(time.Microsecond)
	if math.IsNaN(c.score) {
		c.score = math.MaxFloat64
	}
}
