package admission

import "time"

// Weights of the reasons to prefer one upstream with an idle slot to another,
// relative to a fully occupied upstream.
const (
	errorPenalty   = 8.0
	triedPenalty   = 16.0
	overduePenalty = 0.5
	jitter         = 0.01
)

// choose returns the best upstream with an idle slot for t, or nil when there
// is none or waiting for another slot is faster. waiting is the number of
// requests in the queue.
func (p *pool) choose(t *task, now time.Time, waiting int) *target {
	var best *target
	var bestScore float64
	for _, u := range p.targets {
		if u.inUse() >= p.limitOf(u, now) {
			continue
		}
		score := p.score(u, t, now)
		if best == nil || score < bestScore {
			best, bestScore = u, score
		}
	}
	if best == nil || !p.worthStarting(best, now, waiting) {
		return nil
	}
	return best
}

func (p *pool) score(u *target, t *task, now time.Time) float64 {
	score := (float64(u.inUse()) + u.load.weight(now)) / float64(u.slots)
	overdue := u.overdue(now)
	score += overduePenalty * float64(overdue)
	if u.health.suspect(now, overdue) {
		score += u.health.median(now)
	}
	if now.Before(u.health.errorUntil) {
		score += errorPenalty
	}
	if t.hasTried(u) {
		score += triedPenalty
	}
	return score + jitter*p.random.Float64()
}

// limitOf returns the slots of u that may be occupied. Slow start does not
// apply when more than half of the pool would be limited by it, because the
// others could not carry the load.
func (p *pool) limitOf(u *target, now time.Time) int {
	if u.ramp.active && 2*p.ramping > len(p.targets) && u.limit(now) > 0 {
		return u.slots
	}
	return u.limit(now)
}

// worthStarting tells whether starting on u ends earlier than waiting for a
// slot of an upstream that is not suspect.
func (p *pool) worthStarting(u *target, now time.Time, waiting int) bool {
	if !u.health.suspect(now, u.overdue(now)) {
		return true
	}
	fast := p.fastBusy(now)
	if fast == 0 {
		return true
	}
	wait := 1 + float64(waiting)/float64(fast)
	return wait >= u.health.median(now)
}

// fastBusy counts the occupied slots of upstreams that are not suspect; each of
// them becomes idle after about the mean cost.
func (p *pool) fastBusy(now time.Time) int {
	n := 0
	for _, u := range p.targets {
		if u.limit(now) > 0 && !u.health.suspect(now, u.overdue(now)) {
			n += u.inUse()
		}
	}
	return n
}
