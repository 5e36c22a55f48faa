package process

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/harness"
	"github.com/sequoiacove/sequoiacove/pkg/load"
	"github.com/sequoiacove/sequoiacove/pkg/standin"
)

// pause is above every timeout of the system but short for a test.
const pause = 6 * time.Second

// Guards against an instance that acts on what it knew before it was paused:
// an upstream that left, an old version, a pool that moved to another owner.
func TestInstancePausedAndResumed(t *testing.T) {
	c := newCluster(t, nil)
	victim := owner(t, c, northBlock)
	left := c.Upstream(service + "-" + victim.Domain + "-1")
	traffic := c.StartLoad(mixed(21, pause+7*time.Second))
	time.Sleep(time.Second)
	require.NoError(t, victim.Agent.Pause())
	require.NoError(t, victim.Entry.Pause())
	paused := time.Now()

	other := c.Instances[len(c.Instances)-1]
	if other == victim {
		other = c.Instances[0]
	}
	_, err := other.Merge(1, "during-pause", map[string]any{"lookup": map[string]any{"ttl_ms": 700}})
	require.NoError(t, err)
	require.NoError(t, left.Control(standin.UpstreamFault{Leaving: true}))
	gone := left.Record
	gone.State = cluster.Leaving
	require.NoError(t, c.Platform.Register(gone))

	time.Sleep(pause - time.Second)
	straight := c.StartLoad(direct(22, 4*time.Second, victim))
	time.Sleep(time.Second)
	require.NoError(t, victim.Entry.Resume())
	require.NoError(t, victim.Agent.Resume())
	resumed := time.Now()
	requireNoOldVersion(t, c, victim, 2)
	early := straight.Wait()
	requireMembers(t, c)
	report := traffic.Wait()

	requireSound(t, c, report, early)
	requireComplete(t, report, "after the detection time", after(paused.Add(detection+time.Second)))
	requireComplete(t, early, "two seconds after the pause", after(resumed.Add(2*time.Second)))
	requireNoStarts(t, c, left, paused.Add(3*time.Second))
}

// requireNoOldVersion looks up at the resumed instance for a second.
func requireNoOldVersion(t *testing.T, c *harness.Cluster, i *harness.Instance, version uint64) {
	t.Helper()
	seen := 0
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		answer, err := c.Lookup(i, service, northBlock)
		if err != nil {
			continue
		}
		seen++
		require.GreaterOrEqual(t, answer.Version, version, "an old version is in force after the pause")
	}
	require.Positive(t, seen, "the resumed instance answers no look-ups")
}

// requireNoStarts checks that an upstream began no work after a moment.
func requireNoStarts(t *testing.T, c *harness.Cluster, u *harness.Upstream, from time.Time) {
	t.Helper()
	log, err := u.Log()
	require.NoError(t, err)
	late := []load.Execution{}
	for _, e := range log.Executions {
		if e.StartUnixUS > from.UnixMicro() {
			late = append(late, e)
		}
	}
	require.Empty(t, late[:min(len(late), 5)], "%d executions began at %s after it had left", len(late), u.Record.ID)
}

// Guards against a paused agent that brings back an old version or takes its
// entry out of service for good.
func TestAgentPausedAndResumed(t *testing.T) {
	c := newCluster(t, nil)
	victim := owner(t, c, southBlock)
	traffic := c.StartLoad(mixed(23, pause+4*time.Second))
	require.NoError(t, victim.Agent.Pause())
	other := c.Instances[0]
	_, err := other.Merge(1, "during-pause", map[string]any{"lookup": map[string]any{"ttl_ms": 700}})
	require.NoError(t, err)
	time.Sleep(pause)
	require.NoError(t, victim.Agent.Resume())
	_, err = c.AwaitVersion(2, 3*time.Second)
	require.NoError(t, err)
	requireMembers(t, c)
	report := traffic.Wait()
	requireSound(t, c, report)
	requireComplete(t, report, "while an agent was paused", all)
}

// Guards against an entry that was paused alone and then uses an upstream that
// was drained meanwhile, an old version, or a pool that moved.
func TestEntryPausedAndResumed(t *testing.T) {
	c := newCluster(t, nil)
	victim := owner(t, c, northBlock)
	out := c.Upstream(service + "-" + victim.Domain + "-2")
	traffic := c.StartLoad(mixed(24, 10*time.Second))
	time.Sleep(time.Second)
	require.NoError(t, victim.Entry.Pause())
	paused := time.Now()
	_, err := victim.Merge(1, "during-pause", map[string]any{"drained_upstreams": []string{out.Record.ID}})
	require.NoError(t, err)
	time.Sleep(detection + time.Second)
	straight := c.StartLoad(direct(25, 3*time.Second, victim))
	time.Sleep(time.Second)
	require.NoError(t, victim.Entry.Resume())
	resumed := time.Now()
	requireNoOldVersion(t, c, victim, 2)
	early := straight.Wait()
	report := traffic.Wait()
	requireMembers(t, c)
	requireSound(t, c, report, early)
	requireComplete(t, report, "after the detection time", after(paused.Add(detection+time.Second)))
	requireComplete(t, early, "a second after the pause", after(resumed.Add(time.Second)))
	requireNoStarts(t, c, out, paused.Add(3*time.Second))
}
