package process

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/platform/platformtest"
)

// Guards against violated guarantees when several failures occur at the same time: a
// killed instance, a paused instance, a store outage, connections that deliver no data and
// responses lost after execution. The system survives each of these failures alone.
func TestCombinedFailures(t *testing.T) {
	c := newCluster(t, withRelays)
	cfg := mixedLoad(81, 12*time.Second)
	cfg.NonIdempotentFraction = 0.5
	traffic := c.StartLoad(cfg)
	time.Sleep(2 * time.Second)
	killedInstance, pausedInstance := lookupInstance(t, c, north), lookupInstance(t, c, south)
	lossyUpstream := c.Upstream("shop-north-b-1")

	require.NoError(t, c.Store.SetFaults(platformtest.StoreFaults{Mode: platformtest.Disconnecting}))
	require.NoError(t, lossyUpstream.SetFaults(platformtest.UpstreamFaults{Mode: platformtest.CloseWithoutResponse}))
	require.NoError(t, killedInstance.Kill())
	require.NoError(t, pausedInstance.Pause())
	require.Positive(t, c.BlackholeEstablished())
	time.Sleep(detectionTime + time.Second)

	require.NoError(t, lossyUpstream.SetFaults(platformtest.UpstreamFaults{}))
	require.NoError(t, killedInstance.Start())
	require.NoError(t, pausedInstance.Resume())
	require.NoError(t, c.Store.SetFaults(platformtest.StoreFaults{}))
	requireFullMembership(t, c)
	recoveredAt := time.Now()
	report := traffic.Wait()
	requireInvariants(t, c, report)
	requireComplete(t, report, "after all failures ended", intendedAfter(recoveredAt))
}
