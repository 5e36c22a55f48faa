package process

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/harness"
	"github.com/sequoiacove/sequoiacove/pkg/load"
)

// Guards against requests that fail for longer than the detection time, run
// twice or lose their outcome after the entry that owns a pool is killed.
func TestEntryKilled(t *testing.T) {
	c := newCluster(t, nil)
	victim := owner(t, c, northBlock)
	traffic := c.StartLoad(mixed(11, 10*time.Second))
	time.Sleep(2 * time.Second)
	require.NoError(t, victim.Entry.Kill())
	killed := time.Now()
	time.Sleep(5 * time.Second)
	require.NoError(t, victim.Entry.Start())
	requireMembers(t, c)
	report := traffic.Wait()
	requireSound(t, c, report)
	requireComplete(t, report, "after the detection time", after(killed.Add(detection)))
}

func killInstance(t *testing.T, i *harness.Instance) {
	require.NoError(t, i.Entry.Kill())
	require.NoError(t, i.Agent.Kill())
}

// Guards against the loss of a whole instance lasting longer than detection.
func TestInstanceKilled(t *testing.T) {
	c := newCluster(t, nil)
	victim := owner(t, c, southBlock)
	traffic := c.StartLoad(mixed(12, 8*time.Second))
	time.Sleep(2 * time.Second)
	killInstance(t, victim)
	killed := time.Now()
	report := traffic.Wait()
	requireSound(t, c, report)
	requireComplete(t, report, "after the detection time", after(killed.Add(detection+time.Second)))
}

// Guards against requests that fail because an agent is killed or returns; its
// entry goes on with its last snapshot.
func TestAgentKilled(t *testing.T) {
	c := newCluster(t, nil)
	victim := owner(t, c, northBlock)
	traffic := c.StartLoad(mixed(13, 10*time.Second))
	time.Sleep(2 * time.Second)
	require.NoError(t, victim.Agent.Kill())
	time.Sleep(detection + 2*time.Second)
	straight := c.StartLoad(direct(14, time.Second, victim))
	reached := straight.Wait()
	require.NoError(t, victim.Agent.Start())
	requireMembers(t, c)
	report := traffic.Wait()
	requireSound(t, c, report, reached)
	requireComplete(t, report, "while an agent was down", all)
	requireComplete(t, reached, "at the entry without agent", all)
}

// Guards against a lost region that stops the rest, or whose traffic moves
// faster than the failover cap.
func TestRegionLost(t *testing.T) {
	c := newCluster(t, nil)
	others := append(c.InDomain("north-a"), c.InDomain("north-b")...)
	const moved = 4 * time.Second
	cfg := direct(15, 2*time.Second+detection+moved+3*time.Second, others...)
	cfg.Rate = 300
	traffic := c.StartLoad(cfg)
	time.Sleep(2 * time.Second)
	lost := time.Now()
	for _, i := range c.InDomain("south-a") {
		killInstance(t, i)
	}
	for _, u := range c.Upstreams {
		if u.Record.Domain == "south-a" {
			require.NoError(t, u.Kill())
		}
	}
	report := traffic.Wait()
	requireSound(t, c, report)
	requireComplete(t, report, "after the failover", after(lost.Add(detection+moved+time.Second)))
	list := windows(t, c, report)
	require.Empty(t, load.CheckGrowth(list, []string{north}, failoverCap, 1, len(others)))
}
