package catalog

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/revision"
	"github.com/sequoiacove/sequoiacove/pkg/slowdown"
	"github.com/sequoiacove/sequoiacove/pkg/steering"
)

// in returns a revision of an era.
func in(era, number int64) revision.Revision {
	return revision.Revision{Era: era, Number: number}
}

// listingIn returns a listing of an era whose rows alternate keys and values and have the
// numbers 1, 2 and so on.
func listingIn(era, number int64, keysAndValues ...string) Listing {
	l := Listing{Revision: in(era, number)}
	for n := 0; n < len(keysAndValues); n += 2 {
		l.Rows = append(l.Rows, Row{Key: keysAndValues[n], Value: []byte(keysAndValues[n+1]), Revision: in(era, int64(n/2+1))})
	}
	return l
}

func changeIn(era, number int64, key, value string) Listing {
	return Listing{Revision: in(era, number), Rows: []Row{{Key: key, Value: []byte(value), Revision: in(era, number), Deleted: value == ""}}}
}

// expireAt advances the clock to a time after the return of the store at returnedAt, while the
// tables are proven current every half second.
func (k *clock) expireAt(c *Catalog, returnedAt time.Time, after time.Duration) {
	for end := returnedAt.Add(after); k.Now().Before(end); {
		k.advance(min(500*time.Millisecond, end.Sub(k.Now())))
		c.Confirm(c.tables[Directives].revision, c.tables[Upstreams].revision, Proofs{Directives: k.Now(), Upstreams: k.Now()}, "watcher")
		c.ExpireGracePeriods()
	}
}

// Guards against instances that ignore all changes of a store that has come back from an
// older copy, until its counter has passed the revision that they hold (issue 41).
func TestStoreThatComesBackOlderIsFollowed(t *testing.T) {
	c, k := newCatalog()
	c.replace(Directives, k.proven(listingIn(1, 100, "config", "7")), storeSource)
	c.replace(Directives, k.proven(listingIn(2, 60, "config", "7")), storeSource)
	require.Equal(t, in(2, 60), c.tables[Directives].revision)
	c.update(Directives, k.proven(changeIn(2, 61, "config", "8")), storeSource)
	require.EqualValues(t, 8, c.View().Config.Version)
}

// Guards against changes that are missed for good because the counter of the store has passed
// the revision that the instance holds before the first call.
func TestRowsOfTheSameRevisionInAnotherEra(t *testing.T) {
	c, k := newCatalog()
	c.replace(Upstreams, k.proven(listingIn(1, 3, "u", "a,ready", "v", "a,ready", "w", "a,ready")), storeSource)
	c.replace(Upstreams, k.proven(listingIn(2, 9, "u", "a,ready", "v", "a,draining", "x", "a,ready")), storeSource)
	v := c.View()
	require.Equal(t, steering.Draining, v.Upstreams["v"].State)
	require.Contains(t, v.Upstreams, "x")
}

// Guards against answers, snapshots and heartbeats of an earlier era that change or prove
// something once a newer era is known.
func TestEarlierEraChangesAndProvesNothing(t *testing.T) {
	c, k := newCatalog()
	c.replace(Directives, k.proven(listingIn(2, 5, "config", "5")), storeSource)
	c.replace(Upstreams, k.proven(listingIn(2, 5, "u", "a,ready")), storeSource)
	proofs := c.Proofs()
	k.advance(time.Second)
	old, _ := newCatalog()
	old.replace(Directives, k.proven(listingIn(1, 90, "config", "9")), storeSource)
	old.replace(Upstreams, k.proven(listingIn(1, 90, "v", "a,ready")), storeSource)

	require.NoError(t, c.Merge(old.Snapshot(at(0), at(0), RowRevision{}), "peer", k.Now()))
	c.Confirm(in(1, 90), in(1, 90), Proofs{Directives: k.Now(), Upstreams: k.Now()}, "peer")
	c.update(Upstreams, k.proven(changeIn(1, 91, "v", "a,ready")), storeSource)
	l := k.proven(listingIn(1, 92, "v", "a,ready"))
	require.ErrorIs(t, c.recordStoreAnswer(Upstreams, &l, k.Now(), c.era), errOutdatedEra)

	require.EqualValues(t, 5, c.View().Config.Version)
	require.NotContains(t, c.View().Upstreams, "v")
	require.Equal(t, proofs, c.Proofs())
}

// Guards against tables that count as current although only a newer era could prove them.
func TestNewEraEndsTheProofsOfBothTables(t *testing.T) {
	c, k := newCatalog()
	c.replace(Directives, k.proven(listingIn(1, 5, "config", "5")), storeSource)
	c.replace(Upstreams, k.proven(listingIn(1, 5, "u", "a,ready")), storeSource)
	require.True(t, c.Current())
	c.Confirm(in(2, 4), in(1, 5), Proofs{Directives: k.Now(), Upstreams: k.Now()}, "peer")
	require.False(t, c.Current(), "a heartbeat states the new era")
	require.Equal(t, Proofs{}, c.Proofs())
	c.replace(Directives, k.proven(listingIn(2, 4, "config", "5")), storeSource)
	require.False(t, c.Current(), "one table is still of the old era")
	c.Confirm(in(2, 4), in(1, 5), Proofs{Directives: k.Now(), Upstreams: k.Now()}, "lagging peer")
	require.False(t, c.Current())
	c.replace(Upstreams, k.proven(listingIn(2, 4, "u", "a,ready")), storeSource)
	require.True(t, c.Current())
}

// Guards against a difference between two tables that is applied to a base of the same number
// and another era.
func TestSnapshotsBetweenErasAreWhole(t *testing.T) {
	newer, k := newCatalog()
	newer.replace(Upstreams, k.proven(listingIn(2, 10, "u", "a,ready", "v", "a,ready")), storeSource)
	newer.update(Upstreams, k.proven(changeIn(2, 11, "w", "a,ready")), storeSource)
	older, _ := newCatalog()
	older.replace(Upstreams, k.proven(listingIn(1, 10, "u", "a,ready", "z", "a,ready")), storeSource)
	_, known := older.Revisions()
	s := newer.Snapshot(at(0), known, RowRevision{})
	require.True(t, s.Upstreams.Since.IsZero())
	require.NoError(t, older.Merge(s, "newer", k.Now()))
	require.Equal(t, in(2, 11), older.tables[Upstreams].revision)
	require.Len(t, older.tables[Upstreams].rows, 3)

	lagging, _ := newCatalog()
	lagging.replace(Upstreams, k.proven(listingIn(1, 11, "u", "a,ready")), storeSource)
	lagging.update(Upstreams, Listing{Since: in(2, 10), Revision: in(2, 11)}, "newer")
	require.Equal(t, in(1, 11), lagging.tables[Upstreams].revision, "a difference of another era leaves the table as it is")
	newer.update(Upstreams, Listing{Since: in(1, 10), Revision: in(2, 12)}, "peer")
	require.Equal(t, in(2, 11), newer.tables[Upstreams].revision, "so does one that begins in an earlier era")
}

// Guards against a store without eras that is treated otherwise than before, silently.
func TestAnswersWithoutEra(t *testing.T) {
	var log bytes.Buffer
	c, k := newCatalog()
	c.opt.Logger = event.NewLogger(&log, slog.LevelWarn, "instance", "i")
	l := k.proven(listingIn(4, 5, "config", "5"))
	require.NoError(t, c.recordStoreAnswer(Directives, &l, k.Now(), c.era))
	c.replace(Directives, l, storeSource)
	for range 2 {
		l = Listing{EraUnknown: true, Revision: at(6), Rows: []Row{{Key: "config", Value: []byte("6"), Revision: at(6)}}}
		require.NoError(t, c.recordStoreAnswer(Directives, &l, k.Now(), c.era))
	}
	c.replace(Directives, l, storeSource)
	require.EqualValues(t, 6, c.View().Config.Version)
	require.Equal(t, in(4, 6), c.tables[Directives].revision)
	require.Equal(t, 1, bytes.Count(log.Bytes(), []byte(fmt.Sprintf(`"event":%d`, event.StoreEraUnstated))))
}

// Guards against a row that is missing for good, because a late answer without an era has
// brought the numbers of an earlier era into the table.
func TestLateAnswerWithoutEraChangesNothing(t *testing.T) {
	c, k := newCatalog()
	apply := func(l Listing, sentIn int64) {
		l = k.proven(l)
		if c.recordStoreAnswer(Upstreams, &l, k.Now(), sentIn) == nil {
			c.replace(Upstreams, l, storeSource)
		}
	}
	row := func(era, number int64, value string) []Row {
		return []Row{{Key: "u", Value: []byte(value), Revision: in(era, number)}}
	}
	apply(Listing{Revision: in(1, 50), Rows: row(1, 5, "a,ready,5,1")}, 0)
	apply(Listing{Revision: in(2, 40), Rows: row(2, 5, "a,ready,5,1")}, 1)
	apply(Listing{EraUnknown: true, Revision: at(60), Rows: row(0, 55, "a,ready,5,2")}, 1)
	apply(Listing{Revision: in(2, 70), Rows: row(2, 55, "a,draining,5,9")}, 2)
	require.Equal(t, steering.Draining, c.View().Upstreams["u"].State)
}

// Guards against lines about eras that come with each answer, or once and never again.
func TestLinesAboutErasAreBoundedInRate(t *testing.T) {
	var log bytes.Buffer
	c, k := newCatalog()
	c.opt.Logger = event.NewLogger(&log, slog.LevelWarn, "instance", "i")
	for n := range 800 {
		k.advance(50 * time.Millisecond)
		l := k.proven(listingIn(int64(2-n/2%2), 5, "config", "5"))
		l.EraUnknown = n%2 == 0
		_ = c.recordStoreAnswer(Directives, &l, k.Now(), c.era)
	}
	for _, id := range []event.ID{event.StoreEraUnstated, event.StoreEraOutdated} {
		require.Equal(t, 4, bytes.Count(log.Bytes(), []byte(fmt.Sprintf(`"event":%d`, id))), "event %d in 40 s", id)
	}
}

// Guards against a log that fills with lines about a store that never states its era.
func TestStoreThatNeverStatesItsEraIsLoggedOnce(t *testing.T) {
	var log bytes.Buffer
	c, k := newCatalog()
	c.opt.Logger = event.NewLogger(&log, slog.LevelWarn, "instance", "i")
	for range 100 {
		k.advance(time.Second)
		l := Listing{EraUnknown: true, Revision: at(5)}
		require.NoError(t, c.recordStoreAnswer(Directives, &l, k.Now(), c.era))
	}
	require.Equal(t, 1, bytes.Count(log.Bytes(), []byte(`"event":610`)))
}

// eraStore is a store that comes back in a newer era while a watch waits. Its counter has
// passed the revision of the watch by then, so that it does not answer "history gone".
type eraStore struct {
	Store
	calls    chan string
	returned bool
}

func (s *eraStore) List(context.Context, Table) (Listing, error) {
	s.calls <- "list"
	if !s.returned {
		return listingIn(1, 5, "config", "5"), nil
	}
	return listingIn(2, 9, "config", "6"), nil
}

func (s *eraStore) Watch(ctx context.Context, _ Table, after revision.Revision, _ time.Duration) (Listing, error) {
	s.calls <- "watch " + after.String()
	if !s.returned {
		s.returned = true
		return Listing{Revision: in(2, 9)}, nil
	}
	<-ctx.Done()
	return Listing{}, ctx.Err()
}

// Guards against a watch that goes on from the revision of an earlier era.
func TestRelistsWhenTheEraChanges(t *testing.T) {
	c, _ := newCatalog()
	s := &eraStore{calls: make(chan string, 10)}
	c.opt.Store, c.opt.WatchRole = s, func() WatchRole { return WatchRole{Watches: true, Primary: true} }
	changed := make(chan int64, 1)
	c.opt.OnEraChange = func(era int64) { changed <- era }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.syncTable(ctx, Directives)
	for _, call := range []string{"list", "watch 1.5", "list", "watch 2.9"} {
		require.Equal(t, call, <-s.calls)
	}
	require.EqualValues(t, 2, <-changed)
}

// Guards against a table that counts as proven after a change that it lacks: an answer without
// rows of another era says nothing about how long the store has waited.
func TestEmptyAnswerOfANewEraIsNotTakenForALaterOne(t *testing.T) {
	c, k := newCatalog()
	c.opt.Store = &answeringStore{answer: func() Listing {
		k.advance(2 * watchWait) // on its way; the store answered at once
		return Listing{Revision: in(2, 5), StoreTime: time.Hour}
	}}
	c.replace(Directives, k.proven(listingIn(1, 5, "config", "5")), storeSource)
	answeredAt, listed := k.Now(), true
	_, err := c.fetch(context.Background(), Directives, WatchRole{Watches: true, Primary: true}, &listed)
	require.NoError(t, err)
	require.False(t, c.tables[Directives].storeAnsweredAt.After(answeredAt))
	l := listingIn(2, 6, "config", "5")
	l.StoreTime = time.Hour + time.Second
	require.NoError(t, c.recordStoreAnswer(Directives, &l, answeredAt, c.era))
	require.False(t, l.ProvenAt.After(answeredAt.Add(time.Second)))
}

// answeringStore is a store whose watches get the given answer.
type answeringStore struct {
	Store
	answer func() Listing
}

func (s *answeringStore) Watch(context.Context, Table, revision.Revision, time.Duration) (Listing, error) {
	return s.answer(), nil
}

// Guards against a table that counts as proven after a change that it lacks, because the store
// has come back on a machine whose clock is ahead.
func TestClockOfTheStoreIsEstimatedAnewInANewEra(t *testing.T) {
	c, k := newCatalog()
	l := listingIn(1, 5, "config", "5")
	l.StoreTime = time.Hour
	require.NoError(t, c.recordStoreAnswer(Directives, &l, k.Now(), c.era))
	sentAt := k.Now()
	k.advance(2 * time.Second)
	l = listingIn(2, 5, "config", "5")
	l.StoreTime = time.Hour + 1500*time.Millisecond
	require.NoError(t, c.recordStoreAnswer(Directives, &l, sentAt, c.era))
	require.Equal(t, sentAt, l.ProvenAt)
}

// waitingStore is a part of the store that lets watches of the earlier era wait.
type waitingStore struct {
	Store
	calls chan string
	era   int64
}

func (s *waitingStore) List(context.Context, Table) (Listing, error) {
	s.calls <- "list"
	s.era++
	return listingIn(s.era, 5, "config", "5"), nil
}

func (s *waitingStore) Watch(ctx context.Context, _ Table, after revision.Revision, _ time.Duration) (Listing, error) {
	s.calls <- "watch " + after.String()
	<-ctx.Done()
	return Listing{}, ctx.Err()
}

// Guards against a table that is listed only after a long watch at a part of the store that
// has not changed its era, although a peer or the other table has told of the new era.
func TestWatchOfAnEarlierEraEnds(t *testing.T) {
	c, _ := newCatalog()
	s := &waitingStore{calls: make(chan string, 10)}
	c.opt.Now = time.Now
	c.opt.Store, c.opt.WatchRole = s, func() WatchRole { return WatchRole{Watches: true} }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.syncTable(ctx, Directives)
	require.Equal(t, "list", <-s.calls)
	require.Equal(t, "watch 1.5", <-s.calls)
	meter, start := slowdown.Start(), time.Now()
	c.Confirm(in(2, 5), in(2, 5), Proofs{Directives: time.Now()}, "peer")
	require.Equal(t, "list", <-s.calls)
	require.Equal(t, "watch 2.5", <-s.calls)
	require.Less(t, time.Since(start), meter.Scale(watchWait/2))
}
