package process

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/platform/platformtest"
)

// Guards against broken guarantees when failures that the system survives one at a time
// coincide: a killed instance, a paused instance, a store outage, silent connections and
// responses lost after execution.
func TestCombinedFailures(t *testing.T) {
	c := newCluster(t, withRelays)
	cfg := mixedLoad(81, 12*time.Second)
	cfg.NonIdempotentFraction = 0.5
	traffic := c.StartLoad(cfg)
	time.Sleep(2 * time.Second)
	killed, paused := lookupInstance(t, c, north), lookupInstance(t, c, south)
	lossy := c.Upstream("shop-north-b-1")

	require.NoError(t, c.Store.SetFaults(platformtest.StoreFaults{Mode: platformtest.Disconnecting}))
	require.NoError(t, lossy.SetFaults(platformtest.UpstreamFaults{Mode: platformtest.CloseWithoutResponse}))
	require.NoError(t, killed.Kill())
	require.NoError(t, paused.Pause())
	require.Positive(t, c.BlackholeEstablished())
	time.Sleep(detectionTime + time.Second)

	require.NoError(t, lossy.SetFaults(platformtest.UpstreamFaults{}))
	require.NoError(t, killed.Start())
	require.NoError(t, paused.Resume())
	require.NoError(t, c.Store.SetFaults(platformtest.StoreFaults{}))
	requireFullMembership(t, c)
	recoveredAt := time.Now()
	report := traffic.Wait()
	requireInvariants(t, c, report)
	requireComplete(t, report, "after all failures ended", intendedAfter(recoveredAt))
}
