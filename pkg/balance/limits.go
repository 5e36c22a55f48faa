package balance

import "time"

const (
	// maxColdSenders is the maximum number of instances that send to a cold
	// upstream.
	maxColdSenders = 4
	// coldRateFraction is the fraction of a cold upstream's rate limit that all
	// instances together use.
	coldRateFraction = 0.85
	// connectionFraction is the fraction of an upstream's connection limit that all
	// instances together use.
	connectionFraction = 0.9
)

// coldRate returns the maximum number of requests per second that this instance sends to
// a cold upstream.
func (b *Balancer) coldRate(u *upstream, now time.Time) float64 {
	return b.share(sharedLimit{total: coldRateFraction * b.pool(u.Service).config.MaxColdRequestRate, upstream: u, maxHolders: maxColdSenders}, now)
}

// maxConnections returns the maximum number of connections that this instance may
// open to an upstream, at least 1, or 0 if there is no limit. Before it knows the others
// that share the limit, it opens no more than the upstream has slots.
func (b *Balancer) maxConnections(u *upstream) int {
	limit := b.pool(u.Service).config.MaxConnections
	if limit <= 0 {
		return 0
	}
	share := b.share(sharedLimit{total: connectionFraction * float64(limit), whileUnknown: float64(u.Slots)}, b.config.Now())
	return max(1, int(share))
}

// rateAllows reports whether the rate at which this instance may send to an upstream
// allows a request now.
func (b *Balancer) rateAllows(u *upstream, now time.Time) bool {
	l := b.sendLimit(u, now)
	if !l.limited {
		return true
	}
	if l.rate <= 0 {
		return false
	}
	if b.addressOnlyCount > 0 && now.Sub(u.nextSend) > l.interval() {
		// Instances that do not know each other may all have a share, and must not all
		// send their first request at once.
		u.nextSend = now.Add(time.Duration(b.config.Random() * float64(l.interval())))
	}
	return !now.Before(u.nextSend.Add(-time.Duration(l.burst-1) * l.interval()))
}

// scheduleNextSend sets the earliest time at which this instance may send the next
// request to an upstream with a limited rate.
func (b *Balancer) scheduleNextSend(u *upstream, now time.Time) {
	if l := b.sendLimit(u, now); l.limited && l.rate > 0 {
		if u.nextSend.Before(now) {
			u.nextSend = now
		}
		u.nextSend = u.nextSend.Add(l.interval())
	}
}

// sendLimit limits the requests that this instance sends to an upstream: rate per second,
// of which burst may be sent at once after a quiet time.
type sendLimit struct {
	limited bool
	rate    float64
	burst   int
}

// interval returns the mean time between two requests; the rate must be positive.
func (l sendLimit) interval() time.Duration {
	return time.Duration(float64(time.Second) / l.rate)
}

// sendLimit returns the limit for an upstream: the lower one of the cold rate and of the
// rate that the upstream states.
func (b *Balancer) sendLimit(u *upstream, now time.Time) sendLimit {
	stated, limited := b.statedRate(u, now)
	l := sendLimit{limited: limited, rate: stated, burst: statedLimitBurst}
	if now.Before(u.coldUntil) {
		l = sendLimit{limited: true, rate: b.coldRate(u, now), burst: 1}
		if limited {
			l.rate = min(l.rate, stated)
		}
	}
	return l
}
