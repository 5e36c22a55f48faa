package balance

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/exchange"
	"github.com/sequoiacove/sequoiacove/pkg/steering"
)

// Guards against requests sent to regions that the route does not allow, even if
// the allowed regions have no upstream left.
func TestRequestsStayInAllowedRegions(t *testing.T) {
	f := newFixture(2, 1)
	r := testRoute(0)
	r.AllowedRegions = []string{"s"}
	for i := range 200 {
		if l := acquire(f.balancers[0], r, fmt.Sprint(i)); l != nil {
			require.Equal(t, "s", regions[l.Domain])
		}
	}
	for id, u := range f.view.Upstreams {
		if regions[u.Domain] == "s" {
			delete(f.view.Upstreams, id)
		}
	}
	f.publish()
	require.Nil(t, acquire(f.balancers[0], r, "1"))
}

// Guards against requests to an evacuated failure domain or a draining upstream.
func TestEvacuatedAndDrainingUpstreamsGetNoRequests(t *testing.T) {
	f := newFixture(1, 2)
	f.view.EvacuatedDomains["n-a"] = true
	u := f.view.Upstreams["n-b-0"]
	u.State = steering.Draining
	f.view.Upstreams["n-b-0"] = u
	f.publish()
	for i := range 300 {
		if l := acquire(f.balancers[0], testRoute(0), fmt.Sprint(i)); l != nil {
			require.NotEqual(t, "n-a", l.Domain)
			require.NotEqual(t, "n-b-0", l.Target.ID)
		}
	}
}

// Guards against upstreams that are treated as warm after an evacuation.
func TestUpstreamsAreColdAfterEvacuation(t *testing.T) {
	f := newFixture(1, 1)
	f.view.EvacuatedDomains = map[string]bool{"n-a": true}
	f.publish()
	f.view.EvacuatedDomains = map[string]bool{}
	f.publish()
	b := f.balancers[0]
	require.True(t, b.upstreams["n-a-0"].coldUntil.After(f.Now()))
	require.False(t, b.upstreams["n-b-0"].coldUntil.After(f.Now()))
}

// Guards against requests of high priority being refused before those of lower
// priority: each priority must have queue space that lower ones cannot use.
func TestLowPriorityRequestsAreRefusedFirst(t *testing.T) {
	f := newFixture(1, 1)
	admitted := map[int]int{}
	for _, priority := range []int{2, 1, 0} {
		for i := range 400 {
			if acquire(f.balancers[0], testRoute(priority), fmt.Sprint(i)) != nil {
				admitted[priority]++
			}
		}
		require.Positive(t, admitted[priority], "priority %d has no queue space beyond that of lower priorities", priority)
	}
}

// Guards against a waiting request that is not dispatched when a slot becomes
// free, and against dispatching a request of lower priority first.
func TestFreedSlotGoesToHighestPriorityWaiter(t *testing.T) {
	f := newFixture(1, 0)
	f.addUpstream("one", "n-a")
	f.publish()
	b := f.balancers[0]
	var held []*Lease
	for l := acquire(b, testRoute(0), ""); l != nil; l = acquire(b, testRoute(0), "") {
		held = append(held, l)
	}
	got := make(chan int, 2)
	wait := func(priority int) {
		if b.Acquire(context.Background(), AcquireRequest{Service: service, Route: testRoute(priority)}, 5*time.Second) != nil {
			got <- priority
		}
	}
	waiters := func() int {
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.pools[service].waiters)
	}
	go wait(2)
	require.Eventually(t, func() bool { return waiters() == 1 }, time.Second, time.Millisecond)
	go wait(0)
	require.Eventually(t, func() bool { return waiters() == 2 }, time.Second, time.Millisecond)
	held[0].Done(answered(time.Millisecond))
	require.Equal(t, 0, <-got)
	for _, l := range held[1:] {
		l.Done(answered(time.Millisecond))
	}
	require.Equal(t, 2, <-got)
}

// Guards against an unreachable upstream that receives more than one probe at a
// time, and against one that is never probed.
func TestUnreachableUpstreamIsProbedByOneRequest(t *testing.T) {
	f := newFixture(1, 0)
	f.addUpstream("one", "n-a")
	f.publish()
	b := f.balancers[0]
	l := acquire(b, testRoute(0), "")
	l.Done(&exchange.Result{Outcome: exchange.NotRun, Reason: exchange.ConnectFailed})
	require.Nil(t, acquire(b, testRoute(0), ""))
	f.advance(minEjectionTime + time.Millisecond)
	probe := acquire(b, testRoute(0), "")
	require.NotNil(t, probe)
	require.Nil(t, acquire(b, testRoute(0), ""), "only one probe may be in flight")
	probe.Done(answered(time.Millisecond))
	require.NotNil(t, acquire(b, testRoute(0), ""))
	require.True(t, b.upstreams["one"].coldUntil.After(f.Now()), "an upstream that was unreachable may have restarted and must be cold")
}

// Guards against probing an ejected upstream with a request that is not
// idempotent.
func TestNonIdempotentRequestDoesNotProbe(t *testing.T) {
	f := newFixture(1, 0)
	f.addUpstream("one", "n-a")
	f.publish()
	b := f.balancers[0]
	acquire(b, testRoute(0), "").Done(&exchange.Result{Outcome: exchange.NotRun, Reason: exchange.ConnectFailed})
	f.advance(minEjectionTime + time.Millisecond)
	r := testRoute(0)
	r.Idempotent = false
	require.Nil(t, acquire(b, r, ""))
}

// Guards against an upstream that stays ejected forever because its service has
// no idempotent requests to probe it.
func TestUpstreamWithoutIdempotentRequestsIsProbed(t *testing.T) {
	f := newFixture(1, 0)
	f.addUpstream("one", "n-a")
	f.publish()
	b := f.balancers[0]
	r := testRoute(0)
	r.Idempotent = false
	acquire(b, r, "").Done(&exchange.Result{Outcome: exchange.NotRun, Reason: exchange.ConnectFailed})
	f.advance(minEjectionTime + idempotentProbeWindow + time.Millisecond)
	probe := acquire(b, r, "")
	require.NotNil(t, probe)
	require.Nil(t, acquire(b, r, ""), "only one probe may be in flight")
	probe.Done(answered(time.Millisecond))
	require.NotNil(t, acquire(b, r, ""))
}

// Guards against a failure domain that becomes reachable before one of its
// upstreams has answered, and against one that is never probed.
func TestUnreachableDomainIsProbed(t *testing.T) {
	f := newFixture(1, 0)
	f.addUpstream("near", "n-a")
	f.addUpstream("far", "s-a")
	f.publish()
	b := f.balancers[0]
	req := AcquireRequest{Service: service, Route: testRoute(0), Domain: "s-a"}
	_, due := b.DomainToProbe(service, true)
	require.False(t, due)
	b.Acquire(context.Background(), req, 0).Done(&exchange.Result{Outcome: exchange.NotRun, Reason: exchange.ConnectFailed})
	f.advance(minEjectionTime + time.Millisecond)
	require.Equal(t, map[string]bool{"n-a": true}, b.ReachableDomains()[service])
	domain, due := b.DomainToProbe(service, true)
	require.True(t, due)
	require.Equal(t, "s-a", domain)
	probe := b.Acquire(context.Background(), req, 0)
	_, due = b.DomainToProbe(service, true)
	require.False(t, due, "a probe is already in flight")
	probe.Done(answered(time.Millisecond))
	require.Equal(t, map[string]bool{"n-a": true, "s-a": true}, b.ReachableDomains()[service])
}

// Guards against an upstream that keeps its previous state after a restart under
// the same id.
func TestRestartResetsUpstreamState(t *testing.T) {
	f := newFixture(1, 0)
	f.addUpstream("one", "n-a")
	f.publish()
	b := f.balancers[0]
	acquire(b, testRoute(0), "").Done(&exchange.Result{Outcome: exchange.NotRun, Reason: exchange.Misdirected})
	require.Nil(t, acquire(b, testRoute(0), ""))
	u := f.view.Upstreams["one"]
	u.StartUnixMS = 2
	f.view.Upstreams["one"] = u
	f.publish()
	require.NotNil(t, acquire(b, testRoute(0), ""))
}

// Guards against a peer's load report that is ignored, counted twice or kept after
// it expired.
func TestPeerLoadIsCounted(t *testing.T) {
	f := newFixture(1, 0)
	f.addUpstream("one", "n-a")
	f.publish()
	b := f.balancers[0]
	fullLoad := []InFlight{{UpstreamHash: hash("one"), Count: 4 + queueLimit(0)}}
	b.SetPeerInFlight("p", "n", fullLoad)
	b.SetPeerInFlight("p", "n", fullLoad)
	require.Nil(t, acquire(b, testRoute(0), ""))
	b.SetPeerInFlight("p", "n", nil)
	require.NotNil(t, acquire(b, testRoute(0), ""))
	b.SetPeerInFlight("p", "n", fullLoad)
	f.advance(inFlightReportTTL + time.Millisecond)
	b.ExpirePeers()
	require.NotNil(t, acquire(b, testRoute(0), ""), "the report of a silent peer must expire")
}

// Guards against a traffic split that deviates from its weights.
func TestSplitFollowsWeights(t *testing.T) {
	f := newFixture(1, 1)
	r := testRoute(0)
	r.Split = []steering.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}
	counts := map[string]int{}
	for range 1000 {
		counts[f.balancers[0].ChooseService(r)]++
	}
	require.InDelta(t, 900, counts["a"], 2)
	require.InDelta(t, 100, counts["b"], 2)
	require.Zero(t, counts["c"])
}

// Guards against a refusal that does not identify its cause: every upstream must
// be counted under exactly one reason.
func TestExplainCountsEveryUpstreamOnce(t *testing.T) {
	f := newFixture(1, 2)
	f.view.EvacuatedDomains["n-a"] = true
	u := f.view.Upstreams["n-b-0"]
	u.State = steering.Draining
	f.view.Upstreams["n-b-0"] = u
	cold := f.view.Upstreams["n-b-1"]
	cold.ColdRemaining, cold.StartUnixMS = time.Minute, 2
	f.view.Upstreams["n-b-1"] = cold
	f.publish()
	b := f.balancers[0]
	r := testRoute(2)
	peerInFlight := []InFlight{{UpstreamHash: hash("s-a-0"), Count: 40}, {UpstreamHash: hash("s-a-1"), Count: 40}, {UpstreamHash: hash("n-b-1"), Count: 40}}
	b.SetPeerInFlight("p", "n", peerInFlight)
	require.Equal(t, Refusal{Upstreams: 8, Evacuated: 2, Unavailable: 1, Cold: 1, Full: 2, AffinityOnly: 1, Tried: 1}, b.Explain(AcquireRequest{Service: service, Route: r, ExcludedUpstreams: []string{"s-b-0"}}))
	// The object's region is full while the other one has room.
	key := "object"
	region := b.Explain(AcquireRequest{Service: service, Route: r, Key: key}).Region
	for _, u := range b.upstreams {
		if u.region == region {
			peerInFlight = append(peerInFlight, InFlight{UpstreamHash: u.hash, Count: 40})
		}
	}
	b.SetPeerInFlight("p", "n", peerInFlight)
	refusal := b.Explain(AcquireRequest{Service: service, Route: r, Key: key})
	require.Zero(t, refusal.AffinityOnly)
	require.Equal(t, refusal.Upstreams, refusal.Evacuated+refusal.Unavailable+refusal.Cold+refusal.Full+refusal.OtherRegion)
}

// Guards against ejecting an upstream because requests ended before a connection was open.
func TestEndOfTheRequestIsNoEvidenceAgainstTheUpstream(t *testing.T) {
	f := newFixture(1, 0)
	f.addUpstream("one", "n-a")
	f.publish()
	b := f.balancers[0]
	for range 2 * maxConsecutiveFailures {
		for _, reason := range []exchange.Reason{exchange.Cancelled, exchange.OutOfTime} {
			acquire(b, testRoute(0), "").Done(&exchange.Result{Outcome: exchange.NotRun, Reason: reason})
		}
	}
	u := b.upstreams["one"]
	require.Zero(t, u.consecutiveEjections)
	require.Zero(t, u.failureRate)
	require.False(t, u.unreachable)
}
