package operatorapi

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
)

func member(id, domain string, shares map[string]float64) cluster.Member {
	return cluster.Member{
		ID: id, Domain: domain, State: cluster.Serving,
		Shares: cluster.Shares{"s": shares},
	}
}

// Guards against a move that is reported as finished while an instance has not
// reached the target, and against one that never finishes because a failure domain
// is unreachable.
func TestMove(t *testing.T) {
	configured := map[string]float64{"a": 0.5, "b": 0.25, "c": 0.25}
	members := []cluster.Member{
		member("x", "a", map[string]float64{"a": 2.0 / 3, "b": 1.0 / 3, "c": 0}),
		member("y", "b", map[string]float64{"a": 0.6, "b": 0.4, "c": 0}),
	}
	members[0].DescriptionVersion, members[1].DescriptionVersion = 2, 2
	move := newMove("s", 2, configured, members)
	require.Equal(t, []string{"c"}, move.Unreachable)
	require.InDelta(t, 2.0/3, move.Target["a"], 1e-9)
	require.False(t, move.Finished)
	require.True(t, move.Instances[0].Finished)
	members[1].Shares = members[0].Shares
	require.True(t, newMove("s", 2, configured, members).Finished)
	require.False(t, newMove("s", 3, configured, members).Finished, "instances that have not applied the version must not count as finished")
}
