package bench

import (
	"sync"
	"syscall"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/load"
)

// requestResult is the outcome of one request of a plan.
type requestResult struct {
	plannedRequest
	load.Record
}

func (o *requestResult) latency() time.Duration { return time.Duration(o.LatencyUS) * time.Microsecond }

// run sends the requests of a plan at their times and returns what happened.
// action runs beside the requests and gets the start time.
func (f *fleet) run(requests []plannedRequest, deadline time.Duration, action func(start time.Time)) []requestResult {
	outcomes := make([]requestResult, len(requests))
	start := time.Now().Add(20 * time.Millisecond)
	var group sync.WaitGroup
	if action != nil {
		group.Go(func() { action(start) })
	}
	for i := range requests {
		at := start.Add(requests[i].At)
		sleepUntil(at)
		group.Go(func() { outcomes[i] = requestResult{requests[i], f.send(requests[i], at, deadline)} })
	}
	group.Wait()
	return outcomes
}

// sleepUntil uses the system call because the timers of the runtime have a
// resolution of 1 ms when the process is idle.
func sleepUntil(at time.Time) {
	for wait := time.Until(at); wait > 0; wait = time.Until(at) {
		t := syscall.NsecToTimespec(int64(wait))
		_ = syscall.Nanosleep(&t, nil)
	}
}
