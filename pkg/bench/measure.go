package bench

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// Range and precision of the latency histograms, in microseconds.
const (
	minLatencyUS  = 1
	maxLatencyUS  = 120_000_000
	latencyDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyUS, maxLatencyUS, latencyDigits)
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minLatencyUS), maxLatencyUS))
}

// failedLatency is recorded for requests without a complete answer, so that a
// policy does not improve its percentiles by refusing requests.
const failedLatency = longDeadline

func (o *requestResult) complete() bool { return o.Outcome == result.Complete.String() }

// latencies returns the histogram of the requests that pass.
func (r *variantRun) latencies(pass func(*plannedRequest) bool) *hdrhistogram.Histogram {
	h := newHistogram()
	for i := range r.outcomes {
		o := &r.outcomes[i]
		switch {
		case !pass(&o.plannedRequest):
		case o.complete():
			recordLatency(h, o.latency())
		default:
			recordLatency(h, failedLatency)
		}
	}
	return h
}

// outcomeFraction returns the part of the requests with an outcome.
func (r *variantRun) outcomeFraction(outcome result.Outcome) float64 {
	n := 0
	for i := range r.outcomes {
		if r.outcomes[i].Outcome == outcome.String() {
			n++
		}
	}
	return float64(n) / float64(max(len(r.outcomes), 1))
}

// executedRequests returns the number of requests that ran, if none ran in vain: those
// that were not refused.
func (r *variantRun) executedRequests() int {
	n := 0
	for i := range r.outcomes {
		if r.outcomes[i].Outcome != result.NotRun.String() {
			n++
		}
	}
	return n
}

// refusalPercentile returns a percentile of the latency of refusals, in milliseconds.
func (r *variantRun) refusalPercentile(q float64) float64 {
	h := newHistogram()
	for i := range r.outcomes {
		if o := &r.outcomes[i]; o.Outcome == result.NotRun.String() {
			recordLatency(h, o.latency())
		}
	}
	return float64(h.ValueAtQuantile(q)) / 1000
}

// medianAddedLatency returns the median time beyond the work of the complete answers.
func medianAddedLatency(outcomes []requestResult) time.Duration {
	var added []time.Duration
	for i := range outcomes {
		if o := &outcomes[i]; o.complete() {
			added = append(added, o.latency()-o.work)
		}
	}
	if len(added) == 0 {
		return 0
	}
	sort.Slice(added, func(i, j int) bool { return added[i] < added[j] })
	return added[len(added)/2]
}

// idealPercentile returns a percentile of ideal latencies over the requests
// that pass, in microseconds.
func idealPercentile(requests []plannedRequest, latencies []time.Duration, q float64, pass func(*plannedRequest) bool) float64 {
	h := newHistogram()
	for i := range requests {
		if pass(&requests[i]) {
			recordLatency(h, latencies[i])
		}
	}
	return float64(h.ValueAtQuantile(q))
}

// addRatios adds the percentiles relative to the ideal queue.
func (c figureRecorder) addRatios(r *variantRun, requests []plannedRequest, best []time.Duration, pass func(*plannedRequest) bool, t bound) {
	h := r.latencies(pass)
	ratio := func(q float64) float64 {
		return float64(h.ValueAtQuantile(q)) / idealPercentile(requests, best, q, pass)
	}
	c.add("p50 / ideal queue", ratio(50), noTarget)
	c.add("p99 / ideal queue", ratio(99), t)
	c.add("p99.9 / ideal queue", ratio(99.9), noTarget)
}

func allRequests(*plannedRequest) bool     { return true }
func shortRequests(p *plannedRequest) bool { return !p.long }
