package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against fleet-wide shares that move faster than the cap while versions
// arrive late, instances pause and restart, and traffic shifts between instances.
func TestFleetSharesStayWithinCap(t *testing.T) {
	for seed := range uint64(6) {
		for _, steady := range []bool{true, false} {
			fleetHistory, spread, c := runChurn(seed, steady)
			for name := range c.expected {
				// Each chooser's request count differs from the expected count by at
				// most 1.5. The choosers discarded at a restart are included.
				limit := 1.5 * float64(c.chooserCount)
				require.LessOrEqual(t, math.Abs(c.actual[name]-c.expected[name]), limit, "request count of region %s, seed %d", name, seed)
			}
			bound := tolerance
			if !steady {
				bound = spread
			}
			for _, window := range []time.Duration{time.Second, 5 * time.Second, 20 * time.Second} {
				require.LessOrEqual(t, maxExcessOverCap(fleetHistory, window, simRegionCap), bound, "seed %d steady %v window %v", seed, steady, window)
			}
			// The shares of two instances can differ by the maximum lead (leadTime
			// times the cap) plus the distance that one of them moves in the opposite
			// direction before the other receives its shares.
			require.LessOrEqual(t, spread, simRegionCap*5.5, "seed %d steady %v", seed, steady)
		}
	}
}

// runChurn simulates six instances for 200 s. With a steady traffic mix, no
// instance pauses or restarts, because that would change the mix.
func runChurn(seed uint64, steady bool) (fleetHistory []vector, spread float64, c counts) {
	r := rand.New(rand.NewPCG(seed, 3))
	f := newFleet(6, twoRegions(0.5, simRegionCap))
	delay := make(map[string]time.Duration)
	f.arrival = func(inst *simInstance, v int) time.Duration {
		key := fmt.Sprint(inst.id, v)
		if _, ok := delay[key]; !ok && v > 0 {
			delay[key] = time.Duration(r.IntN(8000)) * time.Millisecond
		}
		return f.acceptedAt[v] + delay[key]
	}
	for i, share := range randomShares(r, len(f.instances)) {
		f.instances[i].weight = share
	}
	c = counts{expected: make(vector), actual: make(vector), chooserCount: len(f.instances)}
	for range 2000 {
		if r.IntN(200) == 0 {
			f.accept(twoRegions(float64(r.IntN(11))/10, simRegionCap))
		}
		if !steady {
			c.chooserCount += f.churn(r)
		}
		fleetHistory = append(fleetHistory, f.tick())
		spread = max(spread, f.spread())
		for _, inst := range f.instances {
			countRequests(inst.table.services["s"], int(20*inst.weight), c.expected, c.actual)
		}
	}
	return fleetHistory, spread, c
}

// counts holds the number of requests per region over all choosers: the number
// expected from the shares and the actual number.
type counts struct {
	expected, actual vector
	chooserCount     int
}

// churn occasionally pauses or restarts an instance or changes the traffic mix.
// It returns the number of restarts.
func (f *fleet) churn(r *rand.Rand) (restarts int) {
	inst := f.instances[r.IntN(len(f.instances))]
	if inst.pauseStart > 0 {
		return 0
	}
	switch r.IntN(150) {
	case 0:
		f.pause(inst, time.Duration(1+r.IntN(30))*time.Second)
	case 1:
		inst.table, inst.history, inst.version = NewTable(0), nil, -1
		f.update(inst)
		restarts = 1
	case 2:
		for i, share := range randomShares(r, len(f.instances)) {
			f.instances[i].weight = share
		}
	default:
		return 0
	}
	servingWeight := 0.0
	for _, inst := range f.instances {
		if f.elapsed < inst.pausedUntil {
			inst.weight = 0
		}
		servingWeight += inst.weight
	}
	for _, inst := range f.instances {
		if servingWeight == 0 && f.elapsed >= inst.pausedUntil {
			inst.weight, servingWeight = 1, 1
		}
	}
	for _, inst := range f.instances {
		inst.weight /= max(servingWeight, tolerance)
	}
	return restarts
}

// spread returns the largest difference between the shares of region x on the
// serving instances.
func (f *fleet) spread() float64 {
	low, high := 1.0, 0.0
	for _, inst := range f.instances {
		if f.elapsed >= inst.pausedUntil && inst.pauseStart == 0 {
			x := vector(inst.table.Shares()["s"]).byRegion(inst.table.services["s"].in.regionOf)["x"]
			low, high = min(low, x), max(high, x)
		}
	}
	return high - low
}
