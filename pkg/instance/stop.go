package instance

import (
	"context"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/event"
)

const (
	// lookupTTL is the life of a look-up answer.
	defaultLookupTTL = 2 * time.Second
	// exitMargin is left before the kill for the end of the process.
	exitMargin = 700 * time.Millisecond
	// acceptPart is the part of the grace during which a leaving instance takes
	// new connections: some callers keep look-up answers for longer.
	acceptFraction = 0.6
	// latestStart is the time after the stop signal from which on a leaving
	// instance takes only requests that end before it stops.
	admitAllTime = 2500 * time.Millisecond
)

// departure holds when a leaving instance was told to stop and when it ends.
// Both keep the monotonic clock, because the time of day may jump meanwhile.
type shutdownTimes struct{ started, deadline time.Time }

// stop leaves: look-ups of all instances drop this one, callers are told to
// connect elsewhere, and the requests in flight are answered.
func (i *Instance) stop(l *listeners) {
	now := i.opt.Now()
	grace := i.bounds.Load().GracePeriod
	deadline := now.Add(grace - exitMargin)
	i.shutdown.Store(&shutdownTimes{started: now, deadline: deadline})
	event.Log(i.logger, event.ProcessStopping, "grace_ms", grace.Milliseconds(), "in_flight", i.ingress.InFlight(), "connections", i.ingress.Connections())
	i.ingress.Drain()
	i.mesh.Announce()
	time.Sleep(time.Duration(acceptFraction * float64(grace)))
	// A listener that fails to close ends with the process.
	_ = l.callers.Close()
	ctx, cancel := context.WithTimeout(context.Background(), deadline.Sub(i.opt.Now()))
	defer cancel()
	i.ingress.Close(ctx)
	event.Log(i.logger, event.ProcessStopped, "in_flight", i.ingress.InFlight(), "took_ms", i.opt.Now().Sub(now).Milliseconds())
}
