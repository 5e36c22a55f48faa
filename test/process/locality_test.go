package process

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/load"
)

// Guards against a locality setting "nearest" that changes the region shares, or that
// sends requests to another region although the shares allow them to run in the region
// that received them.
func TestNearestLocality(t *testing.T) {
	c := newCluster(t, nil)
	const seconds = 16
	northLoad := directLoad(91, seconds*time.Second, append(c.InstancesInDomain("north-a"), c.InstancesInDomain("north-b")...)...)
	southLoad := directLoad(92, seconds*time.Second, c.InstancesInDomain("south-a")...)
	northLoad.RunID, southLoad.RunID = "north", "south"
	// The demand is proportional to the shares, so no request needs to leave its region.
	northLoad.Rate, southLoad.Rate = 240, 160
	northRun, southRun := c.StartLoad(northLoad), c.StartLoad(southLoad)
	time.Sleep(3 * time.Second)
	_, err := c.Instances[0].SubmitMergePatch(1, "nearest", map[string]any{"services": map[string]any{shop.Name: map[string]any{"locality": "nearest"}}})
	require.NoError(t, err)
	patchedAt := time.Now()
	northReport, southReport := northRun.Wait(), southRun.Wait()
	requireInvariants(t, c, northReport, southReport)
	requireComplete(t, northReport, "requests from north", anyRecord)
	requireComplete(t, southReport, "requests from south", anyRecord)

	beforePatch := func(r load.Record) bool { return !intendedAfter(patchedAt)(r) }
	afterConvergence := intendedAfter(patchedAt.Add(8 * time.Second))
	ratioBefore := (countCrossRegion(c.RegionOf, northReport, north, beforePatch) + countCrossRegion(c.RegionOf, southReport, south, beforePatch)) / (countRecords(northReport, beforePatch) + countRecords(southReport, beforePatch))
	ratioAfter := (countCrossRegion(c.RegionOf, northReport, north, afterConvergence) + countCrossRegion(c.RegionOf, southReport, south, afterConvergence)) / (countRecords(northReport, afterConvergence) + countRecords(southReport, afterConvergence))
	t.Logf("cross-region request ratio: %.3f before the patch, %.3f after convergence", ratioBefore, ratioAfter)
	require.Greater(t, ratioBefore, 0.4, "without locality, 0.4*0.6 + 0.6*0.4 of the requests cross regions")
	// The reported demand may be too low by its tolerance of 10% and by exp(-11 s / 5 s) = 11%,
	// because it is smoothed with a time constant of 5 s. The 11 s are the time from the start of
	// the load to the first request counted: 3 s until the patch and 8 s after it. Of the requests
	// beyond the reported demand, a fraction of 0.48 (0.4*0.6 + 0.6*0.4) crosses regions. This
	// makes 0.21 * 0.48 = 0.1 of all requests.
	require.Less(t, ratioAfter, 0.15, "the shares match the demand, so few requests may cross regions")
	// Because arrivals are random, the fraction of requests from north varies by about 0.025
	// (one standard deviation) from second to second. With locality "nearest", the shares
	// vary by the same amount.
	records := northReport.Records
	windows := shareWindows(t, c, &load.Report{Records: append(records, southReport.Records...)})
	for i, w := range windows[:len(windows)-1] {
		require.InDelta(t, 0.6, w.Share(north), 0.1, "second %d", i)
	}
}

func countRecords(r *load.Report, match func(load.Record) bool) (n float64) {
	for _, record := range r.Records {
		if match(record) {
			n++
		}
	}
	return n
}

// countCrossRegion counts the requests from callerRegion that ran in another region.
func countCrossRegion(regionOf func(string) string, r *load.Report, callerRegion string, match func(load.Record) bool) float64 {
	return countRecords(r, func(record load.Record) bool { return match(record) && regionOf(record.Upstream) != callerRegion })
}
