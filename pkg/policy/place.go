package policy

import (
	"context"
	"slices"
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
	r := p.routingInput(d, previous, version, in, now)
	p.table.Update(r, now)
	if !p.stepped.IsZero() && now.Sub(p.stepped) > pauseThreshold {
		// The process stood still while its peers moved on.
		p.table.Rejoin(r.PeerShares, p.stepped, now)
	}
	p.table.Step(now)
	p.stepped = now
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
		Reachable: in.Reachable, HomeRegion: p.config.Region, OwnDemand: p.table.Demand()}
	for _, peer := range in.Peers {
		r.Peers = append(r.Peers, cluster.Member{ID: peer.ID, Region: peer.Region, Domain: peer.Domain, State: cluster.Serving,
			Version: peer.Version, Shares: peer.Shares, Demand: peer.Rates})
		r.Behind = r.Behind || peer.Version > version.Number
	}
	r.PeerShares = cluster.MeanShares(r.Peers)
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

// HasService tells whether the description names the service.
func (p *Policy) HasService(service string) bool {
	_, ok := p.Description().Services[service]
	return ok
}

// Assignment is the failure domain of one request. It must be released.
type Assignment struct {
	Domain string
	Region string
	// Probe tells that the place is beside the shares.
	Probe  bool
	policy *Policy
	key    regionKey
	// left holds the domains that the request was moved away from.
	left []string
}

// Request is what a place is chosen for.
type Request struct {
	Service string
	// Bytes is its size.
	Bytes int
	// RegionAllowed tells which regions its route may use.
	RegionAllowed func(region string) bool
	// MaxWait is how long it may wait while its region is at the limit.
	MaxWait time.Duration
}

// Assign chooses the failure domain of a request. It returns nil for a service
// that the description does not name.
func (p *Policy) Assign(ctx context.Context, r Request) (*Assignment, error) {
	d := p.Description()
	if _, ok := d.Services[r.Service]; !ok {
		return nil, nil
	}
	domain, err := p.table.Choose(r.Service)
	if result.CodeOf(err) == result.UnknownService {
		// The shares of a version that came into force at this moment follow.
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if !r.RegionAllowed(d.RegionOf(domain)) {
		if domain, err = p.moveToAllowed(d, r.Service, domain, r.RegionAllowed); err != nil {
			return nil, err
		}
	}
	return p.take(ctx, d, r, &Assignment{Domain: domain})
}

// AssignProbe takes a place in a domain beside the shares, for a request that finds
// out whether the domain is reachable again. It returns nil if there is none.
func (p *Policy) AssignProbe(ctx context.Context, r Request, domain string) *Assignment {
	d := p.Description()
	if region := d.RegionOf(domain); region == "" || !r.RegionAllowed(region) || !p.HasService(r.Service) {
		return nil
	}
	place, err := p.take(ctx, d, r, &Assignment{Domain: domain, Probe: true})
	if err != nil {
		return nil
	}
	return place
}

// Reassign gives a request that was not sent another failure domain, because its
// own has no upstream that takes it, and releases the old place. It returns an
// error if the shares leave no other domain open.
func (p *Policy) Reassign(ctx context.Context, old *Assignment, r Request) (*Assignment, error) {
	old.Release(0)
	if old.Probe {
		return p.Assign(ctx, r)
	}
	d := p.Description()
	left := append(old.left, old.Domain)
	domain, ok := p.table.Transfer(r.Service, old.Domain, excluded(d, r.RegionAllowed, left))
	if !ok {
		return nil, result.New(result.NoDestination, "no other domain than %v is open to %s", left, r.Service)
	}
	return p.take(ctx, d, r, &Assignment{Domain: domain, left: left})
}

// take counts a place against the limits.
func (p *Policy) take(ctx context.Context, d *description.Description, r Request, place *Assignment) (*Assignment, error) {
	place.Region, place.policy = d.RegionOf(place.Domain), p
	place.key = regionKey{r.Service, place.Region}
	if !p.enter(ctx, place.key, r.MaxWait) {
		return nil, result.New(result.RegionLimit, "%s is at the instance's part of its limit", place.Region)
	}
	// The link comes last, because only what is sent may be charged to it.
	now := p.config.Now()
	if place.Region != p.config.Region && !(p.answers.Take(place.Region, 0, now) && p.requests.Take(place.Region, r.Bytes, now)) {
		p.leave(place.key)
		return nil, result.New(result.LinkBudgetExhausted, "the link to %s is used up", place.Region)
	}
	return place, nil
}

// moveToAllowed returns another failure domain for a request whose route is
// bound to some regions. The shares hold as far as such routes let them: beyond
// what the other domains' shares leave open, a domain is drawn by its share.
func (p *Policy) moveToAllowed(d *description.Description, service, from string, allowed func(region string) bool) (string, error) {
	closed := excluded(d, allowed, nil)
	if to, ok := p.table.Transfer(service, from, closed); ok {
		return to, nil
	}
	destinations, err := p.table.Explain(service)
	if err != nil {
		return "", err
	}
	return p.draw(service, destinations, closed)
}

// excluded returns the domains that a request must not use: those of regions
// that its route may not use and those that it left.
func excluded(d *description.Description, allowed func(region string) bool, left []string) map[string]bool {
	closed := make(map[string]bool)
	for name, region := range d.Regions {
		for _, domain := range region.Domains {
			closed[domain] = !allowed(name) || slices.Contains(left, domain)
		}
	}
	return closed
}

func (p *Policy) draw(service string, destinations []routing.Destination, closed map[string]bool) (string, error) {
	total := 0.0
	for i, to := range destinations {
		if closed[to.Domain] || !to.Reachable {
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

// Release gives the place back after an answer of the given size.
func (l *Assignment) Release(bytes int) {
	p := l.policy
	if l.Region != p.config.Region {
		p.answers.Charge(l.Region, bytes, p.config.Now())
	}
	p.leave(l.key)
}

// Destinations describes the failure domains of a service.
func (p *Policy) Destinations(service string) ([]routing.Destination, error) {
	return p.table.Explain(service)
}
