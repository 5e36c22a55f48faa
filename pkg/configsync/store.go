package configsync

import (
	"context"
	"sync"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

const (
	// bootstrapTimeout bounds the wait for the slowest source at start: a
	// stale peer that answers first must not win over a slower one.
	bootstrapTimeout = 2 * time.Second
	// maxSeeds bounds the peers that are asked at start.
	maxSeeds = 8
	minPoll  = 2 * time.Second
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
	group.Go(func() { consider(s.load(ctx, 0)) })
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

// load returns the store's current version if its number is above known, else
// version 0.
func (s *Syncer) load(ctx context.Context, known uint64) (cluster.Version, error) {
	if s.config.Source == nil {
		return cluster.Version{}, result.New(result.StoreUnavailable, "no store")
	}
	head, err := s.config.Source.Head(ctx)
	if err != nil || head.Number <= known {
		return cluster.Version{}, err
	}
	v, err := s.config.Source.Load(ctx, head.Number)
	if err != nil {
		return cluster.Version{}, err
	}
	return v, Check(v)
}

// Run polls the store's head until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	for s.config.Sleep(ctx, s.pollDelay()) == nil {
		s.Poll(ctx)
	}
}

// Poll reads the head once and takes a higher version from the store.
func (s *Syncer) Poll(ctx context.Context) {
	if v, err := s.load(ctx, s.Current().Number); err == nil && v.Number > 0 {
		s.Offer(v)
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
