package routing

import (
	"math"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
)

const (
	// demandWindow smooths the measured demand over several heartbeats, so that
	// random arrivals hardly move the rows of other regions.
	demandWindow = 5 * time.Second
	// demandBurst is the time for which unused tokens of the reported demand
	// accumulate, so that requests may arrive unevenly.
	demandBurst = time.Second
)

// meter measures the requests per second of callers.
type meter struct {
	count int
	rate  float64
	last  time.Time
}

// step ends a measuring interval and returns its length in seconds, at most
// maxStep.
func (m *meter) step(now time.Time) float64 {
	dt := now.Sub(m.last).Seconds()
	if dt <= 0 {
		return 0
	}
	weight := 1 - math.Exp(-dt/demandWindow.Seconds())
	m.rate += weight * (float64(m.count)/dt - m.rate)
	m.count, m.last = 0, now
	return min(dt, maxStep.Seconds())
}

// Demand returns the measured demand of all services.
func (t *Table) Demand() cluster.Demand {
	demand := make(cluster.Demand)
	for name, s := range t.all() {
		s.mu.Lock()
		demand[name] = math.Round(s.meter.rate*10) / 10
		s.mu.Unlock()
	}
	return demand
}

// demandByRegion sums the reported demand of a service over the instances of each
// region.
func demandByRegion(in Input, service string) vector {
	demand := vector{in.HomeRegion: in.OwnDemand[service]}
	for i := range in.Peers {
		if rate := in.Peers[i].Demand[service]; rate > 0 && !math.IsInf(rate, 1) {
			demand[in.Peers[i].Region] += rate
		}
	}
	return demand
}
