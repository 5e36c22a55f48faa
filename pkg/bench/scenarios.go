package bench

import (
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/platform/platformtest"
)

// Deadlines of the scenarios. The long one exceeds the longest request, so that
// it does not hide slow answers as refusals.
const (
	longDeadline  = 10 * time.Second
	shortDeadline = time.Second
)

// latencyScenario measures the latency at 60% load.
func latencyScenario(x *experiment) error {
	return x.againstIdeal(arrivals{utilisation: 0.6, deadline: longDeadline}, everyPlanned)
}

// holScenario measures the head-of-line blocking of short requests behind long
// ones; known tells whether the long ones have a route of their own.
func holScenario(x *experiment, known bool) error {
	return x.againstIdeal(arrivals{utilisation: 0.6, deadline: longDeadline, long: true, known: known}, shortPlanned)
}

// againstIdeal measures the latency of the chosen requests and compares it with
// that of the ideal queue.
func (x *experiment) againstIdeal(a arrivals, chosen func(*planned) bool) error {
	requests := plan(x.size, a, x.Duration, x.Seed)
	best := ideal(requests, x.size.totalSlots())
	return x.each(func(v variant, c cell) error {
		r, err := x.measure(v, c, requests, a, nil)
		if err != nil {
			return err
		}
		c.ratios(r, requests, best, chosen, targetFor(v, atMost(1.2)))
		c.add("median beyond the work, ms", milliseconds(added(r.outcomes)), noTarget)
		c.common(r, v)
		return nil
	})
}

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
	a := arrivals{utilisation: 0.6, deadline: longDeadline}
	requests := plan(x.size, a, x.Duration, x.Seed)
	return x.each(func(v variant, c cell) error {
		calm, err := x.measure(v, c, requests, a, nil)
		if err != nil {
			return err
		}
		r, err := x.measure(v, c, requests, a, func(f *fleet, start time.Time) { f.slowInTurn(start, x.Duration) })
		if err != nil {
			return err
		}
		before, during := calm.latencies(everyPlanned), r.latencies(everyPlanned)
		c.add("p99 / undisturbed p99", float64(during.ValueAtQuantile(99))/float64(before.ValueAtQuantile(99)), targetFor(v, atMost(2)))
		c.add("p99.9 / undisturbed p99.9", float64(during.ValueAtQuantile(99.9))/float64(before.ValueAtQuantile(99.9)), noTarget)
		c.common(r, v)
		return nil
	})
}

// slowInTurn slows upstreams and leaves them time to recover between the
// phases.
func (f *fleet) slowInTurn(start time.Time, duration time.Duration) {
	for phase := 0; ; phase++ {
		at := time.Duration(phase) * slowPhase
		if at >= duration {
			return
		}
		sleepUntil(start.Add(at))
		for i, u := range f.upstreams {
			faults := platformtest.UpstreamFaults{LoadLagMS: reportLag.Milliseconds(), LoadInverted: at > duration/2}
			if slowed(i, phase, len(f.upstreams)) {
				faults.SlowFactor = slowFactor
			}
			u.SetFaults(faults)
		}
	}
}

// slowed tells whether an upstream is slow in a phase.
func slowed(upstream, phase, upstreams int) bool {
	return phase%2 == 0 && (upstream*7+phase/2)%upstreams < max(1, upstreams/slowPart)
}

// overloadScenario offers three times the capacity.
func overloadScenario(x *experiment) error {
	a := arrivals{utilisation: 3, deadline: shortDeadline}
	requests := plan(x.size, a, x.Duration, x.Seed)
	return x.each(func(v variant, c cell) error {
		r, err := x.measure(v, c, requests, a, nil)
		if err != nil {
			return err
		}
		c.add("useful work / capacity", r.useful(x.size, x.Duration), targetFor(v, atLeast(0.95)))
		c.add("p99 of refusals, ms", r.refusal(99), noTarget)
		c.add("p50 of refusals, ms", r.refusal(50), noTarget)
		c.add("outcome unknown, %", 100*r.share(result.Unknown), noTarget)
		c.common(r, v)
		return nil
	})
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
		if end := o.At + o.latency(); o.complete() && end >= overloadStart && end < duration {
			work += o.work
		}
	}
	return float64(work) / (float64(size.totalSlots()) * float64(duration-overloadStart))
}

// common adds the figures that every scenario reports.
func (c cell) common(r *run, v variant) {
	c.add("without a complete answer, %", 100*(1-r.share(result.Complete)), noTarget)
	c.add("extra executions, %", 100*float64(r.audit.Executions-r.distinct())/float64(max(1, r.distinct())), targetFor(v, atMost(5)))
	c.add("shed by upstreams", float64(r.shed), noTarget)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
