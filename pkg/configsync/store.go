package configsync

import (
	"context"
	"sync"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

const (
	// bootstrapTimeout bounds the wait for the slowest source at start: a
	// stale peer that answers first must not win over a slower one.
	bootstrapTimeout = 2 * time.Second
	// maxSeeds bounds the peers that are asked at start.
	maxSeeds = 8
	// minPoll is the shortest mean interval of polls.
	minPoll = 2 * time.Second
	// pollsPerSecond bounds the polls of all agents together.
	pollsPerSecond = 100
)

// Bootstrap asks the store and the seed peers for their version and takes the
// highest. It fails with NoConfiguration if no source answered; an answer that
// there is no version yet is no failure.
func (s *Syncer) Bootstrap(ctx context.Context, seeds []string) (cluster.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, bootstrapTimeout)
	defer cancel()
	var mu sync.Mutex
	var best cluster.Version
	answered := 0
	consider := func(v cluster.Version, err error) {
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			return
		}
		answered++
		if v.Number > best.Number {
			best = v
		}
	}
	var group sync.WaitGroup
	group.Go(func() { consider(s.load(ctx)) })
	for _, seed := range seeds[:min(len(seeds), maxSeeds)] {
		group.Go(func() { consider(s.fetch(ctx, seed, 0)) })
	}
	group.Wait()
	s.Offer(best)
	if answered == 0 {
		return s.Current(), result.New(result.NoConfiguration, "neither the store nor a peer answered")
	}
	return s.Current(), nil
}

// load returns the store's current version if its number is above the one in
// force, else version 0.
func (s *Syncer) load(ctx context.Context) (cluster.Version, error) {
	if s.config.Source == nil {
		return cluster.Version{}, result.New(result.StoreUnavailable, "no store")
	}
	before := s.Current()
	head, err := s.config.Source.Head(ctx)
	if err != nil {
		return cluster.Version{}, err
	}
	if head.Number <= before.Number {
		s.compare(before, head)
		return cluster.Version{}, nil
	}
	v, err := s.config.Source.Load(ctx, head.Number)
	if err != nil {
		return cluster.Version{}, err
	}
	return v, s.check(v)
}

// compare reports a store that went back behind the version that was in force
// before its head was read.
func (s *Syncer) compare(before, head cluster.Version) {
	switch {
	case head.Number < before.Number && s.loggedBehind.Swap(before.Number) != before.Number:
		event.Log(s.config.Logger, event.StoreBehind, "version", before.Number, "store_version", head.Number)
	case head.Number == before.Number && head.Hash != before.Hash:
		s.reportMismatch(before.Number, before.Hash, head.Hash, "store")
	}
}

// Run polls the store's head until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	for s.config.Sleep(ctx, s.pollDelay()) == nil {
		s.Poll(ctx)
	}
}

// Poll reads the head once and takes a higher version from the store. A version
// that arrives this way was not pushed, for example because the accepting agent
// died, so the agent pushes it to its domain.
func (s *Syncer) Poll(ctx context.Context) {
	v, err := s.load(ctx)
	if err == nil && v.Number > 0 && s.Offer(v) {
		s.relay(v)
	}
}

// pollDelay spreads polls over half to one and a half of the interval.
func (s *Syncer) pollDelay() time.Duration {
	live := 1
	for _, m := range s.config.Members() {
		if m.ID != s.config.ID && m.State != cluster.Dead {
			live++
		}
	}
	interval := max(minPoll, time.Duration(live)*time.Second/pollsPerSecond)
	return time.Duration((0.5 + s.config.Random()) * float64(interval))
}
