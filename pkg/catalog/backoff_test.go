package catalog

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

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
