package catalog

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

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
	// OnChange is called with each new view, from one goroutine at a time.
	OnChange func(*steering.View)
	// WatchRole tells which part this instance has in watching the store.
	WatchRole func() WatchRole
	// OnAdvance is called after a table advanced.
	OnAdvance func()
}

// WatchRole is the part of an instance in watching the store.
type WatchRole struct {
	// Watches tells that the instance watches the store itself; the others take
	// the changes from their peers.
	Watches bool
	// Primary tells that no other instance of the region watches before it.
	Primary bool
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
	if c.opt.OnChange != nil {
		c.opt.OnChange(v)
	}
}
