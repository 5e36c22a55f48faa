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

// failedLatency is recorded for requests without a complete response, so that
// refusing requests does not improve the percentiles of a variant.
const failedLatency = generousTimeout

func (res *requestResult) complete() bool { return res.Outcome == result.Complete.String() }

// latencies returns the latency histogram of the requests selected by include.
func (r *variantRun) latencies(include func(*benchRequest) bool) *hdrhistogram.Histogram {
	h := newHistogram()
	for i := range r.results {
		res := &r.results[i]
		switch {
		case !include(&res.benchRequest):
		case res.complete():
			recordLatency(h, res.latency())
		default:
			recordLatency(h, failedLatency)
		}
	}
	return h
}

// outcomeFraction returns the fraction of the requests with the given outcome.
func (r *variantRun) outcomeFraction(outcome result.Outcome) float64 {
	n := 0
	for i := range r.results {
		if r.results[i].Outcome == outcome.String() {
			n++
		}
	}
	return float64(n) / float64(max(len(r.results), 1))
}

// executedRequestCount returns the number of requests whose outcome is not "not run".
// Those with an unknown outcome are assumed to have been executed.
func (r *variantRun) executedRequestCount() int {
	n := 0
	for i := range r.results {
		if r.results[i].Outcome != result.NotRun.String() {
			n++
		}
	}
	return n
}

// refusalPercentileMS returns a percentile of the latency of refused requests, in
// milliseconds.
func (r *variantRun) refusalPercentileMS(q float64) float64 {
	h := newHistogram()
	for i := range r.results {
		if res := &r.results[i]; res.Outcome == result.NotRun.String() {
			recordLatency(h, res.latency())
		}
	}
	return float64(h.ValueAtQuantile(q)) / 1000
}

// medianAddedLatency returns the median added latency of the requests with a complete
// response. The added latency of a request is its latency minus its work.
func medianAddedLatency(results []requestResult) time.Duration {
	var added []time.Duration
	for i := range results {
		if res := &results[i]; res.complete() {
			added = append(added, res.latency()-res.work)
		}
	}
	if len(added) == 0 {
		return 0
	}
	sort.Slice(added, func(i, j int) bool { return added[i] < added[j] })
	return added[len(added)/2]
}

// idealPercentileUS returns a percentile of the latencies that the requests selected by
// include have in the ideal queue, in microseconds. The ideal queue is a single FIFO
// queue without overhead; idealQueueLatencies calculates the latencies.
func idealPercentileUS(requests []benchRequest, latencies []time.Duration, q float64, include func(*benchRequest) bool) float64 {
	h := newHistogram()
	for i := range requests {
		if include(&requests[i]) {
			recordLatency(h, latencies[i])
		}
	}
	return float64(h.ValueAtQuantile(q))
}

// addIdealRatios adds the ratio of each measured latency percentile to the same
// percentile in the ideal queue.
func (rec measurementRecorder) addIdealRatios(r *variantRun, requests []benchRequest, idealLatencies []time.Duration, include func(*benchRequest) bool, target targetBound) {
	h := r.latencies(include)
	ratio := func(q float64) float64 {
		return float64(h.ValueAtQuantile(q)) / idealPercentileUS(requests, idealLatencies, q, include)
	}
	rec.add("p50 / ideal queue", ratio(50), noTarget)
	rec.add("p99 / ideal queue", ratio(99), target)
	rec.add("p99.9 / ideal queue", ratio(99.9), noTarget)
}

func includeAll(*benchRequest) bool           { return true }
func includeShort(request *benchRequest) bool { return !request.long }
