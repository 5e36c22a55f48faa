// Package configsync brings the current configuration version to every agent
// and holds it as one immutable value whose number only rises.
//
// The accepting agent pushes a version to all agents of its own domain and to
// one agent, a relay, of every other domain; relays push it to their domain.
// What a push misses is repaired by heartbeats, which carry the version number
// and make an agent fetch a higher one from the peer, and by a slow poll of
// the store's head.
package configsync

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/peer"
	"github.com/sequoiacove/sequoiacove/pkg/platform"
)

// Source is the store that Bootstrap and the poll read; configstore.Store
// implements it.
type Source interface {
	Head(ctx context.Context) (cluster.Version, error)
	Load(ctx context.Context, number uint64) (cluster.Version, error)
}

// Config configures a Syncer. Zero values of the optional fields select
// defaults.
type Config struct {
	// ID and Domain are those of the own instance.
	ID     string
	Domain string
	Caller peer.Caller
	// Members returns the known members; the own one may be among them.
	Members func() []cluster.Member
	Source  Source
	// OnVersion is called with each version that comes into force, in order.
	// It must not call Offer.
	OnVersion func(cluster.Version)
	Now       func() time.Time
	Sleep     func(ctx context.Context, d time.Duration) error
	// Random returns numbers from 0 to below 1; calls may be concurrent.
	Random  func() float64
	Metrics metrics.Registry
	Logger  *slog.Logger
}

func (c *Config) setDefaults() {
	if c.OnVersion == nil {
		c.OnVersion = func(cluster.Version) {}
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Sleep == nil {
		c.Sleep = platform.Sleep
	}
	if c.Random == nil {
		c.Random = rand.Float64
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	if c.Logger == nil {
		c.Logger = event.Discard()
	}
}

// Syncer holds the current version of an agent.
type Syncer struct {
	config  Config
	current atomic.Pointer[cluster.Version]
	// adopting orders the changes of current and the calls of OnVersion.
	adopting sync.Mutex
	fetches  fetchSet
	// loggedMismatch is the last version number for which a mismatch was logged.
	loggedMismatch atomic.Uint64
	// loggedBehind is the last version number for which an older store was logged.
	loggedBehind atomic.Uint64
	// refused is the last version number that was refused as invalid.
	refused atomic.Uint64
	meters  meters

	ctx    context.Context
	cancel context.CancelFunc
	// starting keeps tasks from starting after Close.
	starting sync.Mutex
	tasks    sync.WaitGroup
}

type meters struct {
	adopted, pushed, pushFailed, fetched, fetchFailed, mismatched, deltaMissed metrics.Counter
	version                                                                    metrics.Gauge
}

func newMeters(r metrics.Registry) meters {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("configsync."+name, r)
	}
	return meters{
		adopted: counter("adopted"), pushed: counter("pushes"), pushFailed: counter("push_failures"),
		fetched: counter("fetches"), fetchFailed: counter("fetch_failures"), mismatched: counter("hash_mismatches"),
		deltaMissed: counter("delta_misses"),
		version:     metrics.GetOrRegisterGauge("configsync.version", r),
	}
}

// New returns a syncer that holds version 0.
func New(config Config) *Syncer {
	config.setDefaults()
	s := &Syncer{config: config, fetches: newFetchSet(), meters: newMeters(config.Metrics)}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.current.Store(&cluster.Version{})
	return s
}

// Close stops background fetches and pushes and waits for them.
func (s *Syncer) Close() {
	s.starting.Lock()
	s.cancel()
	s.starting.Unlock()
	s.tasks.Wait()
}

// spawn runs task in the background unless the syncer is closed.
func (s *Syncer) spawn(task func()) bool {
	s.starting.Lock()
	defer s.starting.Unlock()
	if s.ctx.Err() != nil {
		return false
	}
	s.tasks.Go(task)
	return true
}

// Current returns the version in force; Number 0 means none. The bodies are
// shared and must not be changed.
func (s *Syncer) Current() cluster.Version { return *s.current.Load() }

// Offer puts v into force if it is valid and its number is higher than the
// current one, and tells whether it did.
func (s *Syncer) Offer(v cluster.Version) bool {
	return v.Number > s.Current().Number && s.check(v) == nil && s.adopt(v)
}

// check refuses an invalid version and logs it once for each number.
func (s *Syncer) check(v cluster.Version) error {
	err := Check(v)
	if err != nil && s.refused.Swap(v.Number) != v.Number {
		event.Log(s.config.Logger, event.VersionRefused, "version", v.Number, "hash", v.Hash, "error", err.Error())
	}
	return err
}

// adopt puts a checked version into force if its number is higher.
func (s *Syncer) adopt(v cluster.Version) bool {
	v.Body = append([]byte(nil), v.Body...)
	v.PreviousBody = append([]byte(nil), v.PreviousBody...)
	s.adopting.Lock()
	defer s.adopting.Unlock()
	if v.Number <= s.Current().Number {
		return false
	}
	s.current.Store(&v)
	s.meters.adopted.Inc(1)
	s.meters.version.Update(int64(v.Number))
	age := s.config.Now().UnixMilli() - v.AcceptedUnixMS
	event.Log(s.config.Logger, event.VersionInForce, "version", v.Number, "hash", v.Hash, "age_ms", age)
	s.config.OnVersion(v)
	return true
}
