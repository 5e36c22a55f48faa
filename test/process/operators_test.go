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

const raceRounds = 10

// Guards against accepting two concurrent patches for the same base version, and against
// a version conflict that does not report the current version.
func TestConcurrentPatches(t *testing.T) {
	c := newCluster(t, nil)
	for round := range raceRounds {
		base := uint64(round + 1)
		acceptedReplies, rejectionErrors := racePatches(c, base)
		require.Len(t, acceptedReplies, 1, "round %d: exactly one patch must be accepted", round)
		require.Equal(t, base+1, acceptedReplies[0].Version)
		require.Len(t, rejectionErrors, 1)
		var rejection *harness.StatusError
		require.True(t, errors.As(rejectionErrors[0], &rejection), "%v", rejectionErrors[0])
		require.Equal(t, result.VersionConflict, rejection.Code(), "%v", rejection)
		require.Equal(t, base+1, rejection.CurrentVersion(), "%v", rejection)
		_, err := c.AwaitVersion(base+1, propagationTimeout)
		require.NoError(t, err)
	}
}

// racePatches submits two different patches for the same base version at the same time,
// to two instances.
func racePatches(c *harness.Cluster, base uint64) (acceptedReplies []operator.PatchReply, rejectionErrors []error) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for n, i := range []*harness.Instance{c.Instances[0], c.Instances[5]} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			patch := map[string]any{"lookup": map[string]any{"ttl_ms": 300 + 10*int(base) + n}}
			accepted, err := i.SubmitMergePatch(base, fmt.Sprintf("race-%d-%d", base, n), patch)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				rejectionErrors = append(rejectionErrors, err)
				return
			}
			acceptedReplies = append(acceptedReplies, accepted)
		}()
	}
	wg.Wait()
	return acceptedReplies, rejectionErrors
}
