package balance

import (
	"math"
	"sort"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/steering"
)

const (
	// coldObject is the time of work on an object that the upstream has not
	// seen lately, over that on one that it has.
	cacheMissFactor = 3.0
	// maxHomes is the number of upstreams of a region that share an object;
	// fewer wait for each other, more forget objects before they come again.
	maxOwners = 2
	// placePenalty is the part of the work that each place among the homes
	// weighs, so that an object is held by few upstreams while load is low.
	ownerRankPenalty = 0.5
	// heldObjects is the number of objects that an upstream is assumed to hold.
	objectsPerUpstream = 45
	// rankedHomes bounds the upstreams that are ranked for an object.
	maxRankedOwners = 8
	// strayPart is the part of its slots up to which an upstream takes objects
	// of others: each one displaces an object of its own.
	maxNonOwnerUtilization = 0.5
	// objectMemory is how long an object counts as in use.
	activeObjectWindow = 10 * time.Second
)

// homeKey names the ranking of an object in a region.
type rankingKey struct{ object, region string }

// homes returns the upstreams of a region in the order in which they should
// hold an object. All instances compute the same order.
func (p *pool) owners(object, region string) []*upstream {
	key := rankingKey{object, region}
	if list, ok := p.rankings[key]; ok {
		return list
	}
	type rank struct {
		u *upstream
		h uint32
	}
	var all []rank
	for _, u := range p.upstreams {
		if u.region == region && u.State == steering.Ready && !u.misdirected {
			all = append(all, rank{u, hash(object, u.ID)})
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

// maxRankings bounds the rankings that are kept.
const maxRankings = 1 << 14

// objects counts the objects in use.
type activeObjects struct {
	current, last map[string]bool
	rotatedAt     time.Time
}

func (o *activeObjects) record(object string, now time.Time) {
	if o.current == nil || now.Sub(o.rotatedAt) > activeObjectWindow {
		o.last, o.current, o.rotatedAt = o.current, make(map[string]bool), now
	}
	if len(o.current) < maxRankings {
		o.current[object] = true
	}
}

func (o *activeObjects) count() int { return max(len(o.current), len(o.last)) }

// homeCount returns the number of upstreams that share an object in a region
// with n upstreams, where the given part of all objects is sent to the region.
func (p *pool) ownerCount(n int, fraction float64) int {
	used := math.Max(1, float64(p.activeObjects.count())*fraction)
	return min(max(1, int(objectsPerUpstream*float64(n)/used)), maxOwners, max(1, n))
}
