package balance

import (
	"math"
	"time"
)

const (
	// membershipSettleTime is how long after its start an instance may not know the
	// others: until heartbeats of all of them have arrived.
	membershipSettleTime = 2 * time.Second
	// maxUnlistedTime is how long after its start an instance that could not list the
	// registered instances waits until it takes its share of the limits. By then it has
	// heard of all others from those that it knows.
	maxUnlistedTime = 5 * time.Second
)

// sharedLimit is a limit on what all instances do together. Each takes a share of it by
// itself, so the instances have to know each other.
type sharedLimit struct {
	// total is the limit over all instances, less a margin.
	total float64
	// upstream is the upstream that the limit protects. Then at most maxHolders
	// instances, which are the same in the view of all, have a share. If it is nil, all
	// instances have one.
	upstream   *upstream
	maxHolders int
	// whileUnknown bounds the share of an instance that does not know the others yet. If
	// all instances are started together, each of them would otherwise take itself for
	// the only one.
	whileUnknown float64
}

// share returns this instance's share of a limit.
func (b *Balancer) share(l sharedLimit, now time.Time) float64 {
	holders := b.instanceCount()
	if l.upstream != nil {
		holders = b.holderCount(l.upstream, l.maxHolders)
	}
	share := 0.0
	if holders > 0 {
		share = l.total / float64(holders)
	}
	if !b.sharersKnown(now) {
		share = min(share, l.whileUnknown)
	}
	return share
}

// sharersKnown reports whether the instances are known that share the limits.
func (b *Balancer) sharersKnown(now time.Time) bool {
	age := now.Sub(b.startedAt)
	return age >= membershipSettleTime && b.instancesListed || age >= maxUnlistedTime
}

// holderCount returns the number of instances that have a share of a limit that protects
// an upstream, or 0 if this instance has none. Instances known only by address may have a
// share too.
func (b *Balancer) holderCount(u *upstream, maxHolders int) int {
	if u.rank == nil || u.rank.version != b.instancesVersion {
		u.rank = b.holderRank(u)
	}
	if u.rank.lower >= maxHolders {
		return 0
	}
	return min(maxHolders, u.rank.candidates) + b.addressOnlyCount
}

// holderRank is the rank of this instance among those that may have a share of a limit that
// protects an upstream.
type holderRank struct {
	// candidates is the number of instances, and lower that of those before this one.
	candidates, lower int
	// version is that of the known instances from which the rank was computed.
	version uint64
}

// holderRank ranks this instance by its hash among those of the upstream's region, or of all
// regions if none of its region is known. Instances with the same list of known instances
// compute the same order. An instance that is not among them comes last.
func (b *Balancer) holderRank(u *upstream) *holderRank {
	own := hash(b.config.Instance, u.ID)
	for _, local := range []bool{true, false} {
		candidates, lower, member := 0, 0, false
		for id, i := range b.instances {
			if local && i.Region != u.region {
				continue
			}
			candidates++
			member = member || id == b.config.Instance
			if hash(id, u.ID) < own {
				lower++
			}
		}
		if !member {
			lower = math.MaxInt
		}
		if candidates > 0 {
			return &holderRank{candidates: candidates, lower: lower, version: b.instancesVersion}
		}
	}
	return &holderRank{lower: math.MaxInt, version: b.instancesVersion}
}
