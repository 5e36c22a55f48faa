package admission

import (
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// submit puts t into the queue or refuses it, and starts what can start.
func (p *pool) submit(t *task) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Clock.Now()
	t.expected = p.routes.estimate(t.route)
	p.work.add(t.expected.mean, t.expected.long, p.slots())
	if err := p.refusal(t, now); err != nil {
		p.counts.Refused++
		return err
	}
	if t.expected.long {
		p.long.add(t)
	} else {
		p.normal.add(t)
	}
	p.dispatch(now)
	return nil
}

// refusal returns why t cannot be queued, or nil.
func (p *pool) refusal(t *task, now time.Time) error {
	if p.closed {
		return errPoolMoved()
	}
	slots := p.slots()
	if slots == 0 && !p.anyUsable() {
		return result.New(result.NoUpstream, "no upstream of %s takes work", p.service)
	}
	if p.queued() >= p.config.Settings.QueueLength {
		return p.overload(result.QueueFull, "%d requests are waiting", p.queued())
	}
	if p.queued() == 0 {
		return nil
	}
	wait := p.expectedWait(t, slots)
	if now.Add(wait + t.need()).After(t.deadline) {
		return p.overload(result.DeadlineUnreachable, "expected wait is %v", wait)
	}
	return nil
}

// overload returns a refusal for lack of slots; it names the region's limit
// when that and not the upstreams bounds the slots.
func (p *pool) overload(code result.Code, format string, args ...any) error {
	if p.atLimit() {
		code = result.RegionLimit
	}
	return result.New(code, format, args...)
}

// anyUsable tells whether an upstream takes work now or will when its ejection
// ends.
func (p *pool) anyUsable() bool {
	for _, u := range p.targets {
		if !u.leaving() {
			return true
		}
	}
	return false
}

// expectedWait estimates how long t would wait behind the tasks with earlier
// deadlines.
func (p *pool) expectedWait(t *task, slots int) time.Duration {
	ahead := p.normal.before(t.deadline) + p.long.before(t.deadline)
	mean := p.routes.all.figures.mean
	return time.Duration(waitMargin * float64(ahead+1) * float64(mean) / float64(max(slots, 1)))
}

// waitMargin makes up for the spread of the execution times ahead, so that
// requests are refused on arrival and not after a wait.
const waitMargin = 1.15

// dispatch gives idle slots to waiting tasks in order of their deadlines.
func (p *pool) dispatch(now time.Time) {
	for !p.atLimit() {
		t, q := p.next()
		if t == nil {
			return
		}
		if !t.canFinish(now, p.queued()) {
			q.remove(t)
			p.counts.Refused++
			t.granted <- grant{err: p.overload(result.DeadlineUnreachable, "the remaining time is too short")}
			continue
		}
		e := p.startable(t, now)
		if e == nil {
			return
		}
		q.remove(t)
		t.granted <- grant{execution: e}
	}
}

// startable occupies a slot for t, or returns nil when t has to wait.
func (p *pool) startable(t *task, now time.Time) *execution {
	if u := p.choose(t, now, p.queued()); u != nil {
		return p.bind(u, t, now, false)
	}
	return p.probeSilentByWaiting(t, now)
}

// next returns the task to start next and its queue.
func (p *pool) next() (*task, *queue) {
	normal, long := p.normal.head(), p.long.head()
	if long != nil && p.longInUse >= p.longSlots() {
		long = nil
	}
	switch {
	case normal == nil && long == nil:
		return nil, nil
	case normal == nil, long != nil && long.deadline.Before(normal.deadline):
		return long, &p.long
	default:
		return normal, &p.normal
	}
}

// canFinish tells whether t can meet its deadline when it starts now. When
// others wait for the slot, t needs time for its route's high cost, because an
// answer after the deadline would waste the slot.
func (t *task) canFinish(now time.Time, waiting int) bool {
	need := t.expected.median
	if waiting > 1 {
		need = t.need()
	}
	return now.Add(need).Before(t.deadline)
}

// need returns the time that t should have left at its start in a saturated
// pool: nearly always enough, but not more than half of the time that the
// caller gave unless the route usually takes as long.
func (t *task) need() time.Duration {
	half := t.deadline.Sub(t.arrived) / 2
	return min(t.expected.full, max(half, t.expected.high))
}
