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
	// maxExitMargin is the time before the end of the grace period that is reserved for the
	// process to exit before it is killed, and exitMarginFraction limits it to a fraction of
	// a short grace period: requests that are still in flight then are cut off, which is
	// allowed in the last sixth only.
	maxExitMargin      = 700 * time.Millisecond
	exitMarginFraction = 0.125
	// acceptPeriodFraction is the fraction of the grace period during which a leaving
	// instance accepts new connections, because some callers cache lookup
	// responses for longer than their TTL.
	acceptPeriodFraction = 0.6
	// maxAdmitAllTime is how long after the stop signal a leaving instance admits
	// all requests, and admitAllFraction limits it to a fraction of a short grace period.
	// Later it admits only requests that time out answerMargin before the end of the
	// shutdown, because the others could be cut off then.
	maxAdmitAllTime  = 2500 * time.Millisecond
	admitAllFraction = 0.42
	// answerMargin is the time from the deadline of a request until its caller has the answer,
	// on a machine that is loaded.
	answerMargin = 100 * time.Millisecond
)

// shutdownTimes holds when a leaving instance was told to stop, until when it admits all
// requests and by when it must have finished. They keep their monotonic reading, because the
// wall clock may jump in the meantime.
type shutdownTimes struct{ startedAt, admitAllUntil, deadline time.Time }

func newShutdownTimes(now time.Time, grace time.Duration) *shutdownTimes {
	fraction := func(f float64) time.Duration { return time.Duration(f * float64(grace)) }
	return &shutdownTimes{startedAt: now, admitAllUntil: now.Add(min(maxAdmitAllTime, fraction(admitAllFraction))),
		deadline: now.Add(grace - min(maxExitMargin, fraction(exitMarginFraction)))}
}

// stop shuts down gracefully: lookups on all instances omit this one, callers
// are told to reconnect elsewhere, and requests in flight are completed.
func (i *Instance) stop(l *listeners) {
	now := i.opt.Now()
	grace := i.bounds.Load().ShutdownGracePeriod
	times := newShutdownTimes(now, grace)
	i.shutdown.Store(times)
	event.Log(i.logger, event.ProcessStopping, "grace_ms", grace.Milliseconds(), "in_flight", i.ingress.InFlight(), "connections", i.ingress.Connections())
	i.ingress.Drain()
	i.mesh.Announce()
	time.Sleep(time.Duration(acceptPeriodFraction * float64(grace)))
	// A listener that fails to close is closed when the process exits.
	_ = l.callers.Close()
	ctx, cancel := context.WithTimeout(context.Background(), times.deadline.Sub(i.opt.Now()))
	defer cancel()
	i.ingress.Close(ctx)
	event.Log(i.logger, event.ProcessStopped, "in_flight", i.ingress.InFlight(), "took_ms", i.opt.Now().Sub(now).Milliseconds())
}
