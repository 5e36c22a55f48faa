package operatorapi

import (
	"sort"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/description"
	"github.com/sequoiacove/sequoiacove/pkg/operator"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// shareTolerance is the maximum difference between a share and its target for a move
// to count as finished. It is larger than the rounding error of float64 shares.
const shareTolerance = 1e-4

func (p *API) members(*call) (any, error) {
	return operator.MembersReply{Instance: p.config.InstanceID, Members: p.localInstance.Members()}, nil
}

func (p *API) move(c *call) (any, error) {
	version := p.localInstance.Current()
	if version.Number == 0 {
		return nil, result.New(result.NoConfiguration, "no configuration version received yet")
	}
	d, err := description.Parse(version.Body)
	if err != nil {
		return nil, err
	}
	service, ok := d.Services[c.pathArg]
	if !ok {
		return nil, result.New(result.UnknownService, "version %d has no service %q", version.Number, truncate(c.pathArg))
	}
	return newMove(c.pathArg, version.Number, service.DomainShares(), p.localInstance.Members()), nil
}

func (p *API) drain(c *call) (any, error) { return p.localInstance.DrainStatus(c.pathArg) }

func (p *API) explain(c *call) (any, error) {
	service := truncate(c.query("service"))
	if service == "" {
		return nil, result.New(result.BadRequest, "service is required")
	}
	return p.localInstance.Explain(service)
}

func (p *API) request(c *call) (any, error) { return p.localInstance.RequestOutcome(c.pathArg) }

func (p *API) state(c *call) (any, error) { return p.localInstance.State() }

// newMove compares the target shares with the shares in effect on each live instance.
// The move is finished when every instance has applied the version and reached the
// target.
func newMove(service string, version uint64, configuredShares map[string]float64, members []cluster.Member) operator.MoveReply {
	target, unreachable := reachableTarget(configuredShares, members)
	move := operator.MoveReply{
		Service:     service,
		Version:     version,
		Target:      target,
		Unreachable: unreachable,
		Instances:   []operator.MoveInstance{},
		Finished:    true,
	}
	for _, m := range members {
		shares := m.Shares[service]
		finished := m.DescriptionVersion >= version && cluster.SharesWithin(shares, target, shareTolerance)
		move.Finished = move.Finished && finished
		move.Instances = append(move.Instances, operator.MoveInstance{
			ID: m.ID, Domain: m.Domain, Version: m.DescriptionVersion, Shares: shares, Finished: finished,
		})
	}
	return move
}

// reachableTarget rescales the configured shares to the reachable failure domains,
// which are those with a live instance. It returns the shares unchanged if either all
// or none of the domains with a share are reachable. unreachable lists the domains
// that have a share but are not reachable.
func reachableTarget(configuredShares map[string]float64, live []cluster.Member) (target map[string]float64, unreachable []string) {
	reachable := make(map[string]bool)
	for _, m := range live {
		reachable[m.Domain] = true
	}
	var reachableShare float64
	unreachable = []string{}
	for domain, share := range configuredShares {
		if reachable[domain] {
			reachableShare += share
		} else if share > 0 {
			unreachable = append(unreachable, domain)
		}
	}
	sort.Strings(unreachable)
	if len(unreachable) == 0 || reachableShare == 0 {
		return configuredShares, unreachable
	}
	target = make(map[string]float64)
	for domain, share := range configuredShares {
		if reachable[domain] {
			target[domain] = share / reachableShare
		} else {
			target[domain] = 0
		}
	}
	return target, unreachable
}
