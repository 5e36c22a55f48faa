package instance

import (
	"maps"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/mesh"
	"github.com/sequoiacove/sequoiacove/pkg/policy"
	"github.com/sequoiacove/sequoiacove/pkg/steering"
)

// descriptionWait is how long an instance that knows the configuration waits
// to learn the description before it serves. A store that is away in part must
// not keep it from serving for longer.
const descriptionTimeout = 3 * time.Second

// mayServe tells whether the instance knows the description or has waited for
// it for long enough.
func (i *Instance) descriptionKnownOrTimedOut() bool {
	if i.policy.VersionKnown() {
		return true
	}
	if i.opt.Now().Sub(i.started) < descriptionTimeout {
		return false
	}
	if !i.servesWithoutDescription.Swap(true) {
		event.Log(i.logger, event.DescriptionMissing, "waited_ms", descriptionTimeout.Milliseconds())
	}
	return true
}

// adopt takes a description that came into force: it passes it on and drops
// what operators drain.
func (i *Instance) applyDescription() {
	i.stepShares()
	i.updateBalancer()
	go i.mesh.Announce()
}

// install gives the balancer the current view, in which the upstreams that
// operators drain are leaving.
func (i *Instance) updateBalancer() {
	i.balancerUpdate.Lock()
	defer i.balancerUpdate.Unlock()
	v := i.catalog.View()
	drained := i.policy.Description().DrainedUpstreams
	if len(drained) == 0 {
		i.balancer.Update(v)
		return
	}
	changed := &steering.View{Config: v.Config, Upstreams: maps.Clone(v.Upstreams), Evacuated: v.Evacuated}
	for _, id := range drained {
		if u, ok := changed.Upstreams[id]; ok {
			u.State = steering.Draining
			changed.Upstreams[id] = u
		}
	}
	i.balancer.Update(changed)
}

// drained tells whether operators drain this instance.
func (i *Instance) drained() bool {
	return i.policy.Description().InstanceDrained(i.settings.ID)
}

// regionTraffic is what the gateway of another region reports of it.
type regionTraffic struct {
	shares cluster.Shares
	rates  cluster.Demand
}

// setRegionShares takes the mean of the shares in effect in another region and
// the sum of its requests per second.
func (i *Instance) setRegionShares(region string, shares cluster.Shares, rates cluster.Demand) {
	i.regionTraffics.Store(region, regionTraffic{shares, rates})
}

// traffic returns what is known of another region.
func (i *Instance) trafficOf(region string) (regionTraffic, bool) {
	t, ok := i.regionTraffics.Load(region)
	if !ok {
		return regionTraffic{}, false
	}
	return t.(regionTraffic), true
}

// stepShares moves the shares of the description.
func (i *Instance) stepShares() {
	if i.policy.Current().Number == 0 {
		return
	}
	in := policy.Inputs{Reachable: i.balancer.Reachable(), Instances: 1}
	regions := make(map[string]uint64)
	for _, m := range i.mesh.Live() {
		if m.Region == i.settings.Region {
			in.Instances++
			in.Peers = append(in.Peers, policy.Peer{ID: m.ID, Region: m.Region, Domain: m.Domain, Version: m.Version, Shares: m.Shares, Rates: m.Rates})
			continue
		}
		regions[m.Region] = max(regions[m.Region], m.Version)
	}
	for region, version := range regions {
		if t, ok := i.trafficOf(region); ok {
			in.Peers = append(in.Peers, policy.Peer{ID: region, Region: region, Version: version, Shares: t.shares, Rates: t.rates})
		}
	}
	i.policy.Step(in)
}

// memberState names the state of a member for operators.
func memberState(s mesh.State) cluster.State {
	if s == mesh.Leaving {
		return cluster.Leaving
	}
	return cluster.Serving
}
