package instance

import (
	"context"
	"math"
	"net"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/balance"
	"github.com/sequoiacove/sequoiacove/pkg/catalog"
	"github.com/sequoiacove/sequoiacove/pkg/mesh"
)

// startMesh starts the exchange of heartbeats and the snapshot server.
func (i *Instance) startMesh(ctx context.Context, l *listeners) {
	s := i.settings
	i.mesh = mesh.New(mesh.Config{
		Self:        mesh.Member{ID: s.ID, Region: s.Region, Domain: s.Domain, CallerAddress: s.CallerAddress, Address: s.advertisedMeshAddress(), LinkMbps: s.LinkMbps},
		OpenSocket:  func() (net.PacketConn, error) { return net.ListenPacket("udp4", s.meshSourceAddress()) },
		Incarnation: uint64(i.opt.Random() * (1 << 62)),
		Seeds:       s.Seeds, Now: i.opt.Now, Random: i.opt.Random, Logger: i.logger,
		LocalStatus: i.localStatus, InFlight: i.balancer.InFlight, Demands: i.balancer.Demands, RouteStats: i.balancer.RouteStats,
		Notices: i.balancer.Notices, RegionNotices: i.balancer.RegionNotices, OnNotices: i.balancer.SetPeerNotices,
		RegionTotals: i.balancer.RegionReport, OnLoad: i.balancer.SetPeerInFlight, OnDemand: i.balancer.SetPeerDemand, OnRouteStats: i.balancer.SetPeerRouteStats,
		OnMembershipChange: i.updateInstances, OnHeartbeat: i.onHeartbeat,
		OnRegionShares: i.setRegionTraffic,
	}, l.datagrams)
	go i.mesh.Run(ctx)
	go mesh.ServeSnapshots(l.snapshots, i.opt.Now, i.changesSince)
}

// localStatus returns the status of this instance that heartbeats carry.
func (i *Instance) localStatus() mesh.Status {
	directives, upstreams := i.catalog.Revisions()
	state := mesh.Serving
	switch {
	case i.leaving(), i.drained():
		state = mesh.Leaving
	case !i.ready():
		state = mesh.Starting
	}
	return mesh.Status{State: state, DirectivesRevision: directives, UpstreamsRevision: upstreams, Watching: i.watchesStore() && !i.catalog.StoreDown(), Proofs: i.catalog.Proofs(),
		DescriptionVersion: i.policy.Current().Number, ActiveRequests: i.ingress.InFlight(), Shares: i.policy.Shares(), RequestRates: i.policy.Demand()}
}

// storeWatchersPerRegion is the number of instances per region that watch the
// store. The other instances of the region fetch changes from them.
const storeWatchersPerRegion = 2

// fetchFailureWatchTime is how long an instance watches the store itself after
// it failed to fetch changes from a member.
const fetchFailureWatchTime = 5 * time.Second

// watchRole returns the role of this instance in watching the store. It watches
// unless storeWatchersPerRegion instances of a lower rank already watch, the store has
// answered one of them lately, and the instance's own tables are proven current. It also
// watches for fetchFailureWatchTime after a member failed to serve its changes.
func (i *Instance) watchRole() catalog.WatchRole {
	now, maxAge := i.opt.Now(), i.catalog.MaxProofAge()
	lowerRankedWatchers := i.mesh.Rank(func(m mesh.Member) bool { return m.Watching })
	lowerRankedAnswered := i.mesh.Rank(func(m mesh.Member) bool { return m.Watching && now.Sub(m.Proofs.StoreAnswered) <= maxAge })
	until := i.watchStoreUntil.Load()
	return catalog.WatchRole{Primary: lowerRankedAnswered == 0,
		Watches: lowerRankedAnswered == 0 || lowerRankedWatchers < storeWatchersPerRegion || !i.catalog.Current() || until != nil && now.Before(*until),
		Rank:    i.mesh.Rank(func(m mesh.Member) bool { return m.State != mesh.Leaving })}
}

// watchesStore reports whether this instance watches the store.
func (i *Instance) watchesStore() bool { return i.watchRole().Watches }

// announceChanges sends a heartbeat at once if this instance watches the store,
// because other instances rely on the heartbeat to learn of changes.
func (i *Instance) announceChanges() {
	if i.watchesStore() {
		go i.mesh.Announce()
	}
}

// announceProof sends a heartbeat at once if the other instances of the region rely on this
// one for the proof that their tables are current.
func (i *Instance) announceProof() {
	if i.watchRole().Primary {
		go i.mesh.SendHeartbeat()
	}
}

// onHeartbeat handles a heartbeat of a member of the region and requests a fetch
// if the member has newer revisions.
func (i *Instance) onHeartbeat(m mesh.Member) {
	newer := m.DescriptionVersion > i.policy.Current().Number
	i.catalog.Confirm(m.DirectivesRevision, m.UpstreamsRevision, m.Proofs, m.ID)
	if m.Watching {
		known := i.knownRevisions()
		newer = newer || i.hasNewerTables(m, known) && i.takesTablesFrom(m, known)
	}
	if !newer {
		return
	}
	select {
	case i.membersAhead <- m:
	default:
		// A fetch is already pending; the next heartbeat announces the revisions
		// again.
	}
}

// limitsKnown reports whether this instance knows its portion of the concurrency limits:
// there are none, or the other instances are known from the store or by their heartbeats.
func (i *Instance) limitsKnown() bool {
	return i.balancer.MembershipSettled() || !i.policy.HasConcurrencyLimits()
}

// limitRank returns the rank of this instance among those that share the concurrency limits,
// and their number. While they are not known, it returns a rank without a portion.
func (i *Instance) limitRank() (rank, instances int) {
	if i.balancer.MembershipSettled() {
		return i.balancer.InstanceRank()
	}
	return math.MaxInt, math.MaxInt
}

// updateInstances passes the live instances and the number of addresses that have
// not been reached yet to the balancer, which divides its limits among all of
// them.
func (i *Instance) updateInstances() {
	list := i.mesh.Live()
	instances := make([]balance.Instance, 0, len(list))
	for _, m := range list {
		instances = append(instances, balance.Instance{ID: m.ID, Region: m.Region, Leaving: m.State == mesh.Leaving})
	}
	i.balancer.SetInstances(instances, i.mesh.UnreachedAddressCount())
}
