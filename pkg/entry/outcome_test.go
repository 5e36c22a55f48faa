package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
)

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
