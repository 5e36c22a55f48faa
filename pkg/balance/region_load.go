package balance

import (
	"math"
	"time"
)

const (
	// assumedUtilization is the utilization of all regions together that is assumed
	// before the demand is known: that of a service that can bear the loss of a region
	// at its peak. If it is too high, requests that have room in their region are sent
	// away, and their objects have to be cached a second time when they return.
	assumedUtilization = 0.4
	// capacityLossPeriod is the time for which a loss of capacity counts as recent, and
	// capacityLossThreshold the fraction of the slots of a region whose loss counts.
	capacityLossPeriod    = 3 * time.Second
	capacityLossThreshold = 0.2
)

// Demand is the demand of callers for a route at a service, in slots. RouteHash is
// the hash of the service and of the route's host and prefix.
type Demand struct {
	_         struct{} `cbor:",toarray"`
	RouteHash uint32
	Slots     float64
}

// Demands returns the demand of this instance's callers per service and route.
func (b *Balancer) Demands() []Demand {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.config.Now()
	var list []Demand
	for _, p := range b.pools {
		for _, r := range p.routes {
			r.requestRate.update(now)
			if slots := r.requestRate.value * r.serviceTime.Seconds(); slots > 0.01 {
				list = append(list, Demand{RouteHash: p.routeHash(r), Slots: slots})
			}
		}
	}
	return list
}

// regionLoad is the demand and the capacity of a region at a service, in slots, and the
// number of upstreams that have the slots.
type regionLoad struct {
	demand, capacity float64
	upstreams        int
}

// regionLoads returns the demand and the capacity of every region at a service.
func (b *Balancer) regionLoads(p *pool, now time.Time) map[string]*regionLoad {
	regions := make(map[string]*regionLoad)
	for _, u := range p.upstreams {
		l := regions[u.region]
		if l == nil {
			l = &regionLoad{}
			regions[u.region] = l
		}
		if u.acceptsRequests() && !u.notice.closed(now) && u.consecutiveEjections == 0 && !b.evacuatedDomains[u.Domain] {
			l.capacity += p.effectiveSlots(u, now)
			l.upstreams++
		}
	}
	if regions[b.config.Region] == nil {
		regions[b.config.Region] = &regionLoad{}
	}
	total := 0.0
	for _, r := range p.routes {
		r.requestRate.update(now)
		own := r.requestRate.value * r.serviceTime.Seconds()
		regions[b.config.Region].demand += own
		total += own
		key := p.routeHash(r)
		for _, peer := range b.peers {
			if l := regions[peer.region]; l != nil {
				l.demand += peer.demand[key]
				total += peer.demand[key]
			}
		}
	}
	if total < 1 {
		b.assumeEvenDemand(regions)
	}
	return regions
}

// assumeEvenDemand sets the demand to assumedUtilization of the total capacity,
// spread evenly over the regions. It is used while the known demand is less than
// one slot, as after a start.
func (b *Balancer) assumeEvenDemand(regions map[string]*regionLoad) {
	capacity := 0.0
	for _, l := range regions {
		capacity += l.capacity
	}
	for _, l := range regions {
		l.demand = assumedUtilization * capacity / float64(len(regions))
	}
}

// capacityHistory is the smoothed number of slots of a region, which follows an increase
// at once and a decrease slowly, and the last time at which the number of slots was lower
// than that by more than the fraction capacityLossThreshold, if it has not risen since.
type capacityHistory struct {
	usual  float64
	lostAt time.Time
}

// recordCapacity updates the usual slots of each region and records the regions that have
// lost more than capacityLossThreshold of them.
func (p *pool) recordCapacity(regions map[string]*regionLoad, now time.Time) {
	for name := range regions {
		if p.capacities[name] == nil {
			p.capacities[name] = &capacityHistory{}
		}
	}
	const gain = 0.1
	for name, h := range p.capacities {
		capacity := 0.0
		if l := regions[name]; l != nil {
			capacity = l.capacity
		}
		switch {
		case capacity < (1-capacityLossThreshold)*h.usual:
			h.lostAt = now
		case capacity >= h.usual:
			h.lostAt = time.Time{}
		}
		h.usual = math.Max(capacity, h.usual+gain*(capacity-h.usual))
	}
}

// lostCapacityRecently reports whether one of the regions that serve the shares has lost
// capacity within the last capacityLossPeriod.
func (p *pool) lostCapacityRecently(shares *regionShares, now time.Time) bool {
	for name, h := range p.capacities {
		if shares.weights[name] > 0 && !h.lostAt.IsZero() && now.Sub(h.lostAt) < capacityLossPeriod {
			return true
		}
	}
	return false
}
