package agent

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/membership"
	"github.com/sequoiacove/sequoiacove/pkg/peer"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// linkFixture drives an entryLink by hand against a fake entry.
type linkFixture struct {
	now       time.Time
	link      *entryLink
	members   *membership.Table
	current   cluster.Version
	offered   []uint64
	resyncs   int
	snapshots []cluster.Snapshot
	report    cluster.EntryReport
	down      bool
}

func newLinkFixture() *linkFixture {
	f := &linkFixture{now: time.Unix(1_700_000_000, 0), report: cluster.EntryReport{Incarnation: 5}}
	f.members = membership.New(membership.Config{
		Self:  cluster.Member{ID: "a", Incarnation: 1, Region: "r", Domain: "d", AgentAddress: "127.0.0.1:1"},
		Clock: f, Caller: f,
	})
	f.link = newEntryLink(linkConfig{
		Address: "entry", Caller: f, Clock: f, Members: f.members, Versions: f,
		Upstreams:  func() []cluster.UpstreamRecord { return nil },
		Checkpoint: func() cluster.Shares { return nil },
		Resync:     func(context.Context) { f.resyncs++ },
		Logger:     event.Discard(),
	})
	return f
}

func (f *linkFixture) Now() time.Time                       { return f.now }
func (f *linkFixture) After(time.Duration) <-chan time.Time { return nil }
func (f *linkFixture) Current() cluster.Version             { return f.current }

func (f *linkFixture) Offer(v cluster.Version) bool {
	f.offered = append(f.offered, v.Number)
	f.current = v
	return true
}

func (f *linkFixture) Call(_ context.Context, _ string, _ peer.MessageType, msg, reply any) error {
	f.snapshots = append(f.snapshots, *msg.(*cluster.Snapshot))
	if f.down {
		return result.New(result.PeerNoAnswer, "no answer")
	}
	*reply.(*cluster.EntryReport) = f.report
	return nil
}

// push advances the clock by one interval and pushes.
func (f *linkFixture) push() cluster.Snapshot {
	f.now = f.now.Add(pushInterval)
	f.link.push(context.Background())
	return f.snapshots[len(f.snapshots)-1]
}

// Guards against peers sending requests to an instance whose entry is dead, and
// against one lost push counting as death.
func TestSilentEntryLosesItsIncarnation(t *testing.T) {
	f := newLinkFixture()
	f.push()
	require.EqualValues(t, 5, f.members.Self().EntryIncarnation)
	f.down = true
	for range 4 {
		f.push()
		require.EqualValues(t, 5, f.members.Self().EntryIncarnation)
	}
	f.push()
	require.Zero(t, f.members.Self().EntryIncarnation, "1 s without a report")
	f.down = false
	f.report.Incarnation = 6
	f.push()
	require.EqualValues(t, 6, f.members.Self().EntryIncarnation)
}

// Guards against the entry getting the whole description five times a second,
// and against a restarted entry not getting it at all.
func TestBodyIsSentUntilTheEntryHasIt(t *testing.T) {
	f := newLinkFixture()
	f.current = cluster.Version{Number: 3, Hash: "h", Body: []byte("{}")}
	require.NotEmpty(t, f.push().Version.Body)
	f.report.Version.Number = 3
	require.NotEmpty(t, f.push().Version.Body)
	require.Empty(t, f.push().Version.Body)
	f.down = true
	require.Empty(t, f.push().Version.Body)
	f.down = false
	f.report = cluster.EntryReport{Incarnation: 6}
	require.NotEmpty(t, f.push().Version.Body, "after a failed push")
	require.NotEmpty(t, f.push().Version.Body, "to an entry without a version")
}

// Guards against an agent that restarted during an outage forcing an old
// version on its entry instead of learning the newer one from it.
func TestEntryIsASourceOfVersions(t *testing.T) {
	f := newLinkFixture()
	f.current.Number = 3
	f.report.Version = cluster.Version{Number: 5, Body: []byte("{}")}
	f.push()
	require.Equal(t, []uint64{5}, f.offered)
	f.report.Version.Number = 4
	f.push()
	require.Equal(t, []uint64{5}, f.offered)
}

// Guards against look-ups listing an instance that stops, and against one that
// stays leaving after its entry was replaced.
func TestLeavingFollowsTheEntry(t *testing.T) {
	f := newLinkFixture()
	f.push()
	f.report.Leaving = true
	f.push()
	require.Equal(t, cluster.Leaving, f.members.Self().State)
	f.report = cluster.EntryReport{Incarnation: 6}
	f.push()
	require.Equal(t, cluster.Serving, f.members.Self().State)
	require.Greater(t, f.members.Self().Incarnation, uint64(1))

	f.link.stop()
	f.members.Leave()
	f.report.Incarnation = 7
	f.push()
	require.Equal(t, cluster.Leaving, f.members.Self().State, "a stopping agent must stay leaving")
}

// Guards against a snapshot of old records after a pause of the agent, and
// against the pause counting as silence of the entry.
func TestPauseAsksPeersBeforeTheNextSnapshot(t *testing.T) {
	f := newLinkFixture()
	f.push()
	require.Zero(t, f.resyncs)
	f.now = f.now.Add(30 * time.Second)
	f.down = true
	before := len(f.snapshots)
	f.push()
	require.Equal(t, 1, f.resyncs)
	require.Len(t, f.snapshots, before+1)
	require.EqualValues(t, 5, f.members.Self().EntryIncarnation)
	f.down = false
	f.push()
	require.Equal(t, 1, f.resyncs)
}

// Guards against a snapshot that was built before a pause being sent after it.
func TestPauseWhileTheSnapshotIsBuilt(t *testing.T) {
	f := newLinkFixture()
	f.push()
	before := len(f.snapshots)
	f.link.cfg.Checkpoint = func() cluster.Shares {
		f.now = f.now.Add(5 * time.Second)
		return nil
	}
	f.link.push(context.Background())
	require.Len(t, f.snapshots, before)
	f.link.cfg.Checkpoint = func() cluster.Shares { return nil }
	f.push()
	require.Len(t, f.snapshots, before+1)
	require.Equal(t, 1, f.resyncs)
}
