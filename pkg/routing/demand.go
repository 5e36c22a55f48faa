package routing

import (
	"math"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
)

const (
	// demandTimeConstant is the time constant of the EWMA of the measured
	// demand. It spans several heartbeats, so that random arrivals hardly
	// change the shares that other regions compute from it.
	demandTimeConstant = 5 * time.Second
	// demandBurstWindow times the reported demand is the depth of the token
	// bucket for requests that use localShares. The bucket lets requests arrive
	// unevenly.
	demandBurstWindow = time.Second
)

// rateMeter measures the request rate of callers as an EWMA.
type rateMeter struct {
	count    int // requests since lastStep
	rate     float64
	lastStep time.Time
}

// endInterval ends a measurement interval, updates the rate and returns the length of
// the interval in seconds, capped at maxStepDuration.
func (m *rateMeter) endInterval(now time.Time) float64 {
	dt := now.Sub(m.lastStep).Seconds()
	if dt <= 0 {
		return 0
	}
	weight := 1 - math.Exp(-dt/demandTimeConstant.Seconds())
	m.rate += weight * (float64(m.count)/dt - m.rate)
	m.count, m.lastStep = 0, now
	return min(dt, maxStepDuration.Seconds())
}

// Demand returns the measured requests per second of each service, rounded to a
// tenth.
func (t *Table) Demand() cluster.RequestRates {
	demand := make(cluster.RequestRates)
	for name, s := range t.snapshot() {
		s.mu.Lock()
		demand[name] = math.Round(s.meter.rate*10) / 10
		s.mu.Unlock()
	}
	return demand
}

// demandByRegion sums the reported demand for a service over the instances of
// each region, including this instance.
func demandByRegion(in Input, service string) vector {
	demand := vector{in.HomeRegion: in.OwnDemand[service]}
	for i := range in.Peers {
		if rate := in.Peers[i].RequestRates[service]; rate > 0 && !math.IsInf(rate, 1) {
			demand[in.Peers[i].Region] += rate
		}
	}
	return demand
}
