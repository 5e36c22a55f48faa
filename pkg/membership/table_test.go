package membership

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/peer"
	"github.com/sequoiacove/sequoiacove/pkg/platform"
)

// Guards against instances that know only the seeds staying unknown to others.
func TestAllInstancesMeet(t *testing.T) {
	s := newSim(t, 12)
	s.advance(3 * time.Second)
	s.requireAll(cluster.Serving, 12, "after 3 s")
}

// Guards against an instance without reachable peers losing its own record.
func TestIsolatedInstanceKeepsItself(t *testing.T) {
	s := newSim(t, 1)
	s.advance(5 * time.Minute)
	s.requireAll(cluster.Serving, 1, "alone")
}

// Guards against a dead instance being kept as live, forgotten early or kept
// for good.
func TestCrashedInstanceDiesAndIsForgotten(t *testing.T) {
	s := newSim(t, 12)
	s.advance(5 * time.Second)
	s.order[5].down = true
	s.advance(2 * time.Second)
	s.requireAll(cluster.Dead, 0, "2 s after the crash")
	s.advance(2500 * time.Millisecond)
	s.requireAll(cluster.Dead, 1, "4.5 s after the crash")
	s.advance(53 * time.Second)
	s.requireAll(cluster.Dead, 1, "57.5 s after the crash")
	s.advance(6 * time.Second)
	s.requireAll(cluster.Dead, 0, "63.5 s after the crash")
	s.requireAll(cluster.Serving, 11, "63.5 s after the crash")
}

// Guards against a dead member coming to life at an instance that did not know
// it, because the record is new there.
func TestAgeOfANewRecordCounts(t *testing.T) {
	s := newSim(t, 1)
	silent := func(id string, age time.Duration) Record {
		m := cluster.Member{ID: id, Region: "r", Domain: "d", State: cluster.Serving, AgentAddress: "127.0.0.1:1", Incarnation: 1}
		return Record{Member: m, AgeMS: age.Milliseconds()}
	}
	body, err := peer.Encode(&Sync{Records: []Record{silent("dead", 3*time.Second), silent("suspect", 2500*time.Millisecond)}})
	require.NoError(t, err)
	_, err = s.order[0].table.HandleSync(context.Background(), body)
	require.NoError(t, err)
	states := s.order[0].states()
	require.NotContains(t, states, "dead")
	require.Equal(t, cluster.Suspect, states["suspect"])
	s.now = s.now.Add(500 * time.Millisecond)
	require.Equal(t, cluster.Dead, s.order[0].states()["suspect"])
}

// Guards against the record of an earlier run outliving a restart, also when
// it arrives late.
func TestHigherIncarnationReplaces(t *testing.T) {
	s := newSim(t, 12)
	s.advance(5 * time.Second)
	s.order[4].table.Leave()
	s.advance(2 * time.Second)
	s.requireAll(cluster.Leaving, 1, "before the restart")
	late, _ := s.order[0].member("i04")
	s.start(4, 2)
	s.advance(2 * time.Second)
	s.requireAll(cluster.Serving, 12, "after the restart")
	body, err := peer.Encode(&Sync{Records: []Record{{Member: late}}})
	require.NoError(t, err)
	_, err = s.order[0].table.HandleSync(context.Background(), body)
	require.NoError(t, err)
	m, _ := s.order[0].member("i04")
	require.EqualValues(t, 2, m.Incarnation)
	require.Equal(t, cluster.Serving, m.State)
}

// Guards against a restart with a clock that was set back: peers would ignore
// the new run because they know a higher incarnation.
func TestRestartWithLowerIncarnationIsRaised(t *testing.T) {
	s := newSim(t, 4)
	s.start(3, 900)
	s.advance(3 * time.Second)
	s.start(3, 7)
	s.advance(3 * time.Second)
	s.requireAll(cluster.Serving, 4, "after the restart")
	m, _ := s.order[0].member("i03")
	require.EqualValues(t, 901, m.Incarnation)
}

// Guards against a leaving member becoming serving again by records that
// arrive in another order.
func TestLeavingWinsWithinAnIncarnation(t *testing.T) {
	s := newSim(t, 3)
	s.advance(3 * time.Second)
	m, _ := s.order[0].member("i02")
	leaving, serving := m, m
	leaving.State, leaving.Sequence = cluster.Leaving, m.Sequence+5
	serving.Sequence = m.Sequence + 9
	for _, order := range [][]cluster.Member{{leaving, serving}, {serving, leaving}} {
		s.order[0].table.mu.Lock()
		for _, r := range order {
			s.order[0].table.merge([]Record{{Member: r}}, s.now)
		}
		s.order[0].table.mu.Unlock()
		require.Equal(t, cluster.Leaving, s.order[0].states()["i02"])
	}
}

// Guards against Update changing what only the table may change.
func TestUpdateKeepsIdentity(t *testing.T) {
	s := newSim(t, 2)
	table := s.order[0].table
	table.Leave()
	table.Update(func(m *cluster.Member) {
		m.ID, m.Incarnation, m.State, m.Version = "x", 99, cluster.Serving, 3
	})
	self := table.Self()
	require.Equal(t, "i00", self.ID)
	require.EqualValues(t, 1, self.Incarnation)
	require.Equal(t, cluster.Leaving, self.State)
	s.advance(time.Second)
	require.NotEmpty(t, s.order[1].heard)
	require.EqualValues(t, 3, s.order[1].heard[0].Version)
	heard := len(s.order[1].heard)
	s.advance(time.Second)
	require.Greater(t, len(s.order[1].heard), heard, "a fetch that failed must be tried again with the next heartbeat")
}

func listed(i string, addr string, state cluster.State) platform.Instance {
	return platform.Instance{ID: i, Role: platform.RoleEntry, AgentAddress: addr, State: state}
}

// Guards against the lagging list overriding what heartbeats show.
func TestListMarksLeavingAndNothingElse(t *testing.T) {
	s := newSim(t, 3)
	s.advance(3 * time.Second)
	table := s.order[0].table
	table.MergeList([]platform.Instance{listed("i01", s.order[1].addr, cluster.Leaving)})
	require.Equal(t, cluster.Leaving, s.order[0].states()["i01"])
	require.Equal(t, cluster.Serving, s.order[0].states()["i02"], "a member missing from the list must stay live")

	s.start(1, 2)
	s.advance(time.Second)
	table.MergeList([]platform.Instance{listed("i01", s.order[1].addr, cluster.Leaving)})
	require.Equal(t, cluster.Serving, s.order[0].states()["i01"], "the mark of the run before must not reach the new one")

	s.order[2].down = true
	s.advance(5 * time.Second)
	table.MergeList([]platform.Instance{listed("i02", s.order[2].addr, cluster.Serving)})
	require.Equal(t, cluster.Dead, s.order[0].states()["i02"], "a listed member without heartbeats must stay dead")
}

// Guards against an instance that has no seeds and relies on the list alone.
func TestListGivesAddressesToTry(t *testing.T) {
	s := newSim(t, 3)
	s.seeds = nil
	n := s.start(9, 1)
	s.advance(2 * time.Second)
	require.Len(t, n.states(), 1)
	n.table.MergeList([]platform.Instance{listed("i02", s.order[2].addr, cluster.Serving)})
	s.advance(2 * time.Second)
	require.Len(t, n.states(), 4)
}

// Guards against invalid records entering the table.
func TestInvalidRecordsAreIgnored(t *testing.T) {
	s := newSim(t, 1)
	good := cluster.Member{ID: "x", Region: "r", Domain: "d", State: cluster.Serving, AgentAddress: "127.0.0.1:1", Incarnation: 1}
	bad := make([]Record, 4)
	for i := range bad {
		bad[i].Member = good
	}
	bad[0].Member.ID = ""
	bad[1].Member.State = cluster.Dead
	bad[2].Member.AgentAddress = "example"
	bad[3].Member.Hash = string(make([]byte, maxNameBytes+1))
	body, err := peer.Encode(&Sync{Records: bad})
	require.NoError(t, err)
	_, err = s.order[0].table.HandleSync(context.Background(), body)
	require.NoError(t, err)
	require.Len(t, s.order[0].states(), 1)
}

// Guards against an instance staying leaving for good after its entry was
// replaced while the agent kept running.
func TestRejoinStartsANewIncarnation(t *testing.T) {
	s := newSim(t, 3)
	s.order[1].table.Leave()
	s.advance(2 * time.Second)
	s.requireAll(cluster.Leaving, 1, "after Leave")
	s.order[1].table.Rejoin()
	s.advance(2 * time.Second)
	s.requireAll(cluster.Serving, 3, "after Rejoin")
}

// Guards against two instances with one id replacing each other unnoticed.
func TestTwoInstancesWithOneID(t *testing.T) {
	s := newSim(t, 4)
	var log bytes.Buffer
	s.order[1].table.cfg.Logger = event.NewLogger(&log, slog.LevelInfo, "agent", "i01")
	twin := s.order[2].table
	twin.self.ID, twin.self.Incarnation = "i01", 5
	s.advance(5 * time.Second)
	require.Contains(t, log.String(), fmt.Sprintf(`"event":%d`, event.IDConflict))
}
