package balance

import (
	"slices"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/event"
)

// CheckTarget is an upstream that this instance sends requests to at the full rate.
type CheckTarget struct {
	ID          string
	Address     string
	StartUnixMS int64
	// HealthPath is the path of its health check.
	HealthPath string
}

// UpstreamsToCheck returns at most limit upstreams that got a request of this instance within
// the given time and count as warm: those whose last check is longest ago first. It records
// them as checked.
func (b *Balancer) UpstreamsToCheck(within time.Duration, limit int) []CheckTarget {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.config.Now()
	var due []*upstream
	for _, u := range b.upstreams {
		if now.Sub(u.lastLeaseAt) <= within && u.usable(now) && !now.Before(u.coldUntil) && b.pool(u.Service).config.HealthPath != "" {
			due = append(due, u)
		}
	}
	slices.SortFunc(due, func(a, b *upstream) int { return a.lastCheckAt.Compare(b.lastCheckAt) })
	list := make([]CheckTarget, 0, limit)
	for _, u := range due[:min(limit, len(due))] {
		u.lastCheckAt = now
		list = append(list, CheckTarget{ID: u.ID, Address: u.Address, StartUnixMS: u.StartUnixMS, HealthPath: b.pool(u.Service).config.HealthPath})
	}
	return list
}

// SetColdRemaining records the rest of the warm-up that an upstream has stated in a health
// check.
func (b *Balancer) SetColdRemaining(t CheckTarget, remaining time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.upstreams[t.ID]
	if u == nil || u.StartUnixMS != t.StartUnixMS || u.Address != t.Address || remaining <= 0 {
		return
	}
	now := b.config.Now()
	if !now.Before(u.coldUntil) {
		event.Log(b.config.Logger, event.UpstreamSaidCold, "upstream", u.ID, "service", u.Service, "domain", u.Domain, "cold_ms", remaining.Milliseconds())
	}
	u.markCold(now.Add(remaining + coldReportMargin))
}
