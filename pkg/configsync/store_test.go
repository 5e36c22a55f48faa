package configsync

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/configstore"
	"github.com/sequoiacove/sequoiacove/pkg/description"
	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/platform"
	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/pkg/standin"
)

// Guards against a restart that takes an old version from a stale peer or store
// although a newer one arrives later.
func TestBootstrapTakesHighest(t *testing.T) {
	cases := map[string]struct {
		store      uint64
		storeDown  bool
		storeDelay time.Duration
		peers      []uint64
		want       uint64
	}{
		"stale peer, store newer":  {store: 7, storeDelay: time.Second, peers: []uint64{3, 0}, want: 7},
		"store down, peers differ": {store: 7, storeDown: true, peers: []uint64{3, 6}, want: 6},
		"store behind its peers":   {store: 2, peers: []uint64{5}, want: 5},
		"only the store":           {store: 7, want: 7},
		"nothing accepted yet":     {want: 0},
	}
	for name, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			source := &fakeSource{delay: c.storeDelay}
			if c.store > 0 {
				source.set(version(c.store), c.storeDown)
			}
			n := newNetwork(1, 4, source)
			defer n.close()
			seeds := []string{"d0-3", "nowhere"}
			n.silent["d0-3"] = true
			for i, number := range c.peers {
				n.agents[n.members[i+1].ID].Offer(version(number))
				n.delay[n.members[i+1].ID] = time.Duration(i+1) * 100 * time.Millisecond
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

// Guards against a version that only slow polls bring to a large system after
// the accepting agent died before its first push.
func TestUnpushedVersionSpreads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{}
		n := newNetwork(20, 50, source)
		ctx, cancel := context.WithCancel(context.Background())
		for i, m := range n.members {
			agent := n.agents[m.ID]
			agent.config.Random = rand.New(rand.NewPCG(1, uint64(i))).Float64
			go agent.Run(ctx)
		}
		time.Sleep(20 * time.Second)
		source.set(version(1), false)
		start := time.Now()
		for n.holding(1) < len(n.members) {
			time.Sleep(10 * time.Millisecond)
		}
		t.Log("all have the version after", time.Since(start))
		require.Less(t, time.Since(start), 2*time.Second)
		cancel()
		n.close()
	})
}

// Guards against a store that was reset without anyone being told, and against
// a version in force that goes back with it.
func TestStoreBehindIsReported(t *testing.T) {
	var log bytes.Buffer
	source := &fakeSource{}
	s := newAlone(t, Config{Source: source, Logger: event.NewLogger(&log, slog.LevelError, "agent", "a")})
	s.Offer(version(5))
	source.set(version(3), false)
	s.Poll(context.Background())
	s.Poll(context.Background())
	require.EqualValues(t, 5, s.Current().Number)
	require.Equal(t, 1, strings.Count(log.String(), fmt.Sprintf(`"event":%d`, event.StoreBehind)), log.String())
}

// Guards against a patch that is accepted but not distributed when the store
// fails right after acceptance, and against an agent that restarts into an
// older version, or none, while the store is down.
func TestStoreFailsAfterAcceptance(t *testing.T) {
	server := standin.NewPlatform(time.Now)
	require.NoError(t, server.Start("127.0.0.1:0"))
	defer server.Close()
	client := platform.NewClient(platform.ClientConfig{TableAddress: server.Address(), ObjectsAddress: server.Address(), ListAddress: server.Address()})
	store := configstore.New(client, client.Objects(), time.Now)
	n := newNetwork(3, 4, store)
	defer n.close()
	server.SetFaults(standin.PlatformFaults{DropAfterWrites: 2})
	got, err := store.Accept(context.Background(), configstore.Proposal{PatchID: "p", Kind: description.MergePatch, Patch: version(1).Body})
	require.NoError(t, err)
	_, err = store.Head(context.Background())
	require.Equal(t, result.StoreUnavailable, result.CodeOf(err), "the store is down")
	start := time.Now()
	n.agents["d0-0"].Distribute(context.Background(), got.Version)
	require.Equal(t, 12, n.holding(1))
	require.Less(t, time.Since(start), 2*time.Second)

	restarted := n.agent(n.members[5], store)
	defer restarted.Close()
	v, err := restarted.Bootstrap(context.Background(), []string{"d0-0", "d1-2"})
	require.NoError(t, err)
	require.Equal(t, got.Version, v)
}
