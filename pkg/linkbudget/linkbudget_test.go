package linkbudget

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/description"
)

var links = []description.Link{{Between: [2]string{"north", "south"}, MbitPerSecond: 80}}

// Guards against a sum over the instances of a region that exceeds the link.
func TestSumStaysWithinTheLink(t *testing.T) {
	const instances, perSecond = 4, 10_000_000
	r := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(0, 0)
	var all []*Budgets
	for range instances {
		b := New("north")
		b.Update(links, instances, now)
		all = append(all, b)
	}
	sent, longest := 0, 0
	for range 20_000 {
		now = now.Add(time.Duration(r.IntN(1000)) * time.Microsecond)
		for _, b := range all {
			size := r.IntN(50_000)
			longest = max(longest, size)
			if b.Take("south", size, now) {
				sent += size
			}
		}
	}
	limit := perSecond*(now.Sub(time.Unix(0, 0))+burst).Seconds() + float64(instances*longest)
	require.LessOrEqual(t, float64(sent), limit)
	require.GreaterOrEqual(t, float64(sent), 0.95*limit, "the budget leaves the link unused")
}

// Guards against answers that are not counted, and against a reconfiguration
// that forgives a debt or fills a bucket.
func TestDebtAndUpdates(t *testing.T) {
	now := time.Unix(0, 0)
	b := New("south")
	b.Update(links, 1, now)
	b.Charge("north", 6_000_000, now)
	require.False(t, b.Take("north", 1, now))
	b.Update(links, 1, now)
	require.False(t, b.Take("north", 1, now), "an update forgave the debt")
	require.False(t, b.Take("north", 1, now.Add(490*time.Millisecond)))
	require.True(t, b.Take("north", 1, now.Add(510*time.Millisecond)), "10 MB/s pay 5 MB back in 0.5 s")
	require.True(t, b.Take("west", 1<<30, now), "regions without a link have no limit")
	b.Update(links, 1000, now.Add(time.Hour))
	require.True(t, b.Take("north", 1000, now.Add(time.Hour)))
	require.False(t, b.Take("north", 1, now.Add(time.Hour)), "the bucket is as deep as the smaller part")
	require.EqualValues(t, 4, b.State(now.Add(time.Hour))[0].Denied)
	b.Update(nil, 1, now)
	require.Empty(t, b.State(now))
}
