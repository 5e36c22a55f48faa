package instance

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/balance"
	"github.com/sequoiacove/sequoiacove/pkg/catalog"
	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/mesh"
)

// startWatcher starts a member of the instance's region that reports that it watches the
// store at an address, last heard from it at lastHeard, and knows what the instance knows and
// the given number of further revisions.
func (env *testEnv) startWatcher(ctx context.Context, id, address string, inst *testInstance, ahead int64, lastHeard func() time.Time) {
	conn, err := net.ListenPacket("udp4", address)
	require.NoError(env.t, err)
	m := mesh.New(mesh.Config{
		Self:  mesh.Member{ID: id, Region: inst.settings.Region, Domain: inst.settings.Domain, Address: conn.LocalAddr().String()},
		Seeds: []string{inst.settings.MeshAddress}, Now: time.Now, Random: func() float64 { return 0 }, Logger: inst.logger, Incarnation: 1,
		LocalStatus: func() mesh.Status {
			directives, upstreams := inst.catalog.Revisions()
			directives.Number += ahead
			return mesh.Status{State: mesh.Serving, Watching: true, DirectivesRevision: directives, UpstreamsRevision: upstreams,
				Proofs: catalog.Proofs{Directives: lastHeard(), Upstreams: lastHeard(), StoreAnswered: lastHeard()}}
		},
		InFlight: func() []balance.InFlight { return nil }, Demands: func() []balance.Demand { return nil }, RouteStats: func() []balance.RouteStats { return nil },
		Notices: func() (n balance.Notices) { return n }, RegionNotices: func() (n balance.Notices) { return n }, OnNotices: func(string, balance.Notices) {},
		RegionTotals: func() ([]balance.InFlight, []balance.Demand) { return nil, nil },
		OnLoad:       func(string, string, []balance.InFlight) {}, OnDemand: func(string, string, []balance.Demand) {}, OnRouteStats: func(string, string, []balance.RouteStats) {},
		OnMembershipChange: func() {}, OnHeartbeat: func(mesh.Member) {}, OnRegionShares: func(string, cluster.Shares, cluster.RequestRates) {},
	}, conn)
	go m.Run(ctx)
}

// Guards against instances that learn too late that an upstream leaves, because the members
// that watch the store for them have stopped and count as live for a while.
func TestInstanceWatchesStoreOnceItsWatchersAreSilent(t *testing.T) {
	const maxTime = 2 * time.Second // 2.5 s for a leaving upstream, less the time to list the table
	env := newTestEnv(t)
	inst := env.start("i1")
	env.awaitReady(inst, 0)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	for n := 0; inst.watchesStore(); n++ {
		// The rank of an id follows from its hash; some of the first ids come before "i1".
		env.startWatcher(ctx, fmt.Sprint("w", n), freeAddress(), inst, 0, time.Now)
		time.Sleep(50 * time.Millisecond)
		require.Less(t, n, 20)
	}
	time.Sleep(time.Second)
	require.False(t, inst.watchesStore())
	stop()
	stoppedAt := time.Now()
	require.Eventually(t, inst.watchesStore, testTimeout, 5*time.Millisecond)
	require.Less(t, time.Since(stoppedAt), maxTime)
}

// Guards against instances that learn too late that an upstream leaves, because the members
// that watch the store for them hear nothing and go on sending heartbeats.
func TestInstanceWatchesStoreOnceItsWatchersHearNothing(t *testing.T) {
	const maxTime = 2 * time.Second // 2.5 s for a leaving upstream, less the time to list the table
	env := newTestEnv(t)
	inst := env.start("i1")
	env.awaitReady(inst, 0)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var lastHeard atomic.Pointer[time.Time]
	for n := 0; inst.watchesStore(); n++ {
		env.startWatcher(ctx, fmt.Sprint("w", n), freeAddress(), inst, 0, func() time.Time {
			if at := lastHeard.Load(); at != nil {
				return *at
			}
			return time.Now()
		})
		time.Sleep(50 * time.Millisecond)
		require.Less(t, n, 20)
	}
	time.Sleep(time.Second)
	require.False(t, inst.watchesStore())
	now := time.Now()
	lastHeard.Store(&now)
	require.Eventually(t, inst.watchesStore, testTimeout, 5*time.Millisecond)
	require.Less(t, time.Since(now), maxTime)
}
