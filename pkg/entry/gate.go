package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

const (
	tickInterval = 100 * time.Millisecond
	// pauseLimit is the gap between two ticks that counts as a pause.
	pauseLimit = time.Second
	// detachAfter is the time without a snapshot after which peers no longer
	// see this instance's heartbeats.
	detachAfter = 3 * time.Second
	// freshSnapshots is how many snapshots end the stale state. The first one
	// after a pause may have been built before it; the agent sends the next
	// one only after the answer to the first.
	freshSnapshots = 2
)

// gate decides whether the entry accepts new requests.
type gate struct {
	origin time.Time
	// lastTick and lastSnapshot count nanoseconds since origin, on the
	// monotonic clock.
	lastTick     atomic.Int64
	lastSnapshot atomic.Int64
	// staleFor counts the snapshots still needed after a pause.
	staleFor atomic.Int32
	// pausedAt is the last tick before the pause.
	pausedAt atomic.Int64
	// releaseAt is when the pools are released after the instance has lost its
	// agent or started to leave, in nanoseconds since origin; 0 means never,
	// and -1 that they have been released.
	releaseAt atomic.Int64
	detached  atomic.Bool
	leaving   atomic.Bool
	stopped   atomic.Bool
}

func (g *gate) start(now time.Time) {
	g.origin = now
}

// since returns the nanoseconds from origin to now.
func (g *gate) since(now time.Time) int64 { return int64(now.Sub(g.origin)) }

// noticePause puts the gate into the stale state if no tick came for
// pauseLimit. Requests check it too, because after a pause they may run before
// the ticker does.
func (g *gate) noticePause(now time.Time) (paused time.Duration) {
	at := g.since(now)
	last := g.lastTick.Load()
	if at-last <= int64(pauseLimit) || !g.lastTick.CompareAndSwap(last, at) {
		return 0
	}
	if g.staleFor.Load() == 0 {
		g.pausedAt.Store(last)
	}
	g.staleFor.Store(freshSnapshots)
	return time.Duration(at - last)
}

// snapshot counts an accepted snapshot and tells whether it ended the stale
// state.
func (g *gate) snapshot(now time.Time) (resumed bool) {
	g.lastSnapshot.Store(g.since(now))
	n := g.staleFor.Load()
	return n > 0 && g.staleFor.CompareAndSwap(n, n-1) && n == 1
}

// Run moves the entry's clock until ctx ends.
func (e *Entry) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.Tick(e.opt.Now())
			e.metrics.gone.Inc(int64(e.callers.check()))
		}
	}
}

// Tick moves the shares and notices pauses and a silent agent. Run calls it
// every tickInterval.
func (e *Entry) Tick(now time.Time) {
	e.checkPause(now)
	e.gate.lastTick.Store(e.gate.since(now))
	if e.gate.staleFor.Load() == 0 {
		// The time of a stale state counts once, when the state ends.
		e.routes.Step(now)
	}
	if e.avoid.expire(now) {
		e.refreshView()
	}
	if e.gate.releaseDue(now) {
		e.refreshView()
	}
	detached := e.gate.since(now)-e.gate.lastSnapshot.Load() > int64(detachAfter)
	if detached == e.gate.detached.Load() || e.view.Load() == nil {
		return
	}
	e.setDetached(detached)
}

// checkPause gives up the pools and waits for fresh snapshots after a pause.
func (e *Entry) checkPause(now time.Time) {
	paused := e.gate.noticePause(now)
	if paused == 0 {
		return
	}
	// Requests that wait in a queue must not go to upstreams that may have left
	// during the pause. Without its pools the instance refuses them.
	e.opt.Admission.Update(nil)
	e.metrics.pauses.Inc(1)
	event.Log(e.opt.Logger, event.EntryResumed, "paused_ms", paused.Milliseconds())
}

// scheduleRelease makes the instance release its pools after spreadTime. Until
// then other instances may not know that they own them; two owners at a time do
// no harm.
func (g *gate) scheduleRelease(now time.Time) {
	g.releaseAt.CompareAndSwap(0, g.since(now)+int64(spreadTime))
}

// keepsPools tells whether a release is scheduled and its time has not come.
func (g *gate) keepsPools(now time.Time) bool { return g.releaseAt.Load() > g.since(now) }

// releaseDue returns true once, when the scheduled time has come.
func (g *gate) releaseDue(now time.Time) bool {
	at := g.releaseAt.Load()
	return at > 0 && at <= g.since(now) && g.releaseAt.CompareAndSwap(at, -1)
}

// cancelRelease keeps the pools unless the instance leaves for good.
func (g *gate) cancelRelease() {
	if !g.leaving.Load() {
		g.releaseAt.Store(0)
	}
}

// setDetached changes the detached state and re-ranks the owners of the pools.
func (e *Entry) setDetached(detached bool) {
	e.gate.detached.Store(detached)
	id := event.EntryAttached
	if detached {
		id = event.EntryDetached
		e.gate.scheduleRelease(e.opt.Now())
	}
	event.Log(e.opt.Logger, id)
	e.refreshView()
}

// refreshView rebuilds the view after a change that no snapshot brought.
func (e *Entry) refreshView() {
	e.applyMu.Lock()
	defer e.applyMu.Unlock()
	if e.description != nil {
		e.rebuildView()
	}
}

// avoidPeer makes this instance pass over a peer that it could not reach. In the
// own domain this may change the owner of a pool at once.
func (e *Entry) avoidPeer(m cluster.Member) {
	if e.avoid.add(m.ID, e.opt.Now()) && m.Domain == e.opt.Domain {
		e.refreshView()
	}
}

// admit returns the view for a new request or the reason to refuse it.
func (e *Entry) admit() (*view, error) {
	e.checkPause(e.opt.Now())
	v := e.view.Load()
	switch {
	case e.gate.stopped.Load():
		return nil, result.New(result.Stopping, "instance %s has drained", e.opt.Instance)
	case e.gate.staleFor.Load() > 0:
		return nil, result.New(result.StaleSnapshot, "instance %s waits for a snapshot", e.opt.Instance)
	case v == nil:
		return nil, result.New(result.NoConfiguration, "no version has arrived")
	}
	return v, nil
}
