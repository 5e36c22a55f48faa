// Package instance implements the process of one instance. It serves callers,
// answers lookups and readiness checks, and steers each request to an upstream.
//
// An Instance connects the packages that do the work. For each request that
// package ingress reads from a caller, package policy assigns a failure domain by
// the shares of the operators' description, package balance chooses an upstream
// in it, and package exchange sends the request there (serve.go). Package catalog
// holds the configuration and the upstreams, and package mesh exchanges
// heartbeats with the other instances.
//
// An instance needs only its settings to start. It loads the configuration and
// the upstreams from the platform's store, or from its peers while the store is
// unavailable, and keeps serving with the last known state. A few instances of
// each region watch the store; the other instances fetch changes from them
// (members.go).
package instance

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/balance"
	"github.com/sequoiacove/sequoiacove/pkg/catalog"
	"github.com/sequoiacove/sequoiacove/pkg/configstore"
	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/exchange"
	"github.com/sequoiacove/sequoiacove/pkg/ingress"
	"github.com/sequoiacove/sequoiacove/pkg/mesh"
	"github.com/sequoiacove/sequoiacove/pkg/operatorapi"
	"github.com/sequoiacove/sequoiacove/pkg/policy"
	"github.com/sequoiacove/sequoiacove/pkg/steering"
	"github.com/sequoiacove/sequoiacove/pkg/transfer"
)

// Paths holds the HTTP paths and query parameters that an instance serves.
type Paths struct {
	Readiness string
	Lookup    string
	// LookupRegion and LookupDomain are the query parameters with the caller's
	// region and failure domain.
	LookupRegion string
	LookupDomain string
}

// Platform adapts an instance to the platform it runs on.
type Platform struct {
	Headers exchange.Headers
	Paths   Paths
	Decoder catalog.Decoder
	// EncodeLookup encodes the response to a lookup.
	EncodeLookup func(addresses []string, ttl time.Duration) []byte
	NewStore     func(address string) Store
}

// Store gives access to the platform's store: its tables and the versions of
// the description.
type Store struct {
	Tables   catalog.Store
	Versions *configstore.Store
}

// Options configures an Instance.
type Options struct {
	Settings *Settings
	Platform Platform
	Now      func() time.Time
	// Random returns a number in [0, 1) and may be called concurrently.
	Random func() float64
	Logger *slog.Logger
}

// Instance steers the requests of its callers to upstreams.
type Instance struct {
	opt            Options
	settings       *Settings
	logger         *slog.Logger
	store          catalog.Store
	versions       *configstore.Store
	catalog        *catalog.Catalog
	balancer       *balance.Balancer
	policy         *policy.Policy
	operator       *operatorapi.API
	recentRequests *recentRequests
	client         *exchange.Client
	ingress        *ingress.Server
	mesh           *mesh.Mesh
	metrics        *instanceMetrics
	// pauseDetector detects that the process was paused and delays requests until
	// the state of the instance is up to date again.
	pauseDetector *pauseDetector

	// bounds holds the current limits on retries, region shifts, draining, shutdown
	// and the lookup TTL. A reload replaces them; settings keeps the initial values.
	bounds atomic.Pointer[steering.GlobalLimits]
	// shutdown is nil until the instance is told to stop.
	shutdown atomic.Pointer[shutdownTimes]
	// commonVersion records the description version that all live instances have
	// reached. It is never nil; its version is 0 while some live instance has an
	// older description than this instance.
	commonVersion atomic.Pointer[commonVersionState]
	startedAt     time.Time
	// aheadSince maps the IDs of members with newer revisions to the time when the
	// newer revisions were noticed.
	aheadSince map[string]time.Time
	// servesWithoutDescription is set once the wait for the description has timed
	// out.
	servesWithoutDescription atomic.Bool
	// descriptionDifferences holds the differences to the description in force.
	descriptionDifferences transfer.DiffCache
	// fetches decides which members may be asked for their state.
	fetches *fetches
	// trafficByRegion maps the names of the other regions to their regionTraffic.
	trafficByRegion sync.Map
	// balancerMu serializes updates of the balancer, so that an older view never
	// replaces a newer one.
	balancerMu sync.Mutex
	// mergeMu is held while the answer of a peer is applied: its tables, then its description.
	mergeMu sync.Mutex
	// configured is set once the balancer has a configuration.
	configured atomic.Bool
	// watchStoreUntil is the time until which the instance watches the store
	// because a fetch from a member failed.
	watchStoreUntil atomic.Pointer[time.Time]
	// membersAhead carries members whose heartbeats announce newer revisions.
	membersAhead chan mesh.Member
	// restoreVersions and registerAgain hold a value each after the store has come back from
	// an older copy, until the versions of the description have been checked and the instance
	// has registered again.
	restoreVersions, registerAgain chan struct{}
}

// responseMemoryDivisor is the memory of the process divided by the bytes of the responses
// that are being read. They may take a quarter of the memory: a buffer that grows takes three
// times its bytes, and the garbage collector frees those of failed responses late.
const responseMemoryDivisor = 24

// New returns an Instance; Run opens its listeners.
func New(opt Options) *Instance {
	s := opt.Settings
	i := &Instance{opt: opt, settings: s, logger: opt.Logger, metrics: newMetrics(), recentRequests: newRecentRequests(), startedAt: opt.Now(), aheadSince: make(map[string]time.Time), membersAhead: make(chan mesh.Member, 1), fetches: newFetches(opt.Now),
		restoreVersions: make(chan struct{}, 1), registerAgain: make(chan struct{}, 1)}
	i.pauseDetector = newPauseDetector(opt.Now, func() time.Time { return opt.Now().Round(0) }, i.syncFromPeers)
	i.bounds.Store(&s.Bounds)
	i.commonVersion.Store(&commonVersionState{})
	i.client = exchange.NewClient(exchange.Config{Headers: opt.Platform.Headers, Now: opt.Now, MaxBufferedBytes: megabytesToBytes(s.MemoryLimitMB) / responseMemoryDivisor})
	i.balancer = balance.New(balance.Config{Instance: s.ID, Region: s.Region, Domain: s.Domain, RegionByDomain: s.Regions, GlobalLimits: s.Bounds,
		Now: opt.Now, Random: opt.Random, Logger: opt.Logger, OnRemove: i.client.RemoveUpstream})
	store := opt.Platform.NewStore(s.StoreAddress)
	i.store, i.versions = store.Tables, store.Versions
	i.policy = policy.New(policy.Config{InstanceID: s.ID, Region: s.Region, Store: store.Versions, ShouldPoll: i.watchesStore, Rank: i.limitRank, OnChange: i.applyDescription, OnInForce: func() { go i.mesh.Announce() },
		Now: opt.Now, Random: opt.Random, Logger: opt.Logger})
	i.operator = operatorapi.New(operatorapi.Config{InstanceID: s.ID, Store: store.Versions, LocalInstance: localInstance{i}, Operators: s.Operators,
		MaxRequestsPerSecond: operatorRequestsPerSecond, Now: opt.Now, Logger: opt.Logger, Registry: i.metrics.registry})
	i.catalog = catalog.New(catalog.Options{Store: i.store, Decode: opt.Platform.Decoder, Now: opt.Now, Random: opt.Random, Logger: opt.Logger,
		DrainTimeout: s.Bounds.DrainTimeout, OnChange: func(*steering.View) { i.updateBalancer() }, WatchRole: i.watchRole, OnRevisionAdvance: i.announceChanges, OnStoreAnswer: i.announceProof, OnConfig: i.recordConfig, OnEraChange: i.onStoreEraChange})
	i.ingress = ingress.NewServer(ingress.Config{Headers: opt.Platform.Headers, Now: opt.Now, Handler: i, Limits: i.limits,
		MaxConnections: s.MaxFileDescriptors * 3 / 5, MaxBufferedBodyBytes: megabytesToBytes(s.MemoryLimitMB) / 4})
	return i
}

func (i *Instance) limits() steering.CallerLimits {
	if c := i.catalog.View().Config; c != nil {
		return c.Limits
	}
	return steering.CallerLimits{}
}

// Run serves until ctx ends and then stops gracefully.
func (i *Instance) Run(ctx context.Context) error {
	listeners, err := i.listen()
	if err != nil {
		return err
	}
	backgroundCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	i.startMesh(backgroundCtx, listeners)
	go i.catalog.Run(backgroundCtx)
	go i.policy.Run(backgroundCtx)
	go i.runPeriodicTasks(backgroundCtx)
	go i.pauseDetector.run(backgroundCtx)
	go i.fetchAnnouncedChanges(backgroundCtx)
	go i.checkWhileIsolated(backgroundCtx)
	go i.restoreLostVersions(backgroundCtx)
	go (&registrar{instance: i, now: i.opt.Now}).run(backgroundCtx)
	i.startHTTP(listeners)
	serveErr := make(chan error, 1)
	go func() { serveErr <- i.ingress.Serve(listeners.callers) }()
	event.Log(i.logger, event.ProcessStarted, "region", i.settings.Region, "domain", i.settings.Domain, "callers", i.settings.CallerAddress, "mesh", i.settings.MeshAddress)
	select {
	case <-ctx.Done():
	case err := <-serveErr:
		return err
	}
	i.stop(listeners)
	return nil
}

// ready reports whether the instance can steer requests.
func (i *Instance) ready() bool {
	return i.configured.Load() && i.descriptionKnownOrTimedOut() && i.limitsKnown() && !i.leaving() && !i.pauseDetector.resuming()
}

func (i *Instance) leaving() bool { return i.shutdown.Load() != nil }

// runChecks runs the tasks whose delay adds to the time until something goes out of use.
func (i *Instance) runChecks() {
	i.catalog.ExpireGracePeriods()
	if silence := i.client.CloseSilent(); silence > 0 {
		event.Log(i.logger, event.UpstreamConnectionsSilent, "silent_ms", silence.Milliseconds())
	}
}

// runPeriodicTasks runs the periodic tasks until ctx ends.
func (i *Instance) runPeriodicTasks(ctx context.Context) {
	const interval, checkInterval = 250 * time.Millisecond, 50 * time.Millisecond
	t, check := time.NewTicker(interval), time.NewTicker(checkInterval)
	defer t.Stop()
	defer check.Stop()
	lastRun := i.opt.Now()
	for {
		select {
		case <-check.C:
			i.runChecks()
			continue
		case <-t.C:
		case <-ctx.Done():
			return
		}
		now := i.opt.Now()
		i.updateInstances()
		i.balancer.ExpirePeers()
		i.balancer.Rebalance(min(now.Sub(lastRun), 2*interval))
		i.stepShares()
		i.catchUp(ctx, now)
		i.updateCommonVersion(now)
		lastRun = now
	}
}
