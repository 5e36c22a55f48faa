// Package agent wires together the control plane of one instance: platform
// client, configuration versions, membership, share checkpoints, the link to
// the own entry and the operator API.
//
// The agent decides nothing about requests. It gives its entry one snapshot
// after another, each of which replaces the one before as a whole, and takes
// the entry's report as the answer. What it cannot learn from the platform it
// learns from its peers or from the entry.
package agent

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/configstore"
	"github.com/sequoiacove/sequoiacove/pkg/configsync"
	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/lease"
	"github.com/sequoiacove/sequoiacove/pkg/membership"
	"github.com/sequoiacove/sequoiacove/pkg/operatorapi"
	"github.com/sequoiacove/sequoiacove/pkg/peer"
	"github.com/sequoiacove/sequoiacove/pkg/platform"
	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/pkg/settings"
)

const (
	checkpointLease = "shares-checkpoint"
	// leaseTerm leaves two renewals between two checkpoints.
	leaseTerm = 15 * time.Second
	// distributeTimeout bounds the push of one version.
	distributeTimeout = 10 * time.Second
	// maxAsked bounds the peers that are asked for their version after a pause.
	maxAsked = 8
)

// Agent is the control plane of one instance.
type Agent struct {
	settings *settings.Instance
	logger   *slog.Logger
	registry metrics.Registry

	server      *peer.Server
	client      *peer.Client
	platform    *platform.Client
	store       *configstore.Store
	sync        *configsync.Syncer
	members     *membership.Table
	lease       *lease.Lease
	instances   *instances
	checkpoints *checkpoints
	link        *entryLink
	api         *operatorapi.API

	operatorListener net.Listener
	adminListener    net.Listener
	// background holds pushes of accepted versions.
	background sync.WaitGroup
}

// New opens the sockets of an agent; Run serves them.
func New(s *settings.Instance, logger *slog.Logger) (*Agent, error) {
	serverTLS, clientTLS, err := peer.LoadTLS(s.TLS)
	if err != nil {
		return nil, err
	}
	a := &Agent{settings: s, logger: logger, registry: metrics.NewRegistry()}
	if err := a.open(serverTLS); err != nil {
		a.closeListeners()
		return nil, err
	}
	a.client = peer.NewClient(peer.ClientConfig{
		TLS: clientTLS, Logger: logger, Registry: a.registry, LocalAddress: s.Agent.PeerAddress,
	})
	a.build()
	return a, nil
}

// open opens the sockets of operators, the admin address and peers.
func (a *Agent) open(serverTLS *tls.Config) (err error) {
	s := a.settings.Agent
	if a.operatorListener, err = listen(s.OperatorAddress); err != nil {
		return err
	}
	if s.OperatorTLS {
		a.operatorListener = tls.NewListener(a.operatorListener, &tls.Config{
			Certificates: serverTLS.Certificates,
			MinVersion:   tls.VersionTLS13,
		})
	}
	if a.adminListener, err = listen(s.AdminAddress); err != nil {
		return err
	}
	a.server, err = peer.NewServer(peer.ServerConfig{
		Address: s.PeerAddress, TLS: serverTLS, Logger: a.logger, Registry: a.registry,
	})
	return err
}

// closeListeners closes the listeners that open has opened.
func (a *Agent) closeListeners() {
	for _, listener := range []net.Listener{a.operatorListener, a.adminListener} {
		if listener != nil {
			listener.Close()
		}
	}
}

func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, result.New(result.SettingsInvalid, "listen on %s: %v", address, err)
	}
	return l, nil
}

// build makes the parts of the agent and joins them.
func (a *Agent) build() {
	s := a.settings
	incarnation := uint64(time.Now().UnixNano())
	a.platform = platform.NewClient(platform.ClientConfig{
		TableAddress: s.Platform.TableAddress, ObjectsAddress: s.Platform.ObjectsAddress,
		ListAddress: s.Platform.ListAddress, Timeout: s.Platform.Timeout,
		Metrics: a.registry, Logger: a.logger,
	})
	a.store = configstore.New(a.platform, a.platform.Objects(), time.Now)
	a.members = membership.New(membership.Config{
		Self: cluster.Member{
			ID: s.ID, Incarnation: incarnation, Region: s.Region, Domain: s.Domain,
			CallerAddress: s.Entry.CallerAddress, EntryAddress: s.Entry.AdvertisedAddress,
			AgentAddress: s.Agent.AdvertisedAddress,
		},
		Seeds: s.Membership.Seeds, Interval: s.Membership.HeartbeatInterval,
		SuspectAfter: s.Membership.SuspectAfter, DeadAfter: s.Membership.DeadAfter,
		Caller: a.client, Logger: a.logger, Registry: a.registry,
		Heard: func(m cluster.Member) { a.sync.Heard(m.Version, m.Hash, m.AgentAddress) },
	})
	a.sync = configsync.New(configsync.Config{
		ID: s.ID, Domain: s.Domain, Caller: a.client, Members: a.members.Members,
		Source: a.store, OnVersion: a.onVersion, Metrics: a.registry, Logger: a.logger,
	})
	a.lease = lease.New(lease.Config{
		Table: a.platform, Name: checkpointLease, Holder: holderName(s.ID, incarnation),
		Term: leaseTerm, Logger: a.logger,
	})
	a.instances = &instances{
		lister: a.platform, domain: s.Domain, live: a.liveAgents, changed: a.onList,
		caller: a.client, peers: a.askable,
	}
	a.checkpoints = &checkpoints{
		id: s.ID, table: a.platform, lease: a.lease, members: a.members.Members, now: time.Now,
	}
	a.link = newEntryLink(linkConfig{
		Address: s.Entry.PeerAddress, Caller: a.client, Clock: membership.SystemClock{},
		Members: a.members, Versions: a.sync, Upstreams: a.instances.domainUpstreams,
		Checkpoint: a.checkpoints.current, Resync: a.resync, Logger: a.logger,
	})
	a.api = a.newAPI()
	a.server.Handle(peer.SyncMembers, a.members.HandleSync)
	a.server.Handle(peer.PushVersion, a.sync.HandlePush)
	a.server.Handle(peer.FetchVersion, a.sync.HandleFetch)
	a.server.Handle(peer.FetchInstances, a.instances.handle)
}

func (a *Agent) newAPI() *operatorapi.API {
	return operatorapi.New(operatorapi.Config{
		Instance: a.settings.ID, Store: a.store, Backend: backend{a}, Operators: a.settings.Agent.Operators,
		RequestsPerSecond: a.settings.Agent.OperatorRequestsPerSecond, Now: time.Now, Logger: a.logger, Registry: a.registry,
	})
}

// onVersion passes a new version on to the entry and, by the next heartbeat,
// to the peers.
func (a *Agent) onVersion(v cluster.Version) {
	a.members.Update(func(m *cluster.Member) { m.Version, m.Hash = v.Number, v.Hash })
	a.link.notify()
}

// onList passes a new instance list on to the members and the entry.
func (a *Agent) onList(list []platform.Instance) {
	a.members.MergeList(list)
	a.platform.SetLive(a.liveAgents())
	a.link.notify()
}

func (a *Agent) liveAgents() int { return len(a.members.Live()) + 1 }

// resync exchanges records and versions with peers at start and after a pause.
// It takes at most 2 s, so that a cut-off instance serves again.
func (a *Agent) resync(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { _ = a.members.Resync(ctx) })
	group.Go(func() { _, _ = a.sync.Bootstrap(ctx, a.askable()) })
	group.Wait()
}

// askable returns the agent addresses to ask for versions and lists: live
// members of the own domain first, then the other ones, then seeds.
func (a *Agent) askable() []string {
	seen := make(map[string]bool)
	var list []string
	add := func(addr string) {
		if !seen[addr] && len(list) <= maxAsked {
			seen[addr] = true
			list = append(list, addr)
		}
	}
	// The own address is listed first and cut off at the end, so that it is not
	// asked when it is among the seeds.
	add(a.settings.Agent.AdvertisedAddress)
	live := a.members.Live()
	for _, own := range []bool{true, false} {
		for _, m := range live {
			if (m.Domain == a.settings.Domain) == own {
				add(m.AgentAddress)
			}
		}
	}
	for _, addr := range a.settings.Membership.Seeds {
		add(addr)
	}
	return list[1:]
}

// distribute pushes a version in the background.
func (a *Agent) distribute(v cluster.Version) {
	a.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), distributeTimeout)
		defer cancel()
		reach := a.sync.Distribute(ctx, v)
		if reach.Missed > 0 {
			event.Log(a.logger, event.VersionPushFailed, "version", v.Number, "missed", reach.Missed)
		}
	})
}
