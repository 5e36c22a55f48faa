package instance

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/slowdown"
)

// maxReturnTime is the time within which an instance is up to date after an outage of the
// store, the shortest that a deployment expects.
const maxReturnTime = 3 * time.Second

// eraEnv is a testEnv whose store has a configuration and an upstream more than an older copy
// of it.
type eraEnv struct {
	*testEnv
	older *fakeStore
	// returnedAt is the time of the last return of the store.
	returnedAt time.Time
}

// newEraEnv starts instances, with the region as the first letter of their ids, which know
// the store in its first era.
func newEraEnv(t *testing.T, ids ...string) *eraEnv {
	env := &eraEnv{testEnv: newTestEnv(t)}
	env.store.era = 1
	env.startUpstream("u1")
	env.older = env.store.copyNow()
	env.writeConfig(2, route("safe", "/safe/", true))
	env.startUpstream("u2")
	for _, id := range ids {
		env.startWithSeeds(id)
	}
	for _, inst := range env.instances {
		env.awaitReady(inst, 2)
		require.Eventually(t, func() bool { return len(inst.mesh.Live()) == len(ids)-1 }, testTimeout, 5*time.Millisecond)
	}
	return env
}

// startWithSeeds starts an instance that knows the addresses of those that run.
func (env *eraEnv) startWithSeeds(id string) *testInstance {
	var seeds []string
	for _, inst := range env.instances {
		seeds = append(seeds, inst.settings.MeshAddress)
	}
	return env.startIn(id[:1], id, seeds...)
}

// comeBack lets the store come back from its older copy, and its writers write again what it
// has lost. The given instances reach only a part of it that has not changed its era, or
// nothing at all.
func (env *eraEnv) comeBack(part *fakeStore, ids ...string) {
	for _, id := range ids {
		env.accessOf(id).part.Store(part)
	}
	env.store.comeBack(env.older)
	env.returnedAt = time.Now()
	env.writeConfig(2, route("safe", "/safe/", true))
	env.startUpstream("u2")
}

// isUpToDate reports whether an instance has the state of the store, proven current since its
// return.
func (env *eraEnv) isUpToDate(inst *testInstance) bool {
	env.store.mu.Lock()
	era := env.store.era
	env.store.mu.Unlock()
	directives, upstreams := inst.catalog.Revisions()
	v, proofs := inst.catalog.View(), inst.catalog.Proofs()
	return directives.Era == era && upstreams.Era == era && inst.catalog.Current() && proofs.Directives.After(env.returnedAt) && proofs.Upstreams.After(env.returnedAt) && v.Config.Version == 2 && len(v.Upstreams) == 2
}

// requireUpToDate waits until all instances are up to date and returns the time that it took.
// The configuration must not change on the way.
func (env *eraEnv) requireUpToDate() time.Duration {
	meter, start := slowdown.Start(), time.Now()
	for _, inst := range env.instances {
		for !env.isUpToDate(inst) {
			if v := inst.catalog.View(); v.Config != nil {
				require.EqualValues(env.t, 2, v.Config.Version, "an instance follows the older copy")
			}
			directives, upstreams := inst.catalog.Revisions()
			require.Less(env.t, time.Since(start), testTimeout, "%s knows era %d, directives %s, upstreams %s", inst.settings.ID, inst.catalog.Era(), directives, upstreams)
			time.Sleep(2 * time.Millisecond)
		}
	}
	took := time.Since(start)
	require.Less(env.t, took, meter.Scale(maxReturnTime))
	return took
}

// Guards against instances that are up to date later after a return from an older copy than
// after an ordinary outage.
func TestReturnFromOlderCopyTakesNoLongerThanAnOutage(t *testing.T) {
	const outage = 2 * time.Second
	env := newEraEnv(t, "n1", "n2", "n3", "s1")
	env.store.setDown(true)
	time.Sleep(outage)
	env.store.setDown(false)
	env.returnedAt = time.Now()
	ordinary := env.requireUpToDate()
	env.store.setDown(true)
	time.Sleep(outage)
	env.comeBack(nil)
	t.Logf("up to date %v after an ordinary outage, %v after a return from an older copy", ordinary, env.requireUpToDate())
}

// Guards against an instance that goes on with the earlier era because the watchers of its
// region, or it alone, reach only a part of the store that has not changed its era.
func TestInstancesAtAPartOfTheOldEra(t *testing.T) {
	for _, cut := range [][]string{{"n1"}, {"n1", "n2"}, {"n1", "n2", "n3"}} {
		t.Run(fmt.Sprint(cut), func(t *testing.T) {
			env := newEraEnv(t, "n1", "n2", "n3", "s1")
			env.comeBack(env.store.copyNow(), cut...)
			env.requireUpToDate()
		})
	}
}

// Guards against a region that stays in the earlier era because nothing but the digests of
// the other one tells it of the new one.
func TestRegionsInDifferentEras(t *testing.T) {
	env := newEraEnv(t, "n1", "n2", "s1", "s2")
	env.comeBack(env.store.copyNow(), "n1", "n2")
	env.requireUpToDate()
}

// Guards against an instance without the store that keeps to the earlier era of its peers once
// one of them knows the new one.
func TestInstanceWithoutTheStoreHearsOfTheNewEra(t *testing.T) {
	env := newEraEnv(t, "n1", "n2", "n3")
	unreachable := newFakeStore()
	unreachable.down = true
	oldPart := env.store.copyNow()
	env.comeBack(oldPart, "n2", "n3")
	env.accessOf("n1").part.Store(unreachable)
	time.Sleep(500 * time.Millisecond)
	require.EqualValues(t, 1, env.instances[0].catalog.Era())
	env.accessOf("n2").part.Store(env.store)
	env.requireUpToDate()
}

// Guards against a restarted instance that takes over the earlier era from its peers and keeps
// to it, although the store tells it of the new one.
func TestInstanceThatRestartsAmongPeersOfTheOldEra(t *testing.T) {
	env := newEraEnv(t, "n1", "n2")
	env.comeBack(env.store.copyNow(), "n1", "n2")
	inst := env.startWithSeeds("n3")
	require.Eventually(t, func() bool { return inst.catalog.View().Config != nil }, testTimeout, time.Millisecond)
	env.requireUpToDate()
	status, _ := env.httpGet(inst.settings.ReadinessAddress, "/ready")
	require.Equal(t, 200, status)
}

// Guards against a loop of calls without a pause while parts of the store answer in different
// eras.
func TestPartsOfTheStoreInDifferentErasAreNotAskedInALoop(t *testing.T) {
	const (
		duration = 3 * time.Second
		// maxCalls is what an instance may ask in that time for each of its two tables: ten
		// calls a second.
		maxCalls = 60
	)
	env := newEraEnv(t, "n1")
	oldPart, inst := env.store.copyNow(), env.instances[0]
	env.comeBack(env.store)
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	before := inst.catalog.StoreCallCount()
	for n := 0; ctx.Err() == nil; n++ {
		env.accessOf("n1").part.Store([]*fakeStore{env.store, oldPart}[n%2])
		sleep(ctx, 20*time.Millisecond)
	}
	calls := inst.catalog.StoreCallCount() - before
	t.Logf("%d calls", calls)
	require.Less(t, calls, int64(maxCalls))
	env.accessOf("n1").part.Store(env.store)
	env.requireUpToDate()
}
