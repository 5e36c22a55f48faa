package agent

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/faultproxy"
	"github.com/sequoiacove/sequoiacove/pkg/platform"
	"github.com/sequoiacove/sequoiacove/pkg/settings"
	"github.com/sequoiacove/sequoiacove/pkg/standin"
)

// Guards against an accepted version that does not reach all entries while the
// store fails right after the acceptance.
func TestVersionReachesAllEntriesWithoutTheStore(t *testing.T) {
	f := newFleet(t, 4)
	f.settle()
	reply := f.patch(0, "first", descriptionText)
	require.EqualValues(t, 1, reply.Version)
	f.platform.SetFaults(standin.PlatformFaults{Mode: standin.PlatformDown})
	start := time.Now()
	f.inForce(1)
	require.Less(t, time.Since(start), 2*time.Second, "in force within 2 s")
}

// Guards against an agent that starts while the store is out staying without a
// version although its entry or its peers have one.
func TestAgentRestartsDuringAnOutage(t *testing.T) {
	f := newFleet(t, 3)
	f.settle()
	f.patch(0, "first", descriptionText)
	f.inForce(1)
	f.platform.SetFaults(standin.PlatformFaults{Mode: standin.PlatformDown})
	for _, nd := range f.nodes {
		nd.kill()
	}
	for _, nd := range f.nodes {
		f.startAgent(nd)
	}
	f.eventually("restarted agents learn the version", func() bool {
		for _, nd := range f.nodes {
			if nd.agent.sync.Current().Number != 1 {
				return false
			}
		}
		return true
	})
	f.settle()
}

// Guards against peers using an instance whose entry died, and against losing
// it for good.
func TestEntryDiesAndReturns(t *testing.T) {
	f := newFleet(t, 3)
	f.settle()
	f.nodes[1].entry.close()
	start := time.Now()
	f.eventually("peers see the entry dead", func() bool {
		return len(cluster.Live(f.nodes[0].entry.snapshot().Members)) == 2
	})
	require.Less(t, time.Since(start), 4*time.Second)
	require.Equal(t, 3, counts(f.nodes[0].entry.snapshot())[cluster.Serving], "its agent is alive")
	f.nodes[1].entry = f.startEntry(f.nodes[1], 2)
	f.settle()
}

// Guards against a dead agent's instance staying in the snapshots of others.
func TestAgentDies(t *testing.T) {
	f := newFleet(t, 3)
	f.settle()
	f.nodes[2].kill()
	start := time.Now()
	f.eventually("peers see the member dead or leaving", func() bool {
		return counts(f.nodes[0].entry.snapshot())[cluster.Serving] == 2
	})
	require.Less(t, time.Since(start), 5*time.Second)
}

// Guards against an agent that stops before its entry has drained, which would
// detach the entry in the middle of its requests.
func TestAgentOutlivesItsEntry(t *testing.T) {
	f := newFleet(t, 2)
	f.settle()
	nd := f.nodes[1]
	nd.stop()
	f.eventually("peers see the member leaving", func() bool {
		return counts(f.nodes[0].entry.snapshot())[cluster.Leaving] == 1
	})
	ordered := false
	nd.entry.change(func() { ordered = nd.entry.ordered })
	require.True(t, ordered, "the entry must be told to drain")
	sequence := nd.entry.snapshot().Sequence
	f.eventually("snapshots go on", func() bool { return nd.entry.snapshot().Sequence > sequence+5 })
	select {
	case <-nd.done:
		t.Fatal("the agent stopped while its entry was still draining")
	default:
	}
	nd.entry.close()
	select {
	case <-nd.done:
	case <-time.After(patient):
		t.Fatal("the agent did not stop after its entry had gone")
	}
}

// Guards against the leaving state of a stopping entry not reaching the peers,
// and against its successor staying leaving.
func TestEntryIsReplaced(t *testing.T) {
	f := newFleet(t, 2)
	f.settle()
	nd := f.nodes[1]
	nd.entry.change(func() { nd.entry.report.Leaving = true })
	f.eventually("peers see the member leaving", func() bool {
		return counts(f.nodes[0].entry.snapshot())[cluster.Leaving] == 1
	})
	nd.entry.close()
	nd.entry = f.startEntry(nd, 2)
	f.settle()
}

// Guards against snapshots without the upstreams of the own domain, with those
// of another, or with a listed state that is lost.
func TestSnapshotHoldsTheDomainsUpstreams(t *testing.T) {
	f := newFleet(t, 1)
	for _, in := range []platform.Instance{
		{ID: "u1", Role: platform.RoleUpstream, Service: "shop", Region: "north", Domain: "north-a", Address: "127.0.0.1:1", State: cluster.Serving, Slots: 4},
		{ID: "u2", Role: platform.RoleUpstream, Service: "shop", Region: "north", Domain: "north-a", Address: "127.0.0.1:2", State: cluster.Leaving, Slots: 4},
		{ID: "u3", Role: platform.RoleUpstream, Service: "shop", Region: "north", Domain: "north-b", Address: "127.0.0.1:3", State: cluster.Serving, Slots: 4},
	} {
		f.platform.PutInstance(in)
	}
	f.eventually("upstreams in the snapshot", func() bool { return len(f.nodes[0].entry.snapshot().Upstreams) == 2 })
	got := f.nodes[0].entry.snapshot().Upstreams
	require.Equal(t, "u1", got[0].ID)
	require.Equal(t, cluster.Leaving, got[1].State)
}

// Guards against an agent that restarts during an outage giving its entry an
// empty list of upstreams, also in its first snapshot, although peers know them.
func TestRestartedAgentLearnsUpstreamsFromPeers(t *testing.T) {
	for _, mode := range []standin.PlatformMode{standin.PlatformDown, standin.PlatformSlow} {
		f := newFleet(t, 2)
		f.platform.PutInstance(platform.Instance{
			ID: "u1", Role: platform.RoleUpstream, Service: "shop", Region: "north", Domain: "north-b",
			Address: "127.0.0.1:1", State: cluster.Serving, Slots: 4,
		})
		f.patch(0, "first", descriptionText)
		f.inForce(1)
		f.eventually("upstream in the snapshot", func() bool { return len(f.nodes[1].entry.snapshot().Upstreams) == 1 })
		f.eventually("all agents have read the list", func() bool {
			_, ok := f.nodes[0].agent.instances.find("u1")
			return ok
		})
		f.platform.SetFaults(standin.PlatformFaults{Mode: mode, DelayMS: 3000})
		nd := f.nodes[1]
		nd.kill()
		f.startAgent(nd)
		incarnation := nd.agent.members.Self().Incarnation
		var first cluster.Snapshot
		f.eventually("a snapshot of the new agent", func() bool {
			nd.entry.change(func() { first = nd.entry.first[incarnation] })
			return first.AgentIncarnation == incarnation
		})
		require.Len(t, first.Upstreams, 1, "platform %s", mode)
		require.EqualValues(t, 1, first.Version.Number, "platform %s", mode)
		require.Len(t, first.Members, 2, "platform %s", mode)
	}
}

// Guards against heartbeats that are not counted, that are sent more often than
// the interval and the fan-out allow, or that carry bodies that did not change.
func TestHeartbeatsAreCounted(t *testing.T) {
	f := newFleet(t, 4)
	f.settle()
	count := func(name string) int64 {
		return f.nodes[0].agent.registry.Get("peer.client.sync_members." + name).(metrics.Counter).Count()
	}
	start, messages, sent, received := time.Now(), count("messages"), count("bytes_sent"), count("bytes_received")
	f.eventually("20 heartbeats", func() bool { return count("messages") >= messages+20 })
	// Three peers each 450 ms or more, and one round that was already due.
	most := 3 * (1 + int64(time.Since(start)/(450*time.Millisecond)))
	require.LessOrEqual(t, count("messages")-messages, most)
	// A digest of four members holds at least ten bytes for each. The exchanges
	// that this agent starts may take half of the target of 12 KB/s.
	require.Greater(t, count("bytes_sent")-sent, 20*int64(40))
	require.Greater(t, count("bytes_received")-received, 20*int64(5))
	budget := int64(6000 * time.Since(start).Seconds())
	require.Less(t, count("bytes_sent")-sent+count("bytes_received")-received, budget)
}

// Guards against lost datagrams or a cut in one direction making live members
// dead or keeping a version from them: an agent that can only be heard when it
// calls still exchanges records and fetches versions.
func TestLostDatagramsAndOneWayCut(t *testing.T) {
	var relays []*faultproxy.UDP
	f := newFleetWith(t, 3, func(s *settings.Instance) {
		relay, err := faultproxy.NewUDP(s.Agent.PeerAddress, uint64(len(relays)))
		require.NoError(t, err)
		t.Cleanup(relay.Close)
		relays = append(relays, relay)
		s.Agent.AdvertisedAddress = relay.Addr()
	})
	f.settle()
	for _, relay := range relays[:2] {
		relay.SetLoss(0.1)
	}
	relays[2].Set(faultproxy.Faults{Cut: true})
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(tick) {
		for _, nd := range f.nodes {
			require.Zero(t, counts(nd.entry.snapshot())[cluster.Dead], "%s sees a live member dead", nd.settings.ID)
		}
	}
	f.patch(0, "first", descriptionText)
	f.inForce(1)
}
