package exchange

import "time"

const (
	// forgottenLoss is the time within which the loss of a request on a kept
	// connection shows that the upstream had forgotten the connection; a later
	// loss has other causes.
	forgottenLoss = 50 * time.Millisecond
	// minForgotten is the shortest idle time that an upstream is assumed to
	// forget a connection after.
	minForgotten = 100 * time.Millisecond
	// forgottenPart is the part of the idle time at a loss that is still used.
	forgottenPart = 0.7
	// idleRecovery is the time without a loss in which a bound doubles.
	idleRecovery = 15 * time.Second
	// nearRoundTrip and farRoundTrip bound the way to an upstream and back.
	nearRoundTrip = 10 * time.Millisecond
	farRoundTrip  = 250 * time.Millisecond
)

func roundTrip(t Target) time.Duration {
	if t.SameRegion {
		return nearRoundTrip
	}
	return farRoundTrip
}

// idleBound is the idle time after which the upstreams of a service may have
// forgotten a connection without notice. It is learned from losses.
type idleBound struct {
	limit time.Duration
	since time.Time
}

// at returns the bound at a time.
func (b *idleBound) at(now time.Time) time.Duration {
	for b.limit < idleLimit && now.Sub(b.since) >= idleRecovery {
		b.limit, b.since = 2*b.limit, b.since.Add(idleRecovery)
	}
	return min(b.limit, idleLimit)
}

// lost notes that a connection was lost that had been idle for some time.
func (b *idleBound) lost(idle time.Duration, now time.Time) {
	if idle < minForgotten {
		return
	}
	b.limit, b.since = min(b.at(now), max(minForgotten, time.Duration(forgottenPart*float64(idle)))), now
}
