package admission

import (
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/event"
)

// Figures for the rescue of upstreams whose connections went silent.
const (
	// minSilence is the shortest time without any answer from an upstream after
	// which its connections may be silent.
	minSilence = 500 * time.Millisecond
	// rescuePause is the time between two rescues of one upstream.
	rescuePause = 500 * time.Millisecond
)

// rescue occupies a slot of u beyond its limit for t, when nothing has come from
// u for long and all its executions are overdue. Executions on silent
// connections hold all slots until their deadlines, so that nothing could start
// otherwise. The execution uses a new connection; an upstream that is merely
// busy queues or sheds it.
func (p *pool) rescue(u *target, t *task, now time.Time, hedge bool) *execution {
	if p.closed || u.leaving() || now.Sub(u.rescuedAt) < rescuePause || !u.silent(now) {
		return nil
	}
	u.rescuedAt = now
	e := p.bind(u, t, now, hedge)
	e.rescue = true
	return e
}

// rescueHedge rescues the upstream of primary. While the whole pool is silent, it
// needs no budget.
func (p *pool) rescueHedge(t *task, primary *execution, now time.Time) *execution {
	if !primary.target.silent(now) || p.extra.tokens < 1 && !p.silent(now) {
		return nil
	}
	e := p.rescue(primary.target, t, now, true)
	if e != nil {
		p.extra.take()
		p.counts.Hedges++
	}
	return e
}

// rescueWaiting rescues an upstream with a waiting task.
func (p *pool) rescueWaiting(t *task, now time.Time) *execution {
	if p.limit > 0 && p.inUse >= p.limit {
		return nil
	}
	for _, u := range p.targets {
		if e := p.rescue(u, t, now, false); e != nil {
			return e
		}
	}
	return nil
}

// observeRescue retires the older connections of an upstream that answered a
// rescue although the executions before it should occupy all its slots: it
// does not run all of them, so their connections are silent.
func (p *pool) observeRescue(e *execution) {
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
