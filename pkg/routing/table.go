package routing

import (
	"hash/fnv"
	"maps"
	"sync"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/description"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// Input is what the shares depend on.
type Input struct {
	Description *description.Description
	// Previous is the version before, or nil.
	Previous *description.Description
	// SinceAccepted is the time since the version was accepted.
	SinceAccepted time.Duration
	// Reachable holds, per service, the domains with an upstream that takes
	// requests.
	Reachable map[string]map[string]bool
	// PeerShares is the mean of the effective shares of the live peers.
	PeerShares cluster.Shares
	// Peers are the live peers; their shares limit the lead of this instance.
	Peers []cluster.Member
	// HomeRegion is the region of this instance.
	HomeRegion string
	// OwnDemand is the demand of this instance as its peers know it.
	OwnDemand cluster.Demand
	// Behind is set while a live peer has a higher version.
	Behind bool
}

// Table holds the routing state of all services.
type Table struct {
	seed     uint64
	mu       sync.RWMutex
	services map[string]*service
}

// NewTable returns a table without services. The seed differs between instances
// and decides where in the sequence of destinations each service starts:
// otherwise the first requests of all instances would go to one destination.
func NewTable(seed uint64) *Table {
	return &Table{seed: seed, services: make(map[string]*service)}
}

// maxSkip is the number of places at which the sequences may start.
const maxSkip = 64

// skip returns the place at which the sequence of a service starts.
func (t *Table) skip(service string) int {
	h := fnv.New64a()
	h.Write([]byte(service))
	return int((t.seed * (h.Sum64() | 1)) >> 32 % maxSkip)
}

// Update puts new inputs into force. Services that are new here start at the
// vector that start returns; others keep theirs.
func (t *Table) Update(in Input, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	regionOf := regions(in.Peers, in.Previous, in.Description)
	for name := range t.services {
		if _, ok := in.Description.Services[name]; !ok {
			delete(t.services, name)
		}
	}
	for name, svc := range in.Description.Services {
		si := newServiceInput(in, name, svc, regionOf)
		if s, ok := t.services[name]; ok {
			s.set(si)
			continue
		}
		t.services[name] = newService(name, start(in, name, si), si, t.skip(name), now)
	}
}

// regions maps domains to their regions. The last version takes precedence;
// peers may name domains of a version that has not arrived here yet.
func regions(peers []cluster.Member, versions ...*description.Description) map[string]string {
	regionOf := make(map[string]string)
	for i := range peers {
		regionOf[peers[i].Domain] = peers[i].Region
	}
	for _, d := range versions {
		if d == nil {
			continue
		}
		for name, r := range d.Regions {
			for _, domain := range r.Domains {
				regionOf[domain] = name
			}
		}
	}
	return regionOf
}

func newServiceInput(in Input, name string, svc description.Service, regionOf map[string]string) serviceInput {
	target := vector(svc.DomainShares())
	target.normalize()
	si := serviceInput{
		target:    target,
		caps:      svc.Caps,
		regionOf:  regionOf,
		reachable: in.Reachable[name],
		peers:     &peerShares{service: name, members: in.Peers, mean: in.PeerShares, regionOf: regionOf},
	}
	if svc.Locality == description.LocalityNearest {
		si.home = in.HomeRegion
		si.ownDemand = in.OwnDemand[name]
		si.demand = demandByRegion(in, name)
	}
	if in.Behind {
		si.peerMean = vector(in.PeerShares[name])
	}
	return si
}

// start returns the first vector of a service: the peers' mean, else the
// previous version's target moved at the caps since the acceptance of this
// version, else the target.
func start(in Input, name string, si serviceInput) vector {
	if shares := vector(in.PeerShares[name]).clone(); shares.normalize() {
		return shares
	}
	if in.Previous == nil {
		return si.target.clone()
	}
	previous, ok := in.Previous.Services[name]
	if !ok {
		return si.target.clone()
	}
	shares := vector(previous.DomainShares())
	if !shares.normalize() {
		return si.target.clone()
	}
	l := limiter{shares: shares, regionOf: si.regionOf}
	l.step(si.target, ratesFor(si.caps, false), max(in.SinceAccepted, 0), nil)
	return l.shares
}

// Step moves all vectors to the time now.
func (t *Table) Step(now time.Time) {
	for _, s := range t.all() {
		s.step(now)
	}
}

// Rejoin lets an instance that served nothing since the given time adopt its
// peers' mean, so that it does not return with shares that its peers have left
// behind. The move is bounded by the caps over that time.
func (t *Table) Rejoin(mean cluster.Shares, served, now time.Time) {
	for name, s := range t.all() {
		s.rejoin(vector(mean[name]).clone(), served, now)
	}
}

// all returns a copy of the services, so that callers need no lock.
func (t *Table) all() map[string]*service {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return maps.Clone(t.services)
}

func (t *Table) service(name string) (*service, error) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if s, ok := t.services[name]; ok {
		return s, nil
	}
	return nil, result.New(result.UnknownService, "no service %q", name)
}

// Choose returns the failure domain of the next request of a service and
// charges it.
func (t *Table) Choose(name string) (string, error) {
	s, err := t.service(name)
	if err != nil {
		return "", err
	}
	return s.choose()
}

// Transfer moves the charge of a request from one domain to another one with
// credit that is not in excluded; ok is false when there is none.
func (t *Table) Transfer(name, from string, excluded map[string]bool) (to string, ok bool) {
	s, err := t.service(name)
	if err != nil {
		return "", false
	}
	return s.transfer(from, excluded)
}
