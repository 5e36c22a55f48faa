package bench

import (
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/pkg/standin"
)

// Figures of the slow scenario.
const (
	slowFactor = 10
	// slowPart is the number of upstreams of which one is slow.
	slowPart  = 10
	slowPhase = 1500 * time.Millisecond
	reportLag = 3 * time.Second
)

// slowScenario slows a tenth of the upstreams for seconds, other ones in each
// phase. Load reports are 3 s late in the first half and false in the second.
func slowScenario(x *experiment) error {
	l := load{utilisation: 0.6, deadline: longDeadline}
	requests := plan(x.size, l, x.Duration, x.Seed)
	reference := idealPercentile(requests, knowing(requests, x.size), 99, everyPlanned)
	undisturbed := idealPercentile(requests, ideal(requests, x.size.Domains, x.slotsOf()), 99, everyPlanned)
	x.cell(ownerQueue).add("reference that knows the slow phases: p99 / ideal p99", reference/undisturbed, noTarget)
	var p99s comparison
	for _, v := range x.variants() {
		calm, err := x.measure(v, requests, l, nil)
		if err != nil {
			return err
		}
		r, err := x.measure(v, requests, l, func(f *fleet, start time.Time) { f.slowInTurn(start, x.Duration) })
		if err != nil {
			return err
		}
		c := x.cell(v.name)
		before, during := calm.latencies(everyObserved), r.latencies(everyObserved)
		p99 := float64(during.ValueAtQuantile(99)) / float64(before.ValueAtQuantile(99))
		c.add("p99 / undisturbed p99", p99, targetFor(v, atMost(2)))
		c.add("p99.9 / undisturbed p99.9", float64(during.ValueAtQuantile(99.9))/float64(before.ValueAtQuantile(99.9)), noTarget)
		c.add("p99 / reference p99", float64(during.ValueAtQuantile(99))/reference, noTarget)
		c.common(r, v)
		p99s.add(v, float64(during.ValueAtQuantile(99)))
	}
	x.compare(p99s)
	return nil
}

func (f *fleet) all() []*standin.Upstream {
	var all []*standin.Upstream
	for _, d := range f.domains {
		all = append(all, d.upstreams...)
	}
	return all
}

// slowInTurn slows upstreams of different domains and leaves them time to
// recover between the phases.
func (f *fleet) slowInTurn(start time.Time, duration time.Duration) {
	all := f.all()
	for phase := 0; ; phase++ {
		at := time.Duration(phase) * slowPhase
		if at >= duration {
			return
		}
		sleepUntil(start.Add(at))
		for i, u := range all {
			fault := standin.UpstreamFault{StatusLagMS: reportLag.Milliseconds(), StatusFalse: at > duration/2}
			if slowed(i, phase, len(all)) {
				fault.SlowFactor = slowFactor
			}
			u.SetFault(fault)
		}
	}
}

// slowed tells whether an upstream is slow in a phase; the multiplier spreads
// the slow ones over the domains.
func slowed(upstream, phase, upstreams int) bool {
	return phase%2 == 0 && (upstream*7+phase/2)%upstreams < max(1, upstreams/slowPart)
}

// knowing returns the latencies when each request, in order of arrival, goes to
// the slot that ends it first, with the slow phases known in advance.
func knowing(requests []planned, size Size) []time.Duration {
	perDomain := size.Upstreams / size.Domains
	free := make([]time.Duration, size.totalSlots())
	latencies := make([]time.Duration, len(requests))
	for i, r := range requests {
		first := r.domain * perDomain * size.Slots
		best, bestEnd := 0, time.Duration(0)
		for slot := first; slot < first+perDomain*size.Slots; slot++ {
			start := max(r.at, free[slot])
			end := start + r.work
			if slowed(slot/size.Slots, int(start/slowPhase), size.Upstreams) {
				end = start + slowFactor*r.work
			}
			if bestEnd == 0 || end < bestEnd {
				best, bestEnd = slot, end
			}
		}
		free[best] = bestEnd
		latencies[i] = bestEnd - r.at
	}
	return latencies
}

// overloadScenario offers three times the capacity.
func overloadScenario(x *experiment) error {
	l := load{utilisation: 3, deadline: shortDeadline}
	requests := plan(x.size, l, x.Duration, x.Seed)
	for _, v := range x.variants() {
		r, err := x.measure(v, requests, l, nil)
		if err != nil {
			return err
		}
		c := x.cell(v.name)
		c.add("useful work / capacity", r.useful(x.size, x.Duration), targetFor(v, atLeast(0.95)))
		c.add("p99 of refusals, ms", r.refusal(99), noTarget)
		c.add("p50 of refusals, ms", r.refusal(50), noTarget)
		c.add("outcome unknown, %", 100*r.share(unknown), noTarget)
		c.common(r, v)
	}
	return nil
}

// overloadStart is the time at the start of a run that does not count as
// overloaded.
const overloadStart = 500 * time.Millisecond

// useful returns the work of the complete answers that ended between
// overloadStart and the last arrival, as a part of the capacity.
func (r *run) useful(size Size, duration time.Duration) float64 {
	var work time.Duration
	for i := range r.outcomes {
		o := &r.outcomes[i]
		if end := o.at + o.latency; o.code == result.OK && end >= overloadStart && end < duration {
			work += o.work
		}
	}
	return float64(work) / (float64(size.totalSlots()) * float64(duration-overloadStart))
}

// refusal returns a percentile of the latency of refusals, in milliseconds.
func (r *run) refusal(q float64) float64 {
	h := newHistogram()
	for i := range r.outcomes {
		if o := &r.outcomes[i]; result.Lookup(o.code).Outcome == result.NotRun {
			record(h, o.latency)
		}
	}
	return float64(h.ValueAtQuantile(q)) / 1000
}

// Figures of the leaving scenario.
const (
	leavingBound = 3 * time.Second
	// leavingMargin keeps records of the bound's own instant apart.
	leavingMargin = 20 * time.Millisecond
	leavingAfter  = 500 * time.Millisecond
	leavingTotal  = leavingAfter + leavingBound + 1500*time.Millisecond
)

// leavingScenario marks one upstream per domain as leaving while the instance
// list still shows it as serving and its status lags.
func leavingScenario(x *experiment) error {
	duration := max(x.Duration, leavingTotal)
	l := load{utilisation: 0.3, deadline: longDeadline}
	requests := plan(x.size, l, duration, x.Seed)
	for _, v := range x.variants() {
		var late int
		r, err := x.measure(v, requests, l, func(f *fleet, start time.Time) { late = f.leave(start, duration) })
		if err != nil {
			return err
		}
		c := x.cell(v.name)
		c.add("arrivals more than 3 s after leaving", float64(late), targetFor(v, atMost(0)))
		c.add("requests without a complete answer", float64(len(r.outcomes))*r.share(failed), targetFor(v, atMost(0)))
		c.common(r, v)
	}
	return nil
}

// leave makes the first upstream of each domain leave and returns the arrivals
// at them after the bound.
func (f *fleet) leave(start time.Time, duration time.Duration) int {
	sleepUntil(start.Add(leavingAfter))
	left := time.Now()
	for _, d := range f.domains {
		d.upstreams[0].SetFault(standin.UpstreamFault{Leaving: true, StatusLeavingLagMS: 60_000})
	}
	sleepUntil(start.Add(duration))
	late := 0
	for _, d := range f.domains {
		for _, e := range d.upstreams[0].Log().Executions {
			if time.UnixMicro(e.StartUnixUS).Sub(left) > leavingBound+leavingMargin {
				late++
			}
		}
	}
	return late
}
