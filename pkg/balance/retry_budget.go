package balance

import "time"

const (
	// retryLimitFraction is the fraction of the retry limits that is used. The rest is a
	// margin, because the windows of the instances are not aligned in time.
	retryLimitFraction = 0.7
	// retryWindowBucketCount is the number of buckets of the retry window.
	retryWindowBucketCount = 10
	// startRetries is the number of retries per service that an instance allows before
	// it knows how many others share the budget: few enough for all instances of a
	// restart together, and enough to save the first request that meets a dead upstream.
	startRetries = 1
)

// retryBudget counts requests and retries of one service in a sliding window.
type retryBudget struct {
	buckets [retryWindowBucketCount]struct{ requests, retries int }
	// head is the index of the current bucket, which starts at bucketStart.
	head        int
	bucketStart time.Time
	// denied counts retries that were not allowed.
	denied int
}

// advance moves the window to now and clears the buckets that it enters.
func (w *retryBudget) advance(now time.Time, window time.Duration) {
	step := window / retryWindowBucketCount
	if w.bucketStart.IsZero() || now.Sub(w.bucketStart) > 2*window {
		*w = retryBudget{bucketStart: now, denied: w.denied}
	}
	for now.Sub(w.bucketStart) >= step {
		w.head = (w.head + 1) % retryWindowBucketCount
		w.buckets[w.head].requests, w.buckets[w.head].retries = 0, 0
		w.bucketStart = w.bucketStart.Add(step)
	}
}

// recordRequest counts a first attempt.
func (w *retryBudget) recordRequest() {
	w.buckets[w.head].requests++
}

// AllowRetry reports whether a request to a service may be retried. If so, it counts
// the retry.
func (b *Balancer) AllowRetry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := &b.pool(service).retryBudget
	state := b.retryBudgetState(w)
	if float64(state.Used+1) > state.Limit {
		w.denied++
		return false
	}
	w.buckets[w.head].retries++
	return true
}

// RetryBudget is the state of this instance's share of a service's retry budget.
type RetryBudget struct {
	// Used is the number of retries in the current window, and Limit their maximum.
	Used  int
	Limit float64
	// Denied counts the retries that were not allowed since this instance started.
	Denied int
}

// RetryBudgets returns the retry budgets of all services.
func (b *Balancer) RetryBudgets() map[string]RetryBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budgets := make(map[string]RetryBudget, len(b.pools))
	for name, p := range b.pools {
		budgets[name] = b.retryBudgetState(&p.retryBudget)
	}
	return budgets
}

// retryBudgetState returns the usage and limit of a budget in the current window.
func (b *Balancer) retryBudgetState(w *retryBudget) RetryBudget {
	limits := b.config.GlobalLimits
	now := b.config.Now()
	w.advance(now, limits.RetryWindow)
	requests, retries := 0, 0
	for _, s := range w.buckets {
		requests += s.requests
		retries += s.retries
	}
	ratioLimit := retryLimitFraction * limits.MaxRetryRatio * float64(requests)
	extra := b.share(sharedLimit{total: retryLimitFraction * limits.ExtraRetries, whileUnknown: max(0, startRetries-ratioLimit)}, now)
	return RetryBudget{Used: retries, Limit: ratioLimit + extra, Denied: w.denied}
}
