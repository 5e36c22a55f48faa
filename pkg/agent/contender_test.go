package agent

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
)

// Guards against a lease that nobody contends for, or for which all instances
// read the store.
func TestOneContenderPerDomain(t *testing.T) {
	var members []cluster.Member
	for i := range 30 {
		members = append(members, member(fmt.Sprint("i", i), fmt.Sprint("d", i%3), nil))
	}
	contenders := func() (ids []string) {
		for _, m := range members {
			if contends("lease", m.ID, m.Domain, members) {
				ids = append(ids, m.ID)
			}
		}
		return ids
	}
	first := contenders()
	require.Len(t, first, 3)
	for i := range members {
		if members[i].ID == first[0] {
			members[i].State = cluster.Dead
		}
	}
	second := contenders()
	require.Len(t, second, 3)
	require.NotContains(t, second, first[0])
}

// Guards against work that goes on while it should not run, or that runs twice
// at a time.
func TestRunWhile(t *testing.T) {
	var should atomic.Bool
	var running, most atomic.Int32
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		runWhile(ctx, time.Millisecond, should.Load, func(part context.Context) {
			most.Store(max(most.Load(), running.Add(1)))
			<-part.Done()
			running.Add(-1)
		})
		close(done)
	}()
	for range 5 {
		should.Store(true)
		require.Eventually(t, func() bool { return running.Load() == 1 }, patient, time.Millisecond)
		should.Store(false)
		require.Eventually(t, func() bool { return running.Load() == 0 }, patient, time.Millisecond)
	}
	should.Store(true)
	require.Eventually(t, func() bool { return running.Load() == 1 }, patient, time.Millisecond)
	cancel()
	<-done
	require.Zero(t, running.Load())
	require.EqualValues(t, 1, most.Load())
}
