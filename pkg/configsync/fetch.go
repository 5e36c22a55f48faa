package configsync

import (
	"context"
	"sync"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/peer"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

const (
	// fetchTimeout bounds how long a silent peer holds one of maxFetches.
	fetchTimeout = time.Second
	// maxFetches lets a second peer answer while a first one is silent.
	maxFetches = 2
)

// fetchSet holds the addresses that are being asked for a version.
type fetchSet struct {
	mu     sync.Mutex
	active map[string]bool
}

func newFetchSet() fetchSet { return fetchSet{active: make(map[string]bool)} }

// begin reports whether a fetch from addr may start; end ends it.
func (f *fetchSet) begin(addr string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.active[addr] || len(f.active) >= maxFetches {
		return false
	}
	f.active[addr] = true
	return true
}

func (f *fetchSet) end(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.active, addr)
}

// Heard takes the version that a peer states in a heartbeat and fetches it
// from that peer in the background if it is higher than the current one.
func (s *Syncer) Heard(number uint64, hash, addr string) {
	current := s.Current()
	if number == current.Number && number > 0 && hash != current.Hash {
		s.reportMismatch(number, current.Hash, hash, addr)
		return
	}
	// A refused version is not fetched again with each heartbeat.
	if number <= current.Number || number == s.refused.Load() || !s.fetches.begin(addr) {
		return
	}
	started := s.spawn(func() {
		defer s.fetches.end(addr)
		v, err := s.fetch(s.ctx, addr, current.Number+1)
		if err == nil {
			s.Offer(v)
		}
	})
	if !started {
		s.fetches.end(addr)
	}
}

// reportMismatch logs once for each version number, because every heartbeat
// of such a peer repeats the mismatch.
func (s *Syncer) reportMismatch(number uint64, own, other, addr string) {
	s.meters.mismatched.Inc(1)
	if s.loggedMismatch.Swap(number) != number {
		event.Log(s.config.Logger, event.VersionMismatch, "version", number, "own_hash", own, "peer_hash", other, "peer", addr)
	}
}

// fetch asks one peer for its current version and checks it.
func (s *Syncer) fetch(ctx context.Context, addr string, atLeast uint64) (cluster.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var v cluster.Version
	err := s.config.Caller.Call(ctx, addr, peer.FetchVersion, Fetch{AtLeast: atLeast}, &v)
	if err == nil && v.Number > 0 {
		err = s.check(v)
	}
	if err != nil {
		s.meters.fetchFailed.Inc(1)
		return cluster.Version{}, err
	}
	s.meters.fetched.Inc(1)
	return v, nil
}

// HandleFetch answers peer.FetchVersion with the current version.
func (s *Syncer) HandleFetch(_ context.Context, body []byte) (any, error) {
	fetch, err := decodeFetch(body)
	if err != nil {
		return nil, err
	}
	current := s.Current()
	if current.Number < fetch.AtLeast {
		return nil, result.New(result.VersionNotFound, "current version is %d", current.Number)
	}
	return current, nil
}
