package routing

import (
	"math"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/description"
)

const (
	// maxStepDuration is the maximum time that one step accounts for, so that an
	// instance that was paused does not catch up in a single jump.
	maxStepDuration = 250 * time.Millisecond
	// leadTime limits how far a region's share may move ahead of that of the live
	// peer that has moved least: at most by leadTime times the region cap.
	// leadTime exceeds the age of the shares that peers report, which arrive with
	// a heartbeat and, from other regions, with a forwarded digest. Instances that
	// move at the same rate therefore seldom wait for each other.
	leadTime = 3 * time.Second
	// leadTimeout limits the wait for a live peer that makes no progress, for
	// example because it sees other domains as unreachable.
	leadTimeout = 10 * time.Second
	// minLeadProgressFraction is the smallest fraction of the movement allowed by
	// the caps that counts as progress.
	minLeadProgressFraction = 0.01
	// shareEpsilon is smaller than any meaningful share and larger than
	// rounding errors.
	shareEpsilon = 1e-12
)

// limiter moves one share vector to its goal under the caps.
type limiter struct {
	shares   vector
	regionOf map[string]string
	// lastStep is the time of the last step.
	lastStep time.Time
	// stalledFor is how long the lead limit has allowed no progress.
	stalledFor time.Duration
}

// maxRates holds the maximum rates at which the share of a region and of a domain
// may change, in share per second. +Inf means no cap.
type maxRates struct{ region, domain float64 }

// maxRatesFor returns the caps in force. failover is set while an unreachable
// domain still has a share; the failover cap, if there is one, then replaces the
// region and domain caps.
func maxRatesFor(caps description.Caps, failover bool) maxRates {
	if rate := maxRate(caps.FailoverSharePerSecond); failover && !math.IsInf(rate, 1) {
		return maxRates{rate, rate}
	}
	return maxRates{maxRate(caps.RegionSharePerSecond), maxRate(caps.DomainSharePerSecond)}
}

// maxRate returns the rate that a cap allows. Descriptions accepted by earlier releases
// may hold a cap of 0, which means no cap.
func maxRate(limit *float64) float64 {
	if limit == nil || *limit == 0 {
		return math.Inf(1)
	}
	return *limit
}

// elapsed returns the time since the last step, capped at maxStepDuration, and
// sets the time of the last step to now.
func (l *limiter) elapsed(now time.Time) time.Duration {
	dt := now.Sub(l.lastStep)
	l.lastStep = now
	return min(max(dt, 0), maxStepDuration)
}

// step moves the vector towards goal for the duration dt. peers limits the lead
// over live peers per region; nil means no limit.
func (l *limiter) step(goal vector, r maxRates, dt time.Duration, peers *peerShareRanges) {
	if math.IsInf(r.domain, 1) {
		l.shares = l.rebalanced(goal)
	}
	delta := difference(l.shares, goal)
	fraction := l.cappedFraction(delta, r, dt.Seconds())
	fraction = l.limitLead(delta, fraction, r, dt, peers)
	l.move(delta, goal, fraction)
}

// rebalanced splits the current share of every region over its domains in the
// proportions of goal. The share of each region stays the same, so the region cap
// does not limit this change, but a domain cap would. step calls rebalanced only
// if there is no domain cap.
func (l *limiter) rebalanced(goal vector) vector {
	current, wanted := l.shares.byRegion(l.regionOf), goal.byRegion(l.regionOf)
	next := make(vector, len(l.shares))
	for d, s := range l.shares {
		if r := region(l.regionOf, d); wanted[r] <= 0 {
			next[d] = s
		}
	}
	for d, g := range goal {
		r := region(l.regionOf, d)
		if wanted[r] > 0 && current[r] > 0 {
			next[d] = current[r] * g / wanted[r]
		}
	}
	return next
}

// difference returns goal - from for every domain in either vector.
func difference(from, goal vector) vector {
	delta := make(vector, len(from)+len(goal))
	for d, s := range from {
		delta[d] -= s
	}
	for d, s := range goal {
		delta[d] += s
	}
	return delta
}

// cappedFraction returns the fraction of delta that the caps allow in dt
// seconds.
func (l *limiter) cappedFraction(delta vector, r maxRates, dt float64) float64 {
	fraction := 1.0
	for _, change := range delta.byRegion(l.regionOf) {
		fraction = min(fraction, allowedFraction(change, r.region, dt))
	}
	for _, change := range delta {
		fraction = min(fraction, allowedFraction(change, r.domain, dt))
	}
	return fraction
}

// allowedFraction returns the fraction of change that a rate allows in dt
// seconds.
func allowedFraction(change, rate, dt float64) float64 {
	change = math.Abs(change)
	if change <= shareEpsilon || math.IsInf(rate, 1) {
		return 1
	}
	return min(1, rate*dt/change)
}

// limitLead reduces fraction so that no region's share runs ahead of a live peer
// by more than leadTime times the region cap. If the limit has cut fraction to
// less than minLeadProgressFraction of its value for longer than leadTimeout,
// limitLead returns fraction unchanged.
func (l *limiter) limitLead(delta vector, fraction float64, r maxRates, dt time.Duration, peers *peerShareRanges) float64 {
	changes := delta.byRegion(l.regionOf)
	if math.IsInf(r.region, 1) || changes.isZero() {
		return fraction
	}
	ranges := peers.ranges()
	if len(ranges) == 0 {
		return fraction
	}
	limitedFraction := fraction
	lead := r.region * leadTime.Seconds()
	shares := l.shares.byRegion(l.regionOf)
	for name, change := range changes {
		limitedFraction = min(limitedFraction, leadFraction(shares[name], change, lead, ranges[name]))
	}
	if limitedFraction >= minLeadProgressFraction*fraction {
		l.stalledFor = 0
		return limitedFraction
	}
	l.stalledFor += dt
	if l.stalledFor > leadTimeout {
		return fraction
	}
	return limitedFraction
}

// leadFraction returns the fraction of change that leaves share at most lead
// ahead of the peer furthest behind. This is the peer with the lowest share if
// the share grows, and the peer with the highest share if it shrinks.
func leadFraction(share, change, lead float64, peers shareRange) float64 {
	headroom := peers.low + lead - share
	if change < 0 {
		headroom = share - (peers.high - lead)
	}
	change = math.Abs(change)
	if change <= shareEpsilon || headroom >= change {
		return 1
	}
	return max(headroom, 0) / change
}

// move applies a fraction of delta, which is goal minus the current shares.
func (l *limiter) move(delta, goal vector, fraction float64) {
	if fraction >= 1 {
		l.shares = goal.clone()
		return
	}
	for d, change := range delta {
		l.shares[d] += fraction * change
		if l.shares[d] <= shareEpsilon && goal[d] == 0 {
			delete(l.shares, d)
		}
	}
	l.shares.normalize()
}
