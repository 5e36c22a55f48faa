package admission

import (
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/event"
)

// Figures for the probes of upstreams whose connections may be silent.
const (
	// minSilence is the shortest time without any answer from an upstream after
	// which its connections may be silent.
	minSilence = 500 * time.Millisecond
	// silenceProbePause is the time between two silence probes of one upstream.
	silenceProbePause = 500 * time.Millisecond
)

// probeSilent occupies a slot of u beyond its limit for t, when u seems silent.
// Executions on silent connections hold all slots until their deadlines, so that
// nothing could start otherwise. The execution uses a new connection; an
// upstream that is merely busy queues or sheds it.
func (p *pool) probeSilent(u *target, t *task, now time.Time, hedge bool) *execution {
	if p.closed || u.leaving() || now.Sub(u.silenceProbedAt) < silenceProbePause || !u.silent(now) {
		return nil
	}
	u.silenceProbedAt = now
	e := p.bind(u, t, now, hedge)
	e.silenceProbe = true
	return e
}

// probeSilentByHedge probes the upstream of primary with a hedge. While the
// whole pool is silent, it needs no budget.
func (p *pool) probeSilentByHedge(t *task, primary *execution, now time.Time) *execution {
	if !primary.target.silent(now) || p.duplicateBudget.tokens < 1 && !p.silent(now) {
		return nil
	}
	e := p.probeSilent(primary.target, t, now, true)
	if e != nil {
		p.duplicateBudget.take()
		p.counts.Hedges++
	}
	return e
}

// probeSilentByWaiting probes a silent upstream with a waiting task.
func (p *pool) probeSilentByWaiting(t *task, now time.Time) *execution {
	if p.atLimit() {
		return nil
	}
	for _, u := range p.targets {
		if e := p.probeSilent(u, t, now, false); e != nil {
			return e
		}
	}
	return nil
}

// observeSilenceProbe retires the older connections of an upstream that answered
// a silence probe although the executions before it should occupy all its slots:
// it does not run all of them, so their connections are silent.
func (p *pool) observeSilenceProbe(e *execution) {
	older := 0
	for other := range e.target.executions {
		if !other.ended && other.started.Before(e.started) {
			older++
		}
	}
	if older >= e.target.slots {
		go p.retire(e.target, e.started)
	}
}

func (p *pool) retire(u *target, before time.Time) {
	if closed := p.config.Exchange.Retire(u.address, before); closed > 0 {
		event.Log(p.config.Logger, event.ConnectionsRetired, "service", p.service, "upstream", u.id, "connections", closed)
	}
}

// silent tells whether no answer has come from u for long and all its
// executions are overdue.
func (u *target) silent(now time.Time) bool {
	if u.inUse() < u.slots || now.Sub(u.lastAnswer) < minSilence {
		return false
	}
	for e := range u.executions {
		if !e.overdue(now) || now.Sub(e.started) < minSilence {
			return false
		}
	}
	return true
}

// silent tells whether every upstream with executions is silent.
func (p *pool) silent(now time.Time) bool {
	for _, u := range p.targets {
		if u.inUse() > 0 && !u.silent(now) {
			return false
		}
	}
	return true
}
