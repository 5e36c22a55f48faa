package process

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/harness"
	"github.com/sequoiacove/sequoiacove/pkg/load"
	"github.com/sequoiacove/sequoiacove/platform/platformtest"
)

const (
	// configurationTime is the time within which an acknowledged configuration must be in
	// force on all instances.
	configurationTime = 2500 * time.Millisecond
	// copyOutage is the time for which the store is away before it comes back from a copy.
	copyOutage = 500 * time.Millisecond
	// lostWrites is the number of writes that a restore loses besides those of the test. It
	// exceeds the number of writes that follow.
	lostWrites   = 40
	secondHost   = "second.example"
	thirdHost    = "third.example"
	hostLoadRate = 200
)

// routeOf returns a route that only a newer configuration has.
func routeOf(host string) []platformtest.Route {
	return load.Routes(platformtest.Route{Name: host + "-", Host: host, Service: shop.Name, Timeout: maxRequestTime, TargetLatency: targetLatency, MaxAttempts: 2})
}

// hostLoad configures requests to a host, sent directly to all instances.
func hostLoad(c *harness.Cluster, seed uint64, host string, duration time.Duration) load.Config {
	cfg := directLoad(seed, duration, c.Instances...)
	cfg.Host, cfg.RunID, cfg.Rate = host, host, hostLoadRate
	return cfg
}

// putRoutes writes a configuration with a further host, and returns the time of its
// acknowledgement.
func putRoutes(t *testing.T, c *harness.Cluster, version int, host string) time.Time {
	t.Helper()
	// The first call may use a connection that the store has closed.
	_, err := harness.Await(configurationTime, "write of a configuration", func() error { return c.PutRoutes(version, routeOf(host)) })
	require.NoError(t, err)
	return time.Now()
}

// register writes the state of an upstream, and returns the time of the acknowledgement.
func register(t *testing.T, c *harness.Cluster, u *harness.Upstream, state string) time.Time {
	t.Helper()
	require.NoError(t, c.SetRegistration(u, state))
	return time.Now()
}

// changeAfterCopy takes a copy of the store, writes a number of rows that change nothing, the
// second configuration and the leaving of an upstream, and waits until all instances must have
// both. It returns the time of the leaving.
func changeAfterCopy(t *testing.T, c *harness.Cluster, leaving *harness.Upstream, writeCount int) time.Time {
	t.Helper()
	require.NoError(t, c.Store.TakeCopy())
	for range writeCount {
		register(t, c, c.Upstream("shop-north-b-1"), "ready")
	}
	putRoutes(t, c, 2, secondHost)
	leftAt := register(t, c, leaving, "draining")
	_, err := harness.Await(configurationTime, "second configuration", func() error { return c.CheckHost(secondHost) })
	require.NoError(t, err)
	time.Sleep(time.Until(leftAt.Add(drainTimeout)))
	return leftAt
}

// Guards against instances that keep old data while the counter of a store that came back
// from an older copy is below the revision that they hold.
func TestStoreRestoredFromOlderCopy(t *testing.T) {
	c := newCluster(t, nil)
	first, second := c.Upstream("shop-north-a-1"), c.Upstream("shop-south-a-1")
	traffic := c.StartLoad(mixedLoad(81, 16*time.Second))
	time.Sleep(time.Second)
	firstLeftAt := changeAfterCopy(t, c, first, lostWrites)
	before, err := c.Store.Stats()
	require.NoError(t, err)
	require.NoError(t, c.Store.RestoreCopy(copyOutage))
	configuredAt := putRoutes(t, c, 3, thirdHost)
	register(t, c, first, "draining")
	secondLeftAt := register(t, c, second, "draining")
	hostReport := c.StartLoad(hostLoad(c, 82, thirdHost, 8*time.Second)).Wait()
	report := traffic.Wait()
	after, err := c.Store.Stats()
	require.NoError(t, err)
	require.Less(t, after.Revision, before.Revision, "the counter must stay below its old value")
	requireInvariants(t, c, report, hostReport)
	requireComplete(t, report, "while the store was restored", anyRecord)
	requireNoExecutionsAfter(t, c, first, firstLeftAt.Add(drainTimeout))
	requireNoExecutionsAfter(t, c, second, secondLeftAt.Add(drainTimeout))
	requireComplete(t, hostReport, "of the newest configuration", intendedAfter(configuredAt.Add(configurationTime)))
}

// Guards against rows that an instance never gets because a store that came back from an
// older copy has written them under numbers that the instance had seen with other content.
func TestStoreRestoredAndCounterPassed(t *testing.T) {
	c := newCluster(t, withRelays)
	first, second, other := c.Upstream("shop-north-a-1"), c.Upstream("shop-south-a-1"), c.Upstream("shop-north-b-1")
	traffic := c.StartLoad(mixedLoad(83, 16*time.Second))
	time.Sleep(time.Second)
	firstLeftAt := changeAfterCopy(t, c, first, 0)
	c.CutStore(true)
	before, err := c.Store.Stats()
	require.NoError(t, err)
	require.NoError(t, c.Store.RestoreCopy(0))
	putRoutes(t, c, 3, thirdHost)
	register(t, c, second, "draining")
	rewritten, err := c.Store.Stats()
	require.NoError(t, err)
	require.LessOrEqual(t, rewritten.Revision, before.Revision, "the rows must get numbers that the instances have seen")
	register(t, c, first, "draining")
	for now := rewritten; now.Revision <= before.Revision; {
		register(t, c, other, "ready")
		now, err = c.Store.Stats()
		require.NoError(t, err)
	}
	c.CutStore(false)
	reachedAt := time.Now()
	hostReport := c.StartLoad(hostLoad(c, 84, thirdHost, 8*time.Second)).Wait()
	report := traffic.Wait()
	requireInvariants(t, c, report, hostReport)
	requireComplete(t, report, "while the store was restored", anyRecord)
	requireNoExecutionsAfter(t, c, first, firstLeftAt.Add(drainTimeout))
	requireNoExecutionsAfter(t, c, second, reachedAt.Add(contactTime))
	requireComplete(t, hostReport, "of the newest configuration", intendedAfter(reachedAt.Add(contactTime)))
}

// Guards against instances that take old listings for the state of the store after it has
// dropped its history: nothing was lost, and the listings catch up.
func TestOldListingsAfterDroppedHistory(t *testing.T) {
	const staleness = 3 * time.Second
	c := newCluster(t, nil)
	u := c.Upstream("shop-north-a-1")
	traffic := c.StartLoad(mixedLoad(85, 13*time.Second))
	time.Sleep(time.Second)
	leftAt := changeAfterCopy(t, c, u, 0)
	require.NoError(t, c.Store.ServeOldListings(staleness))
	oldReport := c.StartLoad(hostLoad(c, 86, secondHost, staleness)).Wait()
	configuredAt := putRoutes(t, c, 3, thirdHost)
	newReport := c.StartLoad(hostLoad(c, 87, thirdHost, 4*time.Second)).Wait()
	report := traffic.Wait()
	requireInvariants(t, c, report, oldReport, newReport)
	requireComplete(t, report, "with old listings", anyRecord)
	requireComplete(t, oldReport, "of the configuration before the old listings", anyRecord)
	requireNoExecutionsAfter(t, c, u, leftAt.Add(drainTimeout))
	requireComplete(t, newReport, "of the configuration after the old listings", intendedAfter(configuredAt.Add(configurationTime)))
}

// Guards against instances that take a store which leaves out its era, or states the previous
// one for a while, for another store: what is in force stays, and changes follow.
func TestEraOmittedAndOutdated(t *testing.T) {
	// outdatedResponses is about two responses for each table of each instance.
	const outdatedResponses = 30
	c := newCluster(t, nil)
	traffic := c.StartLoad(mixedLoad(88, 13*time.Second))
	changeAfterCopy(t, c, c.Upstream("shop-north-a-1"), 0)
	require.NoError(t, c.Store.RestoreCopy(copyOutage))
	for n, faults := range []platformtest.StoreFaults{{}, {EraOmitted: true}, {OutdatedEraResponses: outdatedResponses}} {
		require.NoError(t, c.Store.SetFaults(faults))
		host := fmt.Sprintf("v%d.example", n)
		configuredAt := putRoutes(t, c, 3+n, host)
		if n == 0 {
			register(t, c, c.Upstream("shop-north-a-1"), "draining")
		}
		report := c.StartLoad(hostLoad(c, uint64(89+n), host, 3*time.Second)).Wait()
		requireComplete(t, report, "of the newest configuration", intendedAfter(configuredAt.Add(configurationTime)))
	}
	report := traffic.Wait()
	requireInvariants(t, c, report)
	requireComplete(t, report, "with eras omitted and outdated", anyRecord)
}
