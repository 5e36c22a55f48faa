package policy

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"sync"
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
	service      = "shop"
	regionCap    = 0.05
	stepInterval = 250 * time.Millisecond
)

// descriptionBody returns a description that gives region n the share and
// region s the rest.
func descriptionBody(share float64) string { return descriptionWithLimit(share, 0) }

// descriptionWithLimit additionally sets the concurrency limit of region n; 0
// means no limit.
func descriptionWithLimit(share float64, limit int) string {
	maxConcurrent := ""
	if limit > 0 {
		maxConcurrent = fmt.Sprintf(`, "max_concurrent": %d`, limit)
	}
	return fmt.Sprintf(`{"regions": {"n": {"domains": ["n-a", "n-b"]}, "s": {"domains": ["s-a"]}},
 "links": [{"between": ["n", "s"], "mbit_per_second": 8}], "lookup": {"ttl_ms": 1000},
 "services": {"shop": {"regions": {"n": {"share": %g%s, "domains": {"n-a": 0.5, "n-b": 0.5}}, "s": {"share": %g, "domains": {"s-a": 1}}},
  "caps": {"region_share_per_second": %g}, "max_request_ms": 1000}}}`, share, maxConcurrent, 1-share, regionCap)
}

// fleet is a set of policies that share a clock and a store.
type fleet struct {
	t        *testing.T
	now      time.Time
	store    *configstore.Store
	policies []*Policy
	// instanceCount is the number of instances that share the concurrency limits.
	instanceCount int
	// reachable holds the failure domains that have upstreams.
	reachable map[string]bool
}

func newFleet(t *testing.T, n int) *fleet {
	memoryStore := tabletest.New()
	f := &fleet{t: t, now: time.UnixMilli(1_000_000), instanceCount: n, reachable: map[string]bool{"n-a": true, "n-b": true, "s-a": true}}
	f.store = configstore.New(memoryStore, memoryStore.Objects(), f.clock)
	for i := range n {
		f.policies = append(f.policies, f.newPolicy(i))
	}
	return f
}

func (f *fleet) clock() time.Time { return f.now }

func (f *fleet) newPolicy(i int) *Policy {
	return New(Config{InstanceID: fmt.Sprint("i", i), Region: []string{"n", "s"}[i%2], Store: f.store, ShouldPoll: func() bool { return true },
		Rank: func() (int, int) { return i, f.instanceCount }, OnChange: func() {}, Now: f.clock, Random: func() float64 { return float64(i+1) / 100 }, Logger: event.DiscardLogger()})
}

// accept stores a description as the next version.
func (f *fleet) accept(base uint64, body string) cluster.Version {
	a, err := f.store.Accept(context.Background(), configstore.Proposal{BaseVersion: base, PatchID: fmt.Sprint("p", base), Kind: description.MergePatch, Patch: json.RawMessage(body), Operator: "ana"})
	require.NoError(f.t, err)
	return a.Version
}

// step advances the clock and steps all policies. Each policy has the others as
// its peers.
func (f *fleet) step() {
	f.now = f.now.Add(stepInterval)
	for _, p := range f.policies {
		in := Inputs{Reachable: map[string]map[string]bool{service: f.reachable}, InstanceCount: 1}
		for _, other := range f.policies {
			if other != p {
				in.Peers = append(in.Peers, Peer{ID: other.config.InstanceID, Region: other.config.Region, Version: other.Current().Number, Shares: other.Shares(), Demand: other.Demand()})
			}
		}
		p.Step(in)
	}
}

func anyRegion(string) bool { return true }

// assign requests an assignment without waiting for a permit.
func assign(p *Policy, bytes int, allowed func(string) bool) (*Assignment, error) {
	return p.Assign(context.Background(), Request{Service: service, Bytes: bytes, RegionAllowed: allowed})
}

// measuredShare assigns requests through all policies and returns the fraction
// assigned to region n.
func (f *fleet) measuredShare(requestsPerPolicy int) float64 {
	inN, total := 0, 0
	for range requestsPerPolicy {
		for _, p := range f.policies {
			assignment, err := assign(p, 100, anyRegion)
			require.NoError(f.t, err)
			if assignment.Region == "n" {
				inN++
			}
			total++
			assignment.Release(100)
		}
	}
	return float64(inN) / float64(total)
}

// Guards against instances whose shares move faster than the operator's cap or
// never reach their target.
func TestSharesMoveUnderTheCap(t *testing.T) {
	f := newFleet(t, 6)
	first := f.accept(0, descriptionBody(0.2))
	for _, p := range f.policies {
		p.ApplyIfNewer(first, "test")
	}
	f.step()
	require.InDelta(t, 0.2, f.measuredShare(100), 0.02)
	second := f.accept(1, descriptionBody(0.6))
	for _, p := range f.policies {
		p.ApplyIfNewer(second, "test")
	}
	previousShare := 0.2
	for range 60 {
		f.step()
		for _, p := range f.policies {
			shares := p.Shares()[service]
			n := shares["n-a"] + shares["n-b"]
			require.LessOrEqual(t, n-previousShare, regionCap*stepInterval.Seconds()+1e-9)
		}
		shares := f.policies[0].Shares()[service]
		previousShare = shares["n-a"] + shares["n-b"]
	}
	require.InDelta(t, 0.6, f.measuredShare(100), 0.02)
}

// Guards against an instance that starts during a move and jumps to the target
// instead of adopting the current shares of its peers.
func TestNewInstanceAdoptsPeerShares(t *testing.T) {
	f := newFleet(t, 4)
	first := f.accept(0, descriptionBody(0.2))
	for _, p := range f.policies[:3] {
		p.ApplyIfNewer(first, "test")
	}
	f.step()
	second := f.accept(1, descriptionBody(0.8))
	for _, p := range f.policies[:3] {
		p.ApplyIfNewer(second, "test")
	}
	for range 8 {
		f.step()
	}
	f.policies[3].ApplyIfNewer(second, "test")
	f.step()
	peer, own := f.policies[0].Shares()[service], f.policies[3].Shares()[service]
	require.InDelta(t, peer["s-a"], own["s-a"], regionCap)
	require.Greater(t, math.Abs(own["s-a"]-0.2), 0.2, "the new instance must not be at the target yet")
}

// Guards against the version in force being replaced by an older or an invalid
// one.
func TestVersionNeverDecreases(t *testing.T) {
	f := newFleet(t, 1)
	p := f.policies[0]
	first := f.accept(0, descriptionBody(0.2))
	second := f.accept(1, descriptionBody(0.6))
	p.ApplyIfNewer(second, "test")
	p.ApplyIfNewer(first, "test")
	require.EqualValues(t, 2, p.Current().Number)
	invalid := second
	invalid.Number, invalid.Body = 3, []byte("{")
	p.ApplyIfNewer(invalid, "test")
	invalid.Body = first.Body
	p.ApplyIfNewer(invalid, "test")
	require.EqualValues(t, 2, p.Current().Number, "a version whose hash does not match its body must be refused")
}

// Guards against an instance that never reads a version from the store, and
// against one for which VersionKnown stays false if the store has no version.
func TestPollReadsVersionFromStore(t *testing.T) {
	f := newFleet(t, 2)
	require.False(t, f.policies[0].VersionKnown())
	f.policies[0].poll(context.Background())
	require.True(t, f.policies[0].VersionKnown())
	require.Zero(t, f.policies[0].Current().Number)
	f.accept(0, descriptionBody(0.2))
	for _, p := range f.policies {
		p.poll(context.Background())
		require.EqualValues(t, 1, p.Current().Number)
		require.True(t, p.HasService(service))
		require.False(t, p.HasService("other"))
	}
}

// Guards against instances that together exceed the concurrency limit of a
// region.
func TestAllInstancesShareRegionLimit(t *testing.T) {
	f := newFleet(t, 3)
	v := f.accept(0, descriptionWithLimit(1, 5))
	for _, p := range f.policies {
		p.ApplyIfNewer(v, "test")
	}
	f.step()
	admitted := 0
	for range 10 {
		for _, p := range f.policies {
			if _, err := assign(p, 0, anyRegion); err == nil {
				admitted++
			} else {
				require.Equal(t, result.RegionLimit, result.CodeOf(err))
			}
		}
	}
	require.Equal(t, 5, admitted)
}

// Guards against requests assigned to a region that their route does not allow
// or to a domain without upstreams.
func TestAssignmentsAreAllowedAndReachable(t *testing.T) {
	f := newFleet(t, 1)
	p := f.policies[0]
	p.ApplyIfNewer(f.accept(0, descriptionBody(0.5)), "test")
	f.step()
	for range 20 {
		assignment, err := assign(p, 0, func(region string) bool { return region == "n" })
		require.NoError(t, err)
		require.Equal(t, "n", assignment.Region)
		assignment.Release(0)
	}
	_, err := assign(p, 0, func(string) bool { return false })
	require.Equal(t, result.NoDestination, result.CodeOf(err))
	f.reachable = map[string]bool{"n-a": true, "n-b": true}
	for range 100 {
		f.step()
	}
	for range 20 {
		assignment, err := assign(p, 0, anyRegion)
		require.NoError(t, err)
		require.Equal(t, "n", assignment.Region)
		assignment.Release(0)
	}
}

// Guards against inter-region traffic above the link capacity.
func TestTrafficStaysWithinLinkBudget(t *testing.T) {
	f := newFleet(t, 1)
	p := f.policies[0]
	p.ApplyIfNewer(f.accept(0, descriptionBody(0.000001)), "test")
	f.step()
	sent := 0
	for range 40 {
		f.step()
		for range 10 {
			assignment, err := assign(p, 10_000, anyRegion)
			if err != nil {
				require.Equal(t, result.LinkBudgetExhausted, result.CodeOf(err))
				continue
			}
			sent += 10_000
			assignment.Release(0)
		}
	}
	// 8 Mbit/s is 1 MB/s; one request may exceed the budget after each refill.
	require.LessOrEqual(t, sent, int(41*stepInterval.Seconds()*1_000_000*localLinkRateFraction)+10_000)
	require.Positive(t, sent)
}

// Guards against requests that leave their region although the locality of the
// service is "nearest" and the shares allow them to stay.
func TestNearestKeepsRequestsInTheirRegion(t *testing.T) {
	f := newFleet(t, 4)
	v := f.accept(0, strings.Replace(descriptionBody(0.5), `"max_request_ms"`, `"locality": "nearest", "max_request_ms"`, 1))
	for _, p := range f.policies {
		p.ApplyIfNewer(v, "test")
	}
	stayed, total := 0, 0
	for round := range 200 {
		f.step()
		for _, p := range f.policies {
			for range 5 {
				assignment, err := assign(p, 0, anyRegion)
				require.NoError(t, err)
				assignment.Release(0)
				if round >= 100 {
					total++
					if assignment.Region == p.config.Region {
						stayed++
					}
				}
			}
		}
	}
	// The demand of both regions equals their shares, so no request needs to
	// leave its region. The reported demand is rounded to a tenth.
	require.Greater(t, float64(stayed), 0.9*float64(total))
}

// Guards against a request being charged to the link budget although the
// concurrency limit refuses it.
func TestRefusedRequestIsNotChargedToLink(t *testing.T) {
	f := newFleet(t, 2)
	v := f.accept(0, descriptionWithLimit(1, 1))
	remote := f.policies[1]
	remote.ApplyIfNewer(v, "test")
	f.step()
	_, err := assign(remote, 1000, anyRegion)
	require.Equal(t, result.RegionLimit, result.CodeOf(err), "the other instance has the whole quota of 1")
	require.Zero(t, remote.requestBudgets.State(f.now)[0].SentBytes)
}

// Guards against a request that is refused although a permit becomes free while
// it may wait, and against more requests in flight than the limit allows.
func TestRequestWaitsAtConcurrencyLimit(t *testing.T) {
	f := newFleet(t, 1)
	p := f.policies[0]
	p.ApplyIfNewer(f.accept(0, descriptionWithLimit(1, 2)), "test")
	f.step()
	assignWithin := func(maxWait time.Duration) (*Assignment, error) {
		return p.Assign(context.Background(), Request{Service: service, RegionAllowed: anyRegion, MaxWait: maxWait})
	}
	var held []*Assignment
	for range 2 {
		a, err := assignWithin(0)
		require.NoError(t, err)
		held = append(held, a)
	}
	_, err := assignWithin(time.Millisecond)
	require.Equal(t, result.RegionLimit, result.CodeOf(err))
	got := make(chan error, 2*maxWaitersPerPermit)
	for range cap(got) {
		go func() {
			_, err := assignWithin(10 * time.Second)
			got <- err
		}()
	}
	queueFull := func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.usages[serviceRegion{service, "n"}].waiters) == cap(got)
	}
	require.Eventually(t, queueFull, 5*time.Second, time.Millisecond)
	_, err = assignWithin(10 * time.Second)
	require.Equal(t, result.RegionLimit, result.CodeOf(err), "the queue must be full")
	held[0].Release(0)
	require.NoError(t, <-got)
	_, err = assignWithin(0)
	require.Equal(t, result.RegionLimit, result.CodeOf(err))
}

// Guards against a reassignment to a domain that was already tried, for example
// because its upstreams refuse connections, or that is outside the allowed
// regions.
func TestRequestIsReassignedToAnotherDomain(t *testing.T) {
	f := newFleet(t, 1)
	p := f.policies[0]
	p.ApplyIfNewer(f.accept(0, descriptionBody(0.5)), "test")
	f.step()
	r := Request{Service: service, RegionAllowed: anyRegion}
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
	restricted, err := p.Assign(context.Background(), r)
	require.NoError(t, err)
	restricted, err = p.Reassign(context.Background(), restricted, r)
	require.NoError(t, err)
	require.Equal(t, "n", restricted.Region)
	for key, u := range p.usages {
		require.LessOrEqual(t, u.inFlight, 1, "%v", key)
	}
}

// Guards against an instance that was paused during a move and resumes with
// shares that its peers have already left.
func TestPausedInstanceAdoptsPeerShares(t *testing.T) {
	f := newFleet(t, 4)
	first := f.accept(0, descriptionBody(0.2))
	for _, p := range f.policies {
		p.ApplyIfNewer(first, "test")
	}
	f.step()
	second := f.accept(1, descriptionBody(0.8))
	for _, p := range f.policies {
		p.ApplyIfNewer(second, "test")
	}
	f.step()
	allPolicies := f.policies
	paused := allPolicies[3]
	f.policies = allPolicies[:3]
	for range 40 {
		f.step()
	}
	f.policies = allPolicies
	f.step()
	peer, own := allPolicies[0].Shares()[service], paused.Shares()[service]
	require.Greater(t, peer["n-a"]+peer["n-b"], 0.6, "the peers must have moved past a share of 0.6 while the instance was paused")
	require.InDelta(t, peer["n-a"], own["n-a"], 2*regionCap*stepInterval.Seconds())
}

// Guards against steps at once, by the periodic task and by a description that comes into
// force: the one with the older description could be applied last, and both could move the
// shares for the time of the same pause. The race detector sees them.
func TestStepsAtOnceAreTakenInTurn(t *testing.T) {
	f := newFleet(t, 1)
	p := f.policies[0]
	p.ApplyIfNewer(f.accept(0, descriptionBody(0.5)), "test")
	in := Inputs{Reachable: map[string]map[string]bool{service: f.reachable}, InstanceCount: 1}
	var steps sync.WaitGroup
	for range 2 {
		steps.Go(func() {
			for range 100 {
				p.Step(in)
			}
		})
	}
	steps.Wait()
	require.InDelta(t, 0.5, p.Shares()[service]["n-a"]+p.Shares()[service]["n-b"], 1e-9)
}

// Guards against a version that counts as in force before OnChange has passed it on: a second
// answer with the same version then released requests that ran on a drained upstream.
func TestVersionIsNotInForceBeforeItIsPassedOn(t *testing.T) {
	f := newFleet(t, 1)
	v := f.accept(0, descriptionBody(0.5))
	for name, tell := range map[string]func(*Policy){
		"the same version":   func(p *Policy) { p.ApplyIfNewer(v, "peer 2") },
		"no newer version":   func(p *Policy) { p.MarkVersionKnown() },
		"the store's answer": func(p *Policy) { p.poll(context.Background()) },
	} {
		p := f.newPolicy(0)
		told := make(chan struct{})
		p.config.OnChange = func() {
			require.Zero(t, p.Current().Number, name)
			require.False(t, p.VersionKnown(), name)
			go func() {
				tell(p)
				close(told)
			}()
			select {
			case <-told:
				require.Fail(t, "reported as in force while OnChange was running", name)
			case <-time.After(10 * time.Millisecond):
			}
		}
		p.ApplyIfNewer(v, "peer 1")
		require.Equal(t, v.Number, p.Current().Number, name)
		<-told
	}
}
