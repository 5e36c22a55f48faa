package process

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/harness"
	"github.com/sequoiacove/sequoiacove/pkg/load"
)

// maxServiceRecoveryTime is the maximum time from the moment when all established
// connections between processes stop delivering data until all requests succeed again.
const maxServiceRecoveryTime = 2 * time.Second

// Guards against slow recovery and duplicate executions when all established
// connections to upstreams, to the store and between instances stop delivering data
// permanently without being closed.
func TestSilentConnections(t *testing.T) {
	c := newCluster(t, withRelays)
	traffic := c.StartLoad(mixedLoad(73, 8*time.Second))
	directTraffic := c.StartLoad(directLoad(71, 8*time.Second, c.InstancesInDomain("south-a")...))
	time.Sleep(3 * time.Second)
	require.Positive(t, c.BlackholeEstablished())
	blackholedAt := time.Now()
	report, directReport := traffic.Wait(), directTraffic.Wait()
	requireInvariants(t, c, report, directReport)
	requireComplete(t, report, "after connections stopped delivering data", intendedAfter(blackholedAt.Add(maxServiceRecoveryTime)))
	requireComplete(t, directReport, "after connections stopped delivering data", intendedAfter(blackholedAt.Add(maxServiceRecoveryTime)))
}

// Guards against instances that remove each other from their member lists when their
// established connections and datagram flows stop delivering data permanently. Such
// instances would together exceed the limits that they share.
func TestMembershipSurvivesSilentFlows(t *testing.T) {
	c := newCluster(t, withRelays)
	for range 2 {
		require.Positive(t, c.BlackholeEstablished())
		for end := time.Now().Add(2 * detectionTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			require.NoError(t, c.CheckMembership())
		}
	}
}

// Guards against lost, duplicated or truncated responses to callers when connections to
// upstreams break before or in the middle of a response.
func TestLostAndTruncatedResponses(t *testing.T) {
	c := newCluster(t, withRelays)
	traffic := c.StartLoad(mixedLoad(74, 6*time.Second))
	for n := range 8 {
		time.Sleep(500 * time.Millisecond)
		relay := c.UpstreamRelay(c.Upstreams[n%len(c.Upstreams)].ID)
		if n%2 == 0 {
			relay.DropResponses(3)
		} else {
			relay.TruncateResponses(3, 60)
		}
	}
	report := traffic.Wait()
	requireInvariants(t, c, report)
	requireComplete(t, report, "with upstream connections that break during responses", idempotent)
}

// Guards against requests that fail on either side of a partition after the failover, and,
// until after the partition has healed, against shares that change faster than the failover
// cap and executions that exceed a region's concurrency limit.
func TestDomainPartition(t *testing.T) {
	c := newCluster(t, withRelays)
	const seconds = 19
	insideLoad := directLoad(75, seconds*time.Second, c.InstancesInDomain("south-a")...)
	outsideLoad := directLoad(76, seconds*time.Second, append(c.InstancesInDomain("north-a"), c.InstancesInDomain("north-b")...)...)
	insideLoad.RunID, outsideLoad.RunID = "inside", "outside"
	insideLoad.Rate, outsideLoad.Rate = 300, 300
	insideTraffic, outsideTraffic := c.StartLoad(insideLoad), c.StartLoad(outsideLoad)
	time.Sleep(2 * time.Second)
	c.Partition("south-a", true)
	partitionedAt := time.Now()
	// The share of north, 0.6, is the larger one and takes the longest to move.
	time.Sleep(detectionTime + time.Duration(0.6/failoverCap*float64(time.Second)) + time.Second)
	failedOverAt := time.Now()
	time.Sleep(2 * time.Second)
	c.Heal()
	healedAt := time.Now()
	insideReport, outsideReport := insideTraffic.Wait(), outsideTraffic.Wait()
	requireInvariants(t, c, insideReport, outsideReport)
	duringPartition := allOf(intendedAfter(failedOverAt), func(r load.Record) bool { return !intendedAfter(healedAt)(r) })
	requireComplete(t, insideReport, "inside the partitioned domain after failover", duringPartition)
	requireComplete(t, outsideReport, "outside the partitioned domain after failover", duringPartition)
	t.Logf("partitioned at %v, failover complete at %v, healed at %v", partitionedAt, failedOverAt, healedAt)
	requirePartitionLimits(t, c, insideReport, 2)
	requirePartitionLimits(t, c, outsideReport, 4)
	requireFullMembership(t, c)
}

// requirePartitionLimits checks the failover cap on the shares of one side's load, and
// the concurrency limits of both regions over all executions.
func requirePartitionLimits(t *testing.T, c *harness.Cluster, r *load.Report, instanceCount int) {
	t.Helper()
	windows := shareWindows(t, c, r)
	require.Empty(t, load.CheckGrowth(windows, []string{north, south}, failoverCap, 1, instanceCount))
	executions, err := c.Executions(shop.Name)
	require.NoError(t, err)
	peakConcurrency := load.MaxConcurrent(executions, c.RegionOf)
	require.LessOrEqual(t, peakConcurrency[north], 24)
	require.LessOrEqual(t, peakConcurrency[south], 12)
}

// Guards against responses that are mixed up, truncated or lost when datagrams
// between instances are lost or reordered.
func TestReorderedAndLostDatagrams(t *testing.T) {
	c := newCluster(t, withRelays)
	c.ImpairMesh(0.02, 0.2)
	cfg := mixedLoad(77, 4*time.Second)
	cfg.BodyBytes = 40_000
	report := c.StartLoad(cfg).Wait()
	c.ImpairMesh(0, 0)
	requireInvariants(t, c, report)
	requireComplete(t, report, "with lost and reordered datagrams", anyRecord)
}
