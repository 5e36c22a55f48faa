package process

import (
	"errors"
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/harness"
	"github.com/sequoiacove/sequoiacove/pkg/operator"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

const races = 10

// Guards against two patches that both win one version, and against a refusal
// that does not name the current version.
func TestTwoOperatorsRace(t *testing.T) {
	c := newCluster(t, nil)
	for round := range races {
		base := uint64(round + 1)
		winners, refusals := race(c, base)
		require.Len(t, winners, 1, "round %d: exactly one patch wins", round)
		require.Equal(t, base+1, winners[0].Version)
		require.Len(t, refusals, 1)
		var refused *harness.StatusError
		require.True(t, errors.As(refusals[0], &refused), "%v", refusals[0])
		require.Equal(t, result.VersionConflict, refused.Code(), "%v", refused)
		require.Equal(t, base+1, refused.CurrentVersion(), "%v", refused)
		_, err := c.AwaitVersion(base+1, inForce)
		require.NoError(t, err)
	}
}

func race(c *harness.Cluster, base uint64) (winners []operator.PatchReply, refusals []error) {
	var mu sync.Mutex
	var both sync.WaitGroup
	for side, i := range []*harness.Instance{c.Instances[0], c.Instances[5]} {
		both.Add(1)
		go func() {
			defer both.Done()
			patch := map[string]any{"lookup": map[string]any{"ttl_ms": 300 + 10*int(base) + side}}
			accepted, err := i.SubmitMergePatch(base, fmt.Sprintf("race-%d-%d", base, side), patch)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				refusals = append(refusals, err)
				return
			}
			winners = append(winners, accepted)
		}()
	}
	both.Wait()
	return winners, refusals
}
