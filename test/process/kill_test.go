package process

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests that fail for longer than the detection time, run
// twice or lose their outcome after the entry that owns a pool is killed.
func TestEntryKilled(t *testing.T) {
	c := newCluster(t, nil)
	victim := owner(t, c, northBlock)
	traffic := c.StartLoad(mixed(11, 11*time.Second))
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

// Guards against the loss of a whole instance lasting longer than detection.
func TestInstanceKilled(t *testing.T) {
	c := newCluster(t, nil)
	victim := owner(t, c, southBlock)
	traffic := c.StartLoad(mixed(12, 10*time.Second))
	time.Sleep(2 * time.Second)
	require.NoError(t, victim.Entry.Kill())
	require.NoError(t, victim.Agent.Kill())
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
	traffic := c.StartLoad(mixed(13, 12*time.Second))
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
