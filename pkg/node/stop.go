package node

import (
	"context"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/event"
)

const (
	// lookupTTL is the life of a look-up answer.
	lookupTTL = 2 * time.Second
	// exitMargin is left before the kill for the end of the process.
	exitMargin = 400 * time.Millisecond
	// acceptPart is the part of the grace during which a leaving instance takes
	// new connections: some callers keep look-up answers for longer.
	acceptPart = 0.6
	// latestStart is the time after the stop signal from which on a leaving
	// instance takes only requests that end before it stops.
	latestStart = 2500 * time.Millisecond
)

// stop leaves: look-ups of all instances drop this one, callers are told to
// connect elsewhere, and the requests in flight are answered.
func (n *Node) stop(l *listeners) {
	now := n.opt.Now()
	grace := n.settings.Bounds.Grace
	end := now.Add(grace - exitMargin)
	n.leavesAt.Store(now.UnixNano())
	n.stopAt.Store(end.UnixNano())
	event.Log(n.logger, event.ProcessStopping, "grace_ms", grace.Milliseconds(), "in_flight", n.ingress.Active(), "connections", n.ingress.Connections())
	n.ingress.Drain()
	n.mesh.Announce()
	time.Sleep(time.Duration(acceptPart * float64(grace)))
	// A listener that fails to close ends with the process.
	_ = l.callers.Close()
	ctx, cancel := context.WithTimeout(context.Background(), end.Sub(n.opt.Now()))
	defer cancel()
	n.ingress.Close(ctx)
	event.Log(n.logger, event.ProcessStopped, "in_flight", n.ingress.Active(), "took_ms", n.opt.Now().Sub(now).Milliseconds())
}
