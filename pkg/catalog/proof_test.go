package catalog

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/revision"
)

// answer applies a watch answer of the store that was sent at sentAt, when the store's clock
// was at storeTime, and is received now.
func (c *Catalog) answer(l Listing, earliest time.Time, storeTime time.Duration) {
	l.StoreTime = storeTime
	c.recordStoreAnswer(Upstreams, &l, earliest, c.era)
	c.update(Upstreams, l, "store")
}

// Guards against an answer of the store that was held up on its way and counts as new.
func TestAnswerThatComesLateProvesOnlyThePast(t *testing.T) {
	c, k := newCatalog()
	c.answer(Listing{Revision: at(1)}, k.Now(), time.Minute)
	sentAt := k.Now()
	k.advance(3 * time.Second)
	c.answer(Listing{Revision: at(2)}, sentAt, time.Minute+time.Second)
	_, age := c.ProofAges()
	require.InDelta(t, 2*time.Second, age, float64(2*time.Millisecond))
	// Without the store's clock, only the time of the call is known.
	k.advance(time.Second)
	sentAt = k.Now()
	k.advance(time.Second)
	c.answer(Listing{Revision: at(3)}, sentAt, 0)
	_, age = c.ProofAges()
	require.Equal(t, time.Second, age)
}

// Guards against tables that count as old for good, or as newer than they are, after the
// store's clock was set anew or this process's clock stood still.
func TestProofsAfterClockWasSet(t *testing.T) {
	for _, jump := range []time.Duration{-time.Hour, time.Hour} {
		c, k := newCatalog()
		c.answer(Listing{Revision: at(1)}, k.Now(), 2*time.Hour)
		for revision := range int64(3) {
			k.advance(time.Second)
			sentAt := k.Now()
			k.advance(20 * time.Millisecond)
			c.answer(Listing{Revision: at(revision + 2)}, sentAt, 2*time.Hour+jump+k.Now().Sub(time.Unix(1001, 0)))
			_, age := c.ProofAges()
			require.LessOrEqual(t, age, 20*time.Millisecond)
			require.GreaterOrEqual(t, age, time.Duration(0))
		}
	}
}

// Guards against a proof that becomes newer by being passed on between instances: in
// snapshots that take long, in heartbeats, and from one instance to the next.
func TestProofOnlyGrowsOlderOnItsWay(t *testing.T) {
	watcher, k := newCatalog()
	follower, _ := newCatalog()
	follower.opt.Now = k.Now
	l := readyRows("a", 3)
	l.ProvenAt = k.Now()
	watcher.replace(Upstreams, l, "store")
	k.advance(time.Second)
	s, requestedAt := watcher.Snapshot(at(0), at(0), RowRevision{}), k.Now()
	k.advance(500 * time.Millisecond)
	require.NoError(t, follower.Merge(s, "watcher", requestedAt))
	_, age := follower.ProofAges()
	require.Equal(t, 1500*time.Millisecond, age)

	s.Upstreams.ProofAge = 0
	require.NoError(t, follower.Merge(s, "older release", k.Now()))
	_, age = follower.ProofAges()
	require.Equal(t, 1500*time.Millisecond, age, "older releases state no age, which proves nothing")

	k.advance(time.Second)
	watcher.Confirm(at(0), at(3), follower.Proofs(), "watcher")
	_, age = watcher.ProofAges()
	require.Equal(t, 2500*time.Millisecond, age)
	require.False(t, watcher.Current())
	follower.Confirm(at(0), at(4), Proofs{Upstreams: k.Now()}, "watcher")
	_, age = follower.ProofAges()
	require.Equal(t, 2500*time.Millisecond, age, "a newer revision proves nothing about an older table")
	follower.Invalidate()
	_, age = follower.ProofAges()
	require.Equal(t, Unproven, age)
}

// darkStore answers nothing while it is dark, also not later, like a store behind a path that
// drops everything. Its clock and its revision go on.
type darkStore struct {
	Store
	startedAt time.Time
	dark      atomic.Bool
	revision  atomic.Int64
}

func (s *darkStore) answer(ctx context.Context, wait time.Duration) (Listing, error) {
	dark := s.dark.Load()
	sleep(ctx, wait)
	if dark || s.dark.Load() {
		<-ctx.Done()
		return Listing{}, ctx.Err()
	}
	return Listing{Revision: at(1 + s.revision.Load()), StoreTime: time.Since(s.startedAt)}, ctx.Err()
}

func (s *darkStore) List(ctx context.Context, _ Table) (Listing, error) { return s.answer(ctx, 0) }

func (s *darkStore) Watch(ctx context.Context, _ Table, _ revision.Revision, wait time.Duration) (Listing, error) {
	return s.answer(ctx, wait)
}

// Guards against tables that are not proven current in time after an outage in which calls
// were never answered, and against an answer into the silence that proves anything.
func TestTablesAreProvenSoonAfterSilentOutage(t *testing.T) {
	const (
		outage = 3300 * time.Millisecond
		// maxTime is the shortest time after which a deployment expects an instance to be up
		// to date again (3 s).
		maxTime = 3 * time.Second
	)
	s := &darkStore{startedAt: time.Now()}
	c := New(Options{Store: s, Decode: decoder, Now: time.Now, Random: func() float64 { return 1 }, Logger: event.DiscardLogger(),
		WatchRole: func() WatchRole { return WatchRole{Watches: true, Primary: true} }})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); c.Run(ctx) }()
	require.Eventually(t, c.Current, 5*time.Second, time.Millisecond)
	for range 2 {
		s.dark.Store(true)
		time.Sleep(outage)
		require.False(t, c.Current())
		s.revision.Add(1)
		s.dark.Store(false)
		endedAt := time.Now()
		require.Eventually(t, func() bool { _, r := c.Revisions(); return r == at(1+s.revision.Load()) && c.Current() }, 10*time.Second, time.Millisecond)
		require.Less(t, time.Since(endedAt), maxTime)
		require.False(t, c.Proofs().Upstreams.Before(endedAt))
	}
	cancel()
	<-done
}
