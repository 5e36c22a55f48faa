package balance

import "time"

const (
	// retryPart is the part of the retry bounds that is used, because the
	// instances do not count at the same moment.
	retryFraction = 0.7
	// windowSlots divides the retry window.
	windowBuckets = 10
)

// retryBudget counts requests and repeats of one service in a sliding window.
type retryBudget struct {
	buckets     [windowBuckets]struct{ requests, retryCount int }
	head        int
	bucketStart time.Time
	// denied counts repeats that were not allowed.
	denied int
}

func (w *retryBudget) advance(now time.Time, window time.Duration) {
	step := window / windowBuckets
	if w.bucketStart.IsZero() || now.Sub(w.bucketStart) > 2*window {
		*w = retryBudget{bucketStart: now, denied: w.denied}
	}
	for now.Sub(w.bucketStart) >= step {
		w.head = (w.head + 1) % windowBuckets
		w.buckets[w.head].requests, w.buckets[w.head].retryCount = 0, 0
		w.bucketStart = w.bucketStart.Add(step)
	}
}

func (w *retryBudget) recordRequest() {
	w.buckets[w.head].requests++
}

// AllowRetry takes one repeat from the budget of a service; false tells that
// the request must not be sent again.
func (b *Balancer) AllowRetry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := &b.pool(service).retries
	state := b.retryState(w)
	if float64(state.Used+1) > state.Allowed {
		w.denied++
		return false
	}
	w.buckets[w.head].retryCount++
	return true
}

// RetryBudget is the state of the own part of a service's repeats.
type RetryBudget struct {
	// Used and Allowed count the repeats of the current window.
	Used    int
	Allowed float64
	// Denied counts the repeats that were not allowed since the start.
	Denied int
}

// RetryBudgets returns the budgets of all services.
func (b *Balancer) RetryBudgets() map[string]RetryBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budgets := make(map[string]RetryBudget, len(b.pools))
	for name, p := range b.pools {
		budgets[name] = b.retryState(&p.retries)
	}
	return budgets
}

func (b *Balancer) retryState(w *retryBudget) RetryBudget {
	bounds := b.config.Bounds
	w.advance(b.config.Now(), bounds.RetryWindow)
	requests, retryCount := 0, 0
	for _, s := range w.buckets {
		requests += s.requests
		retryCount += s.retryCount
	}
	allowed := retryFraction * (bounds.RetryRatio*float64(requests) + bounds.RetrySlack/float64(b.instanceCount()))
	return RetryBudget{Used: retryCount, Allowed: allowed, Denied: w.denied}
}
