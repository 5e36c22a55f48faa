package entry

import (
	"context"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/event"
)

const (
	// spreadTime is how long other instances may still list this one after it
	// starts to leave: two heartbeat intervals and a snapshot.
	spreadTime = 1500 * time.Millisecond
	// drainCheck is the interval at which a drain looks for requests in flight.
	drainCheck = 20 * time.Millisecond
)

// Leave marks the instance as leaving: look-ups drop it and, after spreadTime,
// its pools go to other instances, while it keeps serving.
func (e *Entry) Leave() {
	if !e.gate.leaving.CompareAndSwap(false, true) {
		return
	}
	e.gate.scheduleRelease(e.opt.Now())
	close(e.left)
	event.Log(e.opt.Logger, event.ProcessStopping)
	e.refreshView()
}

// drainTimes returns how long callers may use cached look-up answers that name
// this instance, and how long the longest request may run after that.
func (e *Entry) drainTimes() (cached, longest time.Duration) {
	v := e.view.Load()
	if v == nil {
		return 0, 0
	}
	for _, svc := range v.description.Services {
		longest = max(longest, svc.MaxRequest())
	}
	return v.description.Lookup.TTL() + spreadTime, longest
}

// Drain leaves, serves until no caller uses a cached answer any more, and then
// waits for the requests in flight. DrainGrace bounds both waits.
func (e *Entry) Drain(ctx context.Context) {
	e.Leave()
	cached, longest := e.drainTimes()
	grace := e.opt.DrainGrace
	sleep(ctx, min(cached, grace))
	e.gate.stopped.Store(true)
	end := time.Now().Add(min(longest, max(grace-cached, 0)))
	for e.inFlight.Load() > 0 && time.Now().Before(end) && ctx.Err() == nil {
		sleep(ctx, drainCheck)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
