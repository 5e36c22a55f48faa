package instance

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/catalog"
	"github.com/sequoiacove/sequoiacove/pkg/mesh"
	"github.com/sequoiacove/sequoiacove/pkg/revision"
)

func TestInstanceLearnsFromPeers(t *testing.T) {
	env := newTestEnv(t)
	env.startUpstream("u1")
	a := env.start("i1")
	env.awaitReady(a, 1)
	env.store.setDown(true)
	b := env.start("i2", a.settings.MeshAddress)
	env.awaitReady(b, 1)
	r, _ := env.dialCaller(b).do("GET", "/safe/x", "1", "")
	require.Equal(t, 200, r.StatusCode)
}

func TestChangesReachInstancesThatDoNotWatchStore(t *testing.T) {
	env := newTestEnv(t)
	env.startUpstream("u1")
	first := env.start("i1")
	for i := 2; i <= 4; i++ {
		env.start(fmt.Sprint("i", i), first.settings.MeshAddress)
	}
	for _, inst := range env.instances {
		env.awaitReady(inst, 1)
	}
	watchCount := func() int {
		n := 0
		for _, inst := range env.instances {
			if inst.watchesStore() {
				n++
			}
		}
		return n
	}
	require.Eventually(t, func() bool { return watchCount() == storeWatchersPerRegion }, testTimeout, 10*time.Millisecond)
	env.writeConfig(2, route("new", "/new/", true))
	env.store.write(catalog.Upstreams, "u1", "", true)
	start := time.Now()
	for _, inst := range env.instances {
		require.Eventually(t, func() bool {
			v := inst.catalog.View()
			return v.Config.Version == 2 && len(v.Upstreams) == 0
		}, testTimeout, time.Millisecond)
	}
	require.Less(t, time.Since(start), 2500*time.Millisecond)
}

func TestSecondaryWatcherWithSilentWatchLearnsFromPrimaryWatcher(t *testing.T) {
	env := newTestEnv(t)
	env.store.silenceSecondaryWatches = true
	a := env.start("i1")
	b := env.start("i2", a.settings.MeshAddress)
	env.awaitReady(a, 0)
	env.awaitReady(b, 0)
	bothWatch := func() bool {
		return len(a.mesh.Live()) == 1 && len(b.mesh.Live()) == 1 && a.watchRole().Primary != b.watchRole().Primary && a.watchesStore() && b.watchesStore()
	}
	require.Eventually(t, bothWatch, testTimeout, 5*time.Millisecond)
	env.store.awaitSilentWatches(t, 2)
	env.writeConfig(2, route("safe", "/safe/", true))
	for _, inst := range []*testInstance{a, b} {
		require.Eventually(t, func() bool { c := inst.catalog.View().Config; return c != nil && c.Version == 2 }, 3*time.Second, 5*time.Millisecond)
	}
}

func TestInstanceWatchesStoreAfterFailedFetchFromMember(t *testing.T) {
	env := newTestEnv(t)
	first := env.start("i1")
	for i := 2; i <= 4; i++ {
		env.start(fmt.Sprint("i", i), first.settings.MeshAddress)
	}
	for _, inst := range env.instances {
		env.awaitReady(inst, 0)
	}
	var nonWatcher *testInstance
	require.Eventually(t, func() bool {
		for _, inst := range env.instances {
			if !inst.watchesStore() {
				nonWatcher = inst
			}
		}
		return nonWatcher != nil
	}, testTimeout, 10*time.Millisecond)
	nonWatcher.fetchIfNewer(context.Background(), mesh.Member{ID: "dead", Address: freeAddress(), Status: mesh.Status{DirectivesRevision: at(1 << 40), UpstreamsRevision: at(1 << 40)}})
	watches := nonWatcher.watchesStore()
	require.True(t, watches)
}

// Guards against cold upstreams that get requests at the full rate from an instance that
// was cut off from the store during the evacuation of their domain, and so never saw it.
func TestUpstreamsAreColdAfterEvacuationThatTheInstanceMissed(t *testing.T) {
	env := newTestEnv(t)
	env.startUpstream("u1")
	inst := env.start("i1")
	env.awaitReady(inst, 1)
	env.store.setDown(true)
	env.store.write(catalog.Directives, "evacuate/n-a", "{}", false)
	env.store.write(catalog.Directives, "evacuate/n-a", "", true)
	env.store.setDown(false)
	isCold := func() bool { return inst.balancer.UpstreamSnapshots("shop")[0].Cold }
	require.Eventually(t, isCold, testTimeout, time.Millisecond)
}

// Guards against fetches at full speed from members that announce more than they have.
func TestMemberThatHasLessThanItAnnouncesIsNotAskedAgainAtOnce(t *testing.T) {
	const maxFetchesPerSecond = 12 // two members, two heartbeats and four rounds of catchUp a second
	env := newTestEnv(t)
	inst := env.start("i1")
	env.awaitReady(inst, 0)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var fetchCount atomic.Int64
	for n := 0; inst.watchesStore(); n++ {
		address := freeAddress()
		l, err := net.Listen("tcp4", address)
		require.NoError(t, err)
		defer func() { _ = l.Close() }()
		go mesh.ServeSnapshots(l, time.Now, func(mesh.KnownRevisions) mesh.Changes {
			fetchCount.Add(1)
			return mesh.Changes{VersionKnown: true}
		})
		env.startWatcher(ctx, fmt.Sprint("w", n), address, inst, 1, time.Now)
		time.Sleep(50 * time.Millisecond)
		require.Less(t, n, 20)
	}
	require.Eventually(t, func() bool { return fetchCount.Load() > 0 }, testTimeout, time.Millisecond)
	const watched = 2 * time.Second
	before := fetchCount.Load()
	time.Sleep(watched)
	require.Less(t, fetchCount.Load()-before, int64(maxFetchesPerSecond*watched/time.Second))
}

// Guards against whole tables that are fetched again and again and dropped, because a member
// has not heard of the newest era of the store.
func TestMembersOfAnEarlierEraAreNotAsked(t *testing.T) {
	inst := newTestEnv(t).newInstance("n", "i1")
	in := func(era int64) revision.Revision { return revision.Revision{Era: era, Number: 9} }
	inst.catalog.Confirm(in(3), at(0), catalog.Proofs{}, "i2")
	for era, ahead := range map[int64]bool{0: false, 2: false, 3: true, 4: true} {
		m := mesh.Member{ID: "i3", Status: mesh.Status{DirectivesRevision: in(era), UpstreamsRevision: in(era)}}
		require.Equal(t, ahead, inst.isAhead(m, inst.knownRevisions()), "era %d", era)
	}
}
