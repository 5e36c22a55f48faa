package policy

import (
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/description"
	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/pkg/routing"
)

// Inputs is what the shares depend on besides the description.
type Inputs struct {
	// Reachable holds, per service, the failure domains that have an upstream.
	Reachable map[string]map[string]bool
	Peers     []Peer
	// Instances is the number of instances of the own region.
	Instances int
}

// Step takes new inputs and moves the shares to the time now. Calls come a few
// times per second.
func (p *Policy) Step(in Inputs) {
	p.mu.Lock()
	d, previous, version := p.description, p.previous, p.version
	p.mu.Unlock()
	if version.Number == 0 {
		return
	}
	now := p.config.Now()
	p.table.Update(p.routingInput(d, previous, version, in, now), now)
	p.table.Step(now)
	links := make([]description.Link, 0, len(d.Links))
	for _, l := range d.Links {
		l.MbitPerSecond *= linkPart
		links = append(links, l)
	}
	p.requests.Update(links, in.Instances, now)
	p.answers.Update(links, in.Instances, now)
}

func (p *Policy) routingInput(d, previous *description.Description, version cluster.Version, in Inputs, now time.Time) routing.Input {
	r := routing.Input{Description: d, Previous: previous, SinceAccepted: now.Sub(time.UnixMilli(version.AcceptedUnixMS)),
		ReachableFor: in.Reachable, Home: p.config.Region, Own: p.table.Demand()}
	for _, peer := range in.Peers {
		r.Peers = append(r.Peers, cluster.Member{ID: peer.ID, Region: peer.Region, Domain: peer.Domain, State: cluster.Serving,
			EntryIncarnation: 1, Version: peer.Version, Shares: peer.Shares, Demand: peer.Rates})
		r.Behind = r.Behind || peer.Version > version.Number
	}
	r.PeerShares = cluster.MeanShares(r.Peers, p.config.Instance)
	return r
}

// Shares returns the shares in effect; it is empty without a description.
func (p *Policy) Shares() cluster.Shares {
	if p.Current().Number == 0 {
		return nil
	}
	return p.table.Shares()
}

// Rates returns the requests per second of the own callers by service; it is
// empty without a description.
func (p *Policy) Rates() cluster.Demand {
	if p.Current().Number == 0 {
		return nil
	}
	return p.table.Demand()
}

// Governs tells whether the description names the service.
func (p *Policy) Governs(service string) bool {
	_, ok := p.Description().Services[service]
	return ok
}

// Place is the failure domain of one request. It must be released.
type Place struct {
	Domain string
	Region string
	policy *Policy
	key    regionKey
}

// Place chooses the failure domain of a request of the given size, among the
// regions that allowed accepts. It returns nil for a service that the
// description does not name.
func (p *Policy) Place(service string, bytes int, allowed func(region string) bool) (*Place, error) {
	d := p.Description()
	if _, ok := d.Services[service]; !ok {
		return nil, nil
	}
	domain, err := p.table.Choose(service)
	if result.CodeOf(err) == result.UnknownService {
		// The shares of a version that came into force at this moment follow.
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if !allowed(d.RegionOf(domain)) {
		if domain, err = p.moveToAllowed(d, service, domain, allowed); err != nil {
			return nil, err
		}
	}
	place := &Place{Domain: domain, Region: d.RegionOf(domain), policy: p}
	place.key = regionKey{service, place.Region}
	return place, p.enter(d, place, bytes)
}

// moveToAllowed returns another failure domain for a request whose route is
// bound to some regions. The shares hold as far as such routes let them: beyond
// what the other domains' shares leave open, a domain is drawn by its share.
func (p *Policy) moveToAllowed(d *description.Description, service, from string, allowed func(region string) bool) (string, error) {
	excluded := make(map[string]bool)
	for name, r := range d.Regions {
		for _, domain := range r.Domains {
			excluded[domain] = !allowed(name)
		}
	}
	if to, ok := p.table.Transfer(service, from, "", excluded); ok {
		return to, nil
	}
	destinations, err := p.table.Explain(service)
	if err != nil {
		return "", err
	}
	return p.draw(service, destinations, excluded)
}

func (p *Policy) draw(service string, destinations []routing.Destination, excluded map[string]bool) (string, error) {
	total := 0.0
	for i, to := range destinations {
		if excluded[to.Domain] || !to.Reachable {
			destinations[i].Share = 0
		}
		total += destinations[i].Share
	}
	at, last := p.config.Random()*total, ""
	for _, to := range destinations {
		if to.Share <= 0 {
			continue
		}
		last = to.Domain
		if at -= to.Share; at <= 0 {
			break
		}
	}
	if last != "" {
		return last, nil
	}
	return "", result.New(result.NoDestination, "no domain of an allowed region has a share of %s", service)
}

// enter counts the request against the limits. The link comes last, because
// only what is sent may be charged to it.
func (p *Policy) enter(d *description.Description, place *Place, bytes int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit := d.Services[place.key.service].Regions[place.Region].MaxConcurrent; limit > 0 && p.running[place.key] >= p.part(limit) {
		return result.New(result.RegionLimit, "%s is at the instance's part of %d requests", place.Region, limit)
	}
	now := p.config.Now()
	if place.Region != p.config.Region && !(p.answers.Take(place.Region, 0, now) && p.requests.Take(place.Region, bytes, now)) {
		return result.New(result.LinkBudgetExhausted, "the link to %s is used up", place.Region)
	}
	p.running[place.key]++
	return nil
}

// part returns the own part of a limit on all instances together.
func (p *Policy) part(limit int) int {
	rank, n := p.config.Part()
	part := limit / max(1, n)
	if rank < limit%max(1, n) {
		part++
	}
	return part
}

// Release gives the place back after an answer of the given size.
func (l *Place) Release(bytes int) {
	p := l.policy
	if l.Region != p.config.Region {
		p.answers.Charge(l.Region, bytes, p.config.Now())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running[l.key]--
}

// Destinations describes the failure domains of a service.
func (p *Policy) Destinations(service string) ([]routing.Destination, error) {
	return p.table.Explain(service)
}
