package balance

import (
	"sort"
	"time"
)

const (
	// coldSenders is the number of instances that share a cold upstream.
	maxColdSenders = 4
	// coldPart is the part of a cold upstream's rate that is used.
	coldRateFraction = 0.85
	// spillPart is the part of the requests that may leave the region that the
	// shares chose.
	spillFraction = 0.03
	// connectionPart is the part of the connections of an upstream that is used.
	connectionFraction = 0.9
)

// coldAllowed tells whether this instance may send to a cold upstream now. The
// rate is divided among a few instances of the upstream's region, which all
// instances know from the list of live ones.
func (b *Balancer) coldAllowed(u *upstream, now time.Time) bool {
	return b.coldRate(u) > 0 && !now.Before(u.nextColdSend)
}

func (b *Balancer) scheduleNextCold(u *upstream, now time.Time) {
	if r := b.coldRate(u); r > 0 {
		u.nextColdSend = now.Add(time.Duration(float64(time.Second) / r))
	}
}

// coldRate returns the requests per second that this instance may send to a
// cold upstream.
func (b *Balancer) coldRate(u *upstream) float64 {
	senders := make([]uint32, 0, len(b.instances))
	own := hash(b.config.Instance, u.ID)
	for _, local := range []bool{true, false} {
		for _, i := range b.instances {
			if !local || i.Region == u.region {
				senders = append(senders, hash(i.ID, u.ID))
			}
		}
		if len(senders) > 0 {
			break
		}
	}
	sort.Slice(senders, func(i, j int) bool { return senders[i] < senders[j] })
	// Those that are known by address only may be senders too.
	senderCount := float64(min(maxColdSenders, len(senders)+b.addressOnly))
	senders = senders[:min(maxColdSenders, len(senders))]
	for _, h := range senders {
		if h == own {
			return coldRateFraction * b.pool(u.Service).config.ColdRate / senderCount
		}
	}
	return 0
}

// maxConnections returns the part of the connections of an upstream that this
// instance may have open, 0 if there is no bound. Every instance may have one.
func (b *Balancer) maxConnections(u *upstream) int {
	limit := b.pool(u.Service).config.MaxConnections
	if limit <= 0 {
		return 0
	}
	return max(1, int(connectionFraction*float64(limit)/float64(b.instanceCount())))
}

// spillLimit bounds the requests that leave their region.
type spillLimiter struct{ tokens float64 }

// earn adds the credit of one request.
func (s *spillLimiter) refill() { s.tokens = min(1.5, s.tokens+spillFraction) }

func (s *spillLimiter) allow() bool { return s.tokens >= 1 }

func (s *spillLimiter) take() { s.tokens-- }
