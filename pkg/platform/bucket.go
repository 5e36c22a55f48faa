package platform

import (
	"sync"
	"time"
)

// bucket is a token bucket: it admits rate calls per second with a burst.
type bucket struct {
	mu     sync.Mutex
	rate   float64
	burst  float64
	tokens float64
	last   time.Time
}

func newBucket(rate, burst float64, now time.Time) *bucket {
	return &bucket{rate: rate, burst: burst, tokens: burst, last: now}
}

// reserve takes a token and returns how long the caller must wait for it. It
// takes nothing and reports false when the wait would exceed limit.
func (b *bucket) reserve(now time.Time, limit time.Duration) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	wait := time.Duration(0)
	if b.tokens < 1 {
		wait = time.Duration((1 - b.tokens) / b.rate * float64(time.Second))
	}
	if wait > limit {
		return 0, false
	}
	b.tokens--
	return wait, true
}

func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.last).Seconds(); elapsed > 0 {
		b.tokens = min(b.burst, b.tokens+elapsed*b.rate)
	}
	b.last = now
}

// drain leaves at most keep tokens, so that calls after an outage start near
// the sustained rate and without a burst.
func (b *bucket) drain(now time.Time, keep float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = min(b.tokens, keep)
}

func (b *bucket) setRate(now time.Time, rate float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.rate = rate
}
