// Package demo runs the main job of the system once, with the real binaries
// and stand-ins: look-ups, idempotent and non-idempotent load, a move of
// shares under a cap, and drains of an upstream and of an instance while
// load runs. It checks the invariants of the design from the callers' and the
// upstreams' own logs.
package demo

import (
	"fmt"
	"io"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/harness"
	"github.com/sequoiacove/sequoiacove/pkg/load"
)

const (
	home = "cantabria"
	away = "asturias"

	ttl           = time.Second
	maxRequest    = 3 * time.Second
	targetLatency = 200 * time.Millisecond
	stopTime      = 5 * time.Second
	// leavingBound is the time after which a leaving upstream gets no new work.
	leavingBound = 3 * time.Second
	regionCap    = 0.02
	homeShare    = 0.6
	movedShare   = 0.4

	steady = 4 * time.Second
	// moveTime covers the move at the cap and the distribution of the patch.
	moveTime = 13 * time.Second
	loadTime = 40 * time.Second
)

// Services of the demo.
var (
	bookings = harness.Service{Name: "reservas", Upstreams: 3, Slots: 4}
	deposits = harness.Service{Name: "cobros", Upstreams: 2, Slots: 3}
)

var description = fmt.Sprintf(`{
 "regions": {"cantabria": {"domains": ["cantabria-a", "cantabria-b"]}, "asturias": {"domains": ["asturias-a", "asturias-b"]}},
 "links": [{"between": ["asturias", "cantabria"], "mbit_per_second": 280}],
 "lookup": {"ttl_ms": %d},
 "services": {
  "reservas": {"regions": {
    "cantabria": {"share": %g, "max_concurrent": 24, "domains": {"cantabria-a": 0.5, "cantabria-b": 0.5}},
    "asturias": {"share": %g, "max_concurrent": 24, "domains": {"asturias-a": 0.5, "asturias-b": 0.5}}},
   "caps": {"region_share_per_second": %g, "domain_share_per_second": 0, "failover_share_per_second": 0.1},
   "max_request_ms": %d},
  "cobros": {"regions": {
    "cantabria": {"share": 0.5, "domains": {"cantabria-a": 0.5, "cantabria-b": 0.5}},
    "asturias": {"share": 0.5, "domains": {"asturias-a": 0.5, "asturias-b": 0.5}}},
   "caps": {"region_share_per_second": 0.01, "domain_share_per_second": 0, "failover_share_per_second": 0.1},
   "max_request_ms": %d}}}`,
	ttl.Milliseconds(), homeShare, 1-homeShare, regionCap, maxRequest.Milliseconds(), maxRequest.Milliseconds())

func spec(binaries string) harness.Spec {
	domain := func(region, name string) harness.Domain {
		return harness.Domain{Region: region, Name: region + "-" + name, Instances: 2}
	}
	return harness.Spec{
		Binaries:      binaries,
		Domains:       []harness.Domain{domain(home, "a"), domain(home, "b"), domain(away, "a"), domain(away, "b")},
		Services:      []harness.Service{bookings, deposits},
		TargetLatency: targetLatency, Timeout: maxRequest, GracePeriod: stopTime,
		Description: []byte(description),
	}
}

func traffic(service harness.Service, rate, writes float64, seed uint64) load.Config {
	return load.Config{
		Host: service.Host(), Regions: []string{home, away}, RunID: service.Name, Seed: seed,
		Rate: rate, NonIdempotent: writes, WorkMS: 10, LongPart: 0.01, LongWorkMS: 300, BodyBytes: 400,
		Duration: loadTime, Deadline: maxRequest,
	}
}

// run is one demo with its findings.
type run struct {
	cluster *harness.Cluster
	out     io.Writer
	reports map[string]*load.Report
	moved   time.Time
	// upstreamDrain and instanceDrain are how long the drains took.
	upstreamDrain time.Duration
	instanceDrain time.Duration
	broken        []string
}

// Run runs the demo, prints its table and returns an error when an invariant
// is broken.
func Run(binaries string, out io.Writer) error {
	cluster, err := harness.New(spec(binaries))
	failed := true
	defer func() {
		if cluster != nil {
			cluster.Close(failed)
		}
	}()
	if err != nil {
		return err
	}
	d := &run{cluster: cluster, out: out, reports: make(map[string]*load.Report)}
	if err := d.play(); err != nil {
		return fmt.Errorf("%w (logs in %s)", err, cluster.Dir)
	}
	if err := d.judge(); err != nil {
		return err
	}
	if len(d.broken) > 0 {
		for _, line := range d.broken {
			fmt.Fprintln(out, "BROKEN:", line)
		}
		return fmt.Errorf("%d invariants are broken (logs in %s)", len(d.broken), cluster.Dir)
	}
	failed = false
	return nil
}

func (d *run) say(format string, args ...any) { fmt.Fprintf(d.out, format+"\n", args...) }

func (d *run) breaks(format string, args ...any) {
	d.broken = append(d.broken, fmt.Sprintf(format, args...))
}
