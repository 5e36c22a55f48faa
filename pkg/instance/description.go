package instance

import (
	"encoding/hex"
	"maps"
	"time"

	"github.com/juju/errors"

	"github.com/sequoiacove/sequoiacove/pkg/catalog"
	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/description"
	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/mesh"
	"github.com/sequoiacove/sequoiacove/pkg/policy"
	"github.com/sequoiacove/sequoiacove/pkg/steering"
	"github.com/sequoiacove/sequoiacove/pkg/transfer"
)

// descriptionTimeout is how long after its start an instance waits for the
// description. When the timeout has passed, the instance serves without a
// description if it has the configuration, so that a partial outage of the store
// does not delay serving any longer.
const descriptionTimeout = 3 * time.Second

// descriptionKnownOrTimedOut reports whether the instance knows which description
// is in force (or that there is none), or whether descriptionTimeout has passed
// since its start.
func (i *Instance) descriptionKnownOrTimedOut() bool {
	if i.policy.VersionKnown() {
		return true
	}
	if i.opt.Now().Sub(i.startedAt) < descriptionTimeout {
		return false
	}
	if !i.servesWithoutDescription.Swap(true) {
		event.Log(i.logger, event.DescriptionMissing, "waited_ms", descriptionTimeout.Milliseconds())
	}
	return true
}

// applyDescription applies a description that was installed: it recomputes the shares and
// takes drained upstreams out of use.
func (i *Instance) applyDescription() {
	i.stepShares()
	i.updateBalancer()
}

// minDescriptionDifference is the size in bytes from which on a description is passed on as a
// difference to the previous version.
const minDescriptionDifference = 4 << 10

// versionFor returns v as a peer gets it that has the description with the given hash: with
// the body as the difference to the previous one if that is it, otherwise as it is.
func versionFor(v cluster.Version, peerHash string, differences *transfer.DiffCache) cluster.Version {
	if peerHash == "" || len(v.Body) < minDescriptionDifference || description.Hash(v.PreviousBody) != peerHash {
		return v
	}
	if diff, ok := differences.Diff(peerHash, v.Hash, v.PreviousBody, v.Body); ok {
		v.Body, v.PreviousBody, v.BaseHash = diff, nil, peerHash
	}
	return v
}

// restoreVersion returns a version from a peer with its whole body. It returns ErrDifference
// if its body is a difference to another description than current.
func restoreVersion(v, current cluster.Version) (cluster.Version, error) {
	if v.BaseHash == "" {
		return v, nil
	}
	digest, err := hex.DecodeString(v.Hash)
	if err != nil || v.BaseHash != current.Hash {
		return v, errors.Annotatef(catalog.ErrDifference, "description %d", v.Number)
	}
	body, err := transfer.Patch(current.Body, v.Body, digest)
	if err != nil {
		return v, errors.Annotatef(catalog.ErrDifference, "description %d: %v", v.Number, err)
	}
	v.Body, v.PreviousBody, v.BaseHash = body, current.Body, ""
	return v, nil
}

// updateBalancer passes the current view to the balancer, with the upstreams
// drained by operators marked as draining.
func (i *Instance) updateBalancer() {
	i.balancerMu.Lock()
	defer i.balancerMu.Unlock()
	v := i.catalog.View()
	i.balancer.Update(withDrained(v, i.policy.Description().DrainedUpstreams))
	if v.Config != nil {
		i.configured.Store(true)
	}
}

// withDrained returns a view in which the given upstreams are draining.
func withDrained(v *steering.View, drained []string) *steering.View {
	if len(drained) == 0 {
		return v
	}
	view := &steering.View{Config: v.Config, Upstreams: maps.Clone(v.Upstreams), EvacuatedDomains: v.EvacuatedDomains, EvacuationEnds: v.EvacuationEnds}
	for _, id := range drained {
		if u, ok := view.Upstreams[id]; ok {
			u.State = steering.Draining
			view.Upstreams[id] = u
		}
	}
	return view
}

// drained reports whether operators drain this instance.
func (i *Instance) drained() bool {
	return i.policy.Description().InstanceDrained(i.settings.ID)
}

// regionTraffic holds the shares and request rates that the gateway of another
// region reports for that region.
type regionTraffic struct {
	shares cluster.Shares
	rates  cluster.RequestRates
}

// setRegionTraffic stores the mean of the shares in effect in another region and
// the sum of its requests per second.
func (i *Instance) setRegionTraffic(region string, shares cluster.Shares, rates cluster.RequestRates) {
	i.trafficByRegion.Store(region, regionTraffic{shares, rates})
}

// trafficOf returns the last report about another region, if there is one.
func (i *Instance) trafficOf(region string) (regionTraffic, bool) {
	t, ok := i.trafficByRegion.Load(region)
	if !ok {
		return regionTraffic{}, false
	}
	return t.(regionTraffic), true
}

// stepShares advances the effective shares toward the description's targets,
// given the reachable failure domains and the reports of the peers.
func (i *Instance) stepShares() {
	in := policy.Inputs{Reachable: i.balancer.ReachableDomains(), InstanceCount: 1}
	versionByRegion := make(map[string]uint64)
	for _, m := range i.mesh.Live() {
		if m.Region == i.settings.Region {
			in.InstanceCount++
			in.Peers = append(in.Peers, policy.Peer{ID: m.ID, Region: m.Region, Domain: m.Domain, Version: m.DescriptionVersion, Shares: m.Shares, Demand: m.RequestRates})
			continue
		}
		versionByRegion[m.Region] = max(versionByRegion[m.Region], m.DescriptionVersion)
	}
	for region, version := range versionByRegion {
		if t, ok := i.trafficOf(region); ok {
			in.Peers = append(in.Peers, policy.Peer{ID: region, Region: region, Version: version, Shares: t.shares, Demand: t.rates})
		}
	}
	i.policy.Step(in)
}

// memberState converts the state of a member for the operator API, which shows a
// starting instance as serving.
func memberState(s mesh.State) cluster.State {
	if s == mesh.Leaving {
		return cluster.Leaving
	}
	return cluster.Serving
}
