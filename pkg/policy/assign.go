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

// Inputs holds what Step needs in addition to the description.
type Inputs struct {
	// Reachable maps a service to the failure domains that have an upstream for
	// it.
	Reachable map[string]map[string]bool
	Peers     []Peer
	// InstanceCount is the number of live instances in the local region.
	InstanceCount int
}

// Step applies new inputs, advances the shares to the current time and updates
// the link budgets. It is called a few times per second
// and when a description comes into force.
func (p *Policy) Step(in Inputs) {
	p.stepMu.Lock()
	defer p.stepMu.Unlock()
	p.mu.Lock()
	d, previous, version := p.description, p.previousDescription, p.installed
	p.mu.Unlock()
	if version.Number == 0 {
		return
	}
	now := p.config.Now()
	r := p.routingInput(d, previous, version, in, now)
	p.table.Update(r, now)
	if !p.lastStep.IsZero() && now.Sub(p.lastStep) > pauseThreshold {
		// The process was paused while its peers moved their shares.
		p.table.MoveTowardPeerShares(r.MeanPeerShares, p.lastStep, now)
	}
	p.table.Step(now)
	p.lastStep = now
	links := make([]description.Link, 0, len(d.Links))
	for _, l := range d.Links {
		l.MbitPerSecond *= localLinkRateFraction
		links = append(links, l)
	}
	p.requestBudgets.Update(links, in.InstanceCount, now)
	p.responseBudgets.Update(links, in.InstanceCount, now)
}

func (p *Policy) routingInput(d, previous *description.Description, version cluster.Version, in Inputs, now time.Time) routing.Input {
	r := routing.Input{Description: d, Previous: previous, SinceAccepted: now.Sub(time.UnixMilli(version.AcceptedUnixMS)),
		Reachable: in.Reachable, HomeRegion: p.config.Region, OwnDemand: p.table.Demand()}
	for _, peer := range in.Peers {
		r.Peers = append(r.Peers, cluster.Member{ID: peer.ID, Region: peer.Region, Domain: peer.Domain, State: cluster.Serving,
			DescriptionVersion: peer.Version, Shares: peer.Shares, RequestRates: peer.Demand})
		r.PeerHasNewerVersion = r.PeerHasNewerVersion || peer.Version > version.Number
	}
	r.MeanPeerShares = cluster.MeanShares(r.Peers)
	return r
}

// Shares returns the effective shares, or nil if there is no description.
func (p *Policy) Shares() cluster.Shares {
	if p.Current().Number == 0 {
		return nil
	}
	return p.table.Shares()
}

// Demand returns the requests per second of this instance's callers by service,
// or nil if there is no description.
func (p *Policy) Demand() cluster.RequestRates {
	if p.Current().Number == 0 {
		return nil
	}
	return p.table.Demand()
}

// HasService reports whether the description in force defines the service.
func (p *Policy) HasService(service string) bool {
	_, ok := p.Description().Services[service]
	return ok
}

// Assignment is the failure domain assigned to one request, together with the
// request's concurrency permit. Release must be called when the request is
// done.
type Assignment struct {
	Domain string
	Region string
	// Probe is true if the domain was given to AssignProbe rather than chosen by
	// the shares.
	Probe  bool
	policy *Policy
	key    serviceRegion
	// triedDomains holds the domains that the request was reassigned from.
	triedDomains []string
}

// Request describes the request that needs a failure domain.
type Request struct {
	Service string
	// Bytes is the request size.
	Bytes int
	// RegionAllowed reports whether the route may use a region.
	RegionAllowed func(region string) bool
	// MaxWait is how long the request may wait for a concurrency permit.
	MaxWait time.Duration
}

// Assign chooses the failure domain of a request by the effective shares and
// takes a concurrency permit of the domain's region. It returns nil without an
// error if the description does not define the service.
func (p *Policy) Assign(ctx context.Context, r Request) (*Assignment, error) {
	d := p.Description()
	if _, ok := d.Services[r.Service]; !ok {
		return nil, nil
	}
	domain, err := p.table.Choose(r.Service)
	if result.CodeOf(err) == result.UnknownService {
		// The description in force defines the service, but the routing table
		// does not contain it until the next Step.
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if !r.RegionAllowed(d.RegionOf(domain)) {
		if domain, err = p.chooseAllowedDomain(d, r.Service, domain, r.RegionAllowed); err != nil {
			return nil, err
		}
	}
	return p.admit(ctx, d, r, &Assignment{Domain: domain})
}

// AssignProbe assigns the given domain regardless of the shares, for a request
// that probes whether the domain is reachable again. It returns nil if the
// domain is not allowed or a limit is reached.
func (p *Policy) AssignProbe(ctx context.Context, r Request, domain string) *Assignment {
	d := p.Description()
	if region := d.RegionOf(domain); region == "" || !r.RegionAllowed(region) || !p.HasService(r.Service) {
		return nil
	}
	assignment, err := p.admit(ctx, d, r, &Assignment{Domain: domain, Probe: true})
	if err != nil {
		return nil
	}
	return assignment
}

// Reassign releases an assignment whose request was not sent, because no upstream
// of its domain accepts it, and assigns another failure domain. If the old
// assignment is a probe, Reassign calls Assign, which chooses by the shares.
// Otherwise it returns an error if no other domain has enough credit.
func (p *Policy) Reassign(ctx context.Context, old *Assignment, r Request) (*Assignment, error) {
	old.Release(0)
	if old.Probe {
		return p.Assign(ctx, r)
	}
	d := p.Description()
	tried := append(old.triedDomains, old.Domain)
	domain, ok := p.table.Transfer(r.Service, old.Domain, excludedDomains(d, r.RegionAllowed, tried))
	if !ok {
		return nil, result.New(result.NoDestination, "no domain other than %v is available for service %s", tried, r.Service)
	}
	return p.admit(ctx, d, r, &Assignment{Domain: domain, triedDomains: tried})
}

// admit charges an assignment to the concurrency limit and the link budget, and
// sets its region. It returns an error if the limit or the budget is used up.
func (p *Policy) admit(ctx context.Context, d *description.Description, r Request, assignment *Assignment) (*Assignment, error) {
	assignment.Region, assignment.policy = d.RegionOf(assignment.Domain), p
	assignment.key = serviceRegion{r.Service, assignment.Region}
	if !p.acquire(ctx, assignment.key, r.MaxWait) {
		return nil, result.New(result.RegionLimit, "region %s: this instance's quota of the concurrency limit is used up", assignment.Region)
	}
	// The link budget is checked last, because it must be charged only for
	// requests that are sent.
	now := p.config.Now()
	if assignment.Region != p.config.Region && !(p.responseBudgets.Take(assignment.Region, 0, now) && p.requestBudgets.Take(assignment.Region, r.Bytes, now)) {
		p.release(assignment.key)
		return nil, result.New(result.LinkBudgetExhausted, "byte budget of the link to region %s is exhausted", assignment.Region)
	}
	return assignment, nil
}

// chooseAllowedDomain returns another failure domain for a request whose route
// may use only some regions. It prefers to transfer the request, which keeps the
// request counts close to the effective shares. If no allowed domain has enough
// credit, it picks one at random, weighted by share.
func (p *Policy) chooseAllowedDomain(d *description.Description, service, from string, allowed func(region string) bool) (string, error) {
	excluded := excludedDomains(d, allowed, nil)
	if to, ok := p.table.Transfer(service, from, excluded); ok {
		return to, nil
	}
	destinations, err := p.table.Destinations(service)
	if err != nil {
		return "", err
	}
	return p.chooseByShare(service, destinations, excluded)
}

// excludedDomains returns the domains that a request must not use: those in
// regions that its route does not allow and those already tried.
func excludedDomains(d *description.Description, allowed func(region string) bool, tried []string) map[string]bool {
	excluded := make(map[string]bool)
	for name, region := range d.Regions {
		for _, domain := range region.Domains {
			excluded[domain] = !allowed(name) || slices.Contains(tried, domain)
		}
	}
	return excluded
}

// chooseByShare picks a reachable domain at random, weighted by share. It skips
// the excluded domains.
func (p *Policy) chooseByShare(service string, destinations []routing.Destination, excluded map[string]bool) (string, error) {
	total := 0.0
	for i, to := range destinations {
		if excluded[to.Domain] || !to.Reachable {
			destinations[i].Share = 0
		}
		total += destinations[i].Share
	}
	remaining, last := p.config.Random()*total, ""
	for _, to := range destinations {
		if to.Share <= 0 {
			continue
		}
		last = to.Domain
		if remaining -= to.Share; remaining <= 0 {
			break
		}
	}
	if last != "" {
		return last, nil
	}
	return "", result.New(result.NoDestination, "no reachable domain in an allowed region has a share of service %s", service)
}

// Release returns the permit. It charges the size of the response to the link
// budget if the response comes from another region.
func (a *Assignment) Release(responseBytes int) {
	p := a.policy
	if a.Region != p.config.Region {
		p.responseBudgets.Charge(a.Region, responseBytes, p.config.Now())
	}
	p.release(a.key)
}

// Destinations returns the state of all failure domains of a service.
func (p *Policy) Destinations(service string) ([]routing.Destination, error) {
	return p.table.Destinations(service)
}
