package membership

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/peer"
)

func isFollowUp(s *Sync) bool { return len(s.Digest) == 0 }

// Guards against bodies that did not change travelling with each heartbeat: 12
// nodes would exceed the target of 12 KB/s.
func TestSteadyStateStaysWithinTheTarget(t *testing.T) {
	s := newSim(t, 12)
	for i, n := range s.order {
		body := sample(i, 1)
		n.table.Update(func(m *cluster.Member) { m.Shares, m.Pools, m.Hash = body.Shares, body.Pools, body.Hash })
	}
	s.advance(5 * time.Second)
	s.bytes, s.records = 0, 0
	s.advance(10 * time.Second)
	// Each exchange costs both of its sides.
	require.Less(t, 2*s.bytes/12/10, 12_000, "bytes per second and node")
	require.Zero(t, s.records, "bodies that did not change")
	require.NotEmpty(t, s.order[0].table.peers["i07"].member.Shares)
}

// Guards against a body being lost for good, or its member dying, when the
// messages that bring wanted records are lost.
func TestBodyArrivesWithoutFollowUps(t *testing.T) {
	s := newSim(t, 6)
	s.advance(5 * time.Second)
	s.lose = isFollowUp
	// Only i00 hears of i02, so the others depend on its replies.
	s.blocked = func(from, to string) bool {
		ends := map[string]bool{from: true, to: true}
		return ends[s.order[2].addr] && !ends[s.order[0].addr]
	}
	s.advance(time.Second)
	s.order[2].table.Update(func(m *cluster.Member) { m.Version = 7 })
	s.advance(4 * time.Second)
	s.requireAll(cluster.Dead, 0, "without follow-ups")
	for _, n := range s.order {
		m, _ := n.member("i02")
		require.EqualValues(t, 7, m.Version, n.addr)
	}
}

// Guards against a member that joins or restarts staying unknown to peers that
// only get digests with its key.
func TestUnknownKeyIsAskedFor(t *testing.T) {
	s := newSim(t, 3)
	s.advance(5 * time.Second)
	a, b := s.order[0].table, s.order[1].table
	newcomer := cluster.Member{ID: "x", Region: "r", Domain: "d", State: cluster.Serving, AgentAddress: "127.0.0.1:9", Incarnation: 4, Sequence: 2, Revision: 3}
	a.merge([]Record{{Member: newcomer}}, s.now)
	require.NoError(t, a.exchange(context.Background(), s.order[1].addr))
	require.Contains(t, b.peers, "x")
	newcomer.Incarnation = 5
	a.merge([]Record{{Member: newcomer}}, s.now)
	require.NoError(t, a.exchange(context.Background(), s.order[1].addr))
	require.EqualValues(t, 5, b.peers["x"].member.Incarnation)
	require.Len(t, b.byKey, len(b.peers), "keys of replaced incarnations must not stay")
}

// Guards against reordered records putting an older body or an older sequence
// into force.
func TestReorderedBodies(t *testing.T) {
	s := newSim(t, 2)
	s.advance(2 * time.Second)
	table := s.order[0].table
	m, _ := s.order[0].member("i01")
	older, newer := m, m
	for i, newerFirst := range []bool{true, false} {
		older.Revision, older.Version, older.Sequence = m.Revision+uint64(2*i)+1, uint64(2*i)+1, m.Sequence+uint64(20*i)+9
		newer.Revision, newer.Version, newer.Sequence = older.Revision+1, older.Version+1, older.Sequence-5
		order := []cluster.Member{older, newer}
		if newerFirst {
			order = []cluster.Member{newer, older}
		}
		for _, r := range order {
			table.merge([]Record{{Member: r}}, s.now)
		}
		known := table.peers["i01"].member
		require.Equal(t, newer.Version, known.Version, "newer first: %v", newerFirst)
		require.Equal(t, older.Sequence, known.Sequence, "newer first: %v", newerFirst)
	}
}

// Guards against a leaving member being used until its body arrives.
func TestDigestCarriesLeaving(t *testing.T) {
	s := newSim(t, 2)
	s.advance(2 * time.Second)
	s.order[1].table.Leave()
	s.now = s.now.Add(defaultInterval)
	message := s.order[1].table.firstMessage(s.now)
	message.Records = nil
	body, err := peer.Encode(message)
	require.NoError(t, err)
	_, err = s.order[0].table.HandleSync(context.Background(), body)
	require.NoError(t, err)
	require.Equal(t, cluster.Leaving, s.order[0].states()["i01"])
}

// Guards against malformed or oversized messages being taken in.
func TestInvalidDigestsAreRefused(t *testing.T) {
	s := newSim(t, 1)
	large := liveness{sequence: maxOrder}
	many := make([]byte, 0, (maxDigest+1)*(keyBytes+2))
	for i := range maxDigest + 1 {
		many = liveness{key: uint64(i)}.appendTo(many)
	}
	for name, in := range map[string]Sync{
		"cut key": {Digest: make([]byte, 5)}, "cut sequence": {Digest: make([]byte, keyBytes)},
		"cut revision": {Digest: make([]byte, keyBytes+1)}, "large sequence": {Digest: large.appendTo(nil)},
		"many": {Digest: many}, "many wanted": {Want: make([]uint64, maxDigest+1)},
	} {
		body, err := peer.Encode(&in)
		require.NoError(t, err)
		_, err = s.order[0].table.HandleSync(context.Background(), body)
		require.Error(t, err, name)
	}
}

// Guards against one wanted key that is repeated making the reply large.
func TestWantedRecordsAreSentOnce(t *testing.T) {
	s := newSim(t, 3)
	s.advance(3 * time.Second)
	table := s.order[0].table
	key := table.peers["i01"].key
	require.Len(t, table.wanted([]uint64{key, key, keyOf(&table.self), keyOf(&table.self), 1}, s.now), 2)
}

// Guards against noise changing the body with each report, shares becoming too
// old for the lead of other instances, and withdrawn shares staying published.
func TestUpdateHoldsBackNoise(t *testing.T) {
	s := newSim(t, 1)
	table := s.order[0].table
	report := func(share, rate float64, inUse int) uint64 {
		s.now = s.now.Add(200 * time.Millisecond)
		table.Update(func(m *cluster.Member) {
			m.Shares = cluster.Shares{"s": {"a": share, "b": 1 - share}}
			m.Demand = cluster.Demand{"s": rate}
			m.Pools = []cluster.PoolReport{{Service: "s", Slots: 20, InUse: inUse}}
		})
		return table.Self().Revision
	}
	first := report(0.5, 30, 7)
	for i := range 50 {
		noise := float64(i%3 - 1)
		require.Equal(t, first, report(0.5+1e-7*noise, 30+2*noise, 7+i%3), "report %d", i)
	}
	before := table.Self().Revision
	for i := range 60 {
		report(0.5, 30+20*float64(i%2), 7)
	}
	require.LessOrEqual(t, table.Self().Revision-before, uint64(4), "changes by loads in 12 s")
	for i := range 50 {
		share := 0.5 - 0.004*float64(i)
		report(share, 30, 7)
		lag := math.Abs(table.Self().Shares["s"]["a"] - share)
		require.LessOrEqual(t, lag, 2*0.004, "shares older than 400 ms at report %d", i)
	}
	table.Update(func(m *cluster.Member) { m.Shares = nil })
	require.Empty(t, table.Self().Shares, "withdrawn shares")
}
