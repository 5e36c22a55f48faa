package entry

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// Guards against two owners while an agent is dead, and against an instance
// that gives up the pools of a domain that it has alone.
func TestDetachedEntry(t *testing.T) {
	w := newWorld(t, map[string]string{"a1": "north-a", "s1": "south-a", "s2": "south-a"})
	owner, other := w.ownerOf("a1", "south-a")
	require.True(t, w.adm[owner].owned["calls"])
	w.advance(detachAfter + tickInterval)
	require.True(t, w.entries[owner].gate.detached.Load())
	w.advance(spreadTime)
	require.False(t, w.adm[owner].owned["calls"], "a detached entry gives up its pools")
	require.True(t, w.adm["a1"].owned["calls"], "a detached entry that is alone keeps its pools")
	w.push()
	require.False(t, w.entries[owner].gate.detached.Load())
	require.True(t, w.adm[owner].owned["calls"])
	require.False(t, w.adm[other].owned["calls"])
}

// Guards against requests served with the view from before a pause.
func TestPausedEntryRefusesUntilRefreshed(t *testing.T) {
	w := newWorld(t, twoRegions)
	w.advance(time.Second)
	_, err := w.do("a1", nil)
	require.NoError(t, err)
	w.clock.Add(30 * time.Second)
	_, err = w.do("a1", nil)
	require.Equal(t, result.StaleSnapshot, result.CodeOf(err), "a request may come before the first tick")
	_, err = w.entries["a1"].lookup([]byte("calls"), nil, "127.0.0.1")
	require.Equal(t, result.StaleSnapshot, result.CodeOf(err), "look-ups use the view too")
	_, err = w.entries["a1"].issue("calls", "1")
	require.Equal(t, result.StaleSnapshot, result.CodeOf(err))
	reply, err := w.entries["a1"].HandleForward(context.Background(), forwardBody(t, "north-a", ""))
	require.NoError(t, err)
	require.Equal(t, result.StaleSnapshot, reply.Code)
	require.Empty(t, w.adm["a1"].owned, "requests in the queue of a pool must not start after a pause")
	w.entries["a1"].Tick(w.clock.Now())
	w.pushTo("a1", w.members())
	_, err = w.do("a1", nil)
	require.Equal(t, result.StaleSnapshot, result.CodeOf(err), "the first snapshot may be from before the pause")
	report, err := w.entries["a1"].Apply(&cluster.Snapshot{AgentIncarnation: 1, Sequence: 1})
	require.NoError(t, err)
	require.Nil(t, report.Shares, "shares from before the pause are not reported")
	_, err = w.do("a1", nil)
	require.Equal(t, result.StaleSnapshot, result.CodeOf(err), "an old snapshot refreshes nothing")
	w.pushTo("a1", w.members())
	_, err = w.do("a1", nil)
	require.NoError(t, err)
	require.Equal(t, w.entries["a1"].view.Load().owns("calls"), w.adm["a1"].owned["calls"])
}

// Guards against a return with shares that the peers have left behind.
func TestResumedEntryAdoptsPeersShares(t *testing.T) {
	w := newWorld(t, twoRegions)
	w.advance(time.Second)
	w.clock.Add(10 * time.Second)
	shares := cluster.Shares{"calls": {"north-a": 0.2, "north-b": 0.2, "south-a": 0.6}}
	for range freshSnapshots {
		w.pushSnapshot("a1", cluster.Snapshot{Members: w.members(), PeerShares: shares})
	}
	require.InDelta(t, 0.6, w.entries["a1"].routes.Shares()["calls"]["south-a"], 1e-9)
}

// Guards against an older snapshot or version that replaces a newer one.
func TestOlderSnapshotsAndVersionsAreIgnored(t *testing.T) {
	w := newWorld(t, twoRegions)
	e := w.entries["a1"]
	apply := func(incarnation, sequence, version uint64, members []cluster.Member) *cluster.EntryReport {
		w.setVersion(version, testDescription)
		report, err := e.Apply(&cluster.Snapshot{AgentIncarnation: incarnation, Sequence: sequence, Version: w.version, Members: members})
		require.NoError(t, err)
		return report
	}
	apply(2, 1, 5, w.members())
	require.EqualValues(t, 5, e.view.Load().version.Number)
	ignored := apply(1, 999, 6, nil)
	require.EqualValues(t, 5, e.view.Load().version.Number, "an older agent incarnation")
	require.EqualValues(t, 2, ignored.AppliedIncarnation, "the report names the snapshot in force, not the ignored one")
	require.EqualValues(t, 1, ignored.AppliedSequence)
	require.Len(t, e.view.Load().byID, 5)
	report := apply(2, 2, 4, nil)
	require.EqualValues(t, 5, e.view.Load().version.Number, "versions only rise")
	require.Len(t, e.view.Load().byID, 1, "the members of a newer snapshot replace the others as a whole")
	require.EqualValues(t, 5, report.Version.Number)
	require.NotEmpty(t, report.Version.Body, "an agent with an older version gets the body")
	require.Empty(t, apply(2, 3, 5, nil).Version.Body)
	w.setVersion(7, testDescription)
	w.version.Hash = "0"
	_, err := e.Apply(&cluster.Snapshot{AgentIncarnation: 2, Sequence: 4, Version: w.version})
	require.Equal(t, result.ObjectCorrupt, result.CodeOf(err))
	require.EqualValues(t, 5, e.view.Load().version.Number)
}

// Guards against new work for an instance that leaves or is drained, and
// against refusals by it while others still send.
func TestLeavingAndDrainedInstances(t *testing.T) {
	w := newWorld(t, twoRegions)
	owner, other := w.ownerOf("a1", "south-a")
	w.setVersion(2, fmt.Sprintf(`%s, "drained_instances": [%q]}`, testDescription[:len(testDescription)-1], owner))
	w.pushTo(owner, w.members())
	for range 8 {
		_, err := w.do("a1", post)
		require.NoError(t, err, "before others know the version")
	}
	w.push()
	w.advance(spreadTime)
	require.False(t, w.adm[owner].owned["calls"])
	require.True(t, w.adm[other].owned["calls"])
	_, err := w.entries[owner].issue("calls", "1")
	require.Equal(t, result.Stopping, result.CodeOf(err))
	_, err = w.do(owner, post)
	require.NoError(t, err, "it serves the callers that still use it")
	w.entries[other].Leave()
	w.push()
	_, err = w.do("a1", post)
	require.NoError(t, err, "the only instances of a domain serve it although they leave")
}

// Guards against a stop that cuts requests off.
func TestDrainWaitsForRequests(t *testing.T) {
	w := newWorld(t, map[string]string{"a1": "north-a", "b1": "north-b", "s1": "south-a"})
	e := w.entries["a1"]
	require.True(t, e.enter())
	drained := make(chan struct{})
	go func() { defer close(drained); e.Drain(context.Background()) }()
	require.Eventually(t, e.gate.stopped.Load, 5*time.Second, time.Millisecond)
	_, err := w.do("a1", nil)
	require.Equal(t, result.Stopping, result.CodeOf(err))
	select {
	case <-drained:
		t.Fatal("drained with a request in flight")
	default:
	}
	e.leave()
	select {
	case <-drained:
	case <-time.After(5 * time.Second):
		t.Fatal("not drained")
	}
}

// Guards against a pool without an owner between the moment at which an
// instance leaves, or loses its agent, and the one at which others know it.
func TestPoolsAreHandedOverWithoutGap(t *testing.T) {
	for _, how := range []string{"leaving", "detached"} {
		w := newWorld(t, twoRegions)
		owner, other := w.ownerOf("a1", "south-a")
		all := func(when string) {
			for range 8 {
				_, err := w.do("a1", post)
				require.NoError(t, err, "%s %s", how, when)
			}
		}
		silent := w.members()
		if how == "leaving" {
			w.entries[owner].Leave()
		} else {
			for range 31 {
				w.advance(tickInterval)
				for id := range w.entries {
					if id != owner {
						w.pushTo(id, silent)
					}
				}
			}
			require.True(t, w.entries[owner].gate.detached.Load())
		}
		all("before others know")
		for i := range silent {
			if silent[i].ID == owner {
				silent[i].State = cluster.Leaving
			}
		}
		w.pushTo(other, silent)
		w.pushTo("a1", silent)
		require.True(t, w.adm[other].owned["calls"])
		all("when others know")
		w.advance(spreadTime + tickInterval)
		require.False(t, w.adm[owner].owned["calls"], how)
		all("at the end")
	}
}

// Guards against shares of peers that are lost between the message and the lead
// limit.
func TestPeersSharesAreDecodedWhenNeeded(t *testing.T) {
	w := newWorld(t, twoRegions)
	members := w.members()
	for i := range members {
		members[i].Shares = cluster.Shares{"calls": {"north-a": 0.25, "north-b": 0.25, "south-a": 0.5}}
	}
	w.setVersion(2, strings.NewReplacer(
		`"north": {"share": 0.5`, `"north": {"share": 0.9`, `"share": 0.5, "domains": {"south-a"`, `"share": 0.1, "domains": {"south-a"`,
	).Replace(testDescription))
	body, err := cbor.Marshal(&cluster.Snapshot{AgentIncarnation: 1, Sequence: 99, Version: w.version, Members: members})
	require.NoError(t, err)
	e := w.entries["a1"]
	_, err = e.HandleSnapshot(body)
	require.NoError(t, err)
	require.Len(t, e.view.Load().byID, 5)
	w.advance(9 * time.Second)
	// The peers stand still at 0.5, so the lead of 3 s at 0.02 is reached.
	require.InDelta(t, 0.44, e.routes.Shares()["calls"]["south-a"], 1e-9)
}
