package instance

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/mesh"
)

const (
	// pauseThreshold is the gap between ticks above which the process counts as
	// having been paused. A shorter pause needs no resync, because changes may
	// take this long to reach even an instance that was not paused.
	pauseThreshold    = time.Second
	pauseTickInterval = 100 * time.Millisecond
	// resumeTimeout is the longest time that requests wait for a peer after a
	// pause. If no peer responds in time, the instance serves with its last known
	// state.
	resumeTimeout = 400 * time.Millisecond
	// maxResumePeers is the maximum number of peers that are asked in parallel.
	// Several are asked because some may have been paused too.
	maxResumePeers = 3
)

// pauseDetector detects that the process was paused, for example by a suspended
// machine, and delays requests until the instance has fetched the changes that
// it missed.
type pauseDetector struct {
	now func() time.Time
	// wall returns the wall-clock time, which unlike the monotonic clock advances
	// while the machine is suspended. Setting the wall clock forward causes only
	// one unneeded resync.
	wall func() time.Time
	// resync returns when the instance has fetched the changes that it missed, or
	// when its context ends.
	resync func(context.Context)

	mu sync.Mutex
	// lastTick and lastTickWall are the monotonic and the wall-clock time of the
	// last tick, zero before the first.
	lastTick, lastTickWall time.Time
	// resumeDone is closed when the resume in progress ends; nil if there is none.
	resumeDone chan struct{}
	// pauseCount is the number of pauses so far.
	pauseCount uint64
}

func newPauseDetector(now, wall func() time.Time, resync func(context.Context)) *pauseDetector {
	return &pauseDetector{now: now, wall: wall, resync: resync}
}

// run ticks until ctx ends.
func (d *pauseDetector) run(ctx context.Context) {
	t := time.NewTicker(pauseTickInterval)
	defer t.Stop()
	for {
		d.tick()
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// tick checks for a pause and records that the process is running.
func (d *pauseDetector) tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.startResyncIfPaused()
	d.lastTick, d.lastTickWall = d.now(), d.wall()
}

// startResyncIfPaused starts a resync if the process was paused. It returns the
// channel that is closed when the resync in progress ends, or nil if there is none.
// mu must be held. Requests also call it, because they may run before the first
// tick after a pause.
func (d *pauseDetector) startResyncIfPaused() <-chan struct{} {
	now, wall := d.now(), d.wall()
	if !d.lastTick.IsZero() && max(now.Sub(d.lastTick), wall.Sub(d.lastTickWall)) > pauseThreshold {
		d.lastTick, d.lastTickWall = now, wall
		d.pauseCount++
		if d.resumeDone == nil {
			d.resumeDone = make(chan struct{})
			go d.resume()
		}
	}
	return d.resumeDone
}

// resume runs resync for at most resumeTimeout and releases the waiting
// requests.
func (d *pauseDetector) resume() {
	ctx, cancel := context.WithTimeout(context.Background(), resumeTimeout)
	defer cancel()
	d.resync(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.resumeDone)
	d.resumeDone = nil
}

// resuming reports whether the process was paused and the instance has not yet
// fetched the changes that it missed.
func (d *pauseDetector) resuming() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.startResyncIfPaused() != nil
}

// wait blocks while the instance is resuming, at most until ctx ends. It returns the number
// of pauses so far; what is decided after it is out of date once that number changes.
func (d *pauseDetector) wait(ctx context.Context) (pauseCount uint64) {
	d.mu.Lock()
	done := d.startResyncIfPaused()
	pauseCount = d.pauseCount
	d.mu.Unlock()
	if done == nil {
		return pauseCount
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
	return pauseCount
}

// pausedSince reports whether the process was paused after wait returned pauseCount.
func (d *pauseDetector) pausedSince(pauseCount uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.startResyncIfPaused()
	return d.pauseCount != pauseCount
}

// syncFromPeers fetches changes from several live peers in parallel. It returns as soon as
// one of them has proven that the tables are current, when all have answered, or when ctx
// ends. What was known before the pause proves nothing.
func (i *Instance) syncFromPeers(ctx context.Context) {
	start := i.opt.Now()
	i.catalog.Invalidate()
	peers := i.mesh.Live()
	// Store watchers have the newest state; peers of the same region respond
	// fastest.
	slices.SortStableFunc(peers, func(a, b mesh.Member) int { return i.syncRank(a) - i.syncRank(b) })
	peers = peers[:min(maxResumePeers, len(peers))]
	answers := make(chan string, len(peers))
	for _, m := range peers {
		go func() {
			if i.fetchAndMerge(ctx, m) != nil {
				answers <- ""
				return
			}
			answers <- m.ID
		}()
	}
	peer, current := "", false
	for n := 0; n < len(peers) && !current && ctx.Err() == nil; n++ {
		select {
		case id := <-answers:
			if id != "" {
				peer, current = id, i.upToDate()
			}
		case <-ctx.Done():
		}
	}
	event.Log(i.logger, event.ProcessResumed, "peer", peer, "current", current, "asked", len(peers), "took_ms", i.opt.Now().Sub(start).Milliseconds(), "description", i.policy.Current().Number)
}

// syncRank returns the preference rank of a peer. The peers with the lowest ranks
// are asked.
func (i *Instance) syncRank(m mesh.Member) int {
	switch {
	case m.Region != i.settings.Region:
		return 2
	case !m.Watching:
		return 1
	}
	return 0
}
