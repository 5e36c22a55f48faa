// Package instance is the process of one instance: it serves callers, answers
// look-ups and readiness checks, and steers each request to an upstream.
//
// An instance needs nothing but its settings to start. It learns the
// configuration and the upstreams from the platform's store, or from its peers
// while the store is away, and keeps serving with what it knows.
package instance

import (
	"context"
	"log/slog"
	"net"
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
	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/pkg/steering"
)

// Paths names the calls that an instance answers.
type Paths struct {
	Ready  string
	Lookup string
	// LookupRegion and LookupDomain are the parameters with the caller's place.
	LookupRegion string
	LookupDomain string
}

// Platform is what the product needs from the platform it runs on.
type Platform struct {
	Headers      exchange.Headers
	Paths        Paths
	Decoder      catalog.Decoder
	LookupAnswer func(addresses []string, ttl time.Duration) []byte
	NewStore     func(address string) Store
}

// Store is the platform's store: its tables, and the versions of the
// description.
type Store struct {
	Tables   catalog.Store
	Versions *configstore.Store
}

// Options holds the inputs of a Instance.
type Options struct {
	Settings *Settings
	Platform Platform
	Now      func() time.Time
	// Random returns a number in [0, 1) and may be called concurrently.
	Random func() float64
	Logger *slog.Logger
}

// Instance is one instance.
type Instance struct {
	opt      Options
	settings *Settings
	logger   *slog.Logger
	store    catalog.Store
	catalog  *catalog.Catalog
	balancer *balance.Balancer
	policy   *policy.Policy
	operator *operatorapi.API
	recent   *recentRequests
	client   *exchange.Client
	ingress  *ingress.Server
	mesh     *mesh.Mesh
	metrics  *instanceMetrics

	// bounds holds the bounds in force; the settings hold those of the start.
	bounds atomic.Pointer[steering.Bounds]
	live   atomic.Pointer[[]mesh.Member]
	// leave is nil while the instance serves.
	leave   atomic.Pointer[departure]
	started time.Time
	behind  map[string]time.Time
	// unruled is set when the instance began to serve without knowing the
	// description.
	unruled      atomic.Bool
	regionShares sync.Map
	// installing orders the views that the balancer gets.
	installing sync.Mutex
	// aloneUntil ends the time in which the instance watches the store because
	// a member did not pass on what it knows.
	aloneUntil atomic.Pointer[time.Time]
	// ahead passes on members that know more.
	ahead chan mesh.Member
}

// New returns a Instance; Run opens its listeners.
func New(opt Options) *Instance {
	s := opt.Settings
	i := &Instance{opt: opt, settings: s, logger: opt.Logger, metrics: newMetrics(), recent: newRecentRequests(), started: opt.Now(), behind: make(map[string]time.Time), ahead: make(chan mesh.Member, 1)}
	i.live.Store(&[]mesh.Member{})
	i.bounds.Store(&s.Bounds)
	i.client = exchange.NewClient(exchange.Config{Headers: opt.Platform.Headers, Now: opt.Now})
	i.balancer = balance.New(balance.Config{Instance: s.ID, Region: s.Region, Domain: s.Domain, Regions: s.Regions, Bounds: s.Bounds,
		Now: opt.Now, Random: opt.Random, Logger: opt.Logger, Forget: i.client.Forget})
	store := opt.Platform.NewStore(s.StoreAddress)
	i.store = store.Tables
	i.policy = policy.New(policy.Config{Instance: s.ID, Region: s.Region, Store: store.Versions, Polls: i.watches, Part: i.balancer.Part, Changed: i.adopt,
		Now: opt.Now, Random: opt.Random, Logger: opt.Logger})
	i.operator = operatorapi.New(operatorapi.Config{Instance: s.ID, Store: store.Versions, Backend: backend{i}, Operators: s.Operators,
		RequestsPerSecond: operatorRequestsPerSecond, Now: opt.Now, Logger: opt.Logger, Registry: i.metrics.registry})
	i.catalog = catalog.New(catalog.Options{Store: i.store, Decode: opt.Platform.Decoder, Now: opt.Now, Random: opt.Random, Logger: opt.Logger,
		LeaveTime: s.Bounds.LeaveTime, Changed: func(*steering.View) { i.install() }, Duty: i.duty, Learned: i.announce})
	i.ingress = ingress.NewServer(ingress.Config{Headers: opt.Platform.Headers, Now: opt.Now, Handler: i, Limits: i.limits,
		MaxConnections: s.Descriptors * 3 / 5, MaxBufferedBytes: megabytes(s.MemoryMB) / 4})
	return i
}

func (i *Instance) limits() steering.Limits {
	if c := i.catalog.View().Config; c != nil {
		return c.Limits
	}
	return steering.Limits{}
}

// Run serves until ctx ends and then stops gracefully.
func (i *Instance) Run(ctx context.Context) error {
	listeners, err := i.listen()
	if err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	i.startMesh(background, listeners)
	go i.catalog.Run(background)
	go i.policy.Run(background)
	go i.maintain(background)
	go i.fetchNews(background)
	go (&registrar{instance: i, now: i.opt.Now}).run(background)
	i.startHTTP(listeners)
	served := make(chan error, 1)
	go func() { served <- i.ingress.Serve(listeners.callers) }()
	event.Log(i.logger, event.ProcessStarted, "region", i.settings.Region, "domain", i.settings.Domain, "callers", i.settings.CallerAddress, "mesh", i.settings.MeshAddress)
	select {
	case <-ctx.Done():
	case err := <-served:
		return err
	}
	i.stop(listeners)
	return nil
}

// listeners holds the open sockets of an instance.
type listeners struct {
	callers   net.Listener
	ready     net.Listener
	lookup    net.Listener
	admin     net.Listener
	metrics   net.Listener
	snapshots net.Listener
	datagrams net.PacketConn
}

func (i *Instance) listen() (*listeners, error) {
	l := &listeners{}
	s := i.settings
	var err error
	if l.datagrams, err = net.ListenPacket("udp4", s.MeshAddress); err != nil {
		return nil, result.New(result.SettingsInvalid, "mesh address: %v", err)
	}
	for _, x := range []struct {
		address string
		target  *net.Listener
	}{{s.CallerAddress, &l.callers}, {s.ReadyAddress, &l.ready}, {s.LookupAddress, &l.lookup}, {s.AdminAddress, &l.admin}, {s.MetricsAddress, &l.metrics}, {s.MeshAddress, &l.snapshots}} {
		if x.address == "" {
			continue
		}
		if *x.target, err = net.Listen("tcp4", x.address); err != nil {
			event.Log(i.logger, event.ListenerFailed, "address", x.address, "error", err.Error())
			return nil, result.New(result.SettingsInvalid, "address %s: %v", x.address, err)
		}
	}
	return l, nil
}

func (i *Instance) startMesh(ctx context.Context, l *listeners) {
	s := i.settings
	i.mesh = mesh.New(mesh.Config{
		Self:        mesh.Member{ID: s.ID, Region: s.Region, Domain: s.Domain, Caller: s.CallerAddress, Address: s.MeshAddress},
		Incarnation: uint64(i.opt.Random() * (1 << 62)),
		Seeds:       s.Seeds, Now: i.opt.Now, Random: i.opt.Random, Logger: i.logger,
		Local: i.local, InFlight: i.balancer.InFlight, Demands: i.balancer.Demands,
		Region: i.balancer.RegionReport, Load: i.balancer.SetPeerInFlight, Demand: i.balancer.SetPeerDemand, Members: i.setMembers, Beat: i.heard,
		RegionShares: i.setRegionShares,
	}, l.datagrams)
	go i.mesh.Run(ctx)
	go mesh.ServeSnapshots(l.snapshots, i.opt.Now, i.changes)
}

// local tells the peers what this instance is and knows.
func (i *Instance) local() mesh.Local {
	directives, upstreams := i.catalog.Revisions()
	state := mesh.Serving
	switch {
	case i.leaving(), i.drained():
		state = mesh.Leaving
	case !i.ready():
		state = mesh.Starting
	}
	return mesh.Local{State: state, Directives: directives, Upstreams: upstreams, Watching: i.watches() && !i.catalog.StoreDown(),
		Version: i.policy.Current().Number, Active: i.ingress.Active(), Shares: i.policy.Shares()}
}

// watchers is the number of instances of a region that watch the store; the
// others take the changes from them.
const watchers = 2

// aloneTime is how long an instance watches the store after it failed to get
// changes from a member.
const aloneTime = 5 * time.Second

// duty returns the part of this instance in watching the store: it watches
// unless enough others of a lower rank do and reach it, and pass on what they
// learn.
func (i *Instance) duty() catalog.Duty {
	others := i.mesh.Rank(func(m mesh.Member) bool { return m.Watching })
	alone := i.aloneUntil.Load()
	return catalog.Duty{First: others == 0, Watches: others < watchers || alone != nil && i.opt.Now().Before(*alone),
		Rank: i.mesh.Rank(func(m mesh.Member) bool { return m.State != mesh.Leaving })}
}

// watches tells whether this instance watches the store.
func (i *Instance) watches() bool { return i.duty().Watches }

// announce tells the others at once that this instance knows more, if they
// rely on it.
func (i *Instance) announce() {
	if i.watches() {
		go i.mesh.Announce()
	}
}

// heard takes a heartbeat of a member of the region.
func (i *Instance) heard(m mesh.Member) {
	news := m.Version > i.policy.Current().Number
	if m.Watching {
		i.catalog.Confirm(m.Directives, m.Upstreams)
		directives, upstreams := i.catalog.Revisions()
		news = news || !i.watches() && (m.Directives > directives || m.Upstreams > upstreams)
	}
	if !news {
		return
	}
	select {
	case i.ahead <- m:
	default:
		// A fetch is under way; the next heartbeat repeats the news.
	}
}

// fetchNews takes the changes that members announce.
func (i *Instance) fetchNews(ctx context.Context) {
	for {
		select {
		case m := <-i.ahead:
			i.fetch(ctx, m)
		case <-ctx.Done():
			return
		}
	}
}

// known returns what this instance knows.
func (i *Instance) known() mesh.Known {
	directives, upstreams := i.catalog.Revisions()
	return mesh.Known{Directives: directives, Upstreams: upstreams, Version: i.policy.Current().Number}
}

// changes returns what a member lacks.
func (i *Instance) changes(known mesh.Known) mesh.Changes {
	c := mesh.Changes{Tables: i.catalog.Snapshot(known.Directives, known.Upstreams), VersionKnown: i.policy.Known()}
	if v := i.policy.Current(); v.Number > known.Version {
		c.Version = &v
	}
	return c
}

// fetch takes what a member knows more.
func (i *Instance) fetch(ctx context.Context, m mesh.Member) {
	known := i.known()
	if m.Directives <= known.Directives && m.Upstreams <= known.Upstreams && m.Version <= known.Version {
		return
	}
	c, err := mesh.FetchSnapshot(ctx, m.Address, i.opt.Now, known)
	if err != nil {
		event.Log(i.logger, event.SnapshotFailed, "peer", m.ID, "error", err.Error())
		until := i.opt.Now().Add(aloneTime)
		i.aloneUntil.Store(&until)
		return
	}
	i.metrics.snapshots.Inc(1)
	i.catalog.Merge(c.Tables, m.ID)
	switch {
	case c.Version != nil:
		i.policy.Offer(*c.Version, m.ID)
	case c.VersionKnown:
		i.policy.SetKnown()
	}
}

func (i *Instance) setMembers(list []mesh.Member) {
	i.live.Store(&list)
	i.countInstances()
}

// countInstances tells the balancer how many instances share its limits.
func (i *Instance) countInstances() {
	list := *i.live.Load()
	instances := make([]balance.Instance, 0, len(list))
	for _, m := range list {
		instances = append(instances, balance.Instance{ID: m.ID, Region: m.Region, Leaving: m.State == mesh.Leaving})
	}
	i.balancer.SetInstances(instances, i.mesh.Unheard())
}

// ready tells whether the instance can steer requests.
func (i *Instance) ready() bool {
	v := i.catalog.View()
	return v.Config != nil && i.mayServe() && !i.leaving()
}

func (i *Instance) leaving() bool { return i.leave.Load() != nil }

// maintain runs the periodic work.
func (i *Instance) maintain(ctx context.Context) {
	const step = 250 * time.Millisecond
	t := time.NewTicker(step)
	defer t.Stop()
	last := i.opt.Now()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		now := i.opt.Now()
		i.catalog.Expire()
		i.countInstances()
		i.balancer.ExpirePeers()
		i.balancer.Rebalance(min(now.Sub(last), 2*step))
		i.stepShares()
		i.catchUp(ctx, now)
		last = now
	}
}

// catchUpDelay is how long a peer may be ahead before its snapshot is fetched:
// usually the own watch brings the change.
const catchUpDelay = 600 * time.Millisecond

// catchUp fetches the snapshot of a peer that has known more for a while.
func (i *Instance) catchUp(ctx context.Context, now time.Time) {
	known := i.known()
	for _, m := range i.mesh.Live() {
		if m.Directives <= known.Directives && m.Upstreams <= known.Upstreams && m.Version <= known.Version {
			delete(i.behind, m.ID)
			continue
		}
		since, ok := i.behind[m.ID]
		if !ok {
			i.behind[m.ID] = now
			since = now
		}
		if known.Directives != 0 && known.Upstreams != 0 && m.Version <= known.Version && now.Sub(since) < catchUpDelay {
			continue
		}
		clear(i.behind)
		i.fetch(ctx, m)
		return
	}
}
