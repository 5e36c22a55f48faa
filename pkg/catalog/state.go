package catalog

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/steering"
)

const (
	// outageHold is how long a registration that lapsed with the store away is
	// kept: upstreams that are alive register again within about two seconds.
	outageHold = 2200 * time.Millisecond
	// massHold is the same for a registration that lapsed together with many
	// others while the store seemed in order. It is shorter, because the
	// upstreams may have left on purpose.
	massHold = 1500 * time.Millisecond
	// outageHoldPart and massHoldPart bound the holds by the time within which
	// a leaving upstream must get no more requests; the rest is for the change
	// to reach all instances.
	outageHoldPart = 0.88
	massHoldPart   = 0.6
	// outageMemory is how long after a failed call a lapse counts as caused by
	// the store.
	outageMemory = 3 * time.Second
	// massLapse and massLapsePart are the number and the part of a service's
	// registrations that must vanish in one change to count as a mass lapse.
	massLapse     = 3
	massLapsePart = 0.25
)

// Options holds the inputs of a Catalog.
type Options struct {
	Store  Store
	Decode Decoder
	Now    func() time.Time
	// Random returns a number in [0, 1).
	Random func() float64
	Logger *slog.Logger
	// LeaveTime is the time within which an upstream that leaves must get no
	// more requests; 0 sets no bound.
	LeaveTime time.Duration
	// Changed is called with each new view, from one goroutine at a time.
	Changed func(*steering.View)
	// Duty tells which part this instance has in watching the store.
	Duty func() Duty
	// Learned is called after a table advanced.
	Learned func()
}

// Duty is the part of an instance in watching the store.
type Duty struct {
	// Watches tells that the instance watches the store itself; the others take
	// the changes from their peers.
	Watches bool
	// First tells that no other instance of the region watches before it.
	First bool
	// Rank is its place among those that might watch.
	Rank int
}

// Catalog holds what an instance knows of directives and upstreams.
type Catalog struct {
	opt  Options
	view atomic.Pointer[steering.View]

	mu        sync.Mutex
	tables    [2]tableState
	config    *steering.Config
	evacuated map[string]bool
	upstreams map[string]steering.Upstream
	// lapsed maps upstreams without a registration to the end of their hold.
	lapsed map[string]time.Time
	// failedAt is the time of the last failed call, zero if none failed.
	failedAt time.Time
	down     bool
	calls    atomic.Int64
}

type tableState struct {
	rows     map[string]Row
	revision int64
	// deleted holds the deletions after the revision floor.
	deleted map[string]int64
	floor   int64
	// confirmedAt is when the store or a peer last confirmed the state.
	confirmedAt time.Time
}

// New returns a Catalog that knows nothing.
func New(opt Options) *Catalog {
	c := &Catalog{opt: opt, evacuated: make(map[string]bool), upstreams: make(map[string]steering.Upstream), lapsed: make(map[string]time.Time)}
	for i := range c.tables {
		c.tables[i].rows = make(map[string]Row)
		c.tables[i].deleted = make(map[string]int64)
	}
	c.view.Store(&steering.View{})
	return c
}

// View returns the current belief; it is never nil.
func (c *Catalog) View() *steering.View { return c.view.Load() }

// Revisions returns the revision up to which each table is known; 0 means that
// nothing is known.
func (c *Catalog) Revisions() (directives, upstreams int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tables[Directives].revision, c.tables[Upstreams].revision
}

// Ages returns how long ago the store or a peer confirmed each table.
func (c *Catalog) Ages() (directives, upstreams time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opt.Now()
	return now.Sub(c.tables[Directives].confirmedAt), now.Sub(c.tables[Upstreams].confirmedAt)
}

// Confirm notes that a peer that watches the store knows no more.
func (c *Catalog) Confirm(directives, upstreams int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for table, revision := range [...]int64{Directives: directives, Upstreams: upstreams} {
		if t := &c.tables[table]; t.revision >= revision && revision > 0 {
			t.confirmedAt = c.opt.Now()
		}
	}
}

// Calls returns the number of calls made to the store.
func (c *Catalog) Calls() int64 { return c.calls.Load() }

// StoreDown tells whether the last call to the store failed.
func (c *Catalog) StoreDown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.down
}

// Snapshot holds both tables, or their changes, as peers pass them on.
type Snapshot struct {
	Directives Listing `cbor:"1,keyasint"`
	Upstreams  Listing `cbor:"2,keyasint"`
	// Outage is the time since the sender's last failed call to the store, 0 if
	// that is long ago. Receivers do not call the store themselves and would
	// take a lapse that the outage caused for a leaving upstream.
	Outage time.Duration `cbor:"3,keyasint,omitempty"`
}

// Snapshot returns what a peer lacks that knows the tables up to the given
// revisions, 0 if it knows nothing.
func (c *Catalog) Snapshot(directives, upstreams int64) Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Snapshot{Directives: c.tables[Directives].after(directives), Upstreams: c.tables[Upstreams].after(upstreams)}
	if age := c.opt.Now().Sub(c.failedAt); !c.failedAt.IsZero() && age < outageMemory {
		s.Outage = max(age, 1)
	}
	return s
}

// after returns the changes after a revision, or the whole table if they are
// no longer known.
func (t *tableState) after(revision int64) Listing {
	l := Listing{Revision: t.revision}
	if revision > 0 && revision >= t.floor {
		l.Since = revision
	}
	for _, r := range t.rows {
		if r.Revision > l.Since {
			l.Rows = append(l.Rows, r)
		}
	}
	if l.Since > 0 {
		for key, at := range t.deleted {
			if at > l.Since {
				l.Rows = append(l.Rows, Row{Key: key, Revision: at, Deleted: true})
			}
		}
	}
	return l
}

// maxDeleted bounds the deletions that are remembered.
const maxDeleted = 4096

// noteDeleted remembers a deletion for peers that are behind.
func (t *tableState) noteDeleted(key string, revision int64) {
	if len(t.deleted) >= maxDeleted {
		t.deleted = make(map[string]int64)
		t.floor = t.revision
	}
	t.deleted[key] = revision
}

// Merge takes the tables of a peer that are newer than the own ones.
func (c *Catalog) Merge(s Snapshot, peer string) {
	if s.Outage > 0 {
		c.noteOutage(c.opt.Now().Add(-s.Outage))
	}
	c.take(Directives, s.Directives, peer)
	c.take(Upstreams, s.Upstreams, peer)
}

func (c *Catalog) noteOutage(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.failedAt) {
		c.failedAt = at
	}
}

func (c *Catalog) take(table Table, l Listing, peer string) {
	if l.Since == 0 {
		c.replace(table, l, peer)
		return
	}
	c.update(table, l, peer)
}

// replace installs a whole table unless a newer state is known.
func (c *Catalog) replace(table Table, l Listing, source string) {
	c.mu.Lock()
	t := &c.tables[table]
	if l.Revision <= t.revision {
		if l.Revision == t.revision {
			t.confirmedAt = c.opt.Now()
		}
		c.mu.Unlock()
		return
	}
	if t.revision == 0 {
		t.floor = l.Revision
	}
	present := make(map[string]bool, len(l.Rows))
	changes := make([]Row, 0, len(l.Rows))
	for _, r := range l.Rows {
		present[r.Key] = true
		if r.Revision != t.rows[r.Key].Revision {
			changes = append(changes, r)
		}
	}
	for key := range t.rows {
		if !present[key] {
			changes = append(changes, Row{Key: key, Revision: l.Revision, Deleted: true})
		}
	}
	c.applyLocked(table, changes, l.Revision, source)
}

// update applies changes; those that start after the known revision would
// leave a gap and are dropped.
func (c *Catalog) update(table Table, l Listing, source string) {
	c.mu.Lock()
	t := &c.tables[table]
	if l.Since > t.revision || l.Revision < t.revision {
		c.mu.Unlock()
		return
	}
	changes := l.Rows[:0]
	for _, r := range l.Rows {
		if r.Revision > t.revision {
			changes = append(changes, r)
		}
	}
	c.applyLocked(table, changes, l.Revision, source)
}

// applyLocked applies changes and publishes the new view; it unlocks the mutex.
func (c *Catalog) applyLocked(table Table, changes []Row, revision int64, source string) {
	t := &c.tables[table]
	advanced := revision > t.revision
	defer func() {
		c.mu.Unlock()
		if advanced && c.opt.Learned != nil {
			c.opt.Learned()
		}
	}()
	t.confirmedAt = c.opt.Now()
	t.revision = revision
	if len(changes) == 0 {
		return
	}
	var hold time.Duration
	if table == Upstreams {
		hold = c.holdLapses(changes)
	}
	for _, r := range changes {
		if r.Deleted {
			delete(t.rows, r.Key)
			t.noteDeleted(r.Key, r.Revision)
		} else {
			t.rows[r.Key] = r
			delete(t.deleted, r.Key)
		}
		if table == Directives {
			c.applyDirective(r, source)
		} else {
			c.applyUpstream(r, hold, source)
		}
	}
	c.publish()
}

func (c *Catalog) applyDirective(r Row, source string) {
	d, err := c.opt.Decode.Directive(r.Key, r.Value)
	if r.Deleted {
		// The key alone tells which evacuation ended; the value is gone.
		if d.Evacuate != "" {
			delete(c.evacuated, d.Evacuate)
			event.Log(c.opt.Logger, event.EvacuationEnded, "domain", d.Evacuate, "revision", r.Revision, "source", source)
		}
		return
	}
	if err != nil {
		event.Log(c.opt.Logger, event.VersionRefused, "key", r.Key, "revision", r.Revision, "source", source, "error", err.Error())
		return
	}
	if d.Evacuate != "" && !c.evacuated[d.Evacuate] {
		c.evacuated[d.Evacuate] = true
		event.Log(c.opt.Logger, event.EvacuationStarted, "domain", d.Evacuate, "revision", r.Revision, "source", source)
	}
	if d.Config == nil {
		return
	}
	if c.config != nil && d.Config.Version < c.config.Version {
		event.Log(c.opt.Logger, event.StoreBehind, "version", d.Config.Version, "in_force", c.config.Version, "revision", r.Revision, "source", source)
		return
	}
	c.config = d.Config
	event.Log(c.opt.Logger, event.VersionInForce, "version", d.Config.Version, "routes", d.Config.Routes(), "revision", r.Revision, "source", source)
}

func (c *Catalog) applyUpstream(r Row, hold time.Duration, source string) {
	old, known := c.upstreams[r.Key]
	if r.Deleted {
		if !known {
			return
		}
		if hold > 0 && old.State == steering.Ready {
			if _, held := c.lapsed[r.Key]; !held {
				c.lapsed[r.Key] = c.opt.Now().Add(hold)
				event.Log(c.opt.Logger, event.UpstreamLapsed, "upstream", r.Key, "revision", r.Revision, "source", source, "hold_ms", hold.Milliseconds())
			}
			return
		}
		c.forget(r.Key, "registration removed", source)
		return
	}
	u, err := c.opt.Decode.Upstream(r.Key, r.Value)
	if err != nil {
		// A row from another writer names no upstream to use.
		event.Log(c.opt.Logger, event.UpstreamRowInvalid, "upstream", r.Key, "revision", r.Revision, "source", source, "error", err.Error())
		if known {
			c.forget(r.Key, "registration unreadable", source)
		}
		return
	}
	delete(c.lapsed, r.Key)
	c.upstreams[r.Key] = u
	if known && old.State == steering.Ready && u.State == steering.Draining {
		event.Log(c.opt.Logger, event.UpstreamLeaving, "upstream", u.ID, "service", u.Service, "revision", r.Revision, "source", source)
	} else if !known || old.Born != u.Born {
		event.Log(c.opt.Logger, event.UpstreamJoined, "upstream", u.ID, "service", u.Service, "domain", u.Domain, "cold_ms", u.ColdRemaining.Milliseconds(), "revision", r.Revision, "source", source)
	}
}

func (c *Catalog) forget(id, reason, source string) {
	delete(c.upstreams, id)
	delete(c.lapsed, id)
	event.Log(c.opt.Logger, event.UpstreamGone, "upstream", id, "reason", reason, "source", source)
}

// holdLapses tells how long the registrations that vanish in changes are kept.
func (c *Catalog) holdLapses(changes []Row) time.Duration {
	if !c.failedAt.IsZero() && c.opt.Now().Sub(c.failedAt) < outageMemory {
		return c.boundHold(outageHold, outageHoldPart)
	}
	gone, all := make(map[string]int), make(map[string]int)
	for _, u := range c.upstreams {
		all[u.Service]++
	}
	for _, r := range changes {
		if u, ok := c.upstreams[r.Key]; ok && r.Deleted && u.State == steering.Ready {
			gone[u.Service]++
		}
	}
	for service, n := range gone {
		if n >= massLapse && float64(n) > massLapsePart*float64(all[service]) {
			return c.boundHold(massHold, massHoldPart)
		}
	}
	return 0
}

func (c *Catalog) boundHold(hold time.Duration, part float64) time.Duration {
	if c.opt.LeaveTime <= 0 {
		return hold
	}
	return min(hold, time.Duration(part*float64(c.opt.LeaveTime)))
}

// SetLeaveTime installs a new bound on the holds.
func (c *Catalog) SetLeaveTime(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.opt.LeaveTime = d
}

// Expire forgets the lapsed upstreams whose hold has ended.
func (c *Catalog) Expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, changed := c.opt.Now(), false
	for id, end := range c.lapsed {
		if now.After(end) {
			c.forget(id, "did not register again", "clock")
			changed = true
		}
	}
	if changed {
		c.publish()
	}
}

// publish makes the current state visible; the caller holds the lock.
func (c *Catalog) publish() {
	v := &steering.View{Config: c.config, Upstreams: make(map[string]steering.Upstream, len(c.upstreams)), Evacuated: make(map[string]bool, len(c.evacuated))}
	for id, u := range c.upstreams {
		v.Upstreams[id] = u
	}
	for d := range c.evacuated {
		v.Evacuated[d] = true
	}
	c.view.Store(v)
	if c.opt.Changed != nil {
		c.opt.Changed(v)
	}
}
