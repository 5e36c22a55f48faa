// Package demo runs an end-to-end demonstration of the real binaries, with stand-ins
// for the platform's store and the upstreams. It performs lookups, sends idempotent
// and non-idempotent requests and, while this load runs, shifts shares between regions
// under a cap and drains an upstream and an instance. Afterwards it checks the
// invariants of the design against the logs of the callers and the upstreams.
package demo

import (
	"fmt"
	"io"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/harness"
	"github.com/sequoiacove/sequoiacove/pkg/load"
)

const (
	sourceRegion      = "cantabria"
	destinationRegion = "asturias"

	lookupTTL      = time.Second
	maxRequestTime = 3 * time.Second
	targetLatency  = 200 * time.Millisecond
	gracePeriod    = 5 * time.Second
	// maxDrainPropagationTime is the maximum time from the patch that drains an
	// upstream until the upstream gets no new requests.
	maxDrainPropagationTime = 3 * time.Second
	regionShareCapPerSecond = 0.02
	initialSourceShare      = 0.6
	finalSourceShare        = 0.4

	// timeBeforeOperations is the time from the start of the load to the first operation.
	timeBeforeOperations = 4 * time.Second
	// shareShiftTime is long enough to distribute the patch and shift the shares at the
	// capped rate.
	shareShiftTime = 13 * time.Second
	loadDuration   = 40 * time.Second
)

// Services used in the demo.
var (
	bookings = harness.Service{Name: "reservas", UpstreamsPerDomain: 3, SlotsPerUpstream: 4}
	deposits = harness.Service{Name: "cobros", UpstreamsPerDomain: 2, SlotsPerUpstream: 3}
)

var description = fmt.Sprintf(`{
 "regions": {"cantabria": {"domains": ["cantabria-a", "cantabria-b"]}, "asturias": {"domains": ["asturias-a", "asturias-b"]}},
 "links": [{"between": ["asturias", "cantabria"], "mbit_per_second": 280}],
 "lookup": {"ttl_ms": %d},
 "services": {
  "reservas": {"regions": {
    "cantabria": {"share": %g, "max_concurrent": 24, "domains": {"cantabria-a": 0.5, "cantabria-b": 0.5}},
    "asturias": {"share": %g, "max_concurrent": 24, "domains": {"asturias-a": 0.5, "asturias-b": 0.5}}},
   "caps": {"region_share_per_second": %g, "failover_share_per_second": 0.1},
   "max_request_ms": %d},
  "cobros": {"regions": {
    "cantabria": {"share": 0.5, "domains": {"cantabria-a": 0.5, "cantabria-b": 0.5}},
    "asturias": {"share": 0.5, "domains": {"asturias-a": 0.5, "asturias-b": 0.5}}},
   "caps": {"region_share_per_second": 0.01, "failover_share_per_second": 0.1},
   "max_request_ms": %d}}}`,
	lookupTTL.Milliseconds(), initialSourceShare, 1-initialSourceShare, regionShareCapPerSecond, maxRequestTime.Milliseconds(), maxRequestTime.Milliseconds())

func clusterSpec(binaries string) harness.Spec {
	domain := func(region, name string) harness.Domain {
		return harness.Domain{Region: region, Name: region + "-" + name, InstanceCount: 2}
	}
	return harness.Spec{
		Binaries:      binaries,
		Domains:       []harness.Domain{domain(sourceRegion, "a"), domain(sourceRegion, "b"), domain(destinationRegion, "a"), domain(destinationRegion, "b")},
		Services:      []harness.Service{bookings, deposits},
		TargetLatency: targetLatency, Timeout: maxRequestTime, GracePeriod: gracePeriod,
		Description: []byte(description),
	}
}

func loadConfig(service harness.Service, rate, nonIdempotentFraction float64, seed uint64) load.Config {
	return load.Config{
		Host: service.Host(), Regions: []string{sourceRegion, destinationRegion}, RunID: service.Name, Seed: seed,
		Rate: rate, NonIdempotentFraction: nonIdempotentFraction, WorkMS: 10, LongFraction: 0.01, LongWorkMS: 300, BodyBytes: 400,
		Duration: loadDuration, Timeout: maxRequestTime,
	}
}

// demoRun is the state and the results of one demo.
type demoRun struct {
	cluster     *harness.Cluster
	out         io.Writer
	reports     map[string]*load.Report
	moveStarted time.Time
	// upstreamDrainTime and instanceDrainTime are measured from the patch that starts
	// the drain and from the signal to terminate, respectively.
	upstreamDrainTime time.Duration
	instanceDrainTime time.Duration
	violations        []string
}

// Run runs the demo, prints its results and returns an error if an invariant was
// violated.
func Run(binaries string, out io.Writer) error {
	cluster, err := harness.New(clusterSpec(binaries))
	failed := true
	defer func() {
		if cluster != nil {
			cluster.Close(failed)
		}
	}()
	if err != nil {
		return err
	}
	d := &demoRun{cluster: cluster, out: out, reports: make(map[string]*load.Report)}
	if err := d.runUnderLoad(); err != nil {
		return fmt.Errorf("%w (logs in %s)", err, cluster.Dir)
	}
	if err := d.evaluate(); err != nil {
		return err
	}
	if len(d.violations) > 0 {
		for _, violation := range d.violations {
			fmt.Fprintln(out, "BROKEN:", violation)
		}
		return fmt.Errorf("%d invariant violations (logs in %s)", len(d.violations), cluster.Dir)
	}
	failed = false
	return nil
}

func (d *demoRun) printf(format string, args ...any) { fmt.Fprintf(d.out, format+"\n", args...) }

func (d *demoRun) addViolation(format string, args ...any) {
	d.violations = append(d.violations, fmt.Sprintf(format, args...))
}
