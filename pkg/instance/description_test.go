package instance

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/catalog"
	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/description"
	"github.com/sequoiacove/sequoiacove/pkg/transfer"
)

// largeVersion returns a version of a large description.
func largeVersion(number int) cluster.Version {
	body := func(number int) []byte {
		var b bytes.Buffer
		fmt.Fprintf(&b, "version %d", number)
		for n := range 2000 {
			fmt.Fprintf(&b, ", part %d of %d", n*7919%10007, n%13)
		}
		return b.Bytes()
	}
	return cluster.Version{Number: uint64(number), Hash: description.Hash(body(number)), Body: body(number), PreviousBody: body(number - 1)}
}

// Guards against patches that cost the size of the description between instances.
func TestPeerGetsTheDifferenceOfALargeDescription(t *testing.T) {
	var d transfer.DiffCache
	current, next := largeVersion(4), largeVersion(5)
	stated := versionFor(next, current.Hash, &d)
	require.Less(t, len(stated.Body)+len(stated.PreviousBody), 200)
	got, err := restoreVersion(stated, current)
	require.NoError(t, err)
	require.Equal(t, next, got)
}

// Guards against a description that is restored from another one than its difference is
// made for.
func TestDescriptionWhoseDifferenceDoesNotFitIsFetchedWhole(t *testing.T) {
	var d transfer.DiffCache
	next := largeVersion(5)
	require.Equal(t, next, versionFor(next, largeVersion(3).Hash, &d), "the peer has another version")
	require.Equal(t, next, versionFor(next, "", &d), "an older release")
	stated := versionFor(next, largeVersion(4).Hash, &d)
	_, err := restoreVersion(stated, largeVersion(3))
	require.ErrorIs(t, err, catalog.ErrDifference)
	stated.Body = stated.Body[1:]
	_, err = restoreVersion(stated, largeVersion(4))
	require.ErrorIs(t, err, catalog.ErrDifference)
}

// Guards against an instance that reports ready while the balancer does not have the
// configuration yet, and refuses the first requests.
func TestInstanceIsNotReadyBeforeTheBalancerIsConfigured(t *testing.T) {
	env := newTestEnv(t)
	inst := env.newInstance("n", "i1")
	l, err := inst.listen()
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.callers.Close() })
	inst.startMesh(t.Context(), l)
	inst.policy.MarkVersionKnown()
	tables := catalog.Snapshot{Directives: catalog.Listing{Rows: []catalog.Row{{Key: "config", Value: []byte("1"), Revision: at(1)}}, Revision: at(1)}}
	inst.balancerMu.Lock()
	go func() { _ = inst.catalog.Merge(tables, "peer", inst.opt.Now()) }()
	require.Eventually(t, func() bool { return inst.catalog.View().Config != nil }, testTimeout, time.Millisecond)
	require.False(t, inst.ready())
	inst.balancerMu.Unlock()
	require.Eventually(t, inst.ready, testTimeout, time.Millisecond)
}

// Guards against tables of a peer that release the requests that wait after a pause before the
// description of the same answer is in force.
func TestInstanceIsUpToDateOnceTheDescriptionOfThePeerIsInForce(t *testing.T) {
	env := newTestEnv(t)
	env.startUpstreamIn("ua", "n-a")
	peer := env.start("i1")
	env.awaitReady(peer, 1)
	env.patch(peer, 0, descriptionJSON(1, ""))
	inst := env.startPaused("i2", peer)
	env.patch(peer, 1, descriptionJSON(1, `"drained_upstreams": ["ua"],`))
	require.Eventually(t, func() bool { return inst.mesh.Live()[0].DescriptionVersion == 2 }, testTimeout, time.Millisecond)

	inst.catalog.Invalidate()
	inst.balancerMu.Lock()
	go func() { _ = inst.fetchAndMerge(t.Context(), inst.mesh.Live()[0]) }()
	require.Eventually(t, inst.catalog.Current, testTimeout, time.Millisecond)
	upToDateWith := make(chan uint64, 1)
	go func() {
		for !inst.upToDate() {
			time.Sleep(time.Millisecond)
		}
		upToDateWith <- inst.policy.Current().Number
	}()
	time.Sleep(20 * time.Millisecond)
	require.Empty(t, upToDateWith, "up to date before the description was in force")
	inst.balancerMu.Unlock()
	require.EqualValues(t, 2, <-upToDateWith)
}
