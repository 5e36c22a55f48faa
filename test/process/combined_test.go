package process

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/platform/platformtest"
)

// Guards against guarantees that hold under each failure alone but not when a
// killed instance, a paused one, a dead store, silent connections and answers
// lost after their effect come together.
func TestFailuresTogether(t *testing.T) {
	c := newCluster(t, withRelays)
	cfg := mixed(81, 12*time.Second)
	cfg.NonIdempotentFraction = 0.5
	traffic := c.StartLoad(cfg)
	time.Sleep(2 * time.Second)
	killed, paused := instanceFor(t, c, north), instanceFor(t, c, south)
	losing := c.Upstream("shop-north-b-1")

	require.NoError(t, c.Store.SetFaults(platformtest.StoreFaults{Mode: platformtest.Disconnecting}))
	require.NoError(t, losing.SetFaults(platformtest.UpstreamFaults{Fail: platformtest.CloseAfterRead}))
	require.NoError(t, killed.Kill())
	require.NoError(t, paused.Pause())
	require.Positive(t, c.BlackholeEstablished())
	time.Sleep(detection + time.Second)

	require.NoError(t, losing.SetFaults(platformtest.UpstreamFaults{}))
	require.NoError(t, killed.Start())
	require.NoError(t, paused.Resume())
	require.NoError(t, c.Store.SetFaults(platformtest.StoreFaults{}))
	requireMembers(t, c)
	healed := time.Now()
	report := traffic.Wait()
	requireSound(t, c, report)
	requireComplete(t, report, "after all failures ended", after(healed))
}
