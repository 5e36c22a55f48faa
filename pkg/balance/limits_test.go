package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/steering"
)

// Guards against a cold upstream that receives more requests per second from all
// instances together than its cold rate allows.
func TestColdRateHoldsAcrossInstances(t *testing.T) {
	for _, n := range []int{1, 4, 12, 75} {
		f := newFixture(n, 0)
		u := steering.Upstream{ID: "cold", Service: service, Address: "c:1", Domain: "n-a", Slots: 400, State: steering.Ready, ColdRemaining: time.Minute, StartUnixMS: 1}
		f.view.Upstreams["cold"] = u
		f.publish()
		limit := coldRateFactor*16.0 + coldRateAllowance
		var sent []time.Time
		for range 300 {
			for _, b := range f.balancers {
				if acquire(b, testRoute(0), "") != nil {
					sent = append(sent, f.Now())
				}
			}
			f.advance(10 * time.Millisecond)
		}
		require.NotEmpty(t, sent)
		for i := range sent {
			inWindow := 0
			for _, s := range sent[i:] {
				if s.Sub(sent[i]) < time.Second {
					inWindow++
				}
			}
			require.LessOrEqual(t, float64(inWindow), limit, "%d instances", n)
		}
	}
}

// Guards against retries of all instances together that exceed the retry budget.
func TestRetryBudgetHoldsAcrossInstances(t *testing.T) {
	f := newFixture(12, 20)
	requests, retries := 0, 0
	for range 1000 {
		for _, b := range f.balancers {
			if l := acquire(b, testRoute(0), ""); l != nil {
				l.Done(answered(time.Millisecond))
			}
			requests++
			if b.AllowRetry(service) {
				retries++
			}
		}
		f.advance(9 * time.Millisecond)
	}
	require.LessOrEqual(t, float64(retries), globalLimits.MaxRetryRatio*float64(requests)+globalLimits.ExtraRetries)
	require.Positive(t, retries)
}

// partition makes every balancer see no other live instance.
func (f *fixture) partition() {
	for _, b := range f.balancers {
		b.SetInstances(nil, 0)
	}
}

// allowedRetries returns the number of retries that all balancers allow within a
// window in which each of them receives the given number of requests.
func (f *fixture) allowedRetries(requests int) int {
	n := 0
	for range requests {
		for _, b := range f.balancers {
			if l := acquire(b, testRoute(0), ""); l != nil {
				l.Done(answered(time.Millisecond))
			}
			for b.AllowRetry(service) {
				n++
			}
		}
	}
	return n
}

// Guards against partitioned instances that each use the whole retry budget.
func TestRetryBudgetHoldsDuringPartition(t *testing.T) {
	f := newFixture(12, 4)
	f.partition()
	f.advance(deadInstanceRetention - time.Second)
	limit := globalLimits.MaxRetryRatio*float64(12*5) + globalLimits.ExtraRetries
	require.LessOrEqual(t, float64(f.allowedRetries(5)), limit)
}

// Guards against an instance that starts during a partition, knows the other
// instances only by address, and uses the whole retry budget.
func TestRetryBudgetCountsInstancesKnownByAddressOnly(t *testing.T) {
	f := newFixture(1, 4)
	f.balancers[0].SetInstances(nil, 11)
	require.LessOrEqual(t, float64(f.allowedRetries(1)), globalLimits.MaxRetryRatio+globalLimits.ExtraRetries/12)
}

// Guards against an instance that shut down cleanly but still counts towards
// global limits. A dead one counts until deadInstanceRetention has passed.
func TestLeavingInstanceReleasesItsShareOfLimits(t *testing.T) {
	f := newFixture(2, 4)
	b := f.balancers[0]
	b.SetInstances([]Instance{{ID: "i1", Region: "s", Leaving: true}}, 0)
	b.SetInstances(nil, 0)
	require.Equal(t, 1, b.instanceCount())
	b.SetInstances([]Instance{{ID: "i1", Region: "s"}}, 0)
	b.SetInstances(nil, 0)
	require.Equal(t, 2, b.instanceCount())
	f.advance(deadInstanceRetention + time.Second)
	b.ExpirePeers()
	require.Equal(t, 1, b.instanceCount())
}

// sentInOneSecond returns the number of requests that the balancers grant within a second in
// which each of them is asked 100 times.
func (f *fixture) sentInOneSecond(balancers []*Balancer) int {
	sent := 0
	for range 100 {
		for _, b := range balancers {
			if acquire(b, testRoute(0), "") != nil {
				sent++
			}
		}
		f.advance(10 * time.Millisecond)
	}
	return sent
}

// Guards against partitioned instances that each send the full rate to a cold
// upstream.
func TestColdRateHoldsDuringPartition(t *testing.T) {
	f := newFixture(12, 0)
	f.view.Upstreams["cold"] = steering.Upstream{ID: "cold", Service: service, Address: "c:1", Domain: "n-a", Slots: 400, State: steering.Ready, ColdRemaining: time.Minute, StartUnixMS: 1}
	f.publish()
	f.partition()
	sent := f.sentInOneSecond(f.balancers)
	require.Positive(t, sent)
	require.LessOrEqual(t, float64(sent), coldRateFactor*16+coldRateAllowance)
}

// Guards against all instances together opening more connections to an upstream
// than its service allows.
func TestConnectionLimitHoldsAcrossInstances(t *testing.T) {
	const limit = 20
	f := newFixture(12, 0)
	f.view.Config.Services[service].MaxConnections = limit
	f.view.Upstreams["u"] = steering.Upstream{ID: "u", Service: service, Address: "u:1", Domain: "n-a", Slots: 400, State: steering.Ready, StartUnixMS: 1}
	f.publish()
	for range 50 {
		for _, b := range f.balancers {
			acquire(b, testRoute(0), "")
		}
	}
	open := 0
	for _, b := range f.balancers {
		u := b.upstreams["u"]
		require.Positive(t, u.inFlight, "every instance may open at least one connection")
		open += u.inFlight
	}
	require.LessOrEqual(t, open, limit)
}

// Guards against instances that each use the connection limit of an upstream alone after
// a restart of all, because they do not know each other yet.
func TestConnectionLimitHoldsAfterRestartOfAllInstances(t *testing.T) {
	const limit = 60
	f := newFixture(12, 0)
	f.view.Config.Services[service].MaxConnections = limit
	f.addUpstream("u", "n-a")
	open := 0
	for _, b := range f.balancers {
		restarted := New(b.config)
		restarted.Update(f.view)
		for range 50 {
			acquire(restarted, testRoute(0), "")
		}
		require.Positive(t, restarted.upstreams["u"].inFlight, "every instance may open at least one connection")
		open += restarted.upstreams["u"].inFlight
	}
	require.LessOrEqual(t, open, limit)
}

// Guards against a cold upstream that gets a request from every instance when all
// instances have been restarted and do not know each other yet.
func TestColdRateHoldsAfterRestartOfAllInstances(t *testing.T) {
	f := newFixture(26, 1)
	cold := f.view.Upstreams["n-a-0"]
	cold.ColdRemaining = 10 * time.Second
	f.view = &steering.View{Config: f.view.Config, Upstreams: map[string]steering.Upstream{cold.ID: cold}, EvacuatedDomains: map[string]bool{}}
	var restarted []*Balancer
	for _, b := range f.balancers {
		restarted = append(restarted, New(b.config))
	}
	sent := 0
	for step := range 30 {
		for i, b := range restarted {
			if step == 0 {
				b.Update(f.view)
			}
			if step == 15 {
				b.SetInstances(liveInstances(f.balancers), 0)
				b.SetInstancesListed()
			}
			if l := acquire(b, testRoute(0), fmt.Sprint(i)); l != nil {
				sent++
				l.Done(answered(50 * time.Millisecond))
			}
		}
		f.advance(100 * time.Millisecond)
	}
	// One second remains after membershipSettleTime.
	require.LessOrEqual(t, sent, 16)
	require.Positive(t, sent)
}

// Guards against a cold upstream that gets too many requests because each of the restarted
// instances still knows only some of the others, most of them by address at best.
func TestColdRateHoldsWhileInstancesKnowOnlySomeOthers(t *testing.T) {
	for _, known := range []int{0, 1, 6, 13} {
		for _, listed := range []bool{true, false} {
			f := newFixture(52, 0)
			f.view.Upstreams["cold"] = steering.Upstream{ID: "cold", Service: service, Address: "c:1", Domain: "n-a", Slots: 400, State: steering.Ready, ColdRemaining: time.Minute, StartUnixMS: 1}
			var restarted []*Balancer
			for i, all := 0, liveInstances(f.balancers); i < len(all); i += 2 {
				b := New(f.balancers[i].config)
				var others []Instance
				for n := range known {
					others = append(others, all[(i+2+4*n)%len(all)])
				}
				if listed {
					b.SetInstances(others, 25-known)
					b.SetInstancesListed()
				} else {
					b.SetInstances(others, 0)
				}
				restarted = append(restarted, b)
			}
			f.advance(membershipSettleTime)
			for _, b := range restarted {
				b.Update(f.view)
			}
			require.LessOrEqual(t, float64(f.sentInOneSecond(restarted)), coldRateFactor*16+coldRateAllowance, "each knows %d others, listed: %t", known, listed)
		}
	}
}

// Guards against a cold upstream that gets a probe from every instance at once, because all
// of them had ejected it before its domain was evacuated.
func TestColdRateHoldsForProbes(t *testing.T) {
	f := newFixture(52, 0)
	f.addUpstream("cold", "n-a")
	f.publish()
	for _, b := range f.balancers {
		b.upstreams["cold"].eject(f.Now())
	}
	f.view.EvacuatedDomains = map[string]bool{"n-a": true}
	f.publish()
	f.advance(maxEjectionTime)
	f.view.EvacuatedDomains = map[string]bool{}
	f.publish()
	sent := f.sentInOneSecond(f.balancers)
	require.Positive(t, sent)
	require.LessOrEqual(t, float64(sent), coldRateFactor*16+coldRateAllowance)
}

// Guards against a retry budget that each of the restarted instances uses alone, because
// they do not know each other yet.
func TestRetryBudgetHoldsAfterRestartOfAllInstances(t *testing.T) {
	f := newFixture(26, 1)
	for _, known := range []bool{false, true} {
		total := 0.0
		for _, b := range f.balancers {
			restarted := New(b.config)
			if known {
				restarted.startedAt = f.Now().Add(-membershipSettleTime)
				restarted.SetInstances(liveInstances(f.balancers), 0)
				restarted.SetInstancesListed()
			}
			restarted.pool(service)
			limit := restarted.RetryBudgets()[service].Limit
			require.GreaterOrEqual(t, limit, 1.0, "the first failed attempt cannot be retried")
			total += limit
		}
		require.LessOrEqual(t, total, globalLimits.ExtraRetries)
	}
}

func liveInstances(balancers []*Balancer) []Instance {
	var list []Instance
	for _, b := range balancers {
		list = append(list, Instance{ID: b.config.Instance, Region: b.config.Region})
	}
	return list
}
