package balance

import (
	"time"
)

const (
	// crossDomainRTT and crossRegionRTT are assumed to be the round-trip times to
	// another domain of the region and to another region until a connection to it has
	// been opened.
	crossDomainRTT = 3 * time.Millisecond
	crossRegionRTT = 110 * time.Millisecond
	// roundTripGain is the EWMA weight of a connect time above the estimate. Lower ones
	// replace the estimate, because nothing but the distance takes time then.
	roundTripGain = 0.02
)

// roundTrips estimates the round-trip time to each other failure domain from the time
// that it takes to open connections there.
type roundTrips map[string]time.Duration

// record adds the connect time of a connection to an upstream in domain.
func (r roundTrips) record(domain string, connectTime time.Duration) {
	current, ok := r[domain]
	if !ok || connectTime < current {
		r[domain] = connectTime
		return
	}
	r[domain] = current + time.Duration(roundTripGain*float64(connectTime-current))
}

// roundTrip returns the estimated round-trip time to an upstream.
func (b *Balancer) roundTrip(u *upstream) time.Duration {
	if u.Domain == b.config.Domain {
		return 0
	}
	if measured, ok := b.roundTrips[u.Domain]; ok {
		return measured
	}
	if u.region == b.config.Region {
		return crossDomainRTT
	}
	return crossRegionRTT
}

// remoteRoundTrip returns the shortest estimated round-trip time to another region.
func (b *Balancer) remoteRoundTrip() time.Duration {
	shortest := time.Duration(0)
	for domain, region := range b.config.RegionByDomain {
		if measured, ok := b.roundTrips[domain]; ok && region != b.config.Region && (shortest == 0 || measured < shortest) {
			shortest = measured
		}
	}
	if shortest == 0 {
		return crossRegionRTT
	}
	return shortest
}
