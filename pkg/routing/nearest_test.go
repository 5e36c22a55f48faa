package routing

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against region shares whose mean over all home regions, weighted by
// demand, does not equal the service's shares, and against more requests leaving
// their region than necessary.
func TestNearestRegionSharesAddUpToShares(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	names := []string{"north", "south", "west"}
	for i := range 1000 {
		shares, demand := make(vector), make(vector)
		for _, n := range names {
			shares[n], demand[n] = random.Float64(), random.Float64()
		}
		if i%5 == 0 {
			shares["west"] = 0
		}
		if i%7 == 0 {
			demand["south"] = 0
		}
		require.True(t, shares.normalize())
		require.True(t, demand.normalize())
		sum := make(vector)
		var crossingDemand float64
		for _, home := range names {
			regionShares := nearestRegionShares(home, shares, demand)
			require.InDelta(t, 1, regionShares.sum(), 1e-9, "case %d: shares of %s", i, home)
			for destination, fraction := range regionShares {
				require.GreaterOrEqual(t, fraction, 0.0)
				sum[destination] += demand[home] * fraction
				if destination != home {
					crossingDemand += demand[home] * fraction
				}
			}
		}
		var minCrossingDemand float64
		for _, n := range names {
			require.InDelta(t, shares[n], sum[n], 1e-9, "case %d: region %s", i, n)
			minCrossingDemand += max(0, demand[n]-shares[n])
		}
		require.InDelta(t, minCrossingDemand, crossingDemand, 1e-9, "case %d: more requests leave their region than necessary", i)
	}
}

// Guards against region shares that differ from the service's shares although the
// demand of the home region is unknown.
func TestNearestRegionSharesWithoutDemand(t *testing.T) {
	shares := vector{"north": 0.7, "south": 0.3}
	require.Equal(t, shares, nearestRegionShares("north", shares, nil))
	require.Equal(t, shares, nearestRegionShares("north", shares, vector{"south": 5}))
}
