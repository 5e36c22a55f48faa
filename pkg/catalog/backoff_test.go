package catalog

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/revision"
	"github.com/sequoiacove/sequoiacove/pkg/slowdown"
)

// Guards against an instance that stays silent for the backoff of a high rank after it has
// lost contact with the instances of a lower rank, and so learns of no change.
func TestBackoffFollowsTheRank(t *testing.T) {
	var rank atomic.Int64
	rank.Store(20)
	c := New(Options{Decode: decoder, Now: time.Now, Random: func() float64 { return 0 }, Logger: event.DiscardLogger(),
		WatchRole: func() WatchRole { return WatchRole{Watches: true, Rank: int(rank.Load())} }})
	longest := backoffLimit(WatchRole{Rank: 20})
	meter, start := slowdown.Start(), time.Now()
	done := make(chan struct{})
	go func() { defer close(done); c.backOff(context.Background(), longest) }()
	rank.Store(0)
	<-done
	took := time.Since(start)
	require.GreaterOrEqual(t, took, maxBackoff)
	require.Less(t, took, meter.Scale(maxBackoff+2*roleCheckInterval))
}

// forgetfulStore has no history, so that each watch fails.
type forgetfulStore struct {
	Store
	listCount atomic.Int64
}

func (s *forgetfulStore) List(context.Context, Table) (Listing, error) {
	s.listCount.Add(1)
	return Listing{Revision: at(1)}, nil
}

func (s *forgetfulStore) Watch(context.Context, Table, revision.Revision, time.Duration) (Listing, error) {
	return Listing{}, ErrHistoryGone
}

// Guards against listings at full speed while the store has no history of what it lists.
func TestListingsWithoutHistoryBackOff(t *testing.T) {
	s := &forgetfulStore{}
	c := New(Options{Store: s, Decode: decoder, Now: time.Now, Random: func() float64 { return 0 }, Logger: event.DiscardLogger(),
		WatchRole: func() WatchRole { return WatchRole{Watches: true, Primary: true} }})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	c.Run(ctx)
	// Two tables, each listed again after half of 100, 100, 100... ms.
	const maxLists = 2 * int64(time.Second/(minBackoff/2)+1)
	require.LessOrEqual(t, s.listCount.Load(), maxLists)
}

// returningStore fails for some calls and then has no history of what was listed before.
type returningStore struct {
	Store
	failures int
	goneAt   time.Time
	listed   chan time.Duration
}

func (s *returningStore) List(context.Context, Table) (Listing, error) {
	if s.goneAt.IsZero() {
		return Listing{Revision: in(1, 9)}, nil
	}
	s.listed <- time.Since(s.goneAt)
	return Listing{Revision: in(2, 5)}, nil
}

func (s *returningStore) Watch(ctx context.Context, _ Table, after revision.Revision, _ time.Duration) (Listing, error) {
	if s.failures--; s.failures >= 0 {
		return Listing{}, errors.New("no answer")
	}
	if after == in(2, 5) {
		<-ctx.Done()
		return Listing{}, ctx.Err()
	}
	s.goneAt = time.Now()
	return Listing{}, ErrHistoryGone
}

// Guards against tables that are listed late after a return of the store, because the backoff
// of the outage before it goes on once the store answers.
func TestBackoffOfAnOutageEndsWithTheFirstAnswer(t *testing.T) {
	s := &returningStore{failures: 3, listed: make(chan time.Duration, 1)}
	c := New(Options{Store: s, Decode: decoder, Now: time.Now, Random: func() float64 { return 0 }, Logger: event.DiscardLogger(),
		WatchRole: func() WatchRole { return WatchRole{Watches: true, Primary: true} }})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); c.syncTable(ctx, Directives) }()
	meter := slowdown.Start()
	require.Less(t, <-s.listed, meter.Scale(2*minBackoff))
	cancel()
	<-done
}
