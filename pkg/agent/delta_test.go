package agent

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/membership"
	"github.com/sequoiacove/sequoiacove/pkg/peer"
)

// deltaFixture is a linkFixture whose entry acknowledges what it applies.
type deltaFixture struct {
	*linkFixture
}

func newDeltaFixture() *deltaFixture { return &deltaFixture{linkFixture: newLinkFixture()} }

// pushAcked pushes and acknowledges as an entry does. The acknowledgement must
// be known before the call, and each push has the next sequence.
func (f *deltaFixture) pushAcked() cluster.Snapshot {
	f.report.AppliedIncarnation, f.report.AppliedSequence = f.members.Self().Incarnation, f.link.sequence+1
	return f.push()
}

// hear takes in the record of a peer at a revision.
func (f *deltaFixture) hear(t *testing.T, id string, revision uint64) {
	m := cluster.Member{ID: id, Incarnation: 1, Sequence: revision, Revision: revision, Region: "r", Domain: "d", State: cluster.Serving, AgentAddress: "127.0.0.1:2"}
	body, err := peer.Encode(&membership.Sync{Records: []membership.Record{{Member: m}}})
	require.NoError(t, err)
	_, err = f.members.HandleSync(context.Background(), body)
	require.NoError(t, err)
}

// settled returns a fixture whose entry has acknowledged a and b.
func settled(t *testing.T) *deltaFixture {
	f := newDeltaFixture()
	f.hear(t, "b", 1)
	require.Zero(t, f.pushAcked().Base, "the first snapshot is full")
	f.pushAcked()
	f.hear(t, "b", 2)
	f.pushAcked()
	return f
}

// Guards against records that did not change being sent, and against changed,
// dead or forgotten members being left out.
func TestSnapshotsCarryChanges(t *testing.T) {
	f := settled(t)
	s := f.pushAcked()
	require.Equal(t, s.Sequence-1, s.Base)
	require.Empty(t, s.Members)
	f.hear(t, "b", 3)
	s = f.pushAcked()
	require.Len(t, s.Members, 1)
	require.EqualValues(t, 3, s.Members[0].Revision)
	states := make(map[cluster.State]int)
	var removed []string
	for range 320 {
		s = f.pushAcked()
		require.NotZero(t, s.Base)
		for _, m := range s.Members {
			states[m.State]++
		}
		removed = append(removed, s.Removed...)
	}
	require.Equal(t, map[cluster.State]int{cluster.Suspect: 1, cluster.Dead: 1}, states)
	require.Equal(t, []string{"b"}, removed)
}

// Guards against a delta for an entry that lacks its base: after a failed push,
// an answer that does not acknowledge, a new agent incarnation or a pause.
func TestFullSnapshotWhenTheBaseIsUnsure(t *testing.T) {
	for name, disturb := range map[string]func(f *deltaFixture){
		"failed push": func(f *deltaFixture) {
			f.down = true
			f.push()
			f.down = false
		},
		"entry restarted": func(f *deltaFixture) {
			f.report = cluster.EntryReport{Incarnation: 6}
			require.NotZero(t, f.push().Base)
			require.Len(t, f.link.poke, 1, "the full snapshot must follow at once")
		},
		"entry has another snapshot": func(f *deltaFixture) {
			f.report.AppliedSequence = 1
			f.push()
		},
		"new incarnation": func(f *deltaFixture) {
			f.members.Leave()
			f.members.Rejoin()
		},
		"pause while built": func(f *deltaFixture) {
			f.link.cfg.Checkpoint = func() cluster.Shares { f.now = f.now.Add(2 * time.Second); return nil }
			f.link.push(context.Background())
			f.link.cfg.Checkpoint = func() cluster.Shares { return nil }
		},
	} {
		f := settled(t)
		require.NotZero(t, f.pushAcked().Base, name)
		disturb(f)
		s := f.pushAcked()
		require.Zero(t, s.Base, name)
		require.Len(t, s.Members, 2, name)
		require.NotZero(t, f.pushAcked().Base, name)
	}
}

// Guards against a mean that keeps the shares of a peer that changed, died or
// lost its entry.
func TestMeanFollowsChangedPeers(t *testing.T) {
	members := []cluster.Member{
		{ID: "a", Revision: 1, State: cluster.Serving, EntryIncarnation: 1, Shares: cluster.Shares{"s": {"x": 1}}},
		{ID: "b", Revision: 1, State: cluster.Serving, EntryIncarnation: 1, Shares: cluster.Shares{"s": {"x": 0.5, "y": 0.5}}},
		{ID: "c", Revision: 1, State: cluster.Serving, EntryIncarnation: 1, Shares: cluster.Shares{"s": {"y": 1}}},
	}
	var d memberDelta
	sequence := uint64(0)
	fill := func(want float64, msg string) {
		sequence++
		s := &cluster.Snapshot{AgentIncarnation: 1, Sequence: sequence}
		d.fill(s, append([]cluster.Member(nil), members...), "a")
		require.InDelta(t, want, s.PeerShares["s"]["x"], 1e-12, msg)
		require.Equal(t, sequence-1, s.Base, msg)
		require.True(t, d.answered(s, &cluster.EntryReport{AppliedIncarnation: 1, AppliedSequence: sequence}, "a"))
	}
	fill(0.25, "two peers")
	members[1].Revision, members[1].Demand = 2, cluster.Demand{"s": 1}
	fill(0.25, "a changed demand")
	members[1].Revision, members[1].Shares = 3, cluster.Shares{"s": {"x": 1}}
	fill(0.5, "changed shares")
	members[2].State = cluster.Dead
	fill(1, "a dead peer")
	members[2].State = cluster.Serving
	fill(0.5, "a peer that returned")
	members[1].Revision, members[1].EntryIncarnation = 4, 0
	fill(0, "a silent entry")
	members[1].Revision, members[1].EntryIncarnation = 5, 2
	fill(0.5, "a new entry")
	members = members[:2]
	fill(1, "a forgotten peer")
}

// Guards against an entry that stays detached for good because its agent
// restarted after the wall clock went back and looks older than before.
func TestAgentOutranksItsPredecessor(t *testing.T) {
	f := newDeltaFixture()
	before := f.members.Self().Incarnation
	f.report.AppliedIncarnation, f.report.AppliedSequence = before+1000, 7
	f.push()
	require.Greater(t, f.members.Self().Incarnation, before+1000)
	s := f.push()
	require.Greater(t, s.AgentIncarnation, before+1000)
	require.Zero(t, s.Base, "the entry needs a full snapshot")
}
