package balance

import (
	"math"
	"sort"
	"time"
)

// RouteStats is what an instance has measured of a route at a service. RouteHash is the
// hash of the service and of the route's host and prefix.
type RouteStats struct {
	_         struct{} `cbor:",toarray"`
	RouteHash uint32
	// ServiceTime is the estimated service time without queueing, and SampleCount the
	// number of measurements, at most maxServiceTimeSamples.
	ServiceTime time.Duration
	SampleCount int
	// CacheLookups and CacheHits are the recent requests for objects that upstreams of the
	// region had served before, and those served from their caches.
	CacheLookups, CacheHits float64
}

// routeHash identifies a route at a service in the reports of instances.
func (p *pool) routeHash(r *routeState) uint32 {
	return hash(p.service, r.config.Host, r.config.Prefix)
}

// RouteStats returns what this instance has measured of each route.
func (b *Balancer) RouteStats() []RouteStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.config.Now()
	var list []RouteStats
	for _, p := range b.pools {
		for _, r := range p.routes {
			if r.sampleCount > 0 {
				list = append(list, p.stats(r, now))
			}
		}
	}
	return list
}

// stats returns what this instance has measured of a route.
func (p *pool) stats(r *routeState, now time.Time) RouteStats {
	r.cacheHits.decay(now)
	return RouteStats{RouteHash: p.routeHash(r), ServiceTime: r.measuredServiceTime, SampleCount: min(r.sampleCount, maxServiceTimeSamples),
		CacheLookups: r.cacheHits.lookups, CacheHits: r.cacheHits.hits}
}

// valid reports whether the values can have been measured. Others, such as NaN, would spoil
// the shares of the route.
func (s RouteStats) valid() bool {
	return s.ServiceTime > 0 && s.SampleCount > 0 && s.CacheHits >= 0 && s.CacheHits <= s.CacheLookups && !math.IsInf(s.CacheLookups, 0)
}

// SetPeerRouteStats replaces a peer's report of what it has measured. It ignores entries
// that are not valid.
func (b *Balancer) SetPeerRouteStats(id, region string, list []RouteStats) {
	b.mu.Lock()
	defer b.mu.Unlock()
	stats := make(map[uint32]RouteStats, len(list))
	for _, s := range list {
		if s.valid() {
			s.SampleCount = min(s.SampleCount, maxServiceTimeSamples)
			stats[s.RouteHash] = s
		}
	}
	p := b.peer(id)
	p.region, p.routeStats = region, stats
}

// updateRegionStats sets the service time and the cache hits of a route to what the
// instances of this region have measured together: the weighted median and the sum. In a
// region with many instances each measures few requests, and one that takes a cache miss
// for a hit would plan with several times the demand; and instances with different times
// move their shares apart.
func (b *Balancer) updateRegionStats(p *pool, r *routeState, now time.Time) {
	var list []RouteStats
	if r.sampleCount > 0 {
		list = append(list, p.stats(r, now))
	}
	key := p.routeHash(r)
	for _, peer := range b.peers {
		if s, ok := peer.routeStats[key]; ok && peer.region == b.config.Region {
			list = append(list, s)
		}
	}
	if len(list) > 0 {
		r.serviceTime = medianServiceTime(list)
	}
	r.regionCacheHits = cacheHits{}
	for _, s := range list {
		r.regionCacheHits.lookups += s.CacheLookups
		r.regionCacheHits.hits += s.CacheHits
	}
}

// medianServiceTime returns the shortest of the service times that is not below half of
// the samples.
func medianServiceTime(list []RouteStats) time.Duration {
	sort.Slice(list, func(i, j int) bool { return list[i].ServiceTime < list[j].ServiceTime })
	total := 0
	for _, s := range list {
		total += s.SampleCount
	}
	i, below := 0, list[0].SampleCount
	for 2*below < total {
		i++
		below += list[i].SampleCount
	}
	return list[i].ServiceTime
}
