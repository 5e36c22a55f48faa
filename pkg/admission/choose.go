package admission

import "time"

// Weights of the reasons to prefer one upstream with an idle slot to another,
// relative to a fully occupied upstream.
const (
	errorPenalty = 8.0
	triedPenalty = 16.0
	// overduePenalty applies to each overdue execution.
	overduePenalty = 0.5
	// jitter makes the choice between nearly equal upstreams random.
	jitter = 0.01
)

// probePause is the time between two probes of a suspect upstream. A probe is a
// request that may be hedged, and it tells when the upstream is fast again.
const probePause = 200 * time.Millisecond

// choose returns the best upstream with an idle slot for t, or nil when there
// is none or waiting for another slot is faster. Upstreams that are suspect or
// in slow start are a reserve. waiting is the number of requests in the queue.
func (p *pool) choose(t *task, now time.Time, waiting int) *target {
	var best, reserve *target
	var bestScore, reserveScore float64
	for _, u := range p.targets {
		if u.inUse() >= u.limit(now) || now.Before(u.health.shedUntil) {
			continue
		}
		score := p.score(u, t, now)
		if p.preferred(u, t, now) {
			if best == nil || score < bestScore {
				best, bestScore = u, score
			}
			continue
		}
		score += u.slowness(now)
		if reserve == nil || score < reserveScore {
			reserve, reserveScore = u, score
		}
	}
	if best != nil || reserve == nil {
		return best
	}
	if p.worthStarting(reserve, now, waiting) {
		return reserve
	}
	return nil
}

func (p *pool) score(u *target, t *task, now time.Time) float64 {
	score := (float64(u.inUse()) + u.load.weight(now)) / float64(u.slots)
	score += overduePenalty * float64(u.overdue(now))
	if now.Before(u.health.errorUntil) {
		score += errorPenalty
	}
	if t.hasTried(u) {
		score += triedPenalty
	}
	return score + jitter*p.random.Float64()
}

// preferred tells whether u is as fast as others, or due for a probe by t.
func (p *pool) preferred(u *target, t *task, now time.Time) bool {
	if u.inUse() >= u.slowStart.limit(u.slots) {
		return false
	}
	if !p.suspect(u, now) {
		return true
	}
	due := !now.Before(u.probedAt.Add(probePause)) || u.health.lastFast()
	return due && u.inUse() == 0 && t.req.Idempotent && !t.hasTried(u)
}

// reserveWaitFactor is how many times longer than the wait an execution on the
// reserve may take. It is above 1 because a request that takes the reserve also
// shortens the wait of all behind it.
const reserveWaitFactor = 3

// worthStarting tells whether starting on the reserve u is better than waiting
// for a slot of a preferred upstream.
func (p *pool) worthStarting(u *target, now time.Time, waiting int) bool {
	fast := p.fastBusy(now)
	if fast == 0 {
		return true
	}
	wait := 1 + float64(waiting)/float64(fast)
	return waiting > 0 && reserveWaitFactor*wait >= u.slowness(now)
}

// fastBusy counts the occupied slots of upstreams that are not suspect; each of
// them becomes idle after about the mean cost.
func (p *pool) fastBusy(now time.Time) int {
	n := 0
	for _, u := range p.targets {
		if u.limit(now) > 0 && !p.suspect(u, now) {
			n += u.inUse()
		}
	}
	return n
}

// slowStartRatio is the assumed slowness of an upstream in slow start that has
// answered nothing yet.
const slowStartRatio = 1.5

// slowness returns how many times longer than usual an execution on u takes.
func (u *target) slowness(now time.Time) float64 {
	slowness := u.health.latest(now)
	if u.slowStart.active {
		slowness = max(slowness, slowStartRatio)
	}
	return slowness
}

func (p *pool) suspect(u *target, now time.Time) bool {
	return u.health.suspect(now, u.overdue(now), u.inUse())
}
