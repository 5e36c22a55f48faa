package process

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/harness"
	"github.com/sequoiacove/sequoiacove/pkg/load"
)

const windowUS = int64(time.Second / time.Microsecond)

func windows(t *testing.T, c *harness.Cluster, r *load.Report) []load.Window {
	t.Helper()
	executions, err := c.Executions(shop.Name)
	require.NoError(t, err)
	list := load.Windows(r.Records, executions, c.RegionOf, windowUS)
	for n, w := range list {
		t.Logf("second %d: %d requests, north %.3f, south %.3f, refused %.3f",
			n, w.Total, w.Share(north), w.Share(south), w.Share(load.NoLocation))
	}
	return list
}

// Guards against a move that exceeds its cap in any second over all instances
// together, does not arrive, or loses requests.
func TestMoveHoldsItsCap(t *testing.T) {
	c := newCluster(t, nil)
	const seconds = 13
	cfg := direct(61, seconds*time.Second, c.Instances...)
	cfg.Rate = 300
	traffic := c.StartLoad(cfg)
	time.Sleep(2 * time.Second)
	_, err := c.Instances[0].SubmitMergePatch(1, "move", move(0.2))
	require.NoError(t, err)
	report := traffic.Wait()
	requireSound(t, c, report)
	requireComplete(t, report, "during the move", all)
	list := windows(t, c, report)
	require.Empty(t, load.CheckCap(list, []string{north, south}, regionCap, 1, len(c.Instances)))
	last := list[len(list)-1]
	require.InDelta(t, 0.2, last.Share(north), 2*float64(len(c.Instances))/float64(last.Total), "the move arrives")
}

// move gives the north a new share.
func move(share float64) map[string]any {
	return map[string]any{"services": map[string]any{shop.Name: map[string]any{"regions": map[string]any{
		north: map[string]any{"share": share}, south: map[string]any{"share": 1 - share}}}}}
}

// Guards against a restarted instance that jumps to the target in the middle of a
// move instead of taking its peers' shares.
func TestRestartDuringMoveHoldsTheCap(t *testing.T) {
	c := newCluster(t, nil)
	victim := c.Instances[0]
	cfg := direct(62, 9*time.Second, c.Instances[1:]...)
	cfg.Rate = 250
	traffic := c.StartLoad(cfg)
	time.Sleep(time.Second)
	_, err := c.Instances[1].SubmitMergePatch(1, "move", move(0.1))
	require.NoError(t, err)
	time.Sleep(time.Second)
	require.NoError(t, victim.Kill())
	require.NoError(t, victim.Start())
	requireMembers(t, c)
	own := direct(63, 2*time.Second, victim)
	own.RunID = "restarted"
	started := time.Now()
	restarted := c.StartLoad(own).Wait()
	report := traffic.Wait()
	requireSound(t, c, report, restarted)
	require.Empty(t, load.CheckCap(windows(t, c, report), []string{north, south}, regionCap, 1, len(c.Instances)-1))

	executions, err := c.Executions(shop.Name)
	require.NoError(t, err)
	first := load.Windows(restarted.Records, executions, c.RegionOf, windowUS)[0]
	elapsed := started.Add(time.Second).UnixMicro() - report.Records[0].IntendedUnixUS
	least := 0.6 - regionCap*float64(elapsed)/1e6
	require.GreaterOrEqual(t, first.Share(north), least-2/float64(first.Total), "the restarted instance moved ahead of the cap")
}
