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
	// stillThreshold is the gap between ticks that shows that the process stood
	// still. News may take this long to reach an instance that runs.
	pauseThreshold = time.Second
	pauseTick      = 100 * time.Millisecond
	// resumeWait is the longest time that requests wait for a peer after that;
	// an instance that is cut off then serves with what it knows.
	resumeTimeout = 400 * time.Millisecond
	// resumePeers is the number of peers that are asked at the same time,
	// because some may have stood still too.
	resumePeers = 3
)

// stillness notices that the process stood still and holds the work on requests
// until the instance has asked what changed meanwhile.
type pauseDetector struct {
	now func() time.Time
	// wall returns the time of day. Unlike the monotonic clock it counts the
	// time in which the machine was suspended. Setting it costs one question to
	// the peers.
	wall func() time.Time
	// catchUp returns when the instance knows what changed, or when its context
	// ends.
	resync func(context.Context)

	mu sync.Mutex
	// ticked and tickedWall are the times of the last tick, zero before the
	// first.
	lastTick, lastTickWall time.Time
	// done is closed at the end of the resume that is under way, or nil.
	done chan struct{}
}

func newPauseDetector(now, wall func() time.Time, resync func(context.Context)) *pauseDetector {
	return &pauseDetector{now: now, wall: wall, resync: resync}
}

// run ticks until ctx ends.
func (s *pauseDetector) run(ctx context.Context) {
	t := time.NewTicker(pauseTick)
	defer t.Stop()
	for {
		s.tick()
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// tick notes that the process runs.
func (s *pauseDetector) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.check()
	s.lastTick, s.lastTickWall = s.now(), s.wall()
}

// check starts a resume after a gap, and returns the channel of the one that is
// under way, or nil. The caller holds the lock. Requests check too, because
// they may run before the first tick after a gap.
func (s *pauseDetector) check() <-chan struct{} {
	now, wall := s.now(), s.wall()
	if !s.lastTick.IsZero() && max(now.Sub(s.lastTick), wall.Sub(s.lastTickWall)) > pauseThreshold {
		s.lastTick, s.lastTickWall = now, wall
		if s.done == nil {
			s.done = make(chan struct{})
			go s.resume()
		}
	}
	return s.done
}

func (s *pauseDetector) resume() {
	ctx, cancel := context.WithTimeout(context.Background(), resumeTimeout)
	defer cancel()
	s.resync(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.done)
	s.done = nil
}

// resuming tells whether the process stood still and the instance does not know
// yet what changed.
func (s *pauseDetector) resuming() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.check() != nil
}

// wait returns when the instance is not resuming, or when ctx ends.
func (s *pauseDetector) wait(ctx context.Context) {
	s.mu.Lock()
	done := s.check()
	s.mu.Unlock()
	if done == nil {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// askPeers takes what the first of some live peers to answer knows.
func (i *Instance) syncFromPeers(ctx context.Context) {
	start := i.opt.Now()
	peers := i.mesh.Live()
	// Those that watch the store know most; those of the region answer soonest.
	slices.SortStableFunc(peers, func(a, b mesh.Member) int { return i.syncRank(a) - i.syncRank(b) })
	peers = peers[:min(resumePeers, len(peers))]
	answered := make(chan string, len(peers))
	for _, m := range peers {
		go func() {
			if i.fetchAndMerge(ctx, m) == nil {
				answered <- m.ID
			}
		}()
	}
	peer := ""
	if len(peers) > 0 {
		select {
		case peer = <-answered:
		case <-ctx.Done():
		}
	}
	event.Log(i.logger, event.ProcessResumed, "peer", peer, "asked", len(peers), "took_ms", i.opt.Now().Sub(start).Milliseconds(), "description", i.policy.Current().Number)
}

func (i *Instance) syncRank(m mesh.Member) int {
	switch {
	case m.Region != i.settings.Region:
		return 2
	case !m.Watching:
		return 1
	}
	return 0
}
