package catalog

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/revision"
	"github.com/sequoiacove/sequoiacove/pkg/steering"
)

// decoder decodes the key "evacuate/DOMAIN" as an evacuation, a value that begins
// with a number as a configuration version and "service,state[,start,sequence]" as an upstream.
var decoder = Decoder{
	Directive: func(key string, value []byte) (steering.Directive, error) {
		if domain, ok := strings.CutPrefix(key, "evacuate/"); ok {
			return steering.Directive{EvacuatedDomain: domain}, nil
		}
		number, _, _ := strings.Cut(string(value), ",")
		v, err := strconv.Atoi(number)
		return steering.Directive{Config: &steering.Config{Version: steering.Version(v)}}, err
	},
	Upstream: func(key string, value []byte) (steering.Upstream, error) {
		service, state, ok := strings.Cut(string(value), ",")
		if !ok {
			return steering.Upstream{}, errors.New("value is not service,state")
		}
		u := steering.Upstream{ID: key, Service: service, State: steering.Ready}
		state, report, _ := strings.Cut(state, ",")
		_, _ = fmt.Sscanf(report, "%d,%d", &u.StartUnixMS, &u.Sequence)
		if state == "draining" {
			u.State = steering.Draining
		}
		return u, nil
	},
}

type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// transferTime is the time until a follower asks a watcher for a change.
const transferTime = 100 * time.Millisecond

func newCatalog() (*Catalog, *clock) {
	k := &clock{now: time.Unix(1000, 0)}
	c := New(Options{Decode: decoder, Now: k.Now, Random: func() float64 { return 0.5 }, Logger: event.DiscardLogger(),
		WatchRole: func() WatchRole { return WatchRole{Watches: true, Primary: true} }})
	return c, k
}

// readyRows returns n ready registrations of a service with revisions 1 to n.
func readyRows(service string, n int) Listing {
	l := Listing{Revision: at(int64(n))}
	for i := 1; i <= n; i++ {
		l.Rows = append(l.Rows, Row{Key: fmt.Sprintf("%s%d", service, i), Value: []byte(service + ",ready"), Revision: at(int64(i))})
	}
	return l
}

// proven returns l as an answer that the store gives now.
func (k *clock) proven(l Listing) Listing {
	l.ProvenAt = k.Now()
	return l
}

func deletedRow(key string, number int64) Row {
	return Row{Key: key, Revision: at(number), Deleted: true}
}

// Guards against a configuration version that decreases, and against an
// undecodable row that replaces the last good configuration.
func TestConfigurationVersionNeverDecreases(t *testing.T) {
	c, _ := newCatalog()
	c.replace(Directives, Listing{Rows: []Row{{Key: "config", Value: []byte("7"), Revision: at(5)}}, Revision: at(5)}, "store")
	require.EqualValues(t, 7, c.View().Config.Version)
	c.update(Directives, Listing{Rows: []Row{{Key: "config", Value: []byte("6"), Revision: at(6)}}, Revision: at(6)}, "store")
	require.EqualValues(t, 7, c.View().Config.Version)
	c.update(Directives, Listing{Rows: []Row{{Key: "config", Value: []byte("x"), Revision: at(7)}}, Revision: at(7)}, "store")
	require.EqualValues(t, 7, c.View().Config.Version)
	c.replace(Directives, Listing{Rows: []Row{{Key: "config", Value: []byte("8"), Revision: at(4)}}, Revision: at(4)}, "peer")
	require.EqualValues(t, 7, c.View().Config.Version, "an older table from a peer must be ignored")
}

// Guards against an evacuation that ends before its row is deleted, and against
// one that continues after that.
func TestEvacuationLastsUntilItsRowIsDeleted(t *testing.T) {
	c, _ := newCatalog()
	c.replace(Directives, Listing{Rows: []Row{{Key: "evacuate/a", Value: []byte("{}"), Revision: at(1)}}, Revision: at(1)}, "store")
	require.True(t, c.View().EvacuatedDomains["a"])
	c.update(Directives, Listing{Rows: []Row{{Key: "config", Value: []byte("7"), Revision: at(2)}}, Revision: at(2)}, "store")
	require.True(t, c.View().EvacuatedDomains["a"])
	c.update(Directives, Listing{Rows: []Row{deletedRow("evacuate/a", 3)}, Revision: at(3)}, "store")
	require.False(t, c.View().EvacuatedDomains["a"])
}

// Guards against an upstream that still receives requests after it left, and
// against one that is removed because its registration lapsed in a store
// outage.
func TestGracePeriodOnlyAfterOutage(t *testing.T) {
	c, k := newCatalog()
	c.replace(Upstreams, k.proven(readyRows("a", 10)), "store")
	c.update(Upstreams, k.proven(Listing{Rows: []Row{deletedRow("a1", 11)}, Revision: at(11)}), "store")
	require.NotContains(t, c.View().Upstreams, "a1", "a removal while the store is healthy takes effect immediately")
	k.advance(minOutage)
	c.update(Upstreams, k.proven(Listing{Rows: []Row{deletedRow("a2", 12)}, Revision: at(12)}), "store")
	require.Contains(t, c.View().Upstreams, "a2", "a lapse in an outage gets the grace period")
	k.advance(time.Second)
	c.update(Upstreams, k.proven(Listing{Rows: []Row{deletedRow("a3", 13)}, Revision: at(13)}), "store")
	require.Contains(t, c.View().Upstreams, "a3", "a lapse after an outage gets the rest of it")
	k.advance(outageGracePeriod - time.Second + time.Millisecond)
	c.ExpireGracePeriods()
	require.NotContains(t, c.View().Upstreams, "a2", "removed when the grace period ends without a new registration")
	require.NotContains(t, c.View().Upstreams, "a3", "the grace period counts from the end of the outage")
	c.update(Upstreams, k.proven(Listing{Rows: []Row{deletedRow("a4", 14)}, Revision: at(14)}), "store")
	require.NotContains(t, c.View().Upstreams, "a4", "the outage is over")
}

// Guards against a service that loses most of its upstreams at once because
// their registrations lapsed, and against a grace period that outlasts the time
// within which a leaving upstream must stop receiving requests.
func TestMassLapseGracePeriod(t *testing.T) {
	c, k := newCatalog()
	c.replace(Upstreams, readyRows("a", 4), "store")
	c.update(Upstreams, Listing{Rows: []Row{deletedRow("a1", 5), deletedRow("a2", 5), deletedRow("a3", 5)}, Revision: at(5)}, "store")
	require.Len(t, c.View().Upstreams, 4)
	c.update(Upstreams, Listing{Rows: []Row{{Key: "a1", Value: []byte("a,ready"), Revision: at(6)}}, Revision: at(6)}, "store")
	k.advance(massLapseGracePeriod + time.Millisecond)
	c.ExpireGracePeriods()
	require.Len(t, c.View().Upstreams, 2, "a1 registered again and a4 never lapsed")
}

// Guards against upstreams that left and stay in use because a call to the store failed,
// although the store answered others: at the instance whose call failed, and at those that
// get their changes from it.
func TestNoGracePeriodAfterFailedCall(t *testing.T) {
	watcher, k := newCatalog()
	follower, _ := newCatalog()
	follower.opt.Now = k.Now
	watcher.replace(Upstreams, k.proven(readyRows("a", 10)), "store")
	require.NoError(t, follower.Merge(watcher.Snapshot(at(0), at(0), RowRevision{}), "watcher", k.Now()))
	watcher.recordOutcome(Upstreams, errors.New("store unavailable"))
	k.advance(1800 * time.Millisecond)
	watcher.update(Upstreams, k.proven(Listing{Rows: []Row{deletedRow("a1", 11)}, Revision: at(11)}), "store")
	require.NoError(t, follower.Merge(watcher.Snapshot(at(1), at(10), RowRevision{}), "watcher", k.Now()))
	require.NotContains(t, watcher.View().Upstreams, "a1")
	require.NotContains(t, follower.View().Upstreams, "a1")
	// Others have proven the table while this instance's calls failed.
	for range 4 {
		watcher.recordOutcome(Upstreams, errors.New("store unavailable"))
		k.advance(time.Second)
		watcher.Confirm(at(0), at(11), Proofs{Upstreams: k.Now()}, "watcher")
	}
	watcher.update(Upstreams, k.proven(Listing{Rows: []Row{deletedRow("a2", 12)}, Revision: at(12)}), "store")
	require.NotContains(t, watcher.View().Upstreams, "a2")
}

// Guards against upstreams that left and stay in use because the process was paused: the
// pause is no outage of the store, and nobody knows when in it they left.
func TestNoGracePeriodAfterPause(t *testing.T) {
	c, k := newCatalog()
	c.opt.Store = &scriptedStore{lists: []Listing{{Revision: at(11), Rows: readyRows("a", 1).Rows}}}
	c.replace(Upstreams, k.proven(readyRows("a", 4)), "store")
	k.advance(time.Minute)
	c.Invalidate()
	listed := false
	_, err := c.fetch(context.Background(), Upstreams, WatchRole{Watches: true, Primary: true}, &listed)
	require.NoError(t, err)
	require.Len(t, c.View().Upstreams, 1)
}

// Guards against a mass lapse that an instance learns late and that keeps upstreams in use
// for longer than they may be: the grace period counts from the earliest time at which the
// registrations may have been removed.
func TestMassLapseLearnedLate(t *testing.T) {
	c, k := newCatalog()
	s := &scriptedStore{changes: make(chan Listing, 1), lists: []Listing{readyRows("a", 4)}}
	c.opt.Store = s
	listed := false
	_, err := c.fetch(context.Background(), Upstreams, WatchRole{Watches: true, Primary: true}, &listed)
	require.NoError(t, err)
	k.advance(1900 * time.Millisecond)
	s.changes <- Listing{Rows: []Row{deletedRow("a1", 5), deletedRow("a2", 5), deletedRow("a3", 5)}, Revision: at(5)}
	changed, err := c.fetch(context.Background(), Upstreams, WatchRole{Watches: true, Primary: true}, &listed)
	require.NoError(t, err)
	require.True(t, changed)
	require.Len(t, c.View().Upstreams, 1)
}

// Guards against a draining upstream that a mass lapse keeps in use.
func TestNoGracePeriodForDrainingUpstream(t *testing.T) {
	c, _ := newCatalog()
	c.replace(Upstreams, readyRows("a", 4), "store")
	c.update(Upstreams, Listing{Rows: []Row{{Key: "a1", Value: []byte("a,draining"), Revision: at(5)}}, Revision: at(5)}, "store")
	c.update(Upstreams, Listing{Rows: []Row{deletedRow("a1", 6), deletedRow("a2", 6), deletedRow("a3", 6), deletedRow("a4", 6)}, Revision: at(6)}, "store")
	require.NotContains(t, c.View().Upstreams, "a1")
	require.Contains(t, c.View().Upstreams, "a2")
}

// Guards against an undecodable registration that keeps its upstream in use or
// affects other upstreams.
func TestUndecodableRowRemovesUpstream(t *testing.T) {
	c, _ := newCatalog()
	c.replace(Upstreams, readyRows("a", 3), "store")
	c.update(Upstreams, Listing{Rows: []Row{{Key: "a2", Value: []byte("?"), Revision: at(4)}, {Key: "b", Value: nil, Revision: at(4)}}, Revision: at(4)}, "store")
	require.Len(t, c.View().Upstreams, 2)
}

// Guards against incremental snapshots that omit deletions, and against a peer
// that applies an incremental snapshot although it lacks earlier changes.
func TestPeerAppliesIncrementalSnapshot(t *testing.T) {
	a, _ := newCatalog()
	b, _ := newCatalog()
	a.replace(Upstreams, readyRows("a", 10), "store")
	require.NoError(t, b.Merge(a.Snapshot(at(0), at(0), RowRevision{}), "a", b.opt.Now()))
	require.Len(t, b.View().Upstreams, 10)
	a.update(Upstreams, Listing{Rows: []Row{deletedRow("a1", 11), {Key: "n", Value: []byte("a,ready"), Revision: at(12)}}, Revision: at(12)}, "store")
	_, known := b.Revisions()
	s := a.Snapshot(at(0), known, RowRevision{})
	require.Len(t, s.Upstreams.Rows, 2, "the snapshot holds only the changes")
	require.NoError(t, b.Merge(s, "a", b.opt.Now()))
	require.Equal(t, a.View().Upstreams, b.View().Upstreams)
	lagging, _ := newCatalog()
	lagging.replace(Upstreams, readyRows("a", 5), "store")
	require.NoError(t, lagging.Merge(s, "a", lagging.opt.Now()))
	_, known = lagging.Revisions()
	require.Equal(t, at(5), known, "changes that would leave a gap must be dropped")
}

// scriptedStore answers List calls from a script and Watch calls from a
// channel, and records the calls for the upstreams table.
type scriptedStore struct {
	Store
	mu          sync.Mutex
	calls       []string
	lists       []Listing
	historyGone bool
	changes     chan Listing
}

func (s *scriptedStore) List(_ context.Context, table Table) (Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if table != Upstreams || len(s.lists) == 0 {
		return Listing{Revision: at(1)}, nil
	}
	s.calls = append(s.calls, "list")
	l := s.lists[0]
	s.lists = s.lists[1:]
	return l, nil
}

func (s *scriptedStore) Watch(ctx context.Context, table Table, after revision.Revision, _ time.Duration) (Listing, error) {
	if table != Upstreams {
		<-ctx.Done()
		return Listing{}, ctx.Err()
	}
	s.mu.Lock()
	s.calls = append(s.calls, fmt.Sprintf("watch %s", after))
	historyGone := s.historyGone
	s.historyGone = false
	s.mu.Unlock()
	if historyGone {
		return Listing{}, ErrHistoryGone
	}
	select {
	case l := <-s.changes:
		return l, nil
	case <-ctx.Done():
		return Listing{}, ctx.Err()
	}
}

// Guards against changes that are missed when the store discards its history.
func TestRelistsWhenHistoryIsGone(t *testing.T) {
	s := &scriptedStore{lists: []Listing{readyRows("a", 3), {Revision: at(9), Rows: []Row{{Key: "z", Value: []byte("a,ready"), Revision: at(9)}}}}, historyGone: true, changes: make(chan Listing)}
	c := New(Options{Store: s, Decode: decoder, Now: time.Now, Random: func() float64 { return 0 }, Logger: event.DiscardLogger(),
		WatchRole: func() WatchRole { return WatchRole{Watches: true, Primary: true} }})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); c.Run(ctx) }()
	require.Eventually(t, func() bool { return c.View().Upstreams["z"].ID == "z" }, 5*time.Second, time.Millisecond)
	s.changes <- Listing{Rows: []Row{{Key: "y", Value: []byte("a,ready"), Revision: at(10)}}, Revision: at(10)}
	require.Eventually(t, func() bool { return c.View().Upstreams["y"].ID == "y" }, 5*time.Second, time.Millisecond)
	cancel()
	<-done
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Equal(t, []string{"list", "watch 3", "list", "watch 9"}, s.calls[:4])
}

// silentStore never answers a Watch call. It sends the time left until the
// call's deadline to deadlines.
type silentStore struct {
	Store
	deadlines chan time.Duration
}

func (s *silentStore) List(context.Context, Table) (Listing, error) {
	return Listing{Revision: at(1)}, nil
}

func (s *silentStore) Watch(ctx context.Context, _ Table, _ revision.Revision, _ time.Duration) (Listing, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return Listing{}, errors.New("no deadline")
	}
	select {
	case s.deadlines <- time.Until(deadline):
	default:
	}
	<-ctx.Done()
	return Listing{}, ctx.Err()
}

// Guards against a watch on a silent connection that times out too late: an
// instance that lost contact with the store must restore it within
// maxTimeWithoutContact.
func TestSilentWatchTimesOut(t *testing.T) {
	const maxTimeWithoutContact = 4 * time.Second
	s := &silentStore{deadlines: make(chan time.Duration, 1)}
	c := New(Options{Store: s, Decode: decoder, Now: time.Now, Random: func() float64 { return 0 }, Logger: event.DiscardLogger(),
		WatchRole: func() WatchRole { return WatchRole{Watches: true, Primary: true} }})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); c.Run(ctx) }()
	require.Less(t, <-s.deadlines, maxTimeWithoutContact)
	cancel()
	<-done
}

// Guards against upstreams removed without a grace period when their registrations
// lapse during a store outage. A follower gets its changes from a watcher and does
// not notice the outage itself.
func TestFollowerAppliesOutageGracePeriod(t *testing.T) {
	watcher, k := newCatalog()
	follower, _ := newCatalog()
	follower.opt.Now = k.Now
	watcher.replace(Upstreams, k.proven(readyRows("a", 10)), "store")
	require.NoError(t, follower.Merge(watcher.Snapshot(at(0), at(0), RowRevision{}), "watcher", follower.opt.Now()))
	k.advance(minOutage)
	watcher.update(Upstreams, k.proven(Listing{Rows: []Row{deletedRow("a1", 11)}, Revision: at(11)}), "store")
	require.NoError(t, follower.Merge(watcher.Snapshot(at(1), at(10), RowRevision{}), "watcher", follower.opt.Now()))
	require.Contains(t, follower.View().Upstreams, "a1")
	k.advance(outageGracePeriod + time.Millisecond)
	follower.ExpireGracePeriods()
	require.NotContains(t, follower.View().Upstreams, "a1")
}

// Guards against a grace period that is not shortened when a shorter drain
// timeout is configured, so that a leaving upstream stays in use for too long.
func TestDrainTimeoutCapsGracePeriod(t *testing.T) {
	c, k := newCatalog()
	c.SetDrainTimeout(time.Second)
	c.replace(Upstreams, k.proven(readyRows("a", 10)), "store")
	k.advance(minOutage)
	c.update(Upstreams, k.proven(Listing{Rows: []Row{deletedRow("a1", 11)}, Revision: at(11)}), "store")
	k.advance(900 * time.Millisecond)
	c.ExpireGracePeriods()
	require.NotContains(t, c.View().Upstreams, "a1")
}

// Guards against a grace period that starts when a deletion is seen. Changes made in the
// delay between two watches, or passed on, are seen late, so an upstream that left in a mass
// lapse stayed in use for longer than it may.
func TestGracePeriodCountsFromDeletion(t *testing.T) {
	k := &clock{now: time.Unix(1000, 0)}
	s := &scriptedStore{lists: []Listing{readyRows("a", 4)}, changes: make(chan Listing)}
	watcher := New(Options{Store: s, Decode: decoder, Now: k.Now, Random: func() float64 { return 0 }, Logger: event.DiscardLogger(),
		WatchRole: func() WatchRole { return WatchRole{Watches: true, Primary: true} }})
	follower, _ := newCatalog()
	follower.opt.Now = k.Now
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); watcher.Run(ctx) }()
	s.changes <- Listing{Rows: []Row{{Key: "b", Value: []byte("b,ready"), Revision: at(11)}}, Revision: at(11)}
	require.Eventually(t, func() bool { return len(watcher.View().Upstreams) == 5 }, 5*time.Second, time.Millisecond)
	require.NoError(t, follower.Merge(watcher.Snapshot(at(0), at(0), RowRevision{}), "watcher", k.Now()))
	k.advance(coalesceDelay[Upstreams])
	s.changes <- Listing{Rows: []Row{deletedRow("a1", 12), deletedRow("a2", 12), deletedRow("a3", 12)}, Revision: at(12)}
	require.Eventually(t, func() bool { _, r := watcher.Revisions(); return r == at(12) }, 5*time.Second, time.Millisecond)
	cancel()
	<-done
	snapshot, requestedAt := watcher.Snapshot(at(1), at(11), RowRevision{}), k.Now()
	k.advance(transferTime)
	require.NoError(t, follower.Merge(snapshot, "watcher", requestedAt))
	require.Contains(t, watcher.View().Upstreams, "a1")
	require.Contains(t, follower.View().Upstreams, "a1")
	k.advance(massLapseGracePeriod - coalesceDelay[Upstreams] - transferTime + time.Millisecond)
	for _, c := range []*Catalog{watcher, follower} {
		c.ExpireGracePeriods()
		require.NotContains(t, c.View().Upstreams, "a1")
	}
}

// Guards against an upstream that leaves and is used again, because the store performed one
// of its earlier writes late, before or after its registration was removed.
func TestLateWriteDoesNotMakeALeavingUpstreamReady(t *testing.T) {
	c, _ := newCatalog()
	number := int64(1)
	put := func(value string) {
		number++
		c.update(Upstreams, Listing{Revision: at(number), Rows: []Row{{Key: "u", Value: []byte(value), Revision: at(number), Deleted: value == ""}}}, "test")
	}
	c.replace(Upstreams, Listing{Revision: at(1)}, "test")
	put("a,ready,100,7")
	put("a,draining,100,8")
	put("a,ready,100,6")
	require.Equal(t, steering.Draining, c.View().Upstreams["u"].State)
	put("")
	put("a,ready,100,7")
	require.NotContains(t, c.View().Upstreams, "u")
	put("a,ready,100,9")
	require.Equal(t, steering.Ready, c.View().Upstreams["u"].State, "the same process has registered again")
	put("a,draining,100,10")
	put("a,ready,99,50")
	require.Equal(t, steering.Draining, c.View().Upstreams["u"].State, "a process that has ended")
	put("")
	put("a,ready,99,51")
	require.NotContains(t, c.View().Upstreams, "u", "a process that has ended")
	put("a,ready,101,1")
	require.EqualValues(t, 1, c.View().Upstreams["u"].Sequence, "another process counts anew")
}

// Guards against an order in which an outdated report wins: the state after random orders of
// writes is that of the newest report, on a watcher, on one that lists the table now and then,
// and on a peer.
func TestNewestReportWinsInAnyOrderOfWrites(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		watcher, k := newCatalog()
		lister, _ := newCatalog()
		peer, _ := newCatalog()
		catalogs := []*Catalog{watcher, lister, peer}
		for _, c := range catalogs {
			c.opt.Now = k.Now
			c.replace(Upstreams, Listing{Revision: at(1)}, "store")
		}
		var newest steering.Upstream
		for number := int64(2); number < 14; number++ {
			report := steering.Upstream{StartUnixMS: 100 + int64(random.IntN(3)), Sequence: int64(random.IntN(6))}
			// The state follows from the report, because each report is made once.
			state := []string{"ready", "draining"}[(report.StartUnixMS+report.Sequence)%2]
			row := Row{Key: "u", Value: fmt.Appendf(nil, "a,%s,%d,%d", state, report.StartUnixMS, report.Sequence), Revision: at(number)}
			if report.StartUnixMS > newest.StartUnixMS || report.StartUnixMS == newest.StartUnixMS && report.Sequence > newest.Sequence {
				newest = report
			}
			watcher.update(Upstreams, Listing{Rows: []Row{row}, Revision: at(number)}, "store")
			lister.replace(Upstreams, Listing{Rows: []Row{row}, Revision: at(number)}, "store")
			_, known := peer.Revisions()
			require.NoError(t, peer.Merge(watcher.Snapshot(at(1), known, RowRevision{}), "watcher", k.Now()))
			for i, c := range catalogs {
				u := c.View().Upstreams["u"]
				require.Equal(t, newest, steering.Upstream{StartUnixMS: u.StartUnixMS, Sequence: u.Sequence}, "catalog %d", i)
			}
		}
	}
}

// Guards against a store that falls behind an instance without a line in its log: event 604
// alone does not tell whether the listings that follow it are old.
func TestLogsThatTheStoreIsBehind(t *testing.T) {
	var log bytes.Buffer
	c, now := newCatalog()
	c.opt.Logger = event.NewLogger(&log, slog.LevelWarn, "instance", "i")
	c.replace(Directives, Listing{Revision: at(9), Rows: []Row{{Key: "config", Value: []byte("2"), Revision: at(9)}}}, storeSource)
	older := Listing{Revision: at(5), Rows: []Row{{Key: "config", Value: []byte("1"), Revision: at(5)}}}
	c.replace(Directives, older, storeSource)
	now.advance(time.Second)
	c.replace(Directives, older, storeSource)
	c.replace(Directives, Listing{Revision: at(9)}, "peer")
	now.advance(time.Second)
	c.replace(Directives, Listing{Revision: at(10), Rows: []Row{{Key: "config", Value: []byte("3"), Revision: at(10)}}}, storeSource)
	lines := strings.Split(strings.TrimSpace(log.String()), "\n")
	require.Len(t, lines, 2)
	require.Contains(t, lines[0], `"event":607,"table":"directives","behind":true,"held":"9","listed":"5","lasted_ms":0`)
	require.Contains(t, lines[1], `"event":607,"table":"directives","behind":false,"held":"9","listed":"10","lasted_ms":2000`)
}

// at returns a revision of a store that does not state its era.
func at(number int64) revision.Revision { return revision.Revision{Number: number} }
