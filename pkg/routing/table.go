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

// Input holds the values from which the effective shares are computed.
type Input struct {
	Description *description.Description
	// Previous is the previous version of the description, or nil.
	Previous *description.Description
	// SinceAccepted is the time since Description was accepted.
	SinceAccepted time.Duration
	// Reachable maps a service to the domains that have an upstream accepting
	// requests.
	Reachable map[string]map[string]bool
	// MeanPeerShares is the mean of the effective shares of the live peers.
	MeanPeerShares cluster.Shares
	// Peers holds the peers that are live; their shares limit the lead of this
	// instance.
	Peers []cluster.Member
	// HomeRegion is the region of this instance.
	HomeRegion string
	// OwnDemand is the demand of this instance, as it reports it to its peers.
	OwnDemand cluster.RequestRates
	// PeerHasNewerVersion is true while a live peer has a newer version of the
	// description.
	PeerHasNewerVersion bool
}

// Table holds the routing state of all services.
type Table struct {
	seed     uint64
	mu       sync.RWMutex
	services map[string]*service
}

// NewTable returns a table without services. The seed differs between instances
// and selects the position in the sequence of destinations at which each service
// starts. With equal seeds, the first requests of all instances would go to the
// same destination.
func NewTable(seed uint64) *Table {
	return &Table{seed: seed, services: make(map[string]*service)}
}

// startOffsetCount is the number of possible start positions in the sequence of
// destinations.
const startOffsetCount = 64

// startOffset returns the position at which the sequence of a service starts.
func (t *Table) startOffset(service string) int {
	h := fnv.New64a()
	h.Write([]byte(service))
	return int((t.seed * (h.Sum64() | 1)) >> 32 % startOffsetCount)
}

// Update applies new inputs. Services that are not in the table yet start at the
// vector that initialShares returns; existing services keep their vectors.
func (t *Table) Update(in Input, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	regionOf := regionsByDomain(in.Peers, in.Previous, in.Description)
	for name := range t.services {
		if _, ok := in.Description.Services[name]; !ok {
			delete(t.services, name)
		}
	}
	for name, svc := range in.Description.Services {
		si := newServiceInput(in, name, svc, regionOf)
		if s, ok := t.services[name]; ok {
			s.setInput(si)
			continue
		}
		t.services[name] = newService(name, initialShares(in, name, si), si, t.startOffset(name), now)
	}
}

// regionsByDomain maps domains to their regions. If several versions list a
// domain, the last version takes precedence. The domains of the peers are
// included, because a peer may have a version that has not arrived at this
// instance yet.
func regionsByDomain(peers []cluster.Member, versions ...*description.Description) map[string]string {
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
		target:     target,
		caps:       svc.Caps,
		regionOf:   regionOf,
		reachable:  in.Reachable[name],
		peerRanges: &peerShareRanges{service: name, members: in.Peers, meanShares: in.MeanPeerShares, regionOf: regionOf},
	}
	if svc.Locality == description.LocalityNearest {
		si.homeRegion = in.HomeRegion
		si.ownDemand = in.OwnDemand[name]
		si.demand = demandByRegion(in, name)
	}
	if in.PeerHasNewerVersion {
		si.meanPeerShares = vector(in.MeanPeerShares[name])
	}
	return si
}

// initialShares returns the first vector of a service: the mean of the peers'
// shares, if there are any. Otherwise it moves from the target of the previous
// version towards the new target by what the caps allow in the time since the new
// version was accepted. Without a previous target it returns the new target.
func initialShares(in Input, name string, si serviceInput) vector {
	if shares := vector(in.MeanPeerShares[name]).clone(); shares.normalize() {
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
	l.step(si.target, maxRatesFor(si.caps, false), max(in.SinceAccepted, 0), nil)
	return l.shares
}

// Step advances all vectors to the given time.
func (t *Table) Step(now time.Time) {
	for _, s := range t.snapshot() {
		s.step(now)
	}
}

// MoveTowardPeerShares moves the shares of an instance that was paused since
// pausedSince towards the mean of its peers' shares, by at most what the caps
// allow in the time since. Otherwise the instance would resume with shares that
// its peers have already moved away from.
func (t *Table) MoveTowardPeerShares(mean cluster.Shares, pausedSince, now time.Time) {
	for name, s := range t.snapshot() {
		s.moveTowardPeerShares(vector(mean[name]).clone(), pausedSince, now)
	}
}

// snapshot returns a copy of the map of services, so that callers need not hold
// the lock.
func (t *Table) snapshot() map[string]*service {
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

// Transfer moves the charge of a request to another reachable domain that has
// enough credit and is not in excluded. ok is false if there is none.
func (t *Table) Transfer(name, from string, excluded map[string]bool) (to string, ok bool) {
	s, err := t.service(name)
	if err != nil {
		return "", false
	}
	return s.transfer(from, excluded)
}
