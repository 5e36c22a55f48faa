package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const simRegionCap = 0.02

// shiftTraffic gradually moves all traffic to the first instance between the
// times from and to.
func shiftTraffic(f *fleet, t, from, to time.Duration) {
	fraction := min(max(float64(t-from)/float64(to-from), 0), 1)
	for i, inst := range f.instances {
		inst.weight = (1 - fraction) / float64(len(f.instances))
		if i == 0 {
			inst.weight += fraction
		}
	}
}

// delayVersion makes every version but the initial one arrive late at the first
// instance.
func delayVersion(f *fleet, by time.Duration) {
	f.arrival = func(inst *simInstance, v int) time.Duration {
		if v > 0 && inst == f.instances[0] {
			return f.acceptedAt[v] + by
		}
		return f.acceptedAt[v]
	}
}

// pauseFirst pauses the first instance for 20 s, while the other instances carry
// all traffic, and then shifts all traffic to the first instance at once.
func pauseFirst(f *fleet, t time.Duration) {
	if t == time.Second {
		f.pause(f.instances[0], 20*time.Second)
	}
	if t > 21500*time.Millisecond {
		shiftTraffic(f, t, 22*time.Second, 22100*time.Millisecond)
		return
	}
	for i, inst := range f.instances {
		inst.weight = 1 / float64(len(f.instances)-1)
		if i == 0 {
			inst.weight = 0
		}
	}
}

// runMove moves the share of region x from 0.8 to 0.2 in a fleet of 12 instances.
// It returns the largest excess of the fleet-wide shares over the cap within one
// second, and the duration of the move.
func runMove(m syncFeatures, setup func(f *fleet), run func(f *fleet, t time.Duration)) (excess float64, moveTime time.Duration) {
	f := newFleet(12, twoRegions(0.8, simRegionCap))
	f.syncFeatures = m
	f.accept(twoRegions(0.2, simRegionCap))
	setup(f)
	var fleetHistory []vector
	for t := time.Duration(0); t < 90*time.Second; t += simStep {
		run(f, t)
		fleetHistory = append(fleetHistory, f.tick())
		if moveTime == 0 && fleetHistory[len(fleetHistory)-1]["x"] < 0.2+1e-9 {
			moveTime = t
		}
	}
	return maxExcessOverCap(fleetHistory, time.Second, simRegionCap), moveTime
}

// Guards against fleet-wide shares that exceed the cap when traffic shifts to an
// instance whose shares lag behind. Without the tested features the excess is
// more than 1.5 times the bound; with all features it stays within the bound.
func TestTrafficShiftToLaggingInstance(t *testing.T) {
	const bound = simRegionCap * 3.1 // leadTime plus one step
	shift := func(from time.Duration) func(f *fleet, t time.Duration) {
		return func(f *fleet, t time.Duration) { shiftTraffic(f, t, from, from+simStep) }
	}
	cases := []struct {
		name string
		// remaining holds the features that stay enabled in the run without the
		// tested ones.
		remaining syncFeatures
		setup     func(f *fleet)
		run       func(f *fleet, t time.Duration)
	}{
		{"version arrives 8 s late", syncFeatures{}, func(f *fleet) { delayVersion(f, 8*time.Second) }, shift(7900 * time.Millisecond)},
		{"version arrives 30 s late", syncFeatures{true, false, true}, func(f *fleet) { delayVersion(f, 30*time.Second) }, shift(25 * time.Second)},
		{"steps at a quarter of the normal speed", syncFeatures{false, true, true}, func(f *fleet) { f.instances[0].slow = true }, shift(20 * time.Second)},
		{"paused for 20 s", syncFeatures{true, true, false}, func(*fleet) {}, pauseFirst},
	}
	for _, c := range cases {
		excessWithout, moveTimeWithout := runMove(c.remaining, c.setup, c.run)
		excess, moveTime := runMove(allSyncFeatures, c.setup, c.run)
		t.Logf("%s: excess in 1 s is %.4f without the tested features and %.4f with them; the move takes %v and %v", c.name, excessWithout, excess, moveTimeWithout, moveTime)
		require.Greater(t, excessWithout, 1.5*bound, "%s: the scenario no longer exceeds the bound without the tested features", c.name)
		require.LessOrEqual(t, excess, bound, c.name)
	}
}

// Guards against a lead limit that slows down a move in a healthy fleet.
func TestHealthyMoveKeepsSpeed(t *testing.T) {
	excess, moveTime := runMove(allSyncFeatures, func(*fleet) {}, func(*fleet, time.Duration) {})
	require.LessOrEqual(t, excess, 1e-9)
	require.InDelta(t, 30, moveTime.Seconds(), 0.6)
}

// Guards against a move that waits forever for a live peer whose shares do not
// move.
func TestStuckPeerOnlyDelaysMove(t *testing.T) {
	f := newFleet(3, twoRegions(0.8, simRegionCap))
	stuck := f.instances[0]
	f.accept(twoRegions(0.2, simRegionCap))
	f.followNewerVersion = false
	delayVersion(f, time.Hour)
	for range 700 {
		stuck.lastHeartbeat = f.elapsed
		f.tick()
	}
	require.InDelta(t, 0.8, stuck.table.Shares()["s"]["x1"]*2, 1e-9)
	require.InDelta(t, 0.2, f.instances[1].table.Shares()["s"]["x1"]*2, 1e-9)
}
