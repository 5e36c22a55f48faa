package balance

import (
	"sort"
	"time"
)

const (
	// cacheMissFactor is the factor by which the service time is longer if the
	// upstream has not handled the requested object recently.
	cacheMissFactor = 3.0
	// maxRankedOwners is the maximum number of owner candidates per object and
	// region.
	maxRankedOwners = 8
	// maxNonOwnerUtilization is the utilization below which an upstream accepts
	// requests for an object that other upstreams own. Each such object evicts one
	// of its own objects from its cache.
	maxNonOwnerUtilization = 0.5
	// maxHeldObjects limits the objects recorded per upstream.
	maxHeldObjects = 1 << 10
	// heldObjectTTL is how long an upstream is assumed to keep an object in its cache.
	heldObjectTTL = 10 * time.Second
	// maxRankings is the maximum number of cached rankings per service.
	maxRankings = 1 << 14
)

// heldObjects records when an upstream last answered requests of this instance, by
// object. An upstream is assumed to hold an object in its cache for heldObjectTTL after
// that.
type heldObjects map[uint32]time.Time

// record marks the object as handled at now. If there are too many objects, it forgets
// all others; they are recorded again when they are next handled.
func (h *heldObjects) record(object uint32, now time.Time) {
	if *h == nil || len(*h) >= maxHeldObjects {
		*h = make(heldObjects)
	}
	(*h)[object] = now
}

// has reports whether the upstream handled the object recently.
func (h heldObjects) has(object uint32, now time.Time) bool {
	at, ok := h[object]
	return ok && now.Sub(at) < heldObjectTTL
}

// objectHash identifies the object of a request on routes with affinity; it is 0 if
// the request names no object.
func objectHash(req AcquireRequest) uint32 {
	if req.Key == "" || !req.Route.Affinity {
		return 0
	}
	return hash(req.Route.Prefix, req.Key)
}

// rankingKey identifies the cached ranking of an object in a region.
type rankingKey struct{ object, region string }

// rankedOwners returns up to maxRankedOwners upstreams of a region in the order in
// which they should own an object, by rendezvous hashing. All instances compute
// the same order.
func (p *pool) rankedOwners(object, region string) []*upstream {
	key := rankingKey{object, region}
	if list, ok := p.rankings[key]; ok {
		return list
	}
	type hashedUpstream struct {
		u *upstream
		h uint32
	}
	var all []hashedUpstream
	for _, u := range p.upstreams {
		if u.region == region && u.acceptsRequests() {
			all = append(all, hashedUpstream{u, hash(object, u.ID)})
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].h < all[j].h })
	list := make([]*upstream, 0, maxRankedOwners)
	for _, r := range all[:min(maxRankedOwners, len(all))] {
		list = append(list, r.u)
	}
	if p.rankings == nil || len(p.rankings) > maxRankings {
		p.rankings = make(map[rankingKey][]*upstream)
	}
	p.rankings[key] = list
	return list
}
