package policy

import (
	"context"
	"slices"
	"time"
)

// serviceRegion identifies a service in a region.
type serviceRegion struct{ service, region string }

// usage is this instance's use of the concurrency limit of a service in a
// region.
type usage struct {
	inFlight int
	// waiters holds the queued requests, oldest first. Closing a channel hands
	// the permit of a finished request to that waiter.
	waiters []chan struct{}
}

// maxWaitersPerPermit is the maximum number of queued requests per permit. It is
// greater than 1 because a permit that is held only briefly serves several queued
// requests before they time out.
const maxWaitersPerPermit = 4

// acquire takes a permit from this instance's quota and reports whether it got
// one. If none is free, it waits for up to maxWait, unless the queue is full.
func (p *Policy) acquire(ctx context.Context, key serviceRegion, maxWait time.Duration) bool {
	p.mu.Lock()
	u, quota := p.usage(key), p.localQuota(key)
	if quota < 0 || u.inFlight < quota {
		u.inFlight++
		p.mu.Unlock()
		return true
	}
	if maxWait <= 0 || len(u.waiters) >= maxWaitersPerPermit*max(1, quota) {
		p.mu.Unlock()
		return false
	}
	granted := make(chan struct{})
	u.waiters = append(u.waiters, granted)
	p.mu.Unlock()
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-granted:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := slices.Index(u.waiters, granted); n >= 0 {
		u.waiters = slices.Delete(u.waiters, n, n+1)
		return false
	}
	// The permit was handed over while the timer fired or ctx ended.
	return true
}

// release hands the permit to the longest-waiting request. If no request waits,
// or the quota has shrunk below the number of requests in flight, it only reduces
// that number.
func (p *Policy) release(key serviceRegion) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u, quota := p.usage(key), p.localQuota(key)
	if len(u.waiters) > 0 && (quota < 0 || u.inFlight <= quota) {
		close(u.waiters[0])
		u.waiters = u.waiters[1:]
		return
	}
	u.inFlight--
}

// usage returns this instance's use of a concurrency limit and creates the entry
// if there is none. The caller must hold p.mu.
func (p *Policy) usage(key serviceRegion) *usage {
	u := p.usages[key]
	if u == nil {
		u = &usage{}
		p.usages[key] = u
	}
	return u
}

// localQuota returns this instance's portion of a concurrency limit, or -1 if
// there is no limit. The portions of all instances add up to the limit. The
// caller must hold p.mu.
func (p *Policy) localQuota(key serviceRegion) int {
	maxConcurrent := p.description.Services[key.service].Regions[key.region].MaxConcurrent
	if maxConcurrent == nil || *maxConcurrent <= 0 {
		return -1
	}
	limit := *maxConcurrent
	rank, n := p.config.Rank()
	quota := limit / max(1, n)
	if rank < limit%max(1, n) {
		quota++
	}
	return quota
}

// HasConcurrencyLimits reports whether the description in force limits the concurrent
// requests to a service in a region.
func (p *Policy) HasConcurrencyLimits() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, service := range p.description.Services {
		for _, placement := range service.Regions {
			if placement.MaxConcurrent != nil && *placement.MaxConcurrent > 0 {
				return true
			}
		}
	}
	return false
}
