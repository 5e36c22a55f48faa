package membership

import (
	"math"
	"sort"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/event"
)

// Table holds the own record and the records of the peers.
type Table struct {
	cfg     Config
	changed chan struct{}
	// beatNow starts a round before the interval has passed.
	beatNow chan struct{}

	mu   sync.Mutex
	self cluster.Member
	// changedAt is the time of the last change of the own body.
	changedAt time.Time
	// raised counts how often peers knew a higher incarnation of this instance.
	raised int
	// peers holds all other known members by id.
	peers map[string]*entry
	// ordered holds the peers by id; nil means that peers were added or removed.
	ordered []*entry
	// byKey holds the peers by the key of their incarnation.
	byKey map[uint64]*entry
	// pass numbers the merges of digests and the answers to requests for
	// records, so that each tells which members it has met.
	pass uint64
	// selfReported is what the last digest said about this instance.
	selfReported liveness
	// listed holds the agent addresses in the platform's list, and
	// listedLeaving the incarnation to which its leaving mark applies.
	listed        []string
	listedLeaving map[string]uint64
	// inFlight holds the addresses with an exchange in flight.
	inFlight map[string]bool
	// lastStep is the time of the last step of this process, resumed the end of
	// its last pause, and holdUntil the time before which nobody is declared dead.
	lastStep, resumed, holdUntil time.Time

	pauses, exchanges, failures metrics.Counter
}

// entry is the record of a peer and its liveness.
type entry struct {
	member cluster.Member
	key    uint64
	// reported is what the digest that was merged in pass said about the member.
	reported liveness
	// pass is the last pass that met the member.
	pass uint64
	// progress is the local time of the last higher incarnation or sequence.
	progress time.Time
	// state is the state that was last reported to the log.
	state cluster.State
}

// New returns a table that holds the own record only.
func New(cfg Config) *Table {
	cfg.setDefaults()
	self := cfg.Self
	self.State = cluster.Serving
	self.Sequence, self.Revision = 1, 1
	return &Table{
		cfg:           cfg,
		changed:       make(chan struct{}, 1),
		beatNow:       make(chan struct{}, 1),
		self:          self,
		changedAt:     cfg.Clock.Now(),
		peers:         make(map[string]*entry),
		byKey:         make(map[uint64]*entry),
		listedLeaving: make(map[string]uint64),
		inFlight:      make(map[string]bool),
		lastStep:      cfg.Clock.Now(),
		pauses:        metrics.GetOrRegisterCounter("membership.pauses", cfg.Registry),
		exchanges:     metrics.GetOrRegisterCounter("membership.exchanges", cfg.Registry),
		failures:      metrics.GetOrRegisterCounter("membership.exchange_failures", cfg.Registry),
	}
}

// Changed receives a value after members joined, left, died or restarted.
func (t *Table) Changed() <-chan struct{} { return t.changed }

func (t *Table) notify() { signal(t.changed) }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Self returns the own record.
func (t *Table) Self() cluster.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// Members returns all known members with the own view of their states, in the
// order of their ids. Maps and slices inside the records are shared and must
// not be changed.
func (t *Table) Members() []cluster.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.step()
	list := make([]cluster.Member, 0, len(t.peers)+1)
	own := false
	for _, e := range t.inOrder() {
		if !own && t.self.ID < e.member.ID {
			own = true
			list = append(list, t.self)
		}
		list = append(list, e.member)
		list[len(list)-1].State = e.state
	}
	if !own {
		list = append(list, t.self)
	}
	return list
}

// inOrder returns the peers in the order of their ids.
func (t *Table) inOrder() []*entry {
	if t.ordered != nil {
		return t.ordered
	}
	t.ordered = make([]*entry, 0, len(t.peers))
	for _, e := range t.peers {
		t.ordered = append(t.ordered, e)
	}
	sort.Slice(t.ordered, func(i, j int) bool { return t.ordered[i].member.ID < t.ordered[j].member.ID })
	return t.ordered
}

// Live returns the members that are serving or leaving, without the own one.
func (t *Table) Live() []cluster.Member {
	var live []cluster.Member
	self := t.Self().ID
	for _, m := range t.Members() {
		if m.ID != self && m.State != cluster.Dead {
			live = append(live, m)
		}
	}
	return live
}

// Update changes the own record; a changed entry incarnation is passed on at
// once, and changes of shares and loads that are small or too frequent are held
// back until a later call. Identity, incarnation, sequence and state are kept;
// maps and slices must be replaced, not changed in place.
func (t *Table) Update(change func(*cluster.Member)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.self
	change(&m)
	m.ID, m.Incarnation, m.State = t.self.ID, t.self.Incarnation, t.self.State
	m.Sequence, m.Revision = t.self.Sequence, t.self.Revision
	if !due(&t.self, &m, t.cfg.Clock.Now().Sub(t.changedAt)) {
		return
	}
	if m.EntryIncarnation != t.self.EntryIncarnation {
		signal(t.beatNow)
	}
	t.self = m
	t.revise()
}

// revise counts a change of the own body.
func (t *Table) revise() {
	t.self.Sequence++
	t.self.Revision++
	t.changedAt = t.cfg.Clock.Now()
}

// Leave marks the own member as leaving for the rest of its incarnation.
func (t *Table) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.self.State == cluster.Leaving {
		return
	}
	t.self.State = cluster.Leaving
	t.revise()
	t.notify()
	signal(t.beatNow)
}

// Rejoin starts a new incarnation that is serving, after the entry of a leaving
// instance was replaced. Incarnations are start times in nanoseconds, so the
// next one is above those of other runs too.
func (t *Table) Rejoin() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.self.State != cluster.Leaving {
		return
	}
	t.self.Incarnation = max(t.self.Incarnation+1, uint64(t.cfg.Clock.Now().UnixNano()))
	t.self.State = cluster.Serving
	t.revise()
	t.notify()
	signal(t.beatNow)
}

// RaiseAbove starts a new incarnation above one that an earlier process of this
// instance used. It is needed when the wall clock went back between the two.
func (t *Table) RaiseAbove(incarnation uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.self.Incarnation > incarnation || incarnation == math.MaxUint64 {
		return
	}
	t.self.Incarnation = incarnation + 1
	t.revise()
	t.notify()
	signal(t.beatNow)
}

// step detects a pause of the own process and evaluates all liveness states.
// Every use of the table passes through it, so that a pause is seen before the
// old states are used.
func (t *Table) step() {
	now := t.cfg.Clock.Now()
	if now.Sub(t.lastStep) > max(pauseThreshold, 2*t.cfg.Interval) {
		t.pause(now)
	}
	t.lastStep = now
	for id, e := range t.peers {
		if now.Sub(e.progress) > t.cfg.ForgetAfter && !t.holding(now) {
			delete(t.peers, id)
			delete(t.byKey, e.key)
			t.ordered = nil
			delete(t.listedLeaving, id)
			continue
		}
		t.setState(e, t.stateOf(e, now))
	}
}

// pause handles a pause that ended now: members that were not dead before it
// are suspect until an exchange shows their progress.
func (t *Table) pause(now time.Time) {
	t.pauses.Inc(1)
	t.resumed = now
	t.holdUntil = now.Add(resyncBound)
	suspect := now.Add(-t.cfg.SuspectAfter)
	for _, e := range t.peers {
		if e.state != cluster.Dead {
			e.progress = suspect
		}
	}
}

func (t *Table) holding(now time.Time) bool { return now.Before(t.holdUntil) }

func (t *Table) stateOf(e *entry, now time.Time) cluster.State {
	silent := now.Sub(e.progress)
	switch {
	case silent >= t.cfg.DeadAfter && (e.state == cluster.Dead || !t.holding(now)):
		return cluster.Dead
	case e.member.State == cluster.Leaving || t.isListedLeaving(e.member):
		return cluster.Leaving
	case silent >= t.cfg.SuspectAfter:
		return cluster.Suspect
	default:
		return cluster.Serving
	}
}

func (t *Table) isListedLeaving(m cluster.Member) bool {
	incarnation, ok := t.listedLeaving[m.ID]
	return ok && incarnation == m.Incarnation
}

var stateEvents = map[cluster.State]event.ID{
	cluster.Serving: event.MemberJoined,
	cluster.Suspect: event.MemberSuspect,
	cluster.Dead:    event.MemberDead,
	cluster.Leaving: event.MemberLeaving,
}

// setState records a state and reports its change. A suspect member that makes
// progress again has not joined.
func (t *Table) setState(e *entry, state cluster.State) {
	if e.state == state {
		return
	}
	rejoined := state == cluster.Serving && e.state == cluster.Suspect
	e.state = state
	t.notify()
	if !rejoined {
		event.Log(t.cfg.Logger, stateEvents[state], "member", e.member.ID, "domain", e.member.Domain, "incarnation", e.member.Incarnation)
	}
}
