package policy

import (
	"context"
	"slices"
	"time"
)

// regionKey names the requests of a service in a region.
type regionKey struct{ service, region string }

// usage is the own use of the limit on a service in a region.
type usage struct {
	running int
	// waiting holds the requests that wait, the oldest first; a closed channel
	// hands over the place of a request that ended.
	waiting []chan struct{}
}

// waitersPerPlace bounds the requests that wait at a limit: a place that is
// used for a short time serves a few of them while they wait.
const waitersPerPlace = 4

// enter counts a request against the instance's part of the limit. At the limit
// it waits for up to hold, unless too many others wait.
func (p *Policy) enter(ctx context.Context, key regionKey, hold time.Duration) bool {
	p.mu.Lock()
	u, part := p.usage(key), p.partOf(key)
	if part < 0 || u.running < part {
		u.running++
		p.mu.Unlock()
		return true
	}
	if hold <= 0 || len(u.waiting) >= waitersPerPlace*max(1, part) {
		p.mu.Unlock()
		return false
	}
	turn := make(chan struct{})
	u.waiting = append(u.waiting, turn)
	p.mu.Unlock()
	t := time.NewTimer(hold)
	defer t.Stop()
	select {
	case <-turn:
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := slices.Index(u.waiting, turn); n >= 0 {
		u.waiting = slices.Delete(u.waiting, n, n+1)
		return false
	}
	// The place was handed over at the same moment.
	return true
}

// leave gives the place of a request to the one that waits longest, if the
// part has not shrunk meanwhile.
func (p *Policy) leave(key regionKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u, part := p.usage(key), p.partOf(key)
	if len(u.waiting) > 0 && (part < 0 || u.running <= part) {
		close(u.waiting[0])
		u.waiting = u.waiting[1:]
		return
	}
	u.running--
}

// usage returns the use of a limit; the caller holds the lock.
func (p *Policy) usage(key regionKey) *usage {
	u := p.used[key]
	if u == nil {
		u = &usage{}
		p.used[key] = u
	}
	return u
}

// partOf returns the own part of a limit on all instances together, or -1 if
// there is no limit; the caller holds the lock.
func (p *Policy) partOf(key regionKey) int {
	limit := p.description.Services[key.service].Regions[key.region].MaxConcurrent
	if limit <= 0 {
		return -1
	}
	rank, n := p.config.Rank()
	part := limit / max(1, n)
	if rank < limit%max(1, n) {
		part++
	}
	return part
}
