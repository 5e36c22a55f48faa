package balance

import (
	"math"
	"time"
)

const (
	// cacheHitDecayTime is the time constant with which counted cache lookups decay.
	cacheHitDecayTime = 5 * time.Second
	// minCacheLookups is the number of recent lookups from which on the hit ratio is used.
	minCacheLookups = 6.0
	// minCacheHitRatio is the hit ratio below which the caches of a region have too little
	// room for the objects that it serves. It is below 1 because some hits take as long as
	// a miss, for example at a busy host.
	minCacheHitRatio = 0.85
	// minMissRatio is the ratio of a service time to that of a cache hit from which on the
	// request counts as a miss. It is below cacheMissFactor because service times vary.
	minMissRatio = 0.8 * cacheMissFactor
	// hitLatencyGain is the EWMA weight of a latency ratio above the estimate. Lower ones
	// replace it, because a miss is never faster than a hit.
	hitLatencyGain = 0.1
)

// cacheHits counts the requests for objects that the upstream had served before, and
// those of them that it served from its cache. Both decay over time.
type cacheHits struct {
	lookups, hits float64
	updatedAt     time.Time
}

// decay applies the decay until now.
func (c *cacheHits) decay(now time.Time) {
	factor := math.Exp(-float64(now.Sub(c.updatedAt)) / float64(cacheHitDecayTime))
	c.lookups, c.hits, c.updatedAt = c.lookups*factor, c.hits*factor, now
}

// recordCacheLookup counts a response for an object that this instance has sent to the
// upstream before. An upstream that is slow for all requests is told from one that misses
// its cache by its fastest recent responses.
func (l *Lease) recordCacheLookup(serviceTime float64, now time.Time) {
	c, u := &l.route.cacheHits, l.upstream
	c.decay(now)
	c.lookups++
	ratio := serviceTime / float64(l.route.serviceTime)
	if ratio < minMissRatio*math.Max(1, u.hitLatencyRatio) {
		c.hits++
	}
	if ratio < u.hitLatencyRatio {
		u.hitLatencyRatio = ratio
	} else {
		u.hitLatencyRatio += hitLatencyGain * (ratio - u.hitLatencyRatio)
	}
}

// limitToCacheRoom lowers the target share of this region to the part of the objects for
// which its caches have room, if other regions have headroom. An upstream with more objects than its cache keeps misses most of
// them: requests then take several times as long, although slots are free. If each object
// is requested equally often, the hit ratio is the ratio of room to objects.
func (b *Balancer) limitToCacheRoom(r *routeState, target, headroom map[string]float64) map[string]float64 {
	cache := r.regionCacheHits
	if sum(headroom) <= 0 || cache.lookups < minCacheLookups || cache.hits >= minCacheHitRatio*cache.lookups {
		return target
	}
	room := r.shares.weights[b.config.Region] * cache.hits / cache.lookups
	if room >= target[b.config.Region] {
		return target
	}
	return b.sharesWithLocal(room, headroom)
}
