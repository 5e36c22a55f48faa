package balance

import (
	"math"
	"sort"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/steering"
)

const (
	// shiftFraction is the fraction of MaxRegionShift that the shares may use per
	// window. The rest is a margin: the measured shares also vary because requests
	// arrive in random order and because retries may leave the region.
	shiftFraction = 0.35
	// maxRemoteLoss is the maximum loss of on-time responses in another region at which
	// requests return from it slowly, at returnFraction of the usual speed.
	maxRemoteLoss  = 0.05
	returnFraction = 0.1
	// capacityLossSpeedup is the factor by which shares move faster within
	// capacityLossPeriod after a region that serves them lost capacity.
	capacityLossSpeedup = 4
)

func sum(m map[string]float64) float64 {
	total := 0.0
	for _, v := range m {
		total += v
	}
	return total
}

// Rebalance moves the region shares towards their targets. step is the time since
// the last call, which limits how far they move.
func (b *Balancer) Rebalance(step time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.config.Now()
	limit := b.config.GlobalLimits.MaxRegionShift * shiftFraction * step.Seconds() / steering.ShiftWindow.Seconds()
	for _, p := range b.pools {
		b.rebalance(p, limit, now)
	}
}

func (b *Balancer) rebalance(p *pool, limit float64, now time.Time) {
	for _, r := range p.routes {
		b.updateRegionStats(p, r, now)
	}
	regions := b.regionLoads(p, now)
	if len(regions) == 0 {
		return
	}
	p.recordCapacity(regions, now)
	own := regions[b.config.Region]
	targetSlots := b.targetSlots(p, regions)
	headroom := b.remoteHeadroom(regions, targetSlots)
	targets := b.targetShares(p, regions, targetSlots)
	for name, r := range p.routes {
		target := b.limitToCacheRoom(r, targets[name], headroom)
		routeLimit := limit
		switch {
		case p.lostCapacityRecently(&r.shares, now):
			routeLimit *= capacityLossSpeedup
		case target[b.config.Region] > r.shares.weights[b.config.Region] && b.returnsSlowly(r, own, sum(headroom)):
			routeLimit *= returnFraction
		}
		r.shares.moveTowards(target, routeLimit)
		if r.shares.updateLastLogged() {
			event.Log(b.config.Logger, event.RegionSharesChanged, "service", p.service, "route", name, "shares", r.shares.lastLogged, "demand", own.demand, "capacity", own.capacity,
				"cache_lookups", math.Round(r.regionCacheHits.lookups), "cache_hits", math.Round(r.regionCacheHits.hits))
		}
	}
}

// remoteHeadroom returns the slots of each other region that its own callers leave free.
func (b *Balancer) remoteHeadroom(regions map[string]*regionLoad, targetSlots map[string]float64) map[string]float64 {
	headroom := make(map[string]float64)
	for name, l := range regions {
		if name != b.config.Region {
			headroom[name] = math.Max(0, targetSlots[name]-l.demand)
		}
	}
	return headroom
}

// returnsSlowly reports whether requests of a route that are served in other regions
// return to this one at returnFraction of the usual speed. They do if they name objects,
// are answered in time elsewhere as well, and have room there: each object that returns
// costs a request that misses the cache, and costs it again when the demand rises.
func (b *Balancer) returnsSlowly(r *routeState, own *regionLoad, remoteHeadroom float64) bool {
	servedElsewhere := (1 - r.shares.weights[b.config.Region]) * own.demand
	return r.config.Affinity && r.remoteLoss(b.remoteRoundTrip()) < maxRemoteLoss && servedElsewhere <= remoteHeadroom
}

// targetShares returns the target region shares of each route. The target slots of this
// region go first to the routes with the highest remote cost. Demand that does not fit goes
// to the other regions.
func (b *Balancer) targetShares(p *pool, regions map[string]*regionLoad, targetSlots map[string]float64) map[string]map[string]float64 {
	headroom := b.remoteHeadroom(regions, targetSlots)
	own, ownTargetSlots := regions[b.config.Region], targetSlots[b.config.Region]
	localSlotsLeft := math.Min(own.demand, ownTargetSlots)
	targets := make(map[string]map[string]float64)
	for _, r := range b.byRemoteCost(p) {
		routeDemand := b.regionDemand(p, r)
		localShare := 1.0
		if routeDemand > 0 {
			localShare = math.Min(1, localSlotsLeft/routeDemand)
		} else if own.demand > 0 {
			localShare = math.Min(1, ownTargetSlots/own.demand)
		}
		localSlotsLeft = math.Max(0, localSlotsLeft-routeDemand)
		if sum(headroom) <= 0 {
			localShare = 1
		}
		if own.capacity <= 0 {
			localShare = 0
		}
		targets[r.config.Name] = b.sharesWithLocal(localShare, headroom)
	}
	return targets
}

// sharesWithLocal returns the shares in which this region has the given one and the others
// have the rest in proportion to their headroom.
func (b *Balancer) sharesWithLocal(local float64, headroom map[string]float64) map[string]float64 {
	shares := map[string]float64{b.config.Region: local}
	if total := sum(headroom); total > 0 {
		for name, h := range headroom {
			shares[name] = (1 - local) * h / total
		}
	}
	return shares
}

// regionDemand returns the demand of this region's callers for a route, in slots.
func (b *Balancer) regionDemand(p *pool, r *routeState) float64 {
	routeDemand := r.requestRate.value * r.serviceTime.Seconds()
	key := p.routeHash(r)
	for _, peer := range b.peers {
		if peer.region == b.config.Region {
			routeDemand += peer.demand[key]
		}
	}
	return routeDemand
}

// byRemoteCost returns the routes sorted by descending remote cost.
func (b *Balancer) byRemoteCost(p *pool) []*routeState {
	roundTripTime := b.remoteRoundTrip()
	list := make([]*routeState, 0, len(p.routes))
	for _, r := range p.routes {
		list = append(list, r)
	}
	sort.Slice(list, func(i, j int) bool {
		x, y := list[i].remoteCost(roundTripTime), list[j].remoteCost(roundTripTime)
		if x != y {
			return x > y
		}
		return list[i].config.Name < list[j].config.Name
	})
	return list
}

// remoteCost returns the cost, per second of slot time, of serving the route in
// another region that is roundTripTime away: the loss of on-time responses, weighted by
// priority and divided by the service time.
func (r *routeState) remoteCost(roundTripTime time.Duration) float64 {
	const maxPriorityWeight = 4
	priorityWeight := float64(max(1, maxPriorityWeight-r.config.Priority))
	return priorityWeight * (r.remoteLoss(roundTripTime) + 0.01) / math.Max(0.001, r.serviceTime.Seconds())
}

// remoteLoss returns by how much the fraction of on-time responses is lower in another
// region that is roundTripTime away.
func (r *routeState) remoteLoss(roundTripTime time.Duration) float64 {
	return r.onTimeFraction(0) - r.onTimeFraction(roundTripTime)
}

// onTimeFraction estimates the fraction of requests that are answered within the
// target latency, given the round-trip time. It assumes that latencies follow a
// logistic distribution around the sum of service time and round-trip time, whose
// scale parameter is relativeSpread times half the target latency.
func (r *routeState) onTimeFraction(roundTripTime time.Duration) float64 {
	if r.config.TargetLatency <= 0 {
		return 1
	}
	target := float64(r.config.TargetLatency)
	slack := target - float64(r.serviceTime+roundTripTime)
	const relativeSpread = 0.3
	return 1 / (1 + math.Exp(-slack/(relativeSpread*0.5*target)))
}
