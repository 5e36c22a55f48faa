package configsync

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/peer"
)

// Guards against a version in force that falls back when offers race.
func TestVersionsOnlyRise(t *testing.T) {
	var order []uint64
	s := newAlone(t, Config{OnVersion: func(v cluster.Version) { order = append(order, v.Number) }})
	var group sync.WaitGroup
	for number := uint64(1); number <= 50; number++ {
		for range 2 {
			group.Go(func() { s.Offer(version(number)) })
		}
	}
	group.Wait()
	require.EqualValues(t, 50, s.Current().Number)
	require.IsIncreasing(t, order)
	require.False(t, s.Offer(version(50)))
	require.False(t, s.Offer(version(3)))
	require.False(t, s.adopt(version(3)), "a higher version came into force after the first check")
	require.EqualValues(t, 50, s.Current().Number)
}

// Guards against a damaged or invalid version that comes into force.
func TestInvalidVersionIsRefused(t *testing.T) {
	s := newAlone(t, Config{})
	wrongHash := version(1)
	wrongHash.Body = version(2).Body
	require.False(t, s.Offer(wrongHash))
	require.False(t, s.Offer(cluster.Version{}))
	require.Zero(t, s.Current().Number)
}

// Guards against a change of the offered bytes that alters the version in force.
func TestCurrentIsImmutable(t *testing.T) {
	s := newAlone(t, Config{})
	v := version(1)
	require.True(t, s.Offer(v))
	v.Body[0] = 'x'
	require.Equal(t, version(1).Body, s.Current().Body)
}

// Guards against agents that a push misses although they are reachable, and
// against more than one relay for each domain when nothing fails.
func TestDistributeReachesAll(t *testing.T) {
	n := newNetwork(6, 4, nil)
	defer n.close()
	reach := n.agents["d0-0"].Distribute(context.Background(), version(1))
	require.Equal(t, 24, n.holding(1))
	require.Equal(t, Reach{Acknowledged: 3 + 5}, reach)
	require.Equal(t, 23, n.calls[peer.PushVersion])
	for i := range n.members {
		n.members[i].Version = 1
	}
	require.Zero(t, n.agents["d0-1"].Distribute(context.Background(), version(1)))
	require.Equal(t, 23, n.calls[peer.PushVersion], "members that have the version get no push")
}

// Guards against a domain that gets nothing because its first relays are gone
// or silent, and a relay that waits for a silent agent of its domain: either
// takes from the 2 s target.
func TestNextRelayTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(3, 4, nil)
		defer n.close()
		ranked := rankRelays("d1", 1, domainMembers(n, "d1"))
		n.silent[ranked[0].ID], n.closed[ranked[1].ID], n.silent[ranked[2].ID] = true, true, true
		start := time.Now()
		n.agents["d0-0"].Distribute(context.Background(), version(1))
		require.Equal(t, 9, n.holding(1))
		require.Less(t, time.Since(start), time.Second)
	})
}

func domainMembers(n *network, domain string) (list []cluster.Member) {
	for _, m := range n.members {
		if m.Domain == domain {
			list = append(list, m)
		}
	}
	return list
}

// Guards against an agent that stays behind although a heartbeat names a
// higher version, also while another peer is silent.
func TestHeardFetchesFromPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(1, 3, nil)
		defer n.close()
		n.silent["d0-2"] = true
		n.agents["d0-1"].Offer(version(4))
		agent := n.agents["d0-0"]
		agent.Heard(9, "", "d0-2")
		agent.Heard(4, version(4).Hash, "d0-1")
		agent.Heard(4, version(4).Hash, "d0-1")
		synctest.Wait()
		require.EqualValues(t, 4, agent.Current().Number)
		require.Equal(t, 2, n.calls[peer.FetchVersion], "one fetch for each peer at a time")
	})
}

// Guards against an invalid version that is fetched with every heartbeat.
func TestRefusedVersionIsNotFetchedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(1, 2, nil)
		defer n.close()
		invalid := version(4)
		invalid.Hash = "other"
		n.agents["d0-1"].current.Store(&invalid)
		for range 5 {
			n.agents["d0-0"].Heard(4, "other", "d0-1")
			synctest.Wait()
		}
		require.Equal(t, 1, n.calls[peer.FetchVersion])
		require.Zero(t, n.agents["d0-0"].Current().Number)
	})
}

// Guards against silence about two different configurations of one number.
func TestMismatchIsCounted(t *testing.T) {
	n := newNetwork(1, 2, nil)
	defer n.close()
	agent := n.agents["d0-0"]
	agent.Offer(version(4))
	agent.Heard(4, "other", "d0-1")
	require.EqualValues(t, 1, agent.meters.mismatched.Count())
	require.Zero(t, n.calls[peer.FetchVersion])
}

// following returns the version after v.
func following(v cluster.Version) cluster.Version {
	next := version(v.Number + 1)
	next.PreviousBody = v.Body
	return next
}

// Guards against whole descriptions in every push, which would exceed the
// control traffic of a node, and against agents that a delta leaves behind
// because they hold another version than its base.
func TestDeltaPush(t *testing.T) {
	n := newNetwork(3, 4, nil)
	defer n.close()
	base := version(1)
	for id, agent := range n.agents {
		if id != "d0-1" && id != "d1-2" {
			require.True(t, agent.Offer(base))
		}
	}
	next := following(base)
	u := newUpdate(next)
	require.NotNil(t, u.delta)
	require.Less(t, len(u.delta.Delta), 50)
	reach := n.agents["d0-0"].Distribute(context.Background(), next)
	require.Zero(t, reach.Missed)
	require.Equal(t, 12, n.holding(2))
	for id, agent := range n.agents {
		require.Equal(t, next.Body, agent.Current().Body, id)
		require.Equal(t, base.Body, agent.Current().PreviousBody, id)
	}
	require.Equal(t, 11+2, n.calls[peer.PushVersion], "only the two agents without the base need the body")
}

// Guards against a delta that puts a body into force which does not have the
// hash of its version, or that is applied to another version than its base and
// leaves a wrong previous body.
func TestWrongDeltaIsNotApplied(t *testing.T) {
	s := newAlone(t, Config{})
	s.Offer(version(1))
	wrong := *newUpdate(following(version(1))).delta
	wrong.Delta = []byte(`{"lookup":{"ttl_ms":9999}}`)
	skipped := *newUpdate(following(version(2))).delta
	for _, push := range []Push{wrong, skipped} {
		body, err := cbor.Marshal(push)
		require.NoError(t, err)
		answer, err := s.HandlePush(context.Background(), body)
		require.NoError(t, err)
		require.True(t, answer.(Ack).NeedBody)
		require.EqualValues(t, 1, s.Current().Number)
	}
}

// Guards against a push or fetch from outside that is accepted without checks
// or that crashes the process.
func FuzzMessages(f *testing.F) {
	for _, seed := range []any{*newUpdate(following(version(1))).delta, Push{Version: version(2)}, Push{Version: version(2), Relay: true}, Push{}, Fetch{AtLeast: 1}, Ack{Number: 3}} {
		encoded, err := cbor.Marshal(seed)
		require.NoError(f, err)
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		s := newAlone(t, Config{})
		s.Offer(version(1))
		if _, err := s.HandlePush(context.Background(), body); err == nil {
			require.NoError(t, Check(s.Current()))
		}
		before := s.Current()
		_, _ = s.HandleFetch(context.Background(), body)
		require.Equal(t, before, s.Current())
	})
}
