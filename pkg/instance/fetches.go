package instance

import (
	"sync"
	"time"
)

const (
	// maxFetches is the maximum number of transfers from peers at the same time. A second one
	// begins only while the first makes no progress: two would share the link of this
	// instance for the same state.
	maxFetches = 2
	// noProgressTime is the time without progress after which a second transfer may begin.
	noProgressTime = 300 * time.Millisecond
	// minFetchBackoff and maxFetchBackoff bound the time for which a peer is not asked after
	// it failed to answer.
	minFetchBackoff = 250 * time.Millisecond
	maxFetchBackoff = 2 * time.Second
)

// fetches decides which peers may be asked for their state.
type fetches struct {
	now func() time.Time

	mu sync.Mutex
	// progress holds the time of the last progress of each running transfer, by peer.
	progress map[string]time.Time
	// failures holds the peers whose last transfer failed.
	failures map[string]fetchFailure
}

// fetchFailure is the state of a peer that failed to answer.
type fetchFailure struct {
	backoff time.Duration
	retryAt time.Time
}

func newFetches(now func() time.Time) *fetches {
	return &fetches{now: now, progress: make(map[string]time.Time), failures: make(map[string]fetchFailure)}
}

// begin reports whether a transfer from a peer may begin now. If so, end must be called.
func (f *fetches) begin(peer string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if _, running := f.progress[peer]; running || len(f.progress) >= maxFetches || now.Before(f.failures[peer].retryAt) {
		return false
	}
	for _, at := range f.progress {
		if now.Sub(at) < noProgressTime {
			return false
		}
	}
	f.progress[peer] = now
	return true
}

// advance records progress of a running transfer.
func (f *fetches) advance(peer string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, running := f.progress[peer]; running {
		f.progress[peer] = f.now()
	}
}

// end records the end of a transfer.
func (f *fetches) end(peer string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.progress, peer)
	if err == nil {
		delete(f.failures, peer)
		return
	}
	now := f.now()
	for id, failure := range f.failures {
		if now.Sub(failure.retryAt) > maxFetchBackoff {
			delete(f.failures, id)
		}
	}
	backoff := min(max(2*f.failures[peer].backoff, minFetchBackoff), maxFetchBackoff)
	f.failures[peer] = fetchFailure{backoff: backoff, retryAt: now.Add(backoff)}
}
