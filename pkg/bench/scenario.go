package bench

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/load"
)

// Options are the inputs of a bench run.
type Options struct {
	Duration time.Duration
	Seed     uint64
	// Variant limits the run to one variant unless it is empty.
	Variant string
}

// experiment is one run of one scenario with one size.
type experiment struct {
	Options
	size     Size
	report   *Report
	scenario string
}

var scenarios = map[string]func(x *experiment) error{
	"latency":     latencyScenario,
	"hol-known":   func(x *experiment) error { return holScenario(x, true) },
	"hol-unknown": func(x *experiment) error { return holScenario(x, false) },
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

// Run runs a scenario once with one size and adds its figures to report.
func Run(name string, size Size, options Options, report *Report) error {
	run, ok := scenarios[name]
	if !ok {
		return fmt.Errorf("unknown scenario %q", name)
	}
	return run(&experiment{Options: options, size: size, report: report, scenario: name})
}

// forEachVariant runs body for every variant of the run.
func (x *experiment) forEachVariant(body func(v variant, c figureRecorder) error) error {
	for _, v := range variants {
		if x.Variant != "" && x.Variant != v.name {
			continue
		}
		if err := body(v, figureRecorder{report: x.report, scenario: x.scenario, size: x.size.Name, variant: v.name}); err != nil {
			return err
		}
	}
	return nil
}

// settleTimeout bounds the wait for the last executions of a run.
const settleTimeout = 12 * time.Second

// variantRun is the measured outcome of one variant.
type variantRun struct {
	outcomes []requestResult
	audit    load.Audit
	shed     int
}

// runVariant runs a plan against a new fleet.
func (x *experiment) runVariant(v variant, c figureRecorder, requests []plannedRequest, a workload, action func(f *fleet, start time.Time)) (*variantRun, error) {
	f, err := newFleet(x.size, v, a, x.Seed)
	defer f.close()
	if err != nil {
		return nil, err
	}
	f.warmUp(x.size)
	var act func(time.Time)
	if action != nil {
		act = func(start time.Time) { action(f, start) }
	}
	r := &variantRun{outcomes: f.run(requests, a.deadline, act)}
	records := make([]load.Record, 0, len(r.outcomes))
	for _, o := range r.outcomes {
		records = append(records, o.Record)
	}
	r.audit, r.shed = f.audit(records)
	c.addViolations(r.audit)
	return r, nil
}

const (
	// warmUpRequests is the number of requests from which the cost of routes is
	// learned before a run.
	warmUpRequests = 200
	// warmUpDeadline is far above the time that such a request takes.
	warmUpDeadline = 5 * time.Second
)

// warmUp lets the instances learn the cost of requests, as those in service have.
func (f *fleet) warmUp(size Size) {
	var requests []plannedRequest
	for i := range warmUpRequests {
		p := plannedRequest{work: meanWork}
		p.PlannedRequest = load.PlannedRequest{At: time.Duration(i) * meanWork / time.Duration(size.totalSlots()) * 2, Token: fmt.Sprintf("w%d", i), Class: load.ClassRead,
			Idempotent: true, WorkMS: float64(meanWork.Milliseconds())}
		requests = append(requests, p)
	}
	f.run(requests, warmUpDeadline, nil)
}

// targetFor returns t for the product; references have no targets.
func targetFor(v variant, t bound) bound {
	if v.name == measuredVariant {
		return t
	}
	return noTarget
}
