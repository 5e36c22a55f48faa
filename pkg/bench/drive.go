package bench

import (
	"sync"
	"syscall"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/load"
)

// requestResult is a planned request with its outcome.
type requestResult struct {
	benchRequest
	load.Record
}

func (res *requestResult) latency() time.Duration {
	return time.Duration(res.LatencyUS) * time.Microsecond
}

// sendAll sends the requests of a plan at their planned times and returns their
// results. If action is not nil, it runs concurrently and receives the start time.
func (f *fleet) sendAll(requests []benchRequest, timeout time.Duration, action func(start time.Time)) []requestResult {
	results := make([]requestResult, len(requests))
	start := time.Now().Add(20 * time.Millisecond)
	var waitGroup sync.WaitGroup
	if action != nil {
		waitGroup.Go(func() { action(start) })
	}
	for i := range requests {
		at := start.Add(requests[i].SendOffset)
		sleepUntil(at)
		waitGroup.Go(func() { results[i] = requestResult{requests[i], f.send(requests[i], at, timeout)} })
	}
	waitGroup.Wait()
	return results
}

// sleepUntil uses the nanosleep system call because runtime timers have a
// resolution of only 1 ms when the process is idle.
func sleepUntil(at time.Time) {
	for wait := time.Until(at); wait > 0; wait = time.Until(at) {
		t := syscall.NsecToTimespec(int64(wait))
		_ = syscall.Nanosleep(&t, nil)
	}
}
