package catalog

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/revision"
	"github.com/sequoiacove/sequoiacove/pkg/steering"
)

const (
	// outageGracePeriod is how long after a store outage an upstream stays in use
	// whose registration lapsed during the outage or has lapsed since. Live
	// upstreams register again within about two seconds of the store's return.
	outageGracePeriod = 2200 * time.Millisecond
	// massLapseGracePeriod is the grace period if many registrations lapse at
	// once while the store appears healthy. It is shorter than
	// outageGracePeriod, because the upstreams may have left on purpose.
	massLapseGracePeriod = 1500 * time.Millisecond
	// outageGraceFraction and massLapseGraceFraction are the maximum grace
	// periods as fractions of Options.DrainTimeout. The rest of that time is
	// needed for the change to reach all instances.
	outageGraceFraction    = 0.88
	massLapseGraceFraction = 0.6
	// A mass lapse is a set of changes applied together that deletes the
	// registrations of at least massLapseMinCount ready upstreams of a service
	// and of more than massLapseFraction of the service's upstreams.
	massLapseMinCount = 3
	massLapseFraction = 0.25
)

// Options configures a Catalog.
type Options struct {
	Store  Store
	Decode Decoder
	Now    func() time.Time
	// Random returns a number in [0, 1).
	Random func() float64
	Logger *slog.Logger
	// DrainTimeout is the time within which a leaving upstream must stop
	// receiving requests. It caps the grace periods; 0 means no cap.
	DrainTimeout time.Duration
	// OnChange is called with each new view, one call at a time.
	OnChange func(*steering.View)
	// OnConfig is called for each configuration that has come into force. It must not call the
	// Catalog.
	OnConfig func(ConfigReport)
	// WatchRole returns the current role of this instance in watching the
	// store.
	WatchRole func() WatchRole
	// OnRevisionAdvance is called after the revision of a table has increased.
	OnRevisionAdvance func()
	// OnEraChange is called in a goroutine of its own after the store has come back from an
	// older copy, with the new era.
	OnEraChange func(era int64)
	// OnStoreAnswer is called after an answer of the store has proven that a table whose
	// revision did not increase is current.
	OnStoreAnswer func()
}

// ConfigReport describes how a configuration came into force.
type ConfigReport struct {
	// Bytes is the size of the encoded configuration.
	Bytes int
	// Delay is the time since an instance received the configuration from the store: this
	// one, or the one from which it was fetched. The time of a transfer counts whole, so that
	// the delay is not stated too short.
	Delay time.Duration
	// DecodeTime is the time that decoding took.
	DecodeTime time.Duration
}

// WatchRole is the role of an instance in watching the store.
type WatchRole struct {
	// Watches reports whether the instance watches the store itself.
	// Instances that do not watch get the changes from their peers.
	Watches bool
	// Primary reports whether this instance has the lowest Rank among the
	// watchers of its region.
	Primary bool
	// Rank is the zero-based position of the instance among those eligible to
	// watch.
	Rank int
}

// Catalog is one instance's copy of the directives (the operator's configurations
// and evacuations) and of the upstreams.
type Catalog struct {
	opt  Options
	view atomic.Pointer[steering.View]

	mu     sync.Mutex
	tables [2]tableState
	// era is the newest known era of the store.
	era int64
	// eraUnstatedLoggedAt and eraOutdatedLoggedAt are the times of the last lines about answers
	// without an era and of an earlier one.
	eraUnstatedLoggedAt, eraOutdatedLoggedAt time.Time
	// cancelWatches holds the functions that cancel the watches of the store in progress.
	cancelWatches [2]context.CancelFunc
	// bases holds the earlier versions of the large directives.
	bases            rowBases
	storeClock       storeClock
	config           *steering.Config
	evacuatedDomains map[string]bool
	evacuationEnds   map[string]revision.Revision
	// withdrawnEvacuations holds the last rows of the evacuations that have been withdrawn.
	withdrawnEvacuations map[string]Row
	upstreams            map[string]steering.Upstream
	// removed holds the last report of each upstream that has been removed and stated its
	// start time.
	removed map[string]steering.Upstream
	// graceDeadlines maps each upstream whose registration lapsed to the end
	// of its grace period.
	graceDeadlines map[string]graceDeadline
	storeDown      bool
	storeCallCount atomic.Int64
}

type tableState struct {
	rows     map[string]Row
	revision revision.Revision
	// deletions maps the keys deleted after revision deletionsRecordedAfter to
	// their deletions. Earlier deletions are not recorded.
	deletions              map[string]deletion
	deletionsRecordedAfter revision.Revision
	// provenAt is the time until which the table is proven current, and storeAnsweredAt the
	// time at which the store last answered a call of this instance for it.
	provenAt        time.Time
	storeAnsweredAt time.Time
	// storeBehindSince is the time from which on the store has answered with an older state
	// than the table's, zero if its last answer was not older.
	storeBehindSince time.Time
	// outageEndedAt is the time of the first proof after the last outage or return of the
	// store, zero if there was none.
	outageEndedAt time.Time
	held          heldRows
}

// deletion is the deletion of a row: its revision and the earliest time at
// which it may have been made.
type deletion struct {
	revision revision.Revision
	madeAt   time.Time
}

// New returns an empty Catalog.
func New(opt Options) *Catalog {
	c := &Catalog{opt: opt, evacuatedDomains: make(map[string]bool), evacuationEnds: make(map[string]revision.Revision), upstreams: make(map[string]steering.Upstream), removed: make(map[string]steering.Upstream), graceDeadlines: make(map[string]graceDeadline), withdrawnEvacuations: make(map[string]Row)}
	for i := range c.tables {
		c.tables[i].rows = make(map[string]Row)
		c.tables[i].deletions = make(map[string]deletion)
		c.tables[i].held.timeouts = make(map[string]time.Duration)
	}
	c.view.Store(&steering.View{})
	return c
}

// View returns the current view; it is never nil.
func (c *Catalog) View() *steering.View { return c.view.Load() }

// Revisions returns the current revision of each table; zero means that the table
// has not been loaded.
func (c *Catalog) Revisions() (directives, upstreams revision.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tables[Directives].revision, c.tables[Upstreams].revision
}

// StoreCallCount returns the number of store calls made.
func (c *Catalog) StoreCallCount() int64 { return c.storeCallCount.Load() }

// StoreDown reports whether the last store call failed.
func (c *Catalog) StoreDown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.storeDown
}

// publish builds a view of the current state and publishes it. The lock must be
// held.
func (c *Catalog) publish() {
	v := &steering.View{Config: c.config, Upstreams: make(map[string]steering.Upstream, len(c.upstreams)), EvacuatedDomains: make(map[string]bool, len(c.evacuatedDomains)), EvacuationEnds: maps.Clone(c.evacuationEnds)}
	for id, u := range c.upstreams {
		v.Upstreams[id] = u
	}
	for d := range c.evacuatedDomains {
		v.EvacuatedDomains[d] = true
	}
	c.view.Store(v)
	if c.opt.OnChange != nil {
		c.opt.OnChange(v)
	}
}
