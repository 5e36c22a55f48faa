// Package node is the process of one instance: it serves callers, answers
// look-ups and readiness checks, and steers each request to an upstream.
//
// An instance needs nothing but its settings to start. It learns the
// configuration and the upstreams from the platform's store, or from its peers
// while the store is away, and keeps serving with what it knows.
package node

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sequoiacove/sequoiacove/pkg/balance"
	"github.com/sequoiacove/sequoiacove/pkg/catalog"
	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/exchange"
	"github.com/sequoiacove/sequoiacove/pkg/ingress"
	"github.com/sequoiacove/sequoiacove/pkg/mesh"
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
	NewStore     func(address string) catalog.Store
	ParseBounds  BoundsParser
}

// Options holds the inputs of a Node.
type Options struct {
	Settings *Settings
	Platform Platform
	Now      func() time.Time
	// Random returns a number in [0, 1) and may be called concurrently.
	Random func() float64
	Logger *slog.Logger
}

// Node is one instance.
type Node struct {
	opt      Options
	settings *Settings
	logger   *slog.Logger
	store    catalog.Store
	catalog  *catalog.Catalog
	balancer *balance.Balancer
	client   *exchange.Client
	ingress  *ingress.Server
	mesh     *mesh.Mesh
	metrics  *nodeMetrics

	live atomic.Pointer[[]mesh.Member]
	// stopAt is the time in Unix nanoseconds at which a leaving instance
	// stops, 0 while it serves.
	stopAt   atomic.Int64
	leavesAt atomic.Int64
	started  time.Time
	behind   map[string]time.Time
}

// New returns a Node; Run opens its listeners.
func New(opt Options) *Node {
	s := opt.Settings
	n := &Node{opt: opt, settings: s, logger: opt.Logger, metrics: newMetrics(), started: opt.Now(), behind: make(map[string]time.Time)}
	n.live.Store(&[]mesh.Member{})
	n.client = exchange.NewClient(exchange.Config{Headers: opt.Platform.Headers, Now: opt.Now})
	n.balancer = balance.New(balance.Config{Instance: s.ID, Region: s.Region, Domain: s.Domain, Regions: s.Regions, Bounds: s.Bounds,
		Now: opt.Now, Random: opt.Random, Logger: opt.Logger, Forget: n.client.Forget})
	n.store = opt.Platform.NewStore(s.StoreAddress)
	n.catalog = catalog.New(catalog.Options{Store: n.store, Decode: opt.Platform.Decoder, Now: opt.Now, Random: opt.Random, Logger: opt.Logger, Changed: n.balancer.Update})
	n.ingress = ingress.NewServer(ingress.Config{Headers: opt.Platform.Headers, Now: opt.Now, Handler: n, Limits: n.limits,
		MaxConnections: s.Descriptors * 3 / 5, MaxBufferedBytes: megabytes(s.MemoryMB) / 4})
	return n
}

func (n *Node) limits() steering.Limits {
	if c := n.catalog.View().Config; c != nil {
		return c.Limits
	}
	return steering.Limits{}
}

// Run serves until ctx ends and then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	n.startMesh(background, listeners)
	go n.catalog.Run(background)
	go n.maintain(background)
	go n.register(background)
	n.startHTTP(background, listeners)
	served := make(chan error, 1)
	go func() { served <- n.ingress.Serve(listeners.callers) }()
	event.Log(n.logger, event.ProcessStarted, "region", n.settings.Region, "domain", n.settings.Domain, "callers", n.settings.CallerAddress, "mesh", n.settings.MeshAddress)
	select {
	case <-ctx.Done():
	case err := <-served:
		return err
	}
	n.stop(listeners)
	return nil
}

// listeners holds the open sockets of an instance.
type listeners struct {
	callers   net.Listener
	ready     net.Listener
	lookup    net.Listener
	admin     net.Listener
	snapshots net.Listener
	datagrams net.PacketConn
}

func (n *Node) listen() (*listeners, error) {
	l := &listeners{}
	s := n.settings
	var err error
	if l.datagrams, err = net.ListenPacket("udp4", s.MeshAddress); err != nil {
		return nil, result.New(result.SettingsInvalid, "mesh address: %v", err)
	}
	for _, x := range []struct {
		address string
		target  *net.Listener
	}{{s.CallerAddress, &l.callers}, {s.ReadyAddress, &l.ready}, {s.LookupAddress, &l.lookup}, {s.AdminAddress, &l.admin}, {s.MeshAddress, &l.snapshots}} {
		if x.address == "" {
			continue
		}
		if *x.target, err = net.Listen("tcp4", x.address); err != nil {
			event.Log(n.logger, event.ListenerFailed, "address", x.address, "error", err.Error())
			return nil, result.New(result.SettingsInvalid, "address %s: %v", x.address, err)
		}
	}
	return l, nil
}

func (n *Node) startMesh(ctx context.Context, l *listeners) {
	s := n.settings
	n.mesh = mesh.New(mesh.Config{
		Self:        mesh.Member{ID: s.ID, Region: s.Region, Domain: s.Domain, Caller: s.CallerAddress, Address: s.MeshAddress},
		Incarnation: uint64(n.opt.Random() * (1 << 62)),
		Seeds:       s.Seeds, Now: n.opt.Now, Random: n.opt.Random, Logger: n.logger,
		Local: n.local, InFlight: n.balancer.InFlight, Demands: n.balancer.Demands,
		Load: n.balancer.SetPeerInFlight, Demand: n.balancer.SetPeerDemand, Members: n.setMembers,
	}, l.datagrams)
	go n.mesh.Run(ctx)
	go mesh.ServeSnapshots(l.snapshots, n.opt.Now, n.catalog.Snapshot)
}

// local tells the peers what this instance is and knows.
func (n *Node) local() mesh.Local {
	directives, upstreams := n.catalog.Revisions()
	state := mesh.Serving
	switch {
	case n.leaving():
		state = mesh.Leaving
	case !n.ready():
		state = mesh.Starting
	}
	return mesh.Local{State: state, Directives: directives, Upstreams: upstreams}
}

func (n *Node) setMembers(list []mesh.Member) {
	n.live.Store(&list)
	instances := make([]balance.Instance, 0, len(list))
	for _, m := range list {
		instances = append(instances, balance.Instance{ID: m.ID, Region: m.Region})
	}
	n.balancer.SetInstances(instances)
}

// ready tells whether the instance can steer requests.
func (n *Node) ready() bool {
	v := n.catalog.View()
	return v.Config != nil && !n.leaving()
}

func (n *Node) leaving() bool { return n.stopAt.Load() != 0 }

// maintain runs the periodic work.
func (n *Node) maintain(ctx context.Context) {
	const step = 250 * time.Millisecond
	t := time.NewTicker(step)
	defer t.Stop()
	last := n.opt.Now()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		now := n.opt.Now()
		n.catalog.Expire()
		n.balancer.ExpirePeers()
		n.balancer.Rebalance(min(now.Sub(last), 2*step))
		n.catchUp(ctx, now)
		last = now
	}
}

const (
	// catchUpDelay is how long a peer may be ahead before its snapshot is
	// fetched: usually the own watch brings the change.
	catchUpDelay = 600 * time.Millisecond
	// registerRetry is the pause between tries to register.
	registerRetry = 2 * time.Second
	registerCall  = 1500 * time.Millisecond
)

// catchUp fetches the snapshot of a peer that has known more for a while.
func (n *Node) catchUp(ctx context.Context, now time.Time) {
	directives, upstreams := n.catalog.Revisions()
	for _, m := range n.mesh.Live() {
		if m.Directives <= directives && m.Upstreams <= upstreams {
			delete(n.behind, m.ID)
			continue
		}
		since, ok := n.behind[m.ID]
		if !ok {
			n.behind[m.ID] = now
			since = now
		}
		if directives != 0 && upstreams != 0 && now.Sub(since) < catchUpDelay {
			continue
		}
		clear(n.behind)
		s, err := mesh.FetchSnapshot(ctx, m.Address, n.opt.Now)
		if err != nil {
			event.Log(n.logger, event.SnapshotFailed, "peer", m.ID, "error", err.Error())
			return
		}
		n.metrics.snapshots.Inc(1)
		n.catalog.Merge(s, m.ID)
		return
	}
}

// register makes the own mesh address known through the store and learns those
// of the others, until the store has answered once.
func (n *Node) register(ctx context.Context) {
	put := false
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, registerCall)
		var err error
		if !put {
			err = n.store.Put(call, catalog.Instances, n.settings.ID, []byte(n.settings.MeshAddress))
			put = err == nil
		}
		if put {
			var l catalog.Listing
			if l, err = n.store.List(call, catalog.Instances); err == nil {
				cancel()
				n.addInstances(l)
				return
			}
		}
		cancel()
		event.Log(n.logger, event.RegistrationFailed, "error", err.Error())
		select {
		case <-time.After(registerRetry):
		case <-ctx.Done():
		}
	}
}

func (n *Node) addInstances(l catalog.Listing) {
	var list []string
	for _, r := range l.Rows {
		if _, _, err := net.SplitHostPort(string(r.Value)); err == nil && r.Key != n.settings.ID {
			list = append(list, string(r.Value))
		}
	}
	n.mesh.AddAddresses(list)
}

// nodeMetrics holds the counters of an instance.
type nodeMetrics struct {
	registry  metrics.Registry
	snapshots metrics.Counter
	hedges    metrics.Counter
	repeats   metrics.Counter
}

func newMetrics() *nodeMetrics {
	r := metrics.NewRegistry()
	return &nodeMetrics{registry: r, snapshots: metrics.NewRegisteredCounter("snapshots_fetched", r),
		hedges: metrics.NewRegisteredCounter("hedges", r), repeats: metrics.NewRegisteredCounter("repeats", r)}
}
