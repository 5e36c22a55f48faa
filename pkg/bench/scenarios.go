package bench

import (
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/platform/platformtest"
)

// Request timeouts of the scenarios. generousTimeout exceeds the duration of the longest
// request, so that slow responses are not counted as refusals.
const (
	generousTimeout = 10 * time.Second
	shortTimeout    = time.Second
)

// latencyScenario measures the latency at 60% utilization.
func latencyScenario(x *experiment) error {
	return x.compareWithIdeal(workload{utilization: 0.6, timeout: generousTimeout}, includeAll)
}

// headOfLineScenario measures the head-of-line blocking of short requests behind
// long ones. If separateLongRoute is set, the long requests have their own route.
func headOfLineScenario(x *experiment, separateLongRoute bool) error {
	return x.compareWithIdeal(workload{utilization: 0.6, timeout: generousTimeout, includeLong: true, separateLongRoute: separateLongRoute}, includeShort)
}

// compareWithIdeal measures the latency of the requests selected by include and
// compares it with the ideal queue.
func (x *experiment) compareWithIdeal(w workload, include func(*benchRequest) bool) error {
	requests := newPlan(x.size, w, x.Duration, x.Seed)
	idealLatencies := idealQueueLatencies(requests, x.size.totalSlots())
	return x.forEachVariant(func(v variant, rec measurementRecorder) error {
		r, err := x.runVariant(v, rec, requests, w, nil)
		if err != nil {
			return err
		}
		rec.addIdealRatios(r, requests, idealLatencies, include, targetFor(v, atMost(1.2)))
		rec.add("median added latency, ms", milliseconds(medianAddedLatency(r.results)), noTarget)
		rec.addCommon(r, v)
		return nil
	})
}

// Parameters of the slow scenario.
const (
	slowFactor = 10
	// slowDivisor is the ratio of upstreams to slow upstreams; at least one upstream is
	// slow.
	slowDivisor     = 10
	phaseDuration   = 1500 * time.Millisecond
	loadReportDelay = 3 * time.Second
)

// slowScenario slows a tenth of the upstreams in every other phase of 1.5 s, a
// different set each time. Load reports are 3 s late throughout and also inverted
// (idle slots reported as busy and vice versa) in the second half.
func slowScenario(x *experiment) error {
	w := workload{utilization: 0.6, timeout: generousTimeout}
	requests := newPlan(x.size, w, x.Duration, x.Seed)
	return x.forEachVariant(func(v variant, rec measurementRecorder) error {
		baseline, err := x.runVariant(v, rec, requests, w, nil)
		if err != nil {
			return err
		}
		r, err := x.runVariant(v, rec, requests, w, func(f *fleet, start time.Time) { f.slowUpstreamsInPhases(start, x.Duration) })
		if err != nil {
			return err
		}
		baselineLatency, slowLatency := baseline.latencies(includeAll), r.latencies(includeAll)
		rec.add("p99 / undisturbed p99", float64(slowLatency.ValueAtQuantile(99))/float64(baselineLatency.ValueAtQuantile(99)), targetFor(v, atMost(2)))
		rec.add("p99.9 / undisturbed p99.9", float64(slowLatency.ValueAtQuantile(99.9))/float64(baselineLatency.ValueAtQuantile(99.9)), noTarget)
		rec.addCommon(r, v)
		return nil
	})
}

// slowUpstreamsInPhases slows a set of upstreams in every other phase and lets them
// recover in between.
func (f *fleet) slowUpstreamsInPhases(start time.Time, duration time.Duration) {
	for phase := 0; ; phase++ {
		at := time.Duration(phase) * phaseDuration
		if at >= duration {
			return
		}
		sleepUntil(start.Add(at))
		for i, u := range f.upstreams {
			faults := platformtest.UpstreamFaults{LoadLagMS: loadReportDelay.Milliseconds(), LoadInverted: at > duration/2}
			if isSlow(i, phase, len(f.upstreams)) {
				faults.SlowFactor = slowFactor
			}
			u.SetFaults(faults)
		}
	}
}

// isSlow reports whether an upstream is slow in a phase.
func isSlow(upstreamIndex, phase, upstreamCount int) bool {
	return phase%2 == 0 && (upstreamIndex*7+phase/2)%upstreamCount < max(1, upstreamCount/slowDivisor)
}

// overloadScenario offers a load of three times the capacity.
func overloadScenario(x *experiment) error {
	w := workload{utilization: 3, timeout: shortTimeout}
	requests := newPlan(x.size, w, x.Duration, x.Seed)
	return x.forEachVariant(func(v variant, rec measurementRecorder) error {
		r, err := x.runVariant(v, rec, requests, w, nil)
		if err != nil {
			return err
		}
		rec.add("goodput / capacity", r.goodput(x.size, x.Duration), targetFor(v, atLeast(0.95)))
		rec.add("p99 of refusals, ms", r.refusalPercentileMS(99), noTarget)
		rec.add("p50 of refusals, ms", r.refusalPercentileMS(50), noTarget)
		rec.add("outcome unknown, %", 100*r.outcomeFraction(result.Unknown), noTarget)
		rec.addCommon(r, v)
		return nil
	})
}

// overloadRampUp is the time at the start of a run that is excluded because the
// upstreams are not yet overloaded.
const overloadRampUp = 500 * time.Millisecond

// goodput returns the work of the requests completed between overloadRampUp and
// the end of the arrivals, as a fraction of the capacity in that time.
func (r *variantRun) goodput(size Size, duration time.Duration) float64 {
	var work time.Duration
	for i := range r.results {
		res := &r.results[i]
		if end := res.SendOffset + res.latency(); res.complete() && end >= overloadRampUp && end < duration {
			work += res.work
		}
	}
	return float64(work) / (float64(size.totalSlots()) * float64(duration-overloadRampUp))
}

// addCommon records the measurements common to all scenarios.
func (rec measurementRecorder) addCommon(r *variantRun, v variant) {
	rec.add("without a complete response, %", 100*(1-r.outcomeFraction(result.Complete)), noTarget)
	rec.add("extra executions, %", 100*float64(r.audit.ExecutionCount-r.executedRequestCount())/float64(max(1, r.executedRequestCount())), targetFor(v, atMost(5)))
	rec.add("shed by upstreams", float64(r.shedCount), noTarget)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
