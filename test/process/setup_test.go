// Package process holds tests with the real binaries. Each test judges the
// system from the upstreams' and the callers' own logs.
package process

import (
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/harness"
	"github.com/sequoiacove/sequoiacove/pkg/load"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

const (
	ttl        = 500 * time.Millisecond
	maxRequest = 2 * time.Second
	// targetLatency is that of all routes.
	targetLatency = 400 * time.Millisecond
	// stopTime bounds a graceful stop: the longest cached look-up answer, the
	// longest request, and a margin for heartbeats and the exit.
	stopTime = ttl + maxRequest + time.Second
	// detection is the time after which members without heartbeats are dead.
	detection = 3 * time.Second
	regionCap = 0.05
	// failoverCap is the cap while a domain is unreachable.
	failoverCap   = 0.1
	slots         = 4
	upstreamsEach = 3
	north, south  = "north", "south"
)

var (
	complete = result.Complete.String()
	notRun   = result.NotRun.String()
	unknown  = result.Unknown.String()
)

// shop is the service of all tests.
var shop = harness.Service{Name: "shop", Upstreams: upstreamsEach, Slots: slots}

// firstDescription spreads the service over three domains of two regions.
var firstDescription = fmt.Sprintf(`{
 "regions": {"north": {"domains": ["north-a", "north-b"]}, "south": {"domains": ["south-a"]}},
 "links": [{"between": ["north", "south"], "mbit_per_second": 280}],
 "lookup": {"ttl_ms": %d},
 "services": {"shop": {
  "regions": {
   "north": {"share": 0.6, "max_concurrent": 24, "domains": {"north-a": 0.5, "north-b": 0.5}},
   "south": {"share": 0.4, "max_concurrent": 12, "domains": {"south-a": 1}}},
  "caps": {"region_share_per_second": %g, "domain_share_per_second": 0, "failover_share_per_second": %g},
  "max_request_ms": %d}}}`,
	ttl.Milliseconds(), regionCap, failoverCap, maxRequest.Milliseconds())

// newCluster starts six instances in three domains with nine upstreams.
func newCluster(t *testing.T, change func(*harness.Spec)) *harness.Cluster {
	binaries, err := filepath.Abs("../../bin")
	require.NoError(t, err)
	spec := harness.Spec{
		Binaries: binaries,
		Domains: []harness.Domain{
			{Region: north, Name: "north-a", Instances: 2},
			{Region: north, Name: "north-b", Instances: 2},
			{Region: south, Name: "south-a", Instances: 2},
		},
		Services:      []harness.Service{shop},
		TargetLatency: targetLatency,
		Timeout:       maxRequest,
		GracePeriod:   stopTime,
		Description:   []byte(firstDescription),
	}
	if change != nil {
		change(&spec)
	}
	c, err := harness.New(spec)
	t.Cleanup(func() { finish(t, c) })
	require.NoError(t, err)
	require.NoError(t, c.Start())
	return c
}

// finish ends all processes and reports those that ended by themselves.
func finish(t *testing.T, c *harness.Cluster) {
	if c == nil {
		return
	}
	for _, ended := range c.UnexpectedExits() {
		t.Errorf("a process ended by itself: %s", ended)
	}
	if t.Failed() {
		t.Logf("logs are kept in %s; executions: %v", c.Dir, c.SaveExecutions())
	}
	c.Close(t.Failed())
}

func withRelays(s *harness.Spec) { s.Relays = true }

// mixed is load from callers in both regions with a fifth of writes.
func mixed(seed uint64, duration time.Duration) load.Config {
	return load.Config{
		Regions: []string{north, south}, Rate: 150, Duration: duration, Seed: seed, RunID: "mixed",
		NonIdempotentFraction: 0.2, WorkMS: 5, BodyBytes: 500, Deadline: maxRequest, AttemptTimeout: time.Second,
	}
}

// direct is load straight to the given instances, each request sent once.
func direct(seed uint64, duration time.Duration, instances ...*harness.Instance) load.Config {
	cfg := load.Config{
		Rate: 200, Duration: duration, Seed: seed, RunID: "direct", WorkMS: 5, Deadline: maxRequest, SingleAttempt: true,
	}
	for _, i := range instances {
		cfg.DirectAddresses = append(cfg.DirectAddresses, i.CallerAddress)
	}
	return cfg
}

// requireSound checks the guarantees that hold under every fault.
func requireSound(t *testing.T, c *harness.Cluster, reports ...*load.Report) load.Audit {
	t.Helper()
	audit, err := c.Audit(reports...)
	require.NoError(t, err)
	for _, r := range reports {
		require.Zero(t, r.Dropped, "the load tool could not send all requests")
		require.NotEmpty(t, r.Records)
	}
	require.Zero(t, audit.ViolationCount, "%v", audit.Violations)
	return audit
}

// requireComplete checks that all matching requests have complete answers.
func requireComplete(t *testing.T, r *load.Report, why string, match func(load.Record) bool) {
	t.Helper()
	checked, failed := 0, []load.Record{}
	for _, record := range r.Records {
		if !match(record) {
			continue
		}
		checked++
		if record.Outcome != complete {
			failed = append(failed, record)
		}
	}
	require.Positive(t, checked, "%s: no request to check", why)
	require.Empty(t, failed[:min(len(failed), 5)], "%s: %d of %d requests failed", why, len(failed), checked)
}

func all(load.Record) bool { return true }

func idempotent(r load.Record) bool { return r.Idempotent }

// after matches requests due after a moment.
func after(at time.Time) func(load.Record) bool {
	return func(r load.Record) bool { return r.IntendedUnixUS > at.UnixMicro() }
}

// both matches requests that two conditions match.
func both(a, b func(load.Record) bool) func(load.Record) bool {
	return func(r load.Record) bool { return a(r) && b(r) }
}

// instanceFor returns an instance that look-ups from a region name.
func instanceFor(t *testing.T, c *harness.Cluster, region string) *harness.Instance {
	t.Helper()
	var first *harness.Instance
	_, err := harness.Await(5*time.Second, "look-up", func() error {
		answer, err := c.Lookup(c.Instances[0], shop, region)
		if err == nil {
			first = c.InstanceByCallerAddress(answer.Addresses[0])
		}
		return err
	})
	require.NoError(t, err)
	require.NotNil(t, first)
	require.Equal(t, region, first.Region)
	return first
}

// requireMembers waits until all instances see each other again.
func requireMembers(t *testing.T, c *harness.Cluster) {
	t.Helper()
	require.NoError(t, c.AwaitServing(15*time.Second))
}
