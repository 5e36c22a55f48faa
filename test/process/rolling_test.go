package process

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a planned replacement that callers notice: failed or cut-off
// requests, or a drain longer than the bound.
func TestRollingRestart(t *testing.T) {
	c := newCluster(t, nil)
	traffic := c.StartLoad(mixed(31, 2*time.Minute))
	for _, i := range c.Instances {
		took, err := i.Terminate(stopTime)
		require.NoError(t, err, i.ID)
		t.Logf("%s drained in %v", i.ID, took)
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
	victim := instanceFor(t, c, north)
	long := direct(32, time.Second, c.Instances...)
	long.Rate, long.WorkMS, long.NonIdempotentFraction = 12, 1500, 0.5
	traffic := c.StartLoad(long)
	time.Sleep(1200 * time.Millisecond)
	took, err := victim.Terminate(stopTime)
	require.NoError(t, err)
	t.Logf("drained in %v", took)
	report := traffic.Wait()
	requireSound(t, c, report)
	requireComplete(t, report, "in flight at the stop", all)
}
