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

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minLatencyUS), maxLatencyUS))
}

// run is the measured outcome of one variant.
type run struct {
	variant  variant
	outcomes []observed
	audit    *audit
}

// failedLatency is recorded for requests without a complete answer, so that a
// policy does not improve its percentiles by refusing requests.
const failedLatency = longDeadline

// latencies returns the histogram of the requests that pass.
func (r *run) latencies(pass func(*observed) bool) *hdrhistogram.Histogram {
	h := newHistogram()
	for i := range r.outcomes {
		o := &r.outcomes[i]
		switch {
		case !pass(o):
		case o.code == result.OK:
			record(h, o.latency)
		default:
			record(h, failedLatency)
		}
	}
	return h
}

// share returns the part of outcomes that pass.
func (r *run) share(pass func(*observed) bool) float64 {
	n := 0
	for i := range r.outcomes {
		if pass(&r.outcomes[i]) {
			n++
		}
	}
	return float64(n) / float64(max(len(r.outcomes), 1))
}

// added returns the median time beyond the work of the complete answers.
func added(outcomes []observed) time.Duration {
	var over []time.Duration
	for i := range outcomes {
		if outcomes[i].code == result.OK {
			over = append(over, outcomes[i].latency-outcomes[i].work)
		}
	}
	if len(over) == 0 {
		return 0
	}
	sort.Slice(over, func(i, j int) bool { return over[i] < over[j] })
	return over[len(over)/2]
}

// idealPercentile returns a percentile of ideal latencies over the requests
// that pass, in microseconds.
func idealPercentile(requests []planned, latencies []time.Duration, q float64, pass func(*planned) bool) float64 {
	h := newHistogram()
	for i := range requests {
		if pass(&requests[i]) {
			record(h, latencies[i])
		}
	}
	return float64(h.ValueAtQuantile(q))
}

func everyPlanned(*planned) bool     { return true }
func everyObserved(*observed) bool   { return true }
func shortPlanned(p *planned) bool   { return !p.long }
func shortObserved(o *observed) bool { return !o.long }

func failed(o *observed) bool { return o.code != result.OK }

func unknown(o *observed) bool {
	return result.Lookup(o.code).Outcome == result.Unknown
}
