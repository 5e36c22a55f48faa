package load

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/platform/platformtest"
)

// trafficWithRisingShare returns 200 requests per second. The share of "south" is
// 0.1 in the first two seconds and then rises by step every second.
func trafficWithRisingShare(seconds int, step float64) (records []Record, executions []Execution) {
	for s := range seconds {
		south := int(200 * (0.1 + step*float64(max(0, s-1))))
		for n := range 200 {
			upstream := "north-1"
			if n < south {
				upstream = "south-1"
			}
			token, at := fmt.Sprintf("%d-%d", s, n), int64(s)*1e6+int64(n)*4000
			records = append(records, Record{Token: token, IntendedUnixUS: at})
			executions = append(executions, Execution{Upstream: upstream, Path: "/read/" + token, Result: "done", StartUnixUS: at})
		}
	}
	return records, executions
}

func locationOf(upstream string) string { return upstream[:5] }

// Guards against a cap check that accepts a change above the cap or rejects a change
// exactly at the cap.
func TestCheckCap(t *testing.T) {
	check := func(step float64) []string {
		records, executions := trafficWithRisingShare(8, step)
		windows := CountRequestsByWindow(records, executions, locationOf, 1e6)
		require.Len(t, windows, 7)
		return CheckCap(windows, []string{"north", "south"}, 0.05, 1, 2)
	}
	require.Empty(t, check(0.05))
	require.NotEmpty(t, check(0.07))
}

// Guards against counting hedges and retries as separate requests, and against
// leaving refused requests out of the total.
func TestWindowsCountRequestsOnce(t *testing.T) {
	windows := CountRequestsByWindow([]Record{
		{Token: "a", IntendedUnixUS: 100}, {Token: "b", IntendedUnixUS: 110}, {Token: "c", IntendedUnixUS: 250},
	}, []Execution{
		{Upstream: "south-1", Path: "/read/a", Result: "done", StartUnixUS: 120},
		{Upstream: "north-1", Path: "/read/a", Result: "cancelled", StartUnixUS: 110},
		{Upstream: "north-1", Path: "/read/b", Result: platformtest.Shed, StartUnixUS: 130},
	}, locationOf, 100)
	require.Len(t, windows, 1)
	require.Equal(t, map[string]int{"north": 1, NoLocation: 1}, windows[0].ByLocation)
}

// Guards against a concurrency count that misses overlapping executions or counts
// consecutive ones as concurrent.
func TestMaxConcurrent(t *testing.T) {
	highest := MaxConcurrent([]Execution{
		{Upstream: "north-1", Result: "done", StartUnixUS: 0, EndUnixUS: 10},
		{Upstream: "north-2", Result: "done", StartUnixUS: 5, EndUnixUS: 20},
		{Upstream: "north-1", Result: "done", StartUnixUS: 20, EndUnixUS: 30},
		{Upstream: "north-1", Result: platformtest.Shed, StartUnixUS: 6, EndUnixUS: 7},
		{Upstream: "south-1", Result: "done", StartUnixUS: 6, EndUnixUS: 7},
	}, locationOf)
	require.Equal(t, map[string]int{"north": 2, "south": 1}, highest)
}
