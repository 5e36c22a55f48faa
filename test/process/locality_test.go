package process

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/load"
)

// Guards against locality that moves the shares, or that does not keep requests
// in the region they came to when the shares allow it.
func TestNearestLocality(t *testing.T) {
	c := newCluster(t, nil)
	const seconds = 16
	northLoad := direct(91, seconds*time.Second, append(c.InstancesInDomain("north-a"), c.InstancesInDomain("north-b")...)...)
	southLoad := direct(92, seconds*time.Second, c.InstancesInDomain("south-a")...)
	northLoad.RunID, southLoad.RunID = "north", "south"
	// The demand has the proportions of the shares, so nothing has to leave.
	northLoad.Rate, southLoad.Rate = 240, 160
	fromNorth, fromSouth := c.StartLoad(northLoad), c.StartLoad(southLoad)
	time.Sleep(3 * time.Second)
	_, err := c.Instances[0].SubmitMergePatch(1, "nearest", map[string]any{"services": map[string]any{shop.Name: map[string]any{"locality": "nearest"}}})
	require.NoError(t, err)
	patched := time.Now()
	n, s := fromNorth.Wait(), fromSouth.Wait()
	requireSound(t, c, n, s)
	requireComplete(t, n, "from the north", all)
	requireComplete(t, s, "from the south", all)

	before := func(r load.Record) bool { return !after(patched)(r) }
	settled := after(patched.Add(8 * time.Second))
	was := (leaving(c.RegionOf, n, north, before) + leaving(c.RegionOf, s, south, before)) / (count(n, before) + count(s, before))
	is := (leaving(c.RegionOf, n, north, settled) + leaving(c.RegionOf, s, south, settled)) / (count(n, settled) + count(s, settled))
	t.Logf("requests that leave their region: %.3f before, %.3f after", was, is)
	require.Greater(t, was, 0.4, "0.6 of 0.4 and 0.4 of 0.6 must leave without locality")
	// The reported demand may lag by its tolerance of 10% and by exp(-11 s / 5 s)
	// = 11% of its smoothing; 0.48 of the requests beyond it leave, 0.1 in all.
	require.Less(t, is, 0.15, "the shares equal the demand")
	// Random arrivals change the mix of a second by about 0.025 (one standard
	// deviation), which nearest locality passes on to the shares.
	kept := n.Records
	list := windows(t, c, &load.Report{Records: append(kept, s.Records...)})
	for i, w := range list[:len(list)-1] {
		require.InDelta(t, 0.6, w.Share(north), 0.1, "second %d", i)
	}
}

func count(r *load.Report, match func(load.Record) bool) (n float64) {
	for _, record := range r.Records {
		if match(record) {
			n++
		}
	}
	return n
}

// leaving counts the requests of callers in home that ran in another region.
func leaving(regionOf func(string) string, r *load.Report, home string, match func(load.Record) bool) float64 {
	return count(r, func(record load.Record) bool { return match(record) && regionOf(record.Upstream) != home })
}
