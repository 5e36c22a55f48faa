package process

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// drainBound is the longest cached answer plus the longest request; the margin
// covers one round of heartbeats and the exit of the process.
const drainBound = ttl + maxRequest + time.Second

// Guards against a planned replacement that callers notice: failed or cut-off
// requests, or a drain longer than the bound.
func TestRollingRestartOfAllEntries(t *testing.T) {
	c := newCluster(t, nil)
	traffic := c.StartLoad(mixed(31, 2*time.Minute))
	for _, i := range c.Instances {
		took, err := i.Entry.Terminate(drainBound)
		require.NoError(t, err, i.ID)
		t.Logf("%s drained in %v", i.ID, took)
		_, err = i.Agent.Terminate(drainBound)
		require.NoError(t, err, i.ID)
		require.NoError(t, i.Start())
		requireMembers(t, c)
	}
	report := traffic.Stop()
	requireSound(t, c, report)
	requireComplete(t, report, "during the rolling restart", idempotent)
	for _, r := range report.Records {
		require.NotEqual(t, unknown, r.Outcome, "a request was cut off: %+v", r)
	}
}

// Guards against a graceful stop that cuts off long requests in flight.
func TestGracefulStopFinishesRequests(t *testing.T) {
	c := newCluster(t, nil)
	victim := owner(t, c, northBlock)
	long := direct(32, time.Second, c.Instances...)
	long.Rate, long.WorkMS, long.NonIdempotent = 12, 1500, 0.5
	traffic := c.StartLoad(long)
	time.Sleep(1200 * time.Millisecond)
	took, err := victim.Entry.Terminate(drainBound)
	require.NoError(t, err)
	t.Logf("drained in %v", took)
	report := traffic.Wait()
	requireSound(t, c, report)
	requireComplete(t, report, "in flight at the stop", all)
}
