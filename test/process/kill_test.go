package process

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/load"
)

// Guards against requests that fail for longer than the detection time, run
// twice or lose their outcome after an instance is killed and comes back.
func TestInstanceKilledAndRestarted(t *testing.T) {
	c := newCluster(t, nil)
	victim := instanceFor(t, c, north)
	traffic := c.StartLoad(mixed(11, 10*time.Second))
	time.Sleep(2 * time.Second)
	require.NoError(t, victim.Kill())
	killed := time.Now()
	time.Sleep(5 * time.Second)
	require.NoError(t, victim.Start())
	requireMembers(t, c)
	report := traffic.Wait()
	requireSound(t, c, report)
	requireComplete(t, report, "after the detection time", after(killed.Add(detection)))
}

// Guards against the loss of an instance lasting longer than detection.
func TestInstanceKilled(t *testing.T) {
	c := newCluster(t, nil)
	victim := instanceFor(t, c, south)
	traffic := c.StartLoad(mixed(12, 8*time.Second))
	time.Sleep(2 * time.Second)
	require.NoError(t, victim.Kill())
	killed := time.Now()
	report := traffic.Wait()
	requireSound(t, c, report)
	requireComplete(t, report, "after the detection time", after(killed.Add(detection+time.Second)))
}

// Guards against a lost region that stops the rest, or whose traffic moves
// faster than the failover cap.
func TestRegionLost(t *testing.T) {
	c := newCluster(t, nil)
	others := append(c.InstancesInDomain("north-a"), c.InstancesInDomain("north-b")...)
	const moved = 4 * time.Second
	cfg := direct(15, 2*time.Second+detection+moved+3*time.Second, others...)
	cfg.Rate = 300
	traffic := c.StartLoad(cfg)
	time.Sleep(2 * time.Second)
	lost := time.Now()
	for _, i := range c.InstancesInDomain("south-a") {
		require.NoError(t, i.Kill())
	}
	for _, u := range c.Upstreams {
		if u.Domain == "south-a" {
			require.NoError(t, u.Kill())
		}
	}
	report := traffic.Wait()
	requireSound(t, c, report)
	requireComplete(t, report, "after the failover", after(lost.Add(detection+moved+time.Second)))
	list := windows(t, c, report)
	require.Empty(t, load.CheckGrowth(list, []string{north}, failoverCap, 1, len(others)))
}
