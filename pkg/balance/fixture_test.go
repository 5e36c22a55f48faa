package balance

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/exchange"
	"github.com/sequoiacove/sequoiacove/pkg/steering"
)

const service = "shop"

var regions = map[string]string{"n-a": "n", "n-b": "n", "s-a": "s", "s-b": "s"}

// fixture is a set of balancers that share a view and a fake clock.
type fixture struct {
	mu        sync.Mutex
	now       time.Time
	balancers []*Balancer
	view      *steering.View
}

func (f *fixture) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *fixture) advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
}

var globalLimits = steering.GlobalLimits{MaxRetryRatio: 0.2, ExtraRetries: 62, RetryWindow: 10 * time.Second, MaxRegionShift: 0.15}

// A cold upstream may receive at most its cold rate times coldRateFactor plus
// coldRateAllowance requests per second from all instances together.
const (
	coldRateFactor    = 1.5
	coldRateAllowance = 5
)

// newFixture returns balancers that alternate between the two regions, and a view
// with upstreamsPerDomain upstreams of 4 slots in each failure domain.
func newFixture(instances, upstreamsPerDomain int) *fixture {
	f := &fixture{now: time.Unix(1000, 0), view: &steering.View{Upstreams: map[string]steering.Upstream{}, EvacuatedDomains: map[string]bool{}}}
	f.view.Config = &steering.Config{Version: 1, Services: map[string]*steering.Service{service: {Name: service, WarmUpTime: 3 * time.Second, MaxColdRequestRate: 16}}}
	for _, domain := range []string{"n-a", "n-b", "s-a", "s-b"} {
		for i := range upstreamsPerDomain {
			f.addUpstream(fmt.Sprintf("%s-%d", domain, i), domain)
		}
	}
	var list []Instance
	for i := range instances {
		list = append(list, Instance{ID: fmt.Sprintf("i%d", i), Region: []string{"n", "s"}[i%2]})
	}
	for i, x := range list {
		r := rand.New(rand.NewPCG(1, uint64(i)))
		b := New(Config{Instance: x.ID, Region: x.Region, Domain: x.Region + "-a", RegionByDomain: regions, GlobalLimits: globalLimits, Now: f.Now, Random: r.Float64, Logger: event.DiscardLogger()})
		b.SetInstances(list, 0)
		b.SetInstancesListed()
		f.balancers = append(f.balancers, b)
	}
	f.advance(membershipSettleTime)
	f.publish()
	return f
}

func (f *fixture) addUpstream(id, domain string) {
	f.view.Upstreams[id] = steering.Upstream{ID: id, Service: service, Address: id + ":1", Domain: domain, Slots: 4, State: steering.Ready, StartUnixMS: 1}
}

// publish installs the view in all balancers.
func (f *fixture) publish() {
	for _, b := range f.balancers {
		b.Update(f.view)
	}
}

func testRoute(priority int) *steering.Route {
	r := &steering.Route{Name: fmt.Sprintf("r%d", priority), Host: "h", Prefix: fmt.Sprintf("/%d/", priority), Idempotent: true, TargetLatency: 300 * time.Millisecond,
		MaxAttempts: 2, Priority: priority, Affinity: true, Split: []steering.WeightedService{{Service: service, Weight: 1}}}
	return r
}

func acquire(b *Balancer, r *steering.Route, key string) *Lease {
	return b.Acquire(context.Background(), AcquireRequest{Service: service, Route: r, Key: key}, 0)
}

func answered(d time.Duration) *exchange.Result {
	return &exchange.Result{Outcome: exchange.Answered, Status: 200, Elapsed: d}
}
