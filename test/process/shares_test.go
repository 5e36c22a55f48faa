package process

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/harness"
	"github.com/sequoiacove/sequoiacove/pkg/load"
)

// windowLengthUS is the length of the time windows for which shares are measured, in
// microseconds.
const windowLengthUS = int64(time.Second / time.Microsecond)

// shareWindows returns and logs the regional shares of each second.
func shareWindows(t *testing.T, c *harness.Cluster, r *load.Report) []load.Window {
	t.Helper()
	executions, err := c.Executions(shop.Name)
	require.NoError(t, err)
	windows := load.CountRequestsByWindow(r.Records, executions, c.RegionOf, windowLengthUS)
	for n, w := range windows {
		t.Logf("second %d: %d requests, north %.3f, south %.3f, rejected %.3f",
			n, w.Total, w.Share(north), w.Share(south), w.Share(load.NoLocation))
	}
	return windows
}

// Guards against a move of region shares that exceeds its cap in any second, does not
// reach its target or makes requests fail. The shares are measured over all instances.
func TestMoveRespectsCap(t *testing.T) {
	c := newCluster(t, nil)
	const seconds = 13
	cfg := directLoad(61, seconds*time.Second, c.Instances...)
	cfg.Rate = 300
	traffic := c.StartLoad(cfg)
	time.Sleep(2 * time.Second)
	_, err := c.Instances[0].SubmitMergePatch(1, "move", regionSharePatch(0.2))
	require.NoError(t, err)
	report := traffic.Wait()
	requireInvariants(t, c, report)
	requireComplete(t, report, "during the move", anyRecord)
	windows := shareWindows(t, c, report)
	require.Empty(t, load.CheckCap(windows, []string{north, south}, regionCap, 1, len(c.Instances)))
	last := windows[len(windows)-1]
	require.InDelta(t, 0.2, last.Share(north), 2*float64(len(c.Instances))/float64(last.Total), "the move did not reach its target")
}

// regionSharePatch returns a patch that sets the region shares of north and south.
func regionSharePatch(northShare float64) map[string]any {
	return map[string]any{"services": map[string]any{shop.Name: map[string]any{"regions": map[string]any{
		north: map[string]any{"share": northShare}, south: map[string]any{"share": 1 - northShare}}}}}
}

// Guards against an instance that restarts during a move and uses the target shares at
// once, instead of the current shares of its peers.
func TestRestartDuringMoveRespectsCap(t *testing.T) {
	c := newCluster(t, nil)
	restartedInstance := c.Instances[0]
	cfg := directLoad(62, 9*time.Second, c.Instances[1:]...)
	cfg.Rate = 250
	traffic := c.StartLoad(cfg)
	time.Sleep(time.Second)
	_, err := c.Instances[1].SubmitMergePatch(1, "move", regionSharePatch(0.1))
	require.NoError(t, err)
	time.Sleep(time.Second)
	require.NoError(t, restartedInstance.Kill())
	require.NoError(t, restartedInstance.Start())
	requireFullMembership(t, c)
	restartedLoad := directLoad(63, 2*time.Second, restartedInstance)
	restartedLoad.RunID = "restarted"
	startedAt := time.Now()
	restartedReport := c.StartLoad(restartedLoad).Wait()
	report := traffic.Wait()
	requireInvariants(t, c, report, restartedReport)
	require.Empty(t, load.CheckCap(shareWindows(t, c, report), []string{north, south}, regionCap, 1, len(c.Instances)-1))

	executions, err := c.Executions(shop.Name)
	require.NoError(t, err)
	firstWindow := load.CountRequestsByWindow(restartedReport.Records, executions, c.RegionOf, windowLengthUS)[0]
	elapsed := startedAt.Add(time.Second).UnixMicro() - report.Records[0].IntendedUnixUS
	minShare := 0.6 - regionCap*float64(elapsed)/1e6
	require.GreaterOrEqual(t, firstWindow.Share(north), minShare-2/float64(firstWindow.Total), "the restarted instance shifted its share faster than the cap")
}
