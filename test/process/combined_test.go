package process

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/standin"
)

// Guards against guarantees that hold under each failure alone but not when a
// killed entry, a paused agent, a dead store, silent connections and answers
// lost after their effect come together.
func TestFailuresTogether(t *testing.T) {
	c := newCluster(t, withRelays)
	cfg := mixed(81, 12*time.Second)
	cfg.NonIdempotent = 0.5
	traffic := c.StartLoad(cfg)
	time.Sleep(2 * time.Second)
	killed, paused := owner(t, c, northBlock), owner(t, c, southBlock)
	losing := c.Upstream(service + "-north-b-1")

	require.NoError(t, c.Platform.Fault(standin.PlatformFaults{Mode: "down"}))
	require.NoError(t, losing.Control(standin.UpstreamFault{Fail: "close_after_read"}))
	require.NoError(t, killed.Entry.Kill())
	require.NoError(t, paused.Agent.Pause())
	require.Positive(t, c.SilenceUpstreams())
	time.Sleep(detection + time.Second)

	require.NoError(t, losing.Control(standin.UpstreamFault{}))
	require.NoError(t, killed.Entry.Start())
	require.NoError(t, paused.Agent.Resume())
	require.NoError(t, c.Platform.Fault(standin.PlatformFaults{Mode: "none"}))
	requireMembers(t, c)
	healed := time.Now()
	report := traffic.Wait()
	requireSound(t, c, report)
	requireComplete(t, report, "after all failures ended", after(healed))
}
