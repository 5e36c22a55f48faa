package agent

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/platform"
	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/pkg/standin"
)

func member(id, domain string, shares map[string]float64) cluster.Member {
	return cluster.Member{
		ID: id, Domain: domain, State: cluster.Serving, EntryIncarnation: 1,
		Shares: cluster.Shares{"s": shares},
	}
}

// Guards against dead, silent, own or malformed shares in the mean.
func TestMeanShares(t *testing.T) {
	dead := member("d", "a", map[string]float64{"a": 0, "b": 1})
	dead.State = cluster.Dead
	silent := member("e", "a", map[string]float64{"a": 0, "b": 1})
	silent.EntryIncarnation = 0
	mean := cluster.MeanShares([]cluster.Member{
		member("self", "a", map[string]float64{"a": 0, "b": 1}),
		member("x", "a", map[string]float64{"a": 1, "b": 0}),
		member("y", "a", map[string]float64{"a": 0.5, "b": 0.5}),
		member("z", "a", map[string]float64{"a": math.NaN(), "b": 1}),
		member("w", "a", map[string]float64{"a": 3, "b": -2}),
		dead, silent,
	}, "self")
	require.Equal(t, cluster.Shares{"s": {"a": 0.75, "b": 0.25}}, mean)
	require.Empty(t, cluster.MeanShares(nil, ""))
}

// fakeLease is a lease whose state the test sets.
type fakeLease struct {
	held  bool
	table platform.Table
}

func (l *fakeLease) Held() bool { return l.held }

func (l *fakeLease) Write(ctx context.Context, tx platform.Transaction) (uint64, error) {
	if !l.held {
		return 0, result.New(result.LeaseLost, "not held")
	}
	return l.table.Transact(ctx, tx)
}

// Guards against writes without the lease, writes without a change, and a
// checkpoint that another agent cannot read.
func TestCheckpoints(t *testing.T) {
	server := standin.NewPlatform(time.Now)
	table := server.Direct()
	ctx := context.Background()
	members := []cluster.Member{member("x", "a", map[string]float64{"a": 1})}
	lease := &fakeLease{table: table}
	c := &checkpoints{id: "x", table: table, lease: lease, now: time.Now, members: func() []cluster.Member { return members }}
	require.NoError(t, c.write(ctx))
	require.Nil(t, c.current(), "written without the lease")
	lease.held = true
	require.NoError(t, c.write(ctx))
	first, err := table.Get(ctx, checkpointKey)
	require.NoError(t, err)
	require.NotZero(t, first.Revision)
	require.NoError(t, c.write(ctx))
	second, err := table.Get(ctx, checkpointKey)
	require.NoError(t, err)
	require.Equal(t, first.Revision, second.Revision, "unchanged shares were written again")

	other := &checkpoints{id: "y", table: table, now: time.Now, members: c.members}
	require.NoError(t, other.read(ctx))
	require.Equal(t, cluster.Shares{"s": {"a": 1}}, other.current())
}
