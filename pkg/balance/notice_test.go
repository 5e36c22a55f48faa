package balance

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/exchange"
	"github.com/sequoiacove/sequoiacove/pkg/steering"
)

// newNoticeFixture returns a fixture with one instance and the upstreams "u" and "other".
func newNoticeFixture() *fixture {
	f := newFixture(1, 0)
	f.addUpstream("u", "n-a")
	f.addUpstream("other", "n-a")
	f.publish()
	return f
}

// respond sends a request to an upstream, which answers with r.
func (f *fixture) respond(t *testing.T, id string, r *exchange.Result) {
	l := f.leaseOn(id)
	require.NotNil(t, l, "no lease on %s", id)
	l.Done(r)
}

// leaseOn returns a lease on an upstream, nil if it admits no request.
func (f *fixture) leaseOn(id string) *Lease {
	excluded := []string{}
	for other := range f.view.Upstreams {
		if other != id {
			excluded = append(excluded, other)
		}
	}
	return f.balancers[0].Acquire(context.Background(), AcquireRequest{Service: service, Route: testRoute(0), ExcludedUpstreams: excluded}, 0)
}

func closedFor(d time.Duration) *exchange.Result {
	return &exchange.Result{Outcome: exchange.NotRun, Reason: exchange.Shed, Status: 503, RetryAfter: d}
}

// Guards against requests to an upstream that has said that it leaves: while its
// registration says that it is ready, after the registration was removed and written again
// late, and after that of an earlier start.
func TestUpstreamThatSaidItLeavesGetsNoRequests(t *testing.T) {
	f := newNoticeFixture()
	pending := f.leaseOn("u")
	require.False(t, pending.Withdrawn())
	f.respond(t, "u", &exchange.Result{Outcome: exchange.Answered, Status: 200, Leaving: true})
	require.True(t, pending.Withdrawn(), "a request that was not sent yet must not be sent")
	pending.Done(answered(time.Millisecond))
	ready := f.view.Upstreams["u"]
	register := func(startUnixMS int64) {
		delete(f.view.Upstreams, "u")
		f.publish()
		ready.StartUnixMS = startUnixMS
		f.view.Upstreams["u"] = ready
		f.publish()
	}
	for _, startUnixMS := range []int64{1, 0} {
		register(startUnixMS)
		f.advance(time.Minute)
		require.Nil(t, f.leaseOn("u"), "start %d", startUnixMS)
	}
	require.False(t, f.balancers[0].ReachableDomains()[service]["s-a"])
	register(2)
	require.NotNil(t, f.leaseOn("u"), "it has started again")
}

// Guards against reports of other instances that are ignored, or that take a new start of
// an upstream out of use.
func TestPeersReportUpstreamsThatLeave(t *testing.T) {
	f := newFixture(2, 0)
	f.addUpstream("u", "n-a")
	f.publish()
	a, b := f.balancers[0], f.balancers[1]
	b.setPeerLeaving("n", []Leaving{{UpstreamHash: hash("u"), StartUnixMS: 9}, {UpstreamHash: 1}, {UpstreamHash: hash("u"), StartUnixMS: 1, Age: time.Minute}})
	require.True(t, b.upstreams["u"].acceptsRequests())
	acquire(a, testRoute(0), "").Done(&exchange.Result{Outcome: exchange.Answered, Status: 200, Leaving: true})
	require.Len(t, a.ownLeaving(), 1)
	b.setPeerLeaving("n", a.ownLeaving())
	require.False(t, b.upstreams["u"].acceptsRequests())
	require.Empty(t, b.ownLeaving(), "only what an instance heard itself is reported to its region")
	require.Empty(t, b.regionLeaving(), "the report came from another region")
	f.advance(noticeReportTime + time.Millisecond)
	require.Empty(t, a.ownLeaving())
}

// Guards against requests to an upstream that asked for none for a time, and against all
// that waited going there at once afterwards.
func TestClosedUpstreamGetsNoRequests(t *testing.T) {
	f := newNoticeFixture()
	f.respond(t, "u", closedFor(10*time.Second))
	require.Nil(t, f.leaseOn("u"))
	f.advance(9 * time.Second)
	f.publish()
	require.Nil(t, f.leaseOn("u"), "closed for 10 s")
	f.advance(time.Second)
	first := f.leaseOn("u")
	require.NotNil(t, first)
	require.Nil(t, f.leaseOn("u"), "one request until it has been answered")
	first.Done(closedFor(time.Second))
	require.Nil(t, f.leaseOn("u"))
	f.advance(time.Second)
	f.respond(t, "u", answered(time.Millisecond))
	require.NotNil(t, f.leaseOn("u"))
	require.NotNil(t, f.leaseOn("u"))
}

// Guards against a closed time that a later, shorter one ends, and one that is forgotten
// because the registration was removed meanwhile.
func TestClosedTimeIsNotShortened(t *testing.T) {
	f := newNoticeFixture()
	second := f.leaseOn("u")
	f.respond(t, "u", closedFor(5*time.Second))
	second.Done(closedFor(time.Second))
	f.advance(2 * time.Second)
	require.Nil(t, f.leaseOn("u"))
	u := f.view.Upstreams["u"]
	delete(f.view.Upstreams, "u")
	f.publish()
	f.view.Upstreams["u"] = u
	f.publish()
	require.Nil(t, f.leaseOn("u"))
	f.advance(3 * time.Second)
	require.NotNil(t, f.leaseOn("u"))
}

// Guards against requests that wait although no upstream can open in time, and against
// callers that are told to come back before one opens.
func TestRequestsAreRefusedAtOnceWhileAllUpstreamsAreClosed(t *testing.T) {
	f := newNoticeFixture()
	b, req := f.balancers[0], AcquireRequest{Service: service, Route: testRoute(0)}
	f.respond(t, "u", closedFor(5*time.Second))
	require.Zero(t, b.OpensIn(req))
	f.respond(t, "other", closedFor(3*time.Second))
	f.view.Upstreams["leaving"] = steering.Upstream{ID: "leaving", Service: service, Domain: "n-a", Slots: 4, State: steering.Draining, StartUnixMS: 1}
	f.publish()
	require.Equal(t, 3*time.Second, b.OpensIn(req))
	require.Equal(t, 2, b.Explain(req).Closed)
	start := time.Now()
	require.Nil(t, b.Acquire(context.Background(), req, time.Second))
	require.Less(t, time.Since(start), 500*time.Millisecond)
}
