package catalog

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/steering"
)

// decoder reads "version" rows as configurations and "service,state" rows as
// upstreams.
var decoder = Decoder{
	Directive: func(key string, value []byte) (steering.Directive, error) {
		if zone, ok := strings.CutPrefix(key, "evacuate/"); ok {
			return steering.Directive{Evacuate: zone}, nil
		}
		v, err := strconv.Atoi(string(value))
		return steering.Directive{Config: &steering.Config{Version: steering.Version(v)}}, err
	},
	Upstream: func(key string, value []byte) (steering.Upstream, error) {
		service, state, ok := strings.Cut(string(value), ",")
		if !ok {
			return steering.Upstream{}, errors.New("unreadable")
		}
		u := steering.Upstream{ID: key, Service: service, State: steering.Ready}
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

func newCatalog() (*Catalog, *clock) {
	k := &clock{now: time.Unix(1000, 0)}
	c := New(Options{Decode: decoder, Now: k.Now, Random: func() float64 { return 0.5 }, Logger: event.Discard(),
		WatchRole: func() WatchRole { return WatchRole{Watches: true, Primary: true} }})
	return c, k
}

// ready returns n registrations of a service from revision 1 on.
func ready(service string, n int) Listing {
	l := Listing{Revision: int64(n)}
	for i := 1; i <= n; i++ {
		l.Rows = append(l.Rows, Row{Key: fmt.Sprintf("%s%d", service, i), Value: []byte(service + ",ready"), Revision: int64(i)})
	}
	return l
}

func deletion(key string, revision int64) Row {
	return Row{Key: key, Revision: revision, Deleted: true}
}

// Guards against a configuration that goes back, and against an unreadable one
// that replaces the last good one.
func TestConfigurationNeverGoesBack(t *testing.T) {
	c, _ := newCatalog()
	c.replace(Directives, Listing{Rows: []Row{{Key: "config", Value: []byte("7"), Revision: 5}}, Revision: 5}, "store")
	require.EqualValues(t, 7, c.View().Config.Version)
	c.update(Directives, Listing{Rows: []Row{{Key: "config", Value: []byte("6"), Revision: 6}}, Revision: 6}, "store")
	require.EqualValues(t, 7, c.View().Config.Version)
	c.update(Directives, Listing{Rows: []Row{{Key: "config", Value: []byte("x"), Revision: 7}}, Revision: 7}, "store")
	require.EqualValues(t, 7, c.View().Config.Version)
	c.replace(Directives, Listing{Rows: []Row{{Key: "config", Value: []byte("8"), Revision: 4}}, Revision: 4}, "peer")
	require.EqualValues(t, 7, c.View().Config.Version, "an older table of a peer")
}

// Guards against an evacuation that ends by itself or never ends.
func TestEvacuationFollowsItsRow(t *testing.T) {
	c, _ := newCatalog()
	c.replace(Directives, Listing{Rows: []Row{{Key: "evacuate/a", Value: []byte("{}"), Revision: 1}}, Revision: 1}, "store")
	require.True(t, c.View().Evacuated["a"])
	c.update(Directives, Listing{Rows: []Row{{Key: "config", Value: []byte("7"), Revision: 2}}, Revision: 2}, "store")
	require.True(t, c.View().Evacuated["a"])
	c.update(Directives, Listing{Rows: []Row{deletion("evacuate/a", 3)}, Revision: 3}, "store")
	require.False(t, c.View().Evacuated["a"])
}

// Guards against an upstream that keeps getting requests after it left, and
// against one that is dropped for a lapse that the store's absence caused.
func TestLapseIsHeldOnlyAroundAnOutage(t *testing.T) {
	c, k := newCatalog()
	c.replace(Upstreams, ready("a", 10), "store")
	c.update(Upstreams, Listing{Rows: []Row{deletion("a1", 11)}, Revision: 11}, "store")
	require.NotContains(t, c.View().Upstreams, "a1", "a removal with the store in order")
	c.record(Upstreams, errors.New("away"))
	c.record(Upstreams, nil)
	c.update(Upstreams, Listing{Rows: []Row{deletion("a2", 12)}, Revision: 12}, "store")
	require.Contains(t, c.View().Upstreams, "a2", "a lapse after an outage")
	k.advance(outageHold + time.Millisecond)
	c.Expire()
	require.NotContains(t, c.View().Upstreams, "a2", "it did not register again")
}

// Guards against a service that loses most of its upstreams at once because
// their registrations lapsed, and against a hold beyond the time in which a
// leaving upstream must be dropped.
func TestMassLapseIsHeld(t *testing.T) {
	c, k := newCatalog()
	c.replace(Upstreams, ready("a", 4), "store")
	c.update(Upstreams, Listing{Rows: []Row{deletion("a1", 5), deletion("a2", 5), deletion("a3", 5)}, Revision: 5}, "store")
	require.Len(t, c.View().Upstreams, 4)
	c.update(Upstreams, Listing{Rows: []Row{{Key: "a1", Value: []byte("a,ready"), Revision: 6}}, Revision: 6}, "store")
	k.advance(massHold + time.Millisecond)
	c.Expire()
	require.Len(t, c.View().Upstreams, 2, "a1 registered again, a4 never left")
}

// Guards against an instance that once failed to reach the store, takes its
// changes from peers since, and holds every upstream that leaves.
func TestOldFailureDoesNotHoldLapses(t *testing.T) {
	c, k := newCatalog()
	c.replace(Upstreams, ready("a", 10), "store")
	c.record(Upstreams, errors.New("away"))
	k.advance(outageMemory + time.Millisecond)
	c.take(Upstreams, Listing{Rows: []Row{deletion("a1", 11)}, Since: 10, Revision: 11}, "peer")
	require.NotContains(t, c.View().Upstreams, "a1")
}

// Guards against a draining upstream that a mass lapse brings back into use.
func TestDrainingUpstreamIsNotHeld(t *testing.T) {
	c, _ := newCatalog()
	c.replace(Upstreams, ready("a", 4), "store")
	c.update(Upstreams, Listing{Rows: []Row{{Key: "a1", Value: []byte("a,draining"), Revision: 5}}, Revision: 5}, "store")
	c.update(Upstreams, Listing{Rows: []Row{deletion("a1", 6), deletion("a2", 6), deletion("a3", 6), deletion("a4", 6)}, Revision: 6}, "store")
	require.NotContains(t, c.View().Upstreams, "a1")
	require.Contains(t, c.View().Upstreams, "a2")
}

// Guards against an unreadable registration that keeps its upstream in use or
// that disturbs the others.
func TestUnreadableRowNamesNoUpstream(t *testing.T) {
	c, _ := newCatalog()
	c.replace(Upstreams, ready("a", 3), "store")
	c.update(Upstreams, Listing{Rows: []Row{{Key: "a2", Value: []byte("?"), Revision: 4}, {Key: "b", Value: nil, Revision: 4}}, Revision: 4}, "store")
	require.Len(t, c.View().Upstreams, 2)
}

// Guards against changes that reach a peer without deletions, or that it
// applies although it lacks older ones.
func TestPeerTakesChanges(t *testing.T) {
	a, _ := newCatalog()
	b, _ := newCatalog()
	a.replace(Upstreams, ready("a", 10), "store")
	b.Merge(a.Snapshot(0, 0), "a")
	require.Len(t, b.View().Upstreams, 10)
	a.update(Upstreams, Listing{Rows: []Row{deletion("a1", 11), {Key: "n", Value: []byte("a,ready"), Revision: 12}}, Revision: 12}, "store")
	_, revision := b.Revisions()
	s := a.Snapshot(0, revision)
	require.Len(t, s.Upstreams.Rows, 2, "only what changed travels")
	b.Merge(s, "a")
	require.Equal(t, a.View().Upstreams, b.View().Upstreams)
	late, _ := newCatalog()
	late.replace(Upstreams, ready("a", 5), "store")
	late.Merge(s, "a")
	_, revision = late.Revisions()
	require.EqualValues(t, 5, revision, "changes with a gap are dropped")
}

// scripted answers the calls of a catalog in turn and then blocks.
type scripted struct {
	Store
	mu    sync.Mutex
	calls []string
	lists []Listing
	gone  bool
	reply chan Listing
}

func (s *scripted) List(_ context.Context, table Table) (Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if table != Upstreams || len(s.lists) == 0 {
		return Listing{Revision: 1}, nil
	}
	s.calls = append(s.calls, "list")
	l := s.lists[0]
	s.lists = s.lists[1:]
	return l, nil
}

func (s *scripted) Watch(ctx context.Context, table Table, after int64, _ time.Duration) (Listing, error) {
	if table != Upstreams {
		<-ctx.Done()
		return Listing{}, ctx.Err()
	}
	s.mu.Lock()
	s.calls = append(s.calls, fmt.Sprintf("watch %d", after))
	gone := s.gone
	s.gone = false
	s.mu.Unlock()
	if gone {
		return Listing{}, ErrHistoryGone
	}
	select {
	case l := <-s.reply:
		return l, nil
	case <-ctx.Done():
		return Listing{}, ctx.Err()
	}
}

// Guards against changes that are missed when the store drops its history.
func TestListsAgainWhenHistoryIsGone(t *testing.T) {
	s := &scripted{lists: []Listing{ready("a", 3), {Revision: 9, Rows: []Row{{Key: "z", Value: []byte("a,ready"), Revision: 9}}}}, gone: true, reply: make(chan Listing)}
	c := New(Options{Store: s, Decode: decoder, Now: time.Now, Random: func() float64 { return 0 }, Logger: event.Discard(),
		WatchRole: func() WatchRole { return WatchRole{Watches: true, Primary: true} }})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); c.Run(ctx) }()
	require.Eventually(t, func() bool { return c.View().Upstreams["z"].ID == "z" }, 5*time.Second, time.Millisecond)
	s.reply <- Listing{Rows: []Row{{Key: "y", Value: []byte("a,ready"), Revision: 10}}, Revision: 10}
	require.Eventually(t, func() bool { return c.View().Upstreams["y"].ID == "y" }, 5*time.Second, time.Millisecond)
	cancel()
	<-done
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Equal(t, []string{"list", "watch 3", "list", "watch 9"}, s.calls[:4])
}

// silentStore answers no watch.
type silentStore struct {
	Store
	deadlines chan time.Duration
}

func (s *silentStore) List(context.Context, Table) (Listing, error) { return Listing{Revision: 1}, nil }

func (s *silentStore) Watch(ctx context.Context, _ Table, _ int64, _ time.Duration) (Listing, error) {
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

// Guards against a watch on a connection that went silent, which hides changes
// for longer than an instance may take to be in touch again.
func TestSilentWatchIsGivenUpInTime(t *testing.T) {
	const inTouch = 4 * time.Second
	s := &silentStore{deadlines: make(chan time.Duration, 1)}
	c := New(Options{Store: s, Decode: decoder, Now: time.Now, Random: func() float64 { return 0 }, Logger: event.Discard(),
		WatchRole: func() WatchRole { return WatchRole{Watches: true, Primary: true} }})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); c.Run(ctx) }()
	require.Less(t, <-s.deadlines, inTouch)
	cancel()
	<-done
}

// Guards against an instance that takes its changes from a peer and drops the
// upstreams whose registrations lapsed in an outage that only the peer saw.
func TestFollowerHoldsLapsesOfAnOutage(t *testing.T) {
	watcher, _ := newCatalog()
	follower, k := newCatalog()
	watcher.replace(Upstreams, ready("a", 10), "store")
	follower.Merge(watcher.Snapshot(0, 0), "watcher")
	watcher.record(Upstreams, errors.New("away"))
	watcher.update(Upstreams, Listing{Rows: []Row{deletion("a1", 11)}, Revision: 11}, "store")
	follower.Merge(watcher.Snapshot(1, 10), "watcher")
	require.Contains(t, follower.View().Upstreams, "a1")
	k.advance(outageHold + time.Millisecond)
	follower.Expire()
	require.NotContains(t, follower.View().Upstreams, "a1")
}

// Guards against a hold that outlasts the time in which a leaving upstream has
// to be dropped where a deployment states a shorter one.
func TestHoldsKeepToTheLeaveTime(t *testing.T) {
	c, k := newCatalog()
	c.SetLeaveTime(time.Second)
	c.replace(Upstreams, ready("a", 10), "store")
	c.record(Upstreams, errors.New("away"))
	c.update(Upstreams, Listing{Rows: []Row{deletion("a1", 11)}, Revision: 11}, "store")
	k.advance(900 * time.Millisecond)
	c.Expire()
	require.NotContains(t, c.View().Upstreams, "a1")
}
