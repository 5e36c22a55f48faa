package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/peer"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// Guards against "not run" after a try whose answer was lost: the retry's
// refusal says nothing about the execution of the first try.
func TestRefusedRetryDoesNotHideALostAnswer(t *testing.T) {
	w := newWorld(t, map[string]string{"n1": "north-a", "s1": "south-a", "s2": "south-a"})
	delivered := false
	w.net.setLose(func(string) bool { delivered = true; return true })
	w.net.setFail(func(addr string, _ peer.MessageType) error {
		if delivered {
			return result.New(result.PeerUnreachable, "%s", addr)
		}
		return nil
	})
	w.adm["n1"].set(queueFull)
	for !delivered {
		_, err := w.do("n1", nil)
		require.Error(t, err)
		if delivered {
			require.Equal(t, result.Unknown, result.OutcomeOf(err), "%v", err)
		}
	}
}

// Guards against an entry that loses its upstreams because its agent restarted
// during a platform outage and knows no instance list yet.
func TestUnknownListKeepsTheUpstreams(t *testing.T) {
	w := newWorld(t, map[string]string{"n1": "north-a"})
	push := func(upstreams []cluster.UpstreamRecord) {
		w.pushSnapshot("n1", cluster.Snapshot{Members: w.members(), Upstreams: upstreams})
	}
	push([]cluster.UpstreamRecord{{ID: "u1", Service: "calls", Domain: "north-a", State: cluster.Serving, Slots: 4}})
	push(nil)
	require.Len(t, w.adm["n1"].pools[0].Upstreams, 1, "no list says nothing about the upstreams")
	push([]cluster.UpstreamRecord{})
	require.Empty(t, w.adm["n1"].pools[0].Upstreams, "an empty list removes them")
}
