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
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// Guards against a version in force that falls back when offers race.
func TestVersionsOnlyRise(t *testing.T) {
	var order []uint64
	s := New(Config{Members: func() []cluster.Member { return nil }, OnVersion: func(v cluster.Version) { order = append(order, v.Number) }})
	defer s.Close()
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
}

// Guards against a damaged or invalid version that comes into force.
func TestInvalidVersionIsRefused(t *testing.T) {
	s := New(Config{Members: func() []cluster.Member { return nil }})
	defer s.Close()
	wrongHash := version(1)
	wrongHash.Body = version(2).Body
	require.False(t, s.Offer(wrongHash))
	require.False(t, s.Offer(cluster.Version{}))
	require.Zero(t, s.Current().Number)
}

// Guards against a change of the offered bytes that alters the version in force.
func TestCurrentIsImmutable(t *testing.T) {
	s := New(Config{Members: func() []cluster.Member { return nil }})
	defer s.Close()
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
}

// Guards against a domain that gets nothing because its first relays are gone
// or silent, within the 2 s target.
func TestNextRelayTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(3, 4, nil)
		defer n.close()
		ranked := rankRelays("d1", 1, domainMembers(n, "d1"))
		n.silent[ranked[0].ID], n.closed[ranked[1].ID], n.silent[ranked[2].ID] = true, true, true
		start := time.Now()
		n.agents["d0-0"].Distribute(context.Background(), version(1))
		require.Equal(t, 9, n.holding(1))
		require.Less(t, time.Since(start), 2*time.Second)
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

// Guards against silence about two different configurations of one number.
func TestMismatchIsCounted(t *testing.T) {
	n := newNetwork(1, 2, nil)
	defer n.close()
	agent := n.agents["d0-0"]
	agent.Offer(version(4))
	agent.Heard(4, "other", "d0-1")
	require.EqualValues(t, 1, agent.meters.split.Count())
	require.Zero(t, n.calls[peer.FetchVersion])
}

// Guards against a restart that takes an old version from a stale peer or an
// unreachable store although a newer one is to be had.
func TestBootstrapTakesHighest(t *testing.T) {
	cases := map[string]struct {
		store     uint64
		storeDown bool
		peers     []uint64
		want      uint64
	}{
		"stale peer, store newer":  {store: 7, peers: []uint64{3, 0}, want: 7},
		"store down, peers differ": {store: 7, storeDown: true, peers: []uint64{3, 6}, want: 6},
		"store behind its peers":   {store: 2, peers: []uint64{5}, want: 5},
		"only the store":           {store: 7, want: 7},
		"nothing accepted yet":     {want: 0},
	}
	for name, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			source := &fakeSource{}
			if c.store > 0 {
				source.set(version(c.store), c.storeDown)
			}
			n := newNetwork(1, 4, source)
			defer n.close()
			seeds := []string{"d0-3", "nowhere"}
			n.silent["d0-3"] = true
			for i, number := range c.peers {
				n.agents[n.members[i+1].ID].Offer(version(number))
				seeds = append(seeds, n.members[i+1].ID)
			}
			got, err := n.agents["d0-0"].Bootstrap(context.Background(), seeds)
			require.NoError(t, err, name)
			require.Equal(t, c.want, got.Number, name)
		})
	}
}

// Guards against an instance that believes there is no configuration when
// nobody could be asked.
func TestBootstrapWithoutAnswer(t *testing.T) {
	source := &fakeSource{down: true}
	n := newNetwork(1, 1, source)
	defer n.close()
	_, err := n.agents["d0-0"].Bootstrap(context.Background(), []string{"nowhere"})
	require.Equal(t, result.NoConfiguration, result.CodeOf(err))
}

// Guards against polls above 100 reads per second over all agents, and against
// polls that find no new version.
func TestPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{}
		n := newNetwork(51, 65, source)
		defer n.close()
		agent := n.agents["d0-0"]
		require.Equal(t, 51*65*time.Second/100, agent.pollDelay())
		ctx, cancel := context.WithCancel(context.Background())
		go agent.Run(ctx)
		source.set(version(1), false)
		time.Sleep(34 * time.Second)
		cancel()
		synctest.Wait()
		require.EqualValues(t, 1, agent.Current().Number)
		require.Equal(t, 2, source.reads, "one read of the head and one of the version")
	})
}

// Guards against a push or fetch from outside that is accepted without checks
// or that crashes the process.
func FuzzMessages(f *testing.F) {
	for _, seed := range []any{Push{Version: version(2)}, Push{Version: version(2), Relay: true}, Push{}, Fetch{AtLeast: 1}, Ack{Number: 3}} {
		encoded, err := cbor.Marshal(seed)
		require.NoError(f, err)
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		s := New(Config{Members: func() []cluster.Member { return nil }})
		defer s.Close()
		if _, err := s.HandlePush(context.Background(), body); err == nil {
			require.NoError(t, Check(s.Current()))
		}
		before := s.Current()
		_, _ = s.HandleFetch(context.Background(), body)
		require.Equal(t, before, s.Current())
	})
}
