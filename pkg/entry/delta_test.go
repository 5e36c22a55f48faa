package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
)

// deltaTo applies a delta on a base and tells whether the entry acknowledged it.
func deltaTo(w *world, id string, incarnation, sequence, base uint64, members []cluster.Member, removed ...string) bool {
	report, err := w.entries[id].Apply(&cluster.Snapshot{
		AgentIncarnation: incarnation, Sequence: sequence, Base: base, Version: w.version, Members: members, Removed: removed,
	})
	require.NoError(w.t, err)
	return report.AppliedIncarnation == incarnation && report.AppliedSequence == sequence
}

// Guards against a delta that loses members, keeps forgotten ones, or leaves a
// changed record out of the view or of routing.
func TestDeltaChangesOnlyWhatItNames(t *testing.T) {
	w := newWorld(t, twoRegions)
	e := w.entries["a1"]
	base := w.seq + 1
	require.True(t, deltaTo(w, "a1", 1, base, 0, w.members()))
	before := e.view.Load()
	require.True(t, deltaTo(w, "a1", 1, base+1, base, nil))
	require.Same(t, before, e.view.Load(), "a delta without changes must not rebuild the view")

	changed := w.entries["b1"].self()
	changed.State = cluster.Leaving
	require.True(t, deltaTo(w, "a1", 1, base+2, base+1, []cluster.Member{changed}))
	require.Equal(t, cluster.Leaving, e.view.Load().byID["b1"].State)
	added := cluster.Member{ID: "n1", Region: "south", Domain: "south-a", State: cluster.Serving, EntryIncarnation: 3}
	require.True(t, deltaTo(w, "a1", 1, base+3, base+2, []cluster.Member{added}))
	require.Contains(t, e.view.Load().byID, "n1")
	require.True(t, deltaTo(w, "a1", 1, base+4, base+3, nil, "s1"))
	v := e.view.Load()
	require.NotContains(t, v.byID, "s1")
	require.Len(t, v.byID, len(before.byID))
	changed.Shares = cluster.Shares{"calls": {"north-a": 1}}
	require.True(t, deltaTo(w, "a1", 1, base+5, base+4, []cluster.Member{changed}))
	require.Same(t, v, e.view.Load(), "shares alone must not rebuild the view")
}

// Guards against a changed record that no view holds not reaching routing: an
// instance that is behind must follow its peers.
func TestDeltaReachesRouting(t *testing.T) {
	w := newWorld(t, twoRegions)
	e := w.entries["a1"]
	s := &cluster.Snapshot{
		AgentIncarnation: 2, Sequence: 1, Version: w.version, Members: w.members(),
		PeerShares: cluster.Shares{"calls": {"south-a": 1}},
	}
	apply := func() float64 {
		_, err := e.Apply(s)
		require.NoError(t, err)
		w.advance(time.Second)
		return e.routes.Shares()["calls"]["south-a"]
	}
	before := apply()
	ahead := w.entries["b1"].self()
	ahead.Version = w.version.Number + 1
	s.Base, s.Sequence, s.Members = 1, 2, []cluster.Member{ahead}
	require.Greater(t, apply(), before)
}

// Guards against a delta put on another base: after a lost snapshot, a restart
// of either side, or out of order.
func TestDeltaOnAnotherBaseIsRefused(t *testing.T) {
	w := newWorld(t, twoRegions)
	e := w.entries["a1"]
	require.True(t, deltaTo(w, "a1", 2, 10, 0, w.members()))
	before := e.view.Load()
	require.False(t, deltaTo(w, "a1", 2, 12, 11, nil, "b1"), "the base was lost")
	require.False(t, deltaTo(w, "a1", 3, 11, 10, nil, "b1"), "the base is of another agent incarnation")
	require.False(t, deltaTo(w, "a1", 2, 9, 8, nil, "b1"), "older than the last")
	require.Same(t, before, e.view.Load())
	require.True(t, deltaTo(w, "a1", 2, 11, 10, nil, "b1"))
	require.NotContains(t, e.view.Load().byID, "b1")
	deltaTo(w, "a1", 2, 11, 10, nil, "s1")
	require.Contains(t, e.view.Load().byID, "s1", "a repeated sequence changes nothing")
	fresh := w.start("a9", "north-a")
	require.False(t, deltaTo(w, "a9", 2, 12, 11, nil), "the entry restarted")
	require.Nil(t, fresh.view.Load())
	require.True(t, deltaTo(w, "a9", 2, 13, 0, w.members()))
}

// Guards against deltas without changes not counting as a sign of life, and
// against refused ones counting as one or as fresh after a pause.
func TestDeltaAsSignOfLife(t *testing.T) {
	w := newWorld(t, twoRegions)
	e := w.entries["a1"]
	sequence := w.seq + 1
	require.True(t, deltaTo(w, "a1", 1, sequence, 0, w.members()))
	for range 25 {
		w.advance(200 * time.Millisecond)
		sequence++
		require.True(t, deltaTo(w, "a1", 1, sequence, sequence-1, nil))
	}
	require.False(t, e.gate.detached.Load(), "after 5 s of deltas")
	for range 25 {
		w.advance(200 * time.Millisecond)
		require.False(t, deltaTo(w, "a1", 1, sequence+2, sequence+1, nil))
	}
	require.True(t, e.gate.detached.Load(), "after 5 s of refused deltas")

	w.clock.Add(30 * time.Second)
	e.Tick(w.clock.Now())
	require.False(t, deltaTo(w, "a1", 1, sequence+2, sequence+1, nil))
	require.EqualValues(t, freshSnapshots, e.gate.staleFor.Load(), "a refused delta")
	for left := freshSnapshots - 1; left >= 0; left-- {
		sequence++
		require.True(t, deltaTo(w, "a1", 1, sequence, sequence-1, nil))
		require.EqualValues(t, left, e.gate.staleFor.Load())
	}
	require.False(t, e.gate.detached.Load())
	require.Equal(t, e.view.Load().owns("calls"), w.adm["a1"].owned["calls"], "pools after the pause")
}
