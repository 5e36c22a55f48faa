package bench

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/request"
	"github.com/sequoiacove/sequoiacove/pkg/settings"
	"github.com/sequoiacove/sequoiacove/pkg/standin"
	"github.com/sequoiacove/sequoiacove/pkg/upstream"
)

// Options are the inputs of a bench run.
type Options struct {
	Duration time.Duration
	Seed     uint64
	// Policy limits the variants to one policy unless it is empty.
	Policy string
}

// experiment is one run of one scenario with one size.
type experiment struct {
	Options
	size     Size
	report   *Report
	scenario string
}

type scenario func(x *experiment) error

var scenarios = map[string]scenario{
	"latency":     latencyScenario,
	"hol-known":   func(x *experiment) error { return holScenario(x, true) },
	"hol-unknown": func(x *experiment) error { return holScenario(x, false) },
	"slow":        slowScenario,
	"overload":    overloadScenario,
	"leaving":     leavingScenario,
	"cold":        coldScenario,
	"owners":      ownersScenario,
}

// Scenarios returns the names of all scenarios.
func Scenarios() []string {
	names := make([]string, 0, len(scenarios))
	for name := range scenarios {
		names = append(names, name)
	}
	sort.Strings(names)
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

func (x *experiment) variants() []variant {
	var chosen []variant
	for _, v := range policies() {
		if x.Policy == "" || x.Policy == v.policy {
			chosen = append(chosen, v)
		}
	}
	return chosen
}

func (x *experiment) cell(v string) cell {
	return cell{report: x.report, scenario: x.scenario, size: x.size.Name, variant: v}
}

// settleLimit bounds the wait for the last executions of a run.
const settleLimit = 12 * time.Second

// measure runs a plan against a new fleet.
func (x *experiment) measure(v variant, requests []planned, l load, action func(f *fleet, start time.Time)) (*run, error) {
	f, err := newFleet(x.size, v, x.Seed)
	defer f.close()
	if err != nil {
		return nil, err
	}
	f.warm()
	var act func(time.Time)
	if action != nil {
		act = func(start time.Time) { action(f, start) }
	}
	to := func(ctx context.Context, d int, req *request.Request) (*request.Response, error) {
		return f.domains[d].do(ctx, req)
	}
	r := &run{variant: v, outcomes: send(requests, l.deadline, to, act)}
	f.settle(settleLimit)
	r.audit = f.audit(r.outcomes)
	x.cell(v.name).violations(r.audit)
	return r, nil
}

// warmRequests is the number of requests per domain from which routes learn
// their costs before a run.
const warmRequests = 60

// warmDeadline is far above the time that such a request takes.
const warmDeadline = 5 * time.Second

// warm lets the owners learn the cost of short requests, as owners in service
// have.
func (f *fleet) warm() {
	var requests []planned
	for i := range warmRequests * len(f.domains) {
		at := time.Duration(i) * meanWork / time.Duration(f.size.totalSlots()) * 2
		requests = append(requests, planned{
			at: at, work: meanWork, domain: i % len(f.domains), idempotent: true,
			path: fmt.Sprintf("/short?work_ms=%d", meanWork.Milliseconds())})
	}
	send(requests, warmDeadline, func(ctx context.Context, d int, req *request.Request) (*request.Response, error) {
		req.Trace = "w" + req.Trace
		return f.domains[d].do(ctx, req)
	}, nil)
	f.settle(settleLimit)
}

// direct measures the same requests as direct calls to an upstream that is
// never busy; what they take beyond their work is the cost of the machine.
func (x *experiment) direct(requests []planned, l load) (time.Duration, error) {
	u, err := standin.StartUpstream(standin.UpstreamConfig{ID: "direct", Slots: 1 << 20, Seed: x.Seed})
	if err != nil {
		return 0, err
	}
	defer u.Close()
	client := upstream.NewClient(upstream.Config{})
	defer client.Close()
	outcomes := send(requests, l.deadline, func(ctx context.Context, _ int, req *request.Request) (*request.Response, error) {
		return client.Do(ctx, u.Address(), req, req.Trace+"-1")
	}, nil)
	return added(outcomes), nil
}

// ownerQueue is the policy of the product; the others are baselines.
var ownerQueue = settings.Policies[0]

func isOwner(v variant) bool { return v.policy == ownerQueue }

// targetFor returns t for the product's policy; baselines have no targets.
func targetFor(v variant, t target) target {
	if isOwner(v) {
		return t
	}
	return noTarget
}
