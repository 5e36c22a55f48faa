package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const simCap = 0.02

// mixShift moves the whole traffic to node 0 between two times.
func mixShift(f *fleet, t, from, to time.Duration) {
	part := min(max(float64(t-from)/float64(to-from), 0), 1)
	for i, n := range f.nodes {
		n.weight = (1 - part) / float64(len(f.nodes))
		if i == 0 {
			n.weight += part
		}
	}
}

// lateVersion delays the arrival of new versions at node 0.
func lateVersion(f *fleet, by time.Duration) {
	f.arrival = func(n *node, v int) time.Duration {
		if v > 0 && n == f.nodes[0] {
			return f.accepted[v] + by
		}
		return f.accepted[v]
	}
}

// pauseNode pauses node 0 for 20 s, in which the others carry its traffic, and
// then gives it all traffic at once.
func pauseNode(f *fleet, t time.Duration) {
	if t == time.Second {
		f.pause(f.nodes[0], 20*time.Second)
	}
	if t > 21500*time.Millisecond {
		mixShift(f, t, 22*time.Second, 22100*time.Millisecond)
		return
	}
	for i, n := range f.nodes {
		n.weight = 1 / float64(len(f.nodes)-1)
		if i == 0 {
			n.weight = 0
		}
	}
}

// runMove moves a share from 0.8 to 0.2 in a fleet of 12 and returns the worst
// excess of the sum over the cap in one second.
func runMove(m mechanisms, setup func(f *fleet), run func(f *fleet, t time.Duration)) (excess float64, done time.Duration) {
	f := newFleet(12, twoRegions(0.8, simCap))
	f.mechanisms = m
	f.accept(twoRegions(0.2, simCap))
	setup(f)
	var sums []vector
	for t := time.Duration(0); t < 90*time.Second; t += simStep {
		run(f, t)
		sums = append(sums, f.tick())
		if done == 0 && sums[len(sums)-1]["x"] < 0.2+1e-9 {
			done = t
		}
	}
	return worstExcess(sums, time.Second, simCap), done
}

// Guards against a sum of shares that breaks the cap when traffic moves to an
// instance that lags: without the mechanisms the excess is several times the
// bound, with them it stays below the lead.
func TestMixShiftOntoLaggard(t *testing.T) {
	const bound = simCap * 3.1 // leadTime and one step
	shift := func(from time.Duration) func(f *fleet, t time.Duration) {
		return func(f *fleet, t time.Duration) { mixShift(f, t, from, from+simStep) }
	}
	cases := []struct {
		name    string
		without mechanisms
		setup   func(f *fleet)
		run     func(f *fleet, t time.Duration)
	}{
		{"version 8 s late", mechanisms{}, func(f *fleet) { lateVersion(f, 8*time.Second) }, shift(7900 * time.Millisecond)},
		{"version 30 s late", mechanisms{true, false, true}, func(f *fleet) { lateVersion(f, 30*time.Second) }, shift(25 * time.Second)},
		{"steps at a quarter of the speed", mechanisms{false, true, true}, func(f *fleet) { f.nodes[0].slow = true }, shift(20 * time.Second)},
		{"paused 20 s", mechanisms{true, true, false}, func(*fleet) {}, pauseNode},
	}
	for _, c := range cases {
		broken, alone := runMove(c.without, c.setup, c.run)
		held, done := runMove(allMechanisms, c.setup, c.run)
		t.Logf("%s: excess in 1 s %.4f without, %.4f with; move ends after %v and %v", c.name, broken, held, alone, done)
		require.Greater(t, broken, 1.5*bound, "%s: the scenario no longer shows the fault", c.name)
		require.LessOrEqual(t, held, bound, c.name)
	}
}

// Guards against a lead limit that slows a move in a healthy fleet.
func TestHealthyMoveKeepsSpeed(t *testing.T) {
	excess, done := runMove(allMechanisms, func(*fleet) {}, func(*fleet, time.Duration) {})
	require.LessOrEqual(t, excess, 1e-9)
	require.InDelta(t, 30, done.Seconds(), 0.6)
}

// Guards against a move that waits without end for a live peer that does not
// follow.
func TestStuckPeerDelaysMoveOnly(t *testing.T) {
	f := newFleet(3, twoRegions(0.8, simCap))
	stuck := f.nodes[0]
	f.accept(twoRegions(0.2, simCap))
	f.follow = false
	lateVersion(f, time.Hour)
	for range 700 {
		stuck.heard = f.now
		f.tick()
	}
	require.InDelta(t, 0.8, stuck.table.Shares()["s"]["x1"]*2, 1e-9)
	require.InDelta(t, 0.2, f.nodes[1].table.Shares()["s"]["x1"]*2, 1e-9)
}
