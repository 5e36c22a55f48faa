package policy

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/configstore"
	"github.com/sequoiacove/sequoiacove/pkg/description"
	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/pkg/table/tabletest"
)

const (
	service   = "shop"
	regionCap = 0.05
	step      = 250 * time.Millisecond
)

// text describes a service with a share of the region n; the rest goes to s.
func text(share float64) string { return limited(share, 0) }

// limited also bounds the requests in n, unless the limit is 0.
func limited(share float64, limit int) string {
	return fmt.Sprintf(`{"regions": {"n": {"domains": ["n-a", "n-b"]}, "s": {"domains": ["s-a"]}},
 "links": [{"between": ["n", "s"], "mbit_per_second": 8}], "lookup": {"ttl_ms": 1000},
 "services": {"shop": {"regions": {"n": {"share": %g, "max_concurrent": %d, "domains": {"n-a": 0.5, "n-b": 0.5}}, "s": {"share": %g, "domains": {"s-a": 1}}},
  "caps": {"region_share_per_second": %g, "domain_share_per_second": 0, "failover_share_per_second": 0}, "max_request_ms": 1000}}}`, share, limit, 1-share, regionCap)
}

// fleet is a set of policies with one clock and one store.
type fleet struct {
	t     *testing.T
	now   time.Time
	store *configstore.Store
	all   []*Policy
	// known is the number of instances that each one shares the limits with.
	known int
	// reachable holds the failure domains with upstreams.
	reachable map[string]bool
}

func newFleet(t *testing.T, n int) *fleet {
	direct := tabletest.New()
	f := &fleet{t: t, now: time.UnixMilli(1_000_000), known: n, reachable: map[string]bool{"n-a": true, "n-b": true, "s-a": true}}
	f.store = configstore.New(direct, direct.Objects(), f.time)
	for i := range n {
		f.all = append(f.all, f.policy(i))
	}
	return f
}

func (f *fleet) time() time.Time { return f.now }

func (f *fleet) policy(i int) *Policy {
	return New(Config{Instance: fmt.Sprint("i", i), Region: []string{"n", "s"}[i%2], Store: f.store, ShouldPoll: func() bool { return true },
		Rank: func() (int, int) { return i, f.known }, OnChange: func() {}, Now: f.time, Random: func() float64 { return float64(i+1) / 100 }, Logger: event.Discard()})
}

// accept makes a description the next version.
func (f *fleet) accept(base uint64, body string) cluster.Version {
	a, err := f.store.Accept(context.Background(), configstore.Proposal{BaseVersion: base, PatchID: fmt.Sprint("p", base), Kind: description.MergePatch, Patch: json.RawMessage(body), Operator: "ana"})
	require.NoError(f.t, err)
	return a.Version
}

// step moves the shares of all policies, which know each other's.
func (f *fleet) step() {
	f.now = f.now.Add(step)
	for _, p := range f.all {
		in := Inputs{Reachable: map[string]map[string]bool{service: f.reachable}, Instances: 1}
		for _, other := range f.all {
			if other != p {
				in.Peers = append(in.Peers, Peer{ID: other.config.Instance, Region: other.config.Region, Version: other.Current().Number, Shares: other.Shares(), Rates: other.Rates()})
			}
		}
		p.Step(in)
	}
}

func anywhere(string) bool { return true }

// place chooses a place without a wait.
func place(p *Policy, bytes int, allowed func(string) bool) (*Assignment, error) {
	return p.Assign(context.Background(), Request{Service: service, Bytes: bytes, RegionAllowed: allowed})
}

// shareOf sends requests through all policies and returns the part of n.
func (f *fleet) shareOf(requests int) float64 {
	n, all := 0, 0
	for range requests {
		for _, p := range f.all {
			place, err := place(p, 100, anywhere)
			require.NoError(f.t, err)
			if place.Region == "n" {
				n++
			}
			all++
			place.Release(100)
		}
	}
	return float64(n) / float64(all)
}

// Guards against a move of shares that exceeds the operator's cap or that never
// arrives, over all instances together.
func TestSharesMoveUnderTheCap(t *testing.T) {
	f := newFleet(t, 6)
	first := f.accept(0, text(0.2))
	for _, p := range f.all {
		p.ApplyIfNewer(first, "test")
	}
	f.step()
	require.InDelta(t, 0.2, f.shareOf(100), 0.02)
	second := f.accept(1, text(0.6))
	for _, p := range f.all {
		p.ApplyIfNewer(second, "test")
	}
	last := 0.2
	for range 60 {
		f.step()
		for _, p := range f.all {
			shares := p.Shares()[service]
			n := shares["n-a"] + shares["n-b"]
			require.LessOrEqual(t, n-last, regionCap*step.Seconds()+1e-9)
		}
		shares := f.all[0].Shares()[service]
		last = shares["n-a"] + shares["n-b"]
	}
	require.InDelta(t, 0.6, f.shareOf(100), 0.02)
}

// Guards against an instance that starts during a move and jumps to the target
// although its peers are under way.
func TestNewInstanceTakesThePeersShares(t *testing.T) {
	f := newFleet(t, 4)
	first := f.accept(0, text(0.2))
	for _, p := range f.all[:3] {
		p.ApplyIfNewer(first, "test")
	}
	f.step()
	second := f.accept(1, text(0.8))
	for _, p := range f.all[:3] {
		p.ApplyIfNewer(second, "test")
	}
	for range 8 {
		f.step()
	}
	f.all[3].ApplyIfNewer(second, "test")
	f.step()
	peer, own := f.all[0].Shares()[service], f.all[3].Shares()[service]
	require.InDelta(t, peer["s-a"], own["s-a"], regionCap)
	require.Greater(t, math.Abs(own["s-a"]-0.2), 0.2, "the target is far")
}

// Guards against a version that goes back, and against an invalid one that
// replaces the one in force.
func TestVersionNeverGoesBack(t *testing.T) {
	f := newFleet(t, 1)
	p := f.all[0]
	first := f.accept(0, text(0.2))
	second := f.accept(1, text(0.6))
	p.ApplyIfNewer(second, "test")
	p.ApplyIfNewer(first, "test")
	require.EqualValues(t, 2, p.Current().Number)
	broken := second
	broken.Number, broken.Body = 3, []byte("{")
	p.ApplyIfNewer(broken, "test")
	broken.Body = first.Body
	p.ApplyIfNewer(broken, "test")
	require.EqualValues(t, 2, p.Current().Number, "the hash belongs to another body")
}

// Guards against an instance that never learns a version that only the store
// has, and against one that waits for a version where there is none.
func TestPolicyIsReadFromTheStore(t *testing.T) {
	f := newFleet(t, 2)
	require.False(t, f.all[0].VersionKnown())
	f.all[0].poll(context.Background())
	require.True(t, f.all[0].VersionKnown())
	require.Zero(t, f.all[0].Current().Number)
	f.accept(0, text(0.2))
	for _, p := range f.all {
		p.poll(context.Background())
		require.EqualValues(t, 1, p.Current().Number)
		require.True(t, p.HasService(service))
		require.False(t, p.HasService("other"))
	}
}

// Guards against a region that gets more requests from all instances together
// than the operators allow.
func TestRegionLimitHoldsOverAllInstances(t *testing.T) {
	f := newFleet(t, 3)
	v := f.accept(0, limited(1, 5))
	for _, p := range f.all {
		p.ApplyIfNewer(v, "test")
	}
	f.step()
	running := 0
	for range 10 {
		for _, p := range f.all {
			if _, err := place(p, 0, anywhere); err == nil {
				running++
			} else {
				require.Equal(t, result.RegionLimit, result.CodeOf(err))
			}
		}
	}
	require.Equal(t, 5, running)
}

// Guards against a request in a region that its route forbids, and against a
// share that sends requests to a domain without upstreams.
func TestPlacesAreAllowedAndReachable(t *testing.T) {
	f := newFleet(t, 1)
	p := f.all[0]
	p.ApplyIfNewer(f.accept(0, text(0.5)), "test")
	f.step()
	for range 20 {
		place, err := place(p, 0, func(region string) bool { return region == "n" })
		require.NoError(t, err)
		require.Equal(t, "n", place.Region)
		place.Release(0)
	}
	_, err := place(p, 0, func(string) bool { return false })
	require.Equal(t, result.NoDestination, result.CodeOf(err))
	f.reachable = map[string]bool{"n-a": true, "n-b": true}
	for range 100 {
		f.step()
	}
	for range 20 {
		place, err := place(p, 0, anywhere)
		require.NoError(t, err)
		require.Equal(t, "n", place.Region)
		place.Release(0)
	}
}

// Guards against bytes between regions beyond the link's capacity.
func TestLinkBudgetIsKept(t *testing.T) {
	f := newFleet(t, 1)
	p := f.all[0]
	p.ApplyIfNewer(f.accept(0, text(0.000001)), "test")
	f.step()
	sent := 0
	for range 40 {
		f.step()
		for range 10 {
			place, err := place(p, 10_000, anywhere)
			if err != nil {
				require.Equal(t, result.LinkBudgetExhausted, result.CodeOf(err))
				continue
			}
			sent += 10_000
			place.Release(0)
		}
	}
	// 8 Mbit/s are 1 MB/s; one request may go beyond each refill.
	require.LessOrEqual(t, sent, int(41*step.Seconds()*1_000_000*linkPart)+10_000)
	require.Positive(t, sent)
}

// Guards against requests that leave their region although the service prefers
// the nearest one and the shares let them stay.
func TestNearestKeepsRequestsInTheirRegion(t *testing.T) {
	f := newFleet(t, 4)
	v := f.accept(0, strings.Replace(text(0.5), `"max_request_ms"`, `"locality": "nearest", "max_request_ms"`, 1))
	for _, p := range f.all {
		p.ApplyIfNewer(v, "test")
	}
	stayed, all := 0, 0
	for round := range 200 {
		f.step()
		for _, p := range f.all {
			for range 5 {
				place, err := place(p, 0, anywhere)
				require.NoError(t, err)
				place.Release(0)
				if round >= 100 {
					all++
					if place.Region == p.config.Region {
						stayed++
					}
				}
			}
		}
	}
	// The demand of both regions equals their shares, so nothing has to leave;
	// the reported demand rounds to a tenth.
	require.Greater(t, float64(stayed), 0.9*float64(all))
}

// Guards against a link that is charged for requests that the limit of their
// region refuses and that are never sent.
func TestRefusedRequestUsesNoLink(t *testing.T) {
	f := newFleet(t, 2)
	v := f.accept(0, limited(1, 1))
	far := f.all[1]
	far.ApplyIfNewer(v, "test")
	f.step()
	_, err := place(far, 1000, anywhere)
	require.Equal(t, result.RegionLimit, result.CodeOf(err), "the other instance has the whole limit")
	require.Zero(t, far.requests.State(f.now)[0].SentBytes)
}

// Guards against a request that is refused although a place at the limit becomes
// free while it may wait, and against more requests than the limit allows.
func TestRequestWaitsForAPlaceAtTheLimit(t *testing.T) {
	f := newFleet(t, 1)
	p := f.all[0]
	p.ApplyIfNewer(f.accept(0, limited(1, 2)), "test")
	f.step()
	ask := func(hold time.Duration) (*Assignment, error) {
		return p.Assign(context.Background(), Request{Service: service, RegionAllowed: anywhere, MaxWait: hold})
	}
	var held []*Assignment
	for range 2 {
		l, err := ask(0)
		require.NoError(t, err)
		held = append(held, l)
	}
	_, err := ask(time.Millisecond)
	require.Equal(t, result.RegionLimit, result.CodeOf(err))
	got := make(chan error, 2*waitersPerPlace)
	for range cap(got) {
		go func() {
			_, err := ask(10 * time.Second)
			got <- err
		}()
	}
	waits := func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.used[regionKey{service, "n"}].waiting) == cap(got)
	}
	require.Eventually(t, waits, 5*time.Second, time.Millisecond)
	_, err = ask(10 * time.Second)
	require.Equal(t, result.RegionLimit, result.CodeOf(err), "no more may wait")
	held[0].Release(0)
	require.NoError(t, <-got)
	_, err = ask(0)
	require.Equal(t, result.RegionLimit, result.CodeOf(err))
}

// Guards against a request that stays with a domain whose upstreams refuse
// connections, and against one that leaves the regions of its route.
func TestRequestMovesToAnotherDomain(t *testing.T) {
	f := newFleet(t, 1)
	p := f.all[0]
	p.ApplyIfNewer(f.accept(0, text(0.5)), "test")
	f.step()
	r := Request{Service: service, RegionAllowed: anywhere}
	first, err := p.Assign(context.Background(), r)
	require.NoError(t, err)
	second, err := p.Reassign(context.Background(), first, r)
	require.NoError(t, err)
	require.NotEqual(t, first.Domain, second.Domain)
	third, err := p.Reassign(context.Background(), second, r)
	require.NoError(t, err)
	require.NotContains(t, []string{first.Domain, second.Domain}, third.Domain)
	_, err = p.Reassign(context.Background(), third, r)
	require.Equal(t, result.NoDestination, result.CodeOf(err))
	r.RegionAllowed = func(region string) bool { return region == "n" }
	bound, err := p.Assign(context.Background(), r)
	require.NoError(t, err)
	bound, err = p.Reassign(context.Background(), bound, r)
	require.NoError(t, err)
	require.Equal(t, "n", bound.Region)
	for key, u := range p.used {
		require.LessOrEqual(t, u.running, 1, "%v", key)
	}
}

// Guards against an instance that stood still during a move and brings back
// shares that its peers have left behind.
func TestPausedInstanceTakesThePeersShares(t *testing.T) {
	f := newFleet(t, 4)
	first := f.accept(0, text(0.2))
	for _, p := range f.all {
		p.ApplyIfNewer(first, "test")
	}
	f.step()
	second := f.accept(1, text(0.8))
	for _, p := range f.all {
		p.ApplyIfNewer(second, "test")
	}
	f.step()
	all := f.all
	paused := all[3]
	f.all = all[:3]
	for range 40 {
		f.step()
	}
	f.all = all
	f.step()
	peer, own := all[0].Shares()[service], paused.Shares()[service]
	require.Greater(t, peer["n-a"]+peer["n-b"], 0.6, "the move went on")
	require.InDelta(t, peer["n-a"], own["n-a"], 2*regionCap*step.Seconds())
}
