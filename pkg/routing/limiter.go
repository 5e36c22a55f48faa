package routing

import (
	"math"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/description"
)

const (
	// maxStep bounds the time that one step counts, so that an instance that
	// was paused does not catch up in one jump.
	maxStep = 250 * time.Millisecond
	// leadTime times the cap is how far a region's share may run ahead of the
	// slowest live peer. It exceeds the age of reported shares (a heartbeat
	// and, between regions, a digest and its passing on), so that instances that
	// move together seldom wait for each other.
	leadTime = 3 * time.Second
	// leadPatience ends the wait for a live peer that makes no progress, for
	// example because it sees other domains as unreachable.
	leadPatience = 10 * time.Second
	// leadProgress is the part of a step that counts as progress.
	leadProgress = 0.01
	// shareEpsilon is below any share that matters and above rounding errors.
	shareEpsilon = 1e-12
)

// limiter moves one share vector to its goal under the caps.
type limiter struct {
	shares   vector
	regionOf map[string]string
	// last is the time of the last step.
	last time.Time
	// waited is how long the lead limit has stopped the move.
	waited time.Duration
}

// rates are the caps of one step; infinite means no cap.
type rates struct{ region, domain float64 }

// ratesFor returns the caps in force. The failover cap replaces both change
// caps while a share is still on an unreachable domain.
func ratesFor(caps description.Caps, failover bool) rates {
	if failover && caps.FailoverSharePerSecond > 0 {
		return rates{caps.FailoverSharePerSecond, caps.FailoverSharePerSecond}
	}
	return rates{unlimitedIfZero(caps.RegionSharePerSecond), unlimitedIfZero(caps.DomainSharePerSecond)}
}

func unlimitedIfZero(rate float64) float64 {
	if rate == 0 {
		return math.Inf(1)
	}
	return rate
}

// elapsed returns the time that the step to now counts.
func (l *limiter) elapsed(now time.Time) time.Duration {
	dt := now.Sub(l.last)
	l.last = now
	return min(max(dt, 0), maxStep)
}

// step moves the vector towards goal for the time dt. peers limits the lead
// over live peers per region; nil means no limit.
func (l *limiter) step(goal vector, r rates, dt time.Duration, peers *peerShares) {
	if math.IsInf(r.domain, 1) {
		l.shares = l.rebalanced(goal)
	}
	delta := difference(l.shares, goal)
	fraction := l.allowed(delta, r, dt.Seconds())
	fraction = l.holdLead(delta, fraction, r, dt, peers)
	l.move(delta, goal, fraction)
}

// rebalanced splits the present share of every region by the goal's parts. It
// changes no region's share, so only the domain cap would limit it.
func (l *limiter) rebalanced(goal vector) vector {
	now, then := l.shares.byRegion(l.regionOf), goal.byRegion(l.regionOf)
	next := make(vector, len(l.shares))
	for d, s := range l.shares {
		if r := region(l.regionOf, d); then[r] <= 0 {
			next[d] = s
		}
	}
	for d, g := range goal {
		r := region(l.regionOf, d)
		if then[r] > 0 && now[r] > 0 {
			next[d] = now[r] * g / then[r]
		}
	}
	return next
}

// difference returns goal - from for every domain of either.
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

// allowed returns the part of delta that the caps allow in dt seconds.
func (l *limiter) allowed(delta vector, r rates, dt float64) float64 {
	fraction := 1.0
	for _, change := range delta.byRegion(l.regionOf) {
		fraction = min(fraction, part(change, r.region, dt))
	}
	for _, change := range delta {
		fraction = min(fraction, part(change, r.domain, dt))
	}
	return fraction
}

// part returns the part of change that a rate allows in dt seconds.
func part(change, rate, dt float64) float64 {
	change = math.Abs(change)
	if change <= shareEpsilon || math.IsInf(rate, 1) {
		return 1
	}
	return min(1, rate*dt/change)
}

// holdLead reduces fraction so that no region's share runs ahead of a live peer
// by more than the lead. It stops doing so after leadPatience without progress.
func (l *limiter) holdLead(delta vector, fraction float64, r rates, dt time.Duration, peers *peerShares) float64 {
	changes := delta.byRegion(l.regionOf)
	if math.IsInf(r.region, 1) || changes.isZero() {
		return fraction
	}
	ranges := peers.ranges()
	if len(ranges) == 0 {
		return fraction
	}
	held := fraction
	lead := r.region * leadTime.Seconds()
	shares := l.shares.byRegion(l.regionOf)
	for name, change := range changes {
		held = min(held, leadPart(shares[name], change, lead, ranges[name]))
	}
	if held >= leadProgress*fraction {
		l.waited = 0
		return held
	}
	l.waited += dt
	if l.waited > leadPatience {
		return fraction
	}
	return held
}

// leadPart returns the part of change that keeps share within lead of the peers
// that it moves away from.
func leadPart(share, change, lead float64, peers shareRange) float64 {
	room := peers.low + lead - share
	if change < 0 {
		room = share - (peers.high - lead)
	}
	change = math.Abs(change)
	if change <= shareEpsilon || room >= change {
		return 1
	}
	return max(room, 0) / change
}

// move applies a fraction of delta, which leads to goal.
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
