package bench

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/load"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

const ms = time.Millisecond

// Guards against an ideal queue that is not an exact single FIFO queue.
func TestIdealQueue(t *testing.T) {
	request := func(at, work time.Duration) benchRequest {
		return benchRequest{PlannedRequest: load.PlannedRequest{SendOffset: at}, work: work}
	}
	requests := []benchRequest{request(0, 10*ms), request(1*ms, 2*ms), request(2*ms, 5*ms), request(4*ms, 1*ms)}
	require.Equal(t, []time.Duration{10 * ms, 2 * ms, 6 * ms, 5 * ms}, idealQueueLatencies(requests, 2))
	require.Equal(t, []time.Duration{10 * ms, 11 * ms, 15 * ms, 14 * ms}, idealQueueLatencies(requests, 1))
}

// Guards against arrivals that differ between the variants of a run, and against a
// wrong offered load.
func TestPlanIsDeterministic(t *testing.T) {
	w := workload{utilization: 0.6, includeLong: true}
	first := newPlan(Small, w, time.Second, 3)
	require.Equal(t, first, newPlan(Small, w, time.Second, 3))
	require.NotEqual(t, first, newPlan(Small, w, time.Second, 4))
	var offered time.Duration
	for _, request := range newPlan(Large, workload{utilization: 0.6}, 60*time.Second, 1) {
		offered += request.work
	}
	require.InDelta(t, 0.6, offered.Seconds()/60/float64(Large.totalSlots()), 0.02)
}

// Guards against variants that improve their percentiles by refusing slow requests.
func TestFailedRequestsCountInPercentiles(t *testing.T) {
	outcome := func(o result.Outcome) requestResult {
		return requestResult{Record: load.Record{Outcome: o.String(), LatencyUS: 1000}}
	}
	r := &variantRun{results: []requestResult{outcome(result.Complete), outcome(result.NotRun)}}
	require.InDelta(t, float64(failedLatency.Microseconds()), float64(r.latencies(includeAll).Max()), 1e5)
}

// Guards against scenarios that fail or violate an invariant. The figures are not
// checked, because the runs are too short for meaningful values.
func TestScenariosRun(t *testing.T) {
	tiny := Size{Name: "4x2", Upstreams: 4, Slots: 2}
	report := NewReport()
	for _, name := range []string{"slow", "overload"} {
		require.NoError(t, Run(name, tiny, Options{Duration: 300 * ms, Seed: 1, Variant: "one_instance"}, report), name)
	}
	require.NoError(t, Run("latency", tiny, Options{Duration: 300 * ms, Seed: 1}, report))
	var out bytes.Buffer
	report.Write(&out)
	require.False(t, report.HasViolations(), out.String())
	require.Contains(t, out.String(), "| p99 / ideal queue | ≤ 1.2 |")
}
