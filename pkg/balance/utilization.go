package balance

import (
	"math"
	"time"
)

const (
	// maxTargetUtilization and minTargetUtilization limit the utilization up to which a
	// region serves its own callers before its shares send requests to other regions.
	maxTargetUtilization = 0.85
	minTargetUtilization = 0.5
)

// targetUtilization returns the utilization up to which a region serves its own callers.
// It is the lower of two: the spare slots grow with the square root of their number
// (square-root staffing), because the random variation of the load does; and requests
// do not queue longer than the round trip to another region takes, because the other
// region would answer sooner.
func (b *Balancer) targetUtilization(p *pool, l *regionLoad) float64 {
	if l.capacity <= 0 {
		return minTargetUtilization
	}
	staffed := 1 - 1/math.Sqrt(l.capacity)
	queueSlots := l.capacity
	if p.hasAffinity() {
		// Requests for an object queue at its owner, not for the first free slot of the
		// region.
		queueSlots /= float64(l.upstreams)
	}
	queued := maxUtilizationForWait(queueSlots, p.meanServiceTime(), b.remoteRoundTrip())
	return min(maxTargetUtilization, max(minTargetUtilization, min(staffed, queued)))
}

// maxUtilizationForWait returns the utilization at which requests for the given number
// of slots queue for maxWait on average, by Sakasegawa's approximation. It is accurate to
// 0.001.
func maxUtilizationForWait(slots float64, serviceTime, maxWait time.Duration) float64 {
	exponent := math.Sqrt(2*(slots+1)) - 1
	low, high := 0.0, 1.0
	for high-low > 0.001 {
		utilization := (low + high) / 2
		wait := math.Pow(utilization, exponent) / (slots * (1 - utilization)) * float64(serviceTime)
		if wait < float64(maxWait) {
			low = utilization
		} else {
			high = utilization
		}
	}
	return low
}

// hasAffinity reports whether requests of a route of the service name objects.
func (p *pool) hasAffinity() bool {
	for _, r := range p.routes {
		if r.config.Affinity {
			return true
		}
	}
	return false
}

// meanServiceTime returns the mean service time over all routes. Before the first response
// has been measured, it returns the longest that a route is assumed to have.
func (p *pool) meanServiceTime() time.Duration {
	longest := p.serviceTime
	if longest == 0 {
		for _, r := range p.routes {
			longest = max(longest, r.serviceTime)
		}
	}
	return longest
}

// targetSlots returns the number of slots up to which each region is to be used. If the
// demand exceeds the targets of all regions together, each region exceeds its own by the
// same factor.
func (b *Balancer) targetSlots(p *pool, regions map[string]*regionLoad) map[string]float64 {
	slots := make(map[string]float64, len(regions))
	demand := 0.0
	for name, l := range regions {
		demand += l.demand
		slots[name] = b.targetUtilization(p, l) * l.capacity
	}
	total := sum(slots)
	if total > 0 && demand > total {
		for name := range slots {
			slots[name] *= demand / total
		}
	}
	return slots
}
