package membership

import (
	"math"
	"reflect"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
)

const (
	// shareGap is the shortest time between two changes of the body for moving
	// shares. With a report every 200 ms they are at most 400 ms old when the
	// heartbeat takes them; peers limit their lead by shares up to 1 s old.
	shareGap = 300 * time.Millisecond
	// loadGap is the same for pool loads and demand. Demand is a mean over 5 s.
	loadGap = 3 * time.Second
	// shareTolerance is 0.5 ms of a move at a cap of 0.02 per second.
	shareTolerance = 1e-5
	// poolTolerance is the part of the slots by which a load may differ from
	// the published one.
	poolTolerance = 1.0 / 8
	// demandTolerance and demandStep, in requests per second, are what the
	// published demand may be off by.
	demandTolerance = 0.1
	demandStep      = 0.5
)

// due reports whether the body next must be published in place of known, whose
// last change was the time age ago. A published body takes all present values
// along, so noise waits for a change that matters or for the gap to pass.
func due(known, next *cluster.Member, age time.Duration) bool {
	if !equalBesidesValues(known, next) {
		return true
	}
	if age >= shareGap && sharesDiffer(known.Shares, next.Shares) {
		return true
	}
	return age >= loadGap && loadsDiffer(known, next)
}

// equalBesidesValues compares all but the values of shares, pools and demand. Shares that
// appear or vanish are published at once: after a pause an entry withdraws them.
func equalBesidesValues(known, next *cluster.Member) bool {
	a, b := *known, *next
	a.Shares, a.Pools, a.Demand = nil, nil, nil
	b.Shares, b.Pools, b.Demand = nil, nil, nil
	if !reflect.DeepEqual(a, b) || len(known.Pools) != len(next.Pools) {
		return false
	}
	for i := range known.Pools {
		if known.Pools[i].Service != next.Pools[i].Service {
			return false
		}
	}
	return sameKeys(known.Shares, next.Shares) && sameKeys(known.Demand, next.Demand)
}

func sameKeys[V any](a, b map[string]V) bool {
	if len(a) != len(b) {
		return false
	}
	for key := range a {
		if _, ok := b[key]; !ok {
			return false
		}
	}
	return true
}

func sharesDiffer(a, b cluster.Shares) bool {
	for service := range a {
		if vectorsDiffer(a[service], b[service]) {
			return true
		}
	}
	return false
}

// vectorsDiffer treats a share that appears or vanishes as a difference of any
// size, because other instances read it as a domain in use.
func vectorsDiffer(a, b map[string]float64) bool {
	if !sameKeys(a, b) {
		return true
	}
	for domain, share := range a {
		if other := b[domain]; (share == 0) != (other == 0) || beyond(share, other, shareTolerance) {
			return true
		}
	}
	return false
}

func loadsDiffer(known, next *cluster.Member) bool {
	for i, a := range known.Pools {
		b := next.Pools[i]
		limit := max(1, poolTolerance*float64(a.Slots))
		if a.Slots != b.Slots || beyond(float64(a.InUse), float64(b.InUse), limit) ||
			beyond(float64(a.Queued), float64(b.Queued), limit) {
			return true
		}
	}
	for service, rate := range known.Demand {
		if beyond(rate, next.Demand[service], max(demandStep, demandTolerance*rate)) {
			return true
		}
	}
	return false
}

func beyond(a, b, limit float64) bool { return math.Abs(a-b) > limit }
