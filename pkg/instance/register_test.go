package instance

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/catalog"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// Guards against rows of replaced instances that accumulate in the store, and
// against removing a row that was renewed.
func TestStaleRegistrationsAreRemoved(t *testing.T) {
	env := newTestEnv(t)
	inst := env.start("i1")
	require.Eventually(t, func() bool { return env.store.has(catalog.Instances, "i1") }, testTimeout, 5*time.Millisecond)
	now := time.Now()
	r := &registrar{instance: inst.Instance, now: func() time.Time { return now }, listed: true, renewals: 1}
	env.store.write(catalog.Instances, "replaced", "127.0.0.1:1", false)
	env.store.write(catalog.Instances, "renewed", "127.0.0.1:2", false)
	require.NoError(t, r.renew(context.Background()))
	now = now.Add(staleAfter - time.Second)
	env.store.write(catalog.Instances, "renewed", "127.0.0.1:2", false)
	require.NoError(t, r.renew(context.Background()))
	require.True(t, env.store.has(catalog.Instances, "replaced"))
	now = now.Add(2 * time.Second)
	require.NoError(t, r.renew(context.Background()))
	require.False(t, env.store.has(catalog.Instances, "replaced"))
	require.True(t, env.store.has(catalog.Instances, "renewed"))
	require.True(t, env.store.has(catalog.Instances, "i1"))
}

// Guards against instances of a region that never discover each other because
// each receives heartbeats only from another region, whose instances do not
// gossip addresses of the first one.
func TestInstanceWithoutRegionMembersListsStore(t *testing.T) {
	env := newTestEnv(t)
	otherRegion := env.startIn("s", "i1")
	inst := env.start("i2", otherRegion.settings.MeshAddress)
	env.awaitReady(inst, 0)
	require.Eventually(t, func() bool { return len(inst.mesh.Live()) == 1 && inst.mesh.UnreachedAddressCount() == 0 }, testTimeout, 5*time.Millisecond)
	env.store.write(catalog.Instances, "i3", freeAddress(), false)
	r := &registrar{instance: inst.Instance, now: time.Now}
	require.NoError(t, r.renew(context.Background()))
	require.Equal(t, 1, inst.mesh.UnreachedAddressCount(), "the address of the region's other instance was not added")
}

const reloadedSettings = `[instance]
id = i1
region = n
domain = n-a
[regions]
n-a = n
[listen]
callers = 127.0.0.1:1
readiness = 127.0.0.1:2
mesh = 127.0.0.1:3
[store]
address = 127.0.0.1:4
[operators]
bo = another-token-of-16-characters
[bounds]
repeat_ratio = 0.3
repeat_slack = 10
stop_time = 4s
lookup_ttl =
`

// Guards against a change of the settings file that is missed because there is
// no signal, against an invalid file that changes any setting, and against the token of
// an operator that was withdrawn and is still accepted.
func TestChangedSettingsAreReloadedWithoutSignal(t *testing.T) {
	env := newTestEnv(t)
	inst := env.start("i1")
	file := filepath.Join(t.TempDir(), "settings.ini")
	require.NoError(t, os.WriteFile(file, []byte("[instance]\n"), 0o600))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go inst.watchSettings(ctx, nil, file, nil)
	logged := func(text string) func() bool { return func() bool { return strings.Contains(inst.log.String(), text) } }
	require.Eventually(t, logged(`"event":103`), testTimeout, 10*time.Millisecond)
	require.Equal(t, 3*time.Second, inst.bounds.Load().ShutdownGracePeriod)
	require.NoError(t, os.WriteFile(file, []byte(reloadedSettings), 0o600))
	require.Eventually(t, logged(`"event":105`), testTimeout, 10*time.Millisecond)
	require.Equal(t, 4*time.Second, inst.bounds.Load().ShutdownGracePeriod)
	require.Equal(t, 0.3, inst.bounds.Load().MaxRetryRatio)
	require.Equal(t, 5*time.Second, inst.bounds.Load().MaxLookupTTL, "an empty value did not give the default")
	_, err := inst.operatorClient().State(context.Background())
	require.Equal(t, result.Unauthorized, result.CodeOf(err), "the token of ana was withdrawn")
}

// Guards against sending a request that no upstream could complete in time: the
// request would waste a slot, and its outcome would be unknown to the caller.
func TestRequestWithoutTimeLeftIsRefused(t *testing.T) {
	env := newTestEnv(t)
	u := env.startUpstream("u1")
	inst := env.start("i1")
	env.awaitReady(inst, 1)
	c := env.dialCaller(inst)
	c.send("POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nX-Id: late\r\nX-Deadline: 15\r\nContent-Length: 1\r\n\r\nx")
	r, _ := c.receive()
	require.Equal(t, 503, r.StatusCode)
	require.Zero(t, u.requestsWithID("late"))
}

// Guards against an instance that stays unknown because the store has lost its row.
func TestInstanceRegistersAgainAfterTheStoreReturned(t *testing.T) {
	env := newTestEnv(t)
	inst := env.start("i1")
	env.awaitReady(inst, 0)
	require.Eventually(t, func() bool { return env.store.has(catalog.Instances, "i1") }, testTimeout, 5*time.Millisecond)
	env.store.write(catalog.Instances, "i1", "", true)
	returnStore(t, inst)
	require.Eventually(t, func() bool { return env.store.has(catalog.Instances, "i1") }, testTimeout, 5*time.Millisecond)
}

// Guards against rows that are removed as stale because the store gives out their revisions
// again, and against a listing before the other instances have written their rows again.
func TestRegistrationsStartAnewWithAnEra(t *testing.T) {
	env := newTestEnv(t)
	inst := env.start("i1")
	env.awaitReady(inst, 0)
	env.store.write(catalog.Instances, "live", "127.0.0.1:1", false)
	now := time.Now()
	r := &registrar{instance: inst.Instance, now: func() time.Time { return now }, listed: true, renewals: 1}
	require.NoError(t, r.renew(context.Background()))
	now = now.Add(staleAfter)
	start := time.Now()
	r.startNewEra(context.Background())
	require.Greater(t, time.Since(start), registerSpread)
	require.NoError(t, r.renew(context.Background()))
	require.True(t, env.store.has(catalog.Instances, "live"))
}

// Guards against a new instance that takes too large a portion of the limits, because the store
// has lost the rows of other instances.
func TestListingWithoutALiveInstanceIsIncomplete(t *testing.T) {
	env := newTestEnv(t)
	peer := env.start("i1")
	inst := env.start("i2", peer.settings.MeshAddress)
	env.awaitReady(inst, 0)
	require.Eventually(t, func() bool { return len(inst.mesh.Live()) == 1 }, testTimeout, 5*time.Millisecond)
	r := &registrar{instance: inst.Instance, now: time.Now}
	env.store.write(catalog.Instances, "i1", "", true)
	require.Error(t, r.renew(context.Background()))
	require.False(t, r.listed)
	env.store.write(catalog.Instances, "i1", peer.settings.MeshAddress, false)
	require.NoError(t, r.renew(context.Background()))
	require.True(t, r.listed)

	unable := &registrar{instance: inst.Instance, now: time.Now}
	env.store.write(catalog.Instances, "i1", "", true)
	for range maxIncompleteListings {
		require.Error(t, unable.renew(context.Background()))
	}
	require.NoError(t, unable.renew(context.Background()))
}
