package exchange

import "time"

const (
	// idleLossWindow plus one round trip is the time after the start of a request
	// within which the loss of a reused connection means that the upstream dropped it
	// while idle. A later loss has other causes.
	idleLossWindow = 50 * time.Millisecond
	// minIdleLimit is the shortest idle time after which an upstream is assumed
	// to drop a connection. A loss after a shorter idle time is ignored.
	minIdleLimit = 100 * time.Millisecond
	// idleLimitFactorAfterLoss is the new idle limit after a loss, as a fraction of the
	// idle time of the lost connection.
	idleLimitFactorAfterLoss = 0.7
	// idleRecoveryInterval is the time without a loss after which an idle limit
	// doubles.
	idleRecoveryInterval = 15 * time.Second
	// maxSameRegionRoundTrip and maxCrossRegionRoundTrip are upper bounds of the
	// round-trip time to an upstream.
	maxSameRegionRoundTrip  = 10 * time.Millisecond
	maxCrossRegionRoundTrip = 250 * time.Millisecond
)

func maxRoundTrip(t Target) time.Duration {
	if t.SameRegion {
		return maxSameRegionRoundTrip
	}
	return maxCrossRegionRoundTrip
}

// idleEstimate estimates the idle time after which the upstreams of a service
// may drop a connection without closing it. The estimate is lowered when a reused
// connection is lost and doubles after each idleRecoveryInterval without a loss.
type idleEstimate struct {
	limit time.Duration
	// recoveryStart is the start of the current recovery interval.
	recoveryStart time.Time
}

// currentLimit returns the idle limit at time now.
func (e *idleEstimate) currentLimit(now time.Time) time.Duration {
	for e.limit < maxIdleLimit && now.Sub(e.recoveryStart) >= idleRecoveryInterval {
		e.limit, e.recoveryStart = 2*e.limit, e.recoveryStart.Add(idleRecoveryInterval)
	}
	return min(e.limit, maxIdleLimit)
}

// recordLoss lowers the limit after the loss of a connection that had been idle
// for the given time.
func (e *idleEstimate) recordLoss(idle time.Duration, now time.Time) {
	if idle < minIdleLimit {
		return
	}
	e.limit, e.recoveryStart = min(e.currentLimit(now), max(minIdleLimit, time.Duration(idleLimitFactorAfterLoss*float64(idle)))), now
}
