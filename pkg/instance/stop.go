package instance

import (
	"context"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/event"
)

const (
	// defaultLookupTTL is the TTL of a lookup response unless the settings or
	// the description set a shorter one.
	defaultLookupTTL = 2 * time.Second
	// exitMargin is the part of the grace period that is reserved for the process
	// to exit before it is killed.
	exitMargin = 700 * time.Millisecond
	// acceptPeriodFraction is the fraction of the grace period during which a leaving
	// instance accepts new connections, because some callers cache lookup
	// responses for longer than their TTL.
	acceptPeriodFraction = 0.6
	// admitAllTime is how long after the stop signal a leaving instance admits
	// all requests. Later it admits only requests that time out before the end
	// of the shutdown.
	admitAllTime = 2500 * time.Millisecond
)

// shutdownTimes holds when a leaving instance was told to stop and by when it
// must have finished. Both keep their monotonic reading, because the wall clock
// may jump in the meantime.
type shutdownTimes struct{ startedAt, deadline time.Time }

// stop shuts down gracefully: lookups on all instances omit this one, callers
// are told to reconnect elsewhere, and requests in flight are completed.
func (i *Instance) stop(l *listeners) {
	now := i.opt.Now()
	grace := i.bounds.Load().ShutdownGracePeriod
	deadline := now.Add(grace - exitMargin)
	i.shutdown.Store(&shutdownTimes{startedAt: now, deadline: deadline})
	event.Log(i.logger, event.ProcessStopping, "grace_ms", grace.Milliseconds(), "in_flight", i.ingress.InFlight(), "connections", i.ingress.Connections())
	i.ingress.Drain()
	i.mesh.Announce()
	time.Sleep(time.Duration(acceptPeriodFraction * float64(grace)))
	// A listener that fails to close is closed when the process exits.
	_ = l.callers.Close()
	ctx, cancel := context.WithTimeout(context.Background(), deadline.Sub(i.opt.Now()))
	defer cancel()
	i.ingress.Close(ctx)
	event.Log(i.logger, event.ProcessStopped, "in_flight", i.ingress.InFlight(), "took_ms", i.opt.Now().Sub(now).Milliseconds())
}
