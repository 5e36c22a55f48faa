package admission

import (
	"math"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
)

// target is one upstream of a pool as its owner sees it.
type target struct {
	id      string
	address string
	slots   int
	// executions holds what occupies the slots of the upstream.
	executions map[*execution]bool
	// listLeaving comes from the instance list, seenLeaving from the upstream.
	listLeaving bool
	seenLeaving bool
	// gone means that the list no longer has the upstream.
	gone      bool
	health    health
	slowStart slowStart
	load      loadReport
	// lastAnswer is the time of the last answer of any kind.
	lastAnswer time.Time
	leavingAt  time.Time
	// warmed means that the current cold start was already seen.
	warmed bool
	// probedAt is the start of the last execution, for the pause of probes.
	probedAt time.Time
	// silenceProbedAt is the time of the last silence probe.
	silenceProbedAt time.Time
}

// execution is one attempt to run a task on an upstream. It occupies a slot
// from the moment it is bound until its end is known.
type execution struct {
	id       string
	task     *task
	target   *target
	started  time.Time
	expected estimate
	hedge    bool
	// silenceProbe means that the execution was started beyond the slots of an
	// upstream whose connections may be silent.
	silenceProbe bool
	// ended means that the exchange is over, although the slot may still be
	// occupied.
	ended bool
	// abandoned means that the answer is no longer wanted.
	abandoned bool
	// released means that the slot is free.
	released bool
	// done is closed when the exchange is over.
	done chan struct{}
}

func newTarget(record cluster.UpstreamRecord) *target {
	return &target{id: record.ID, address: record.Address, executions: make(map[*execution]bool)}
}

func (u *target) apply(record cluster.UpstreamRecord) {
	u.slots = max(record.Slots, 1)
	u.listLeaving = record.State != cluster.Serving
	u.gone = false
}

func (u *target) inUse() int { return len(u.executions) }

func (u *target) leaving() bool { return u.listLeaving || u.seenLeaving || u.gone }

// limit returns how many slots of the upstream may be occupied now. Slow start
// does not lower it; it only makes the upstream a reserve.
func (u *target) limit(now time.Time) int {
	if u.leaving() || u.health.ejected(now) {
		return 0
	}
	return u.slots
}

// overdueFactor is how many times its expected high cost an execution must have
// run to count as overdue.
const overdueFactor = 1.5

// overdue counts the executions that run much longer than their route does.
func (u *target) overdue(now time.Time) int {
	n := 0
	for e := range u.executions {
		if e.overdue(now) {
			n++
		}
	}
	return n
}

func (e *execution) overdue(now time.Time) bool {
	return e.expected.known && now.Sub(e.started) > time.Duration(overdueFactor*float64(e.expected.high))
}

// slowStart limits how many slots of an upstream are preferred to those of
// others while the upstream is new, back from an ejection or cold. The number
// rises with its complete answers.
type slowStart struct {
	active bool
	// answers counts the complete answers since begin.
	answers int
}

// answersPerSlot is the number of complete answers that opens one more slot.
const answersPerSlot = 4

func (s *slowStart) begin() { *s = slowStart{active: true} }

func (s *slowStart) limit(slots int) int {
	if !s.active {
		return slots
	}
	return min(slots, 1+s.answers/answersPerSlot)
}

func (s *slowStart) answered(slots int) {
	if !s.active {
		return
	}
	s.answers++
	if s.answers >= slots*answersPerSlot {
		s.active = false
	}
}

// loadReport is the last load figure of an upstream's status.
type loadReport struct {
	// foreign is the reported load beyond what this owner had in flight.
	foreign float64
	at      time.Time
}

// loadHalfLife discounts a load figure by its age: at 3 s, the lag that
// measurements show, it counts an eighth.
const loadHalfLife = time.Second

// weight returns the discounted load of others in executions.
func (l loadReport) weight(now time.Time) float64 {
	if l.foreign <= 0 {
		return 0
	}
	age := now.Sub(l.at).Seconds() / loadHalfLife.Seconds()
	return l.foreign * math.Exp2(-age)
}
