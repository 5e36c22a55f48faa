package process

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/harness"
)

var returnRuns = flag.Int("process.returns", 1, "runs of TestStoreReturnWithManyInstances")

// Guards against instances that learn late that the store has come back from an older copy.
// It logs what that costs the store, beside an outage of the same length.
func TestStoreReturnWithManyInstances(t *testing.T) {
	const (
		instancesPerDomain = 4
		countedTime        = 5 * time.Second
		settledTime        = 2 * time.Second
	)
	c := newCluster(t, func(s *harness.Spec) {
		for n := range s.Domains {
			s.Domains[n].InstanceCount = instancesPerDomain
		}
	})
	for range *returnRuns {
		for _, restored := range []bool{false, true} {
			time.Sleep(settledTime)
			require.NoError(t, c.Store.TakeCopy())
			stop := c.Store.Interrupt
			if restored {
				stop = c.Store.RestoreCopy
			}
			require.NoError(t, stop(copyOutage))
			returnedAt := time.Now()
			before, err := c.Store.Stats()
			require.NoError(t, err)
			took, err := harness.Await(configurationTime, "era on all instances", func() error { return checkEra(c, before.Era) })
			require.NoError(t, err)
			time.Sleep(time.Until(returnedAt.Add(countedTime)))
			after, err := c.Store.Stats()
			require.NoError(t, err)
			t.Logf("older copy %v: %d instances have era %d after %v; %d store calls and %d bytes in %v",
				restored, len(c.Instances), after.Era, took.Round(time.Millisecond), after.Requests-before.Requests, after.Bytes-before.Bytes, countedTime)
		}
	}
}

// checkEra returns nil if all instances have both tables of an era of the store.
func checkEra(c *harness.Cluster, era int64) error {
	for _, i := range c.Instances {
		state, err := i.State()
		if err != nil {
			return err
		}
		for _, r := range []string{state.DirectivesRevision, state.UpstreamsRevision} {
			if !strings.HasPrefix(r, fmt.Sprintf("%d.", era)) {
				return fmt.Errorf("%s has revision %s", i.ID, r)
			}
		}
	}
	return nil
}
