package bench

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/load"
)

// Options configures a benchmark run.
type Options struct {
	Duration time.Duration
	Seed     uint64
	// Variant restricts the run to one variant if it is not empty.
	Variant string
}

// experiment is one run of a scenario with one size.
type experiment struct {
	Options
	size     Size
	report   *Report
	scenario string
}

var scenarios = map[string]func(x *experiment) error{
	"latency":     latencyScenario,
	"hol-known":   func(x *experiment) error { return headOfLineScenario(x, true) },
	"hol-unknown": func(x *experiment) error { return headOfLineScenario(x, false) },
	"slow":        slowScenario,
	"overload":    overloadScenario,
}

// Scenarios returns the names of all scenarios.
func Scenarios() []string { return slices.Sorted(maps.Keys(scenarios)) }

// Variants returns the names of all variants.
func Variants() []string {
	var names []string
	for _, v := range variants {
		names = append(names, v.name)
	}
	return names
}

// Run runs a scenario once with one size and adds its measurements to report.
func Run(name string, size Size, options Options, report *Report) error {
	run, ok := scenarios[name]
	if !ok {
		return fmt.Errorf("unknown scenario %q", name)
	}
	return run(&experiment{Options: options, size: size, report: report, scenario: name})
}

// forEachVariant calls body for every variant selected by the options.
func (x *experiment) forEachVariant(body func(v variant, rec measurementRecorder) error) error {
	for _, v := range variants {
		if x.Variant != "" && x.Variant != v.name {
			continue
		}
		if err := body(v, measurementRecorder{report: x.report, scenario: x.scenario, size: x.size.Name, variant: v.name}); err != nil {
			return err
		}
	}
	return nil
}

// settleTimeout limits the wait, at each upstream, for the last executions of a run.
const settleTimeout = 12 * time.Second

// variantRun holds the results of one run of a variant.
type variantRun struct {
	results []requestResult
	audit   load.Audit
	// shedCount is the number of requests that upstreams rejected without executing.
	shedCount int
}

// runVariant sends the requests of a plan to a new fleet and audits the results. If
// action is not nil, it runs concurrently with the requests.
func (x *experiment) runVariant(v variant, rec measurementRecorder, requests []benchRequest, w workload, action func(f *fleet, start time.Time)) (*variantRun, error) {
	f, err := newFleet(x.size, v, w, x.Seed)
	defer f.close()
	if err != nil {
		return nil, err
	}
	f.warmUp(x.size)
	var startAction func(time.Time)
	if action != nil {
		startAction = func(start time.Time) { action(f, start) }
	}
	r := &variantRun{results: f.sendAll(requests, w.timeout, startAction)}
	records := make([]load.Record, 0, len(r.results))
	for _, res := range r.results {
		records = append(records, res.Record)
	}
	r.audit, r.shedCount = f.audit(records)
	rec.addViolations(r.audit)
	return r, nil
}

const (
	// warmUpRequestCount is the number of requests sent before a run, from which the
	// instances learn the cost of routes.
	warmUpRequestCount = 200
	// warmUpTimeout is far above the latency of a warm-up request.
	warmUpTimeout = 5 * time.Second
)

// warmUp lets the instances learn the cost of requests, so that they behave like
// instances in service.
func (f *fleet) warmUp(size Size) {
	var requests []benchRequest
	for i := range warmUpRequestCount {
		request := benchRequest{work: meanWork}
		request.PlannedRequest = load.PlannedRequest{SendOffset: time.Duration(i) * meanWork / time.Duration(size.totalSlots()) * 2, Token: fmt.Sprintf("w%d", i), Class: load.ClassRead,
			Idempotent: true, WorkMS: float64(meanWork.Milliseconds())}
		requests = append(requests, request)
	}
	f.sendAll(requests, warmUpTimeout, nil)
}

// targetFor returns target for the measured variant and noTarget for a baseline.
func targetFor(v variant, target targetBound) targetBound {
	if v.name == measuredVariant {
		return target
	}
	return noTarget
}
