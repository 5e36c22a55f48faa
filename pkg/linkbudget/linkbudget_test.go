package linkbudget

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/description"
)

var links = []description.Link{{Between: [2]string{"north", "south"}, MbitPerSecond: 80}}

// Guards against instances of a region that together exceed the link rate.
func TestRegionTotalStaysWithinLinkRate(t *testing.T) {
	const instances, bytesPerSecond = 4, 10_000_000
	r := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(0, 0)
	var budgets []*Budgets
	for range instances {
		b := New("north")
		b.Update(links, instances, now)
		budgets = append(budgets, b)
	}
	sent, largest := 0, 0
	for range 20_000 {
		now = now.Add(time.Duration(r.IntN(1000)) * time.Microsecond)
		for _, b := range budgets {
			size := r.IntN(50_000)
			largest = max(largest, size)
			if b.Take("south", size, now) {
				sent += size
			}
		}
	}
	limit := bytesPerSecond*(now.Sub(time.Unix(0, 0))+burstWindow).Seconds() + float64(instances*largest)
	require.LessOrEqual(t, float64(sent), limit)
	require.GreaterOrEqual(t, float64(sent), 0.95*limit, "the budget leaves link capacity unused")
}

// Guards against responses that are not charged, and against an Update that
// clears a negative balance or keeps more tokens than the new depth allows.
func TestUpdateKeepsNegativeBalance(t *testing.T) {
	now := time.Unix(0, 0)
	b := New("south")
	b.Update(links, 1, now)
	b.Charge("north", 6_000_000, now)
	require.False(t, b.Take("north", 1, now))
	b.Update(links, 1, now)
	require.False(t, b.Take("north", 1, now), "update cleared the negative balance")
	require.False(t, b.Take("north", 1, now.Add(490*time.Millisecond)))
	require.True(t, b.Take("north", 1, now.Add(510*time.Millisecond)), "a balance of -5 MB refills at 10 MB/s in 0.5 s")
	require.True(t, b.Take("west", 1<<30, now), "regions without a link are not limited")
	b.Update(links, 1000, now.Add(time.Hour))
	require.True(t, b.Take("north", 1000, now.Add(time.Hour)))
	require.False(t, b.Take("north", 1, now.Add(time.Hour)), "the bucket depth must follow the lower rate")
	require.EqualValues(t, 4, b.State(now.Add(time.Hour))[0].DeniedRequests)
	b.Update(nil, 1, now)
	require.Empty(t, b.State(now))
}
