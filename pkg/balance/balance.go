// Package balance chooses an upstream for each attempt of a request and grants a
// lease on it.
//
// Every instance decides independently. It counts its own requests in flight at each
// upstream, adds the counts that its peers reported, and uses the load that upstreams
// report in their responses. A request goes to the upstream with the lowest expected
// latency: round trip, queueing time and service time. The service time is shorter at
// upstreams that handled the same object recently and longer at slow ones. On routes
// with affinity, requests carry the key of an object, and one upstream per region owns
// each object. Requests for the object go to its owner first, else to the next upstream in
// the object's ranking (affinity.go, choose.go).
// Upstreams that fail repeatedly are ejected until a probe succeeds (upstream.go).
//
// The region of a request follows per-route shares (shares.go) that move towards their
// targets at a limited rate (targets.go). The targets follow from the demand and the slots
// of the regions, and from the room of their caches (cache_room.go). The instances of a
// region plan with what they have measured together (route_stats.go). Under overload the priority of a route limits
// how much of an upstream's queue its requests may use, so that requests of low
// priority are refused first (admit.go, choose.go). Limits that apply to all instances
// together are divided among the known instances (instances.go, share.go, limits.go,
// retry_budget.go).
//
// Capacity and demand are measured in slots. A slot is room for one request that
// an upstream executes; the demand of a route is its request rate times its
// service time.
package balance

import (
	"hash/fnv"
	"log/slog"
	"sync"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/exchange"
	"github.com/sequoiacove/sequoiacove/pkg/revision"
	"github.com/sequoiacove/sequoiacove/pkg/steering"
)

// Config holds the inputs of a Balancer.
type Config struct {
	// Instance, Region and Domain describe this instance.
	Instance string
	Region   string
	Domain   string
	// RegionByDomain maps failure domains to their regions.
	RegionByDomain map[string]string
	GlobalLimits   steering.GlobalLimits
	Now            func() time.Time
	// Random returns a number in [0, 1).
	Random func() float64
	Logger *slog.Logger
	// OnRemove is called when an upstream is removed.
	OnRemove func(exchange.Target)
}

// Balancer chooses upstreams.
type Balancer struct {
	config Config

	mu sync.Mutex
	// upstreams holds every known upstream by id.
	upstreams map[string]*upstream
	// byHash holds the same upstreams by the hash of their id.
	byHash map[uint32]*upstream
	// notices holds the notices that outlast the registrations of their upstreams, by id.
	notices map[string]*notice
	// pools holds the pools by service.
	pools map[string]*pool
	// evacuatedDomains holds the failure domains that receive no requests because the
	// operator evacuated them.
	evacuatedDomains map[string]bool
	// evacuationEnds is View.EvacuationEnds of the last view.
	evacuationEnds map[string]revision.Revision
	// instances holds the instances among which global limits are divided, by id,
	// including this one (instances.go).
	instances map[string]*knownInstance
	// instancesVersion changes with the ids and regions of instances.
	instancesVersion uint64
	// addressOnlyCount is the number of instances that are known only by address
	// because no heartbeat of theirs has arrived yet.
	addressOnlyCount int
	// instancesListed is set once the registered instances have been listed.
	instancesListed bool
	// peers holds the load reports of other instances and regions by the id of the
	// sender.
	peers map[string]*peerLoad
	// splitters holds the traffic splits by route host and prefix.
	splitters map[string]*splitter
	startedAt time.Time
	// roundTrips holds the measured round-trip times to other failure domains.
	roundTrips roundTrips
}

// Instance is a live instance.
type Instance struct {
	ID     string
	Region string
	// Leaving is set while the instance shuts down or is drained.
	Leaving bool
}

// pool holds the upstreams of one service.
type pool struct {
	service     string
	config      steering.Service
	upstreams   []*upstream
	routes      map[string]*routeState
	retryBudget retryBudget
	waiters     []*waiter
	// rankings caches the owner ranking per object and region. It is cleared when
	// the upstreams change.
	rankings map[rankingKey][]*upstream
	// serviceTime is the EWMA of the service time over all routes.
	serviceTime time.Duration
	// capacities holds the history of the slots of each region.
	capacities map[string]*capacityHistory
}

// routeState holds the statistics and the region shares of a route at one service.
type routeState struct {
	config *steering.Route
	// serviceTime is the service time without queueing, and regionCacheHits are the cache
	// hits, that the instances of this region have measured together (route_stats.go).
	// serviceTime is an assumed one before the first measurement.
	serviceTime     time.Duration
	regionCacheHits cacheHits
	// measuredServiceTime is the EWMA of the service times that this instance has
	// measured, sampleCount their number, and cacheHits the cache hits that it has counted.
	measuredServiceTime time.Duration
	sampleCount         int
	cacheHits           cacheHits
	// requestRate is the rate of first attempts.
	requestRate rate
	shares      regionShares
}

// New returns a Balancer without upstreams.
func New(config Config) *Balancer {
	b := &Balancer{config: config, upstreams: make(map[string]*upstream), byHash: make(map[uint32]*upstream), notices: make(map[string]*notice), pools: make(map[string]*pool),
		evacuatedDomains: make(map[string]bool), peers: make(map[string]*peerLoad), splitters: make(map[string]*splitter), roundTrips: make(roundTrips), startedAt: config.Now()}
	b.instances = map[string]*knownInstance{config.Instance: {Instance: Instance{ID: config.Instance, Region: config.Region}, live: true}}
	return b
}

// hash returns a 32-bit hash of a sequence of strings.
func hash(parts ...string) uint32 {
	h := fnv.New32a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p))
		_, _ = h.Write([]byte{0})
	}
	// FNV alone does not spread strings that differ only at the end; apply a
	// finalizer.
	x := h.Sum32()
	x ^= x >> 16
	x *= 0x7feb352d
	x ^= x >> 15
	x *= 0x846ca68b
	return x ^ x>>16
}

// unitInterval maps a hash to [0, 1).
func unitInterval(h uint32) float64 { return float64(h) / (1 << 32) }

// Update installs a new view of the configuration and the upstreams.
func (b *Balancer) Update(v *steering.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.config.Now()
	for id, u := range b.upstreams {
		if _, ok := v.Upstreams[id]; !ok {
			b.remove(id, u)
		}
	}
	if v.Config != nil {
		b.configure(v.Config)
	}
	for _, registration := range v.Upstreams {
		b.register(registration, now)
	}
	b.setEvacuations(v, now)
	for _, p := range b.pools {
		p.rankings = nil
	}
	b.dispatchAll()
}

// configure applies a configuration. It removes routes that are not in the
// configuration, and services that are not in the configuration and have no upstreams.
func (b *Balancer) configure(c *steering.Config) {
	for name, s := range c.Services {
		b.pool(name).config = *s
	}
	for name, p := range b.pools {
		for key, r := range p.routes {
			if current := c.Match(r.config.Host, r.config.Prefix); current == nil || current.Name != r.config.Name {
				delete(p.routes, key)
			}
		}
		if c.Services[name] == nil && len(p.upstreams) == 0 {
			delete(b.pools, name)
		}
	}
}

// pool returns the pool of a service, creating it if needed.
func (b *Balancer) pool(service string) *pool {
	p := b.pools[service]
	if p == nil {
		p = &pool{service: service, routes: make(map[string]*routeState), capacities: make(map[string]*capacityHistory)}
		b.pools[service] = p
	}
	return p
}

func (b *Balancer) remove(id string, u *upstream) {
	delete(b.upstreams, id)
	delete(b.byHash, u.hash)
	p := b.pool(u.Service)
	for i, other := range p.upstreams {
		if other == u {
			p.upstreams = append(p.upstreams[:i:i], p.upstreams[i+1:]...)
			break
		}
	}
	if b.config.OnRemove != nil {
		b.config.OnRemove(b.target(u))
	}
}

// register adds or updates an upstream. A restart or a new address or service
// resets its state.
func (b *Balancer) register(registration steering.Upstream, now time.Time) {
	u := b.upstreams[registration.ID]
	if u != nil && (u.StartUnixMS != registration.StartUnixMS || u.Address != registration.Address || u.Service != registration.Service) {
		b.remove(registration.ID, u)
		u = nil
	}
	if u != nil {
		u.updateRegistration(registration, now)
		return
	}
	u = &upstream{hash: hash(registration.ID), region: b.config.RegionByDomain[registration.Domain], reportedSlowness: 1, latencyRatio: 1, hitLatencyRatio: 1,
		notice: b.noticeOf(registration.ID, registration.StartUnixMS)}
	u.updateRegistration(registration, now)
	u.peerInFlight = 0
	for _, p := range b.peers {
		u.peerInFlight += p.inFlight[u.hash]
	}
	b.upstreams[registration.ID] = u
	b.byHash[u.hash] = u
	p := b.pool(registration.Service)
	p.upstreams = append(p.upstreams, u)
}

// setEvacuations installs the evacuated domains of a view.
func (b *Balancer) setEvacuations(v *steering.View, now time.Time) {
	for domain := range b.evacuatedDomains {
		if !v.EvacuatedDomains[domain] {
			b.endEvacuation(domain, now)
		}
	}
	for domain, endedAt := range v.EvacuationEnds {
		if endedAt.After(b.evacuationEnds[domain]) && !b.evacuatedDomains[domain] {
			// The evacuation ended before this instance knew of it.
			b.endEvacuation(domain, now)
		}
	}
	b.evacuatedDomains, b.evacuationEnds = v.EvacuatedDomains, v.EvacuationEnds
}

// endEvacuation marks the upstreams of a domain as cold, since they may have lost
// their cached objects while they received no requests.
func (b *Balancer) endEvacuation(domain string, now time.Time) {
	for _, u := range b.upstreams {
		if u.Domain == domain {
			u.markCold(now.Add(b.pool(u.Service).config.WarmUpTime))
		}
	}
}

func (b *Balancer) target(u *upstream) exchange.Target {
	return exchange.Target{ID: u.ID, Address: u.Address, Service: u.Service, SameRegion: u.region == b.config.Region, MaxConnections: b.maxConnections(u)}
}

// SetGlobalLimits replaces the global limits.
func (b *Balancer) SetGlobalLimits(limits steering.GlobalLimits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.config.GlobalLimits = limits
}

// ReachableDomains returns, per service, the failure domains with at least one upstream
// that accepts requests and is not ejected. A domain whose upstreams were all
// ejected becomes reachable once one of them has answered.
func (b *Balancer) ReachableDomains() map[string]map[string]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	reachable := make(map[string]map[string]bool, len(b.pools))
	for name, p := range b.pools {
		reachable[name] = b.reachableDomains(p)
	}
	return reachable
}

func (b *Balancer) reachableDomains(p *pool) map[string]bool {
	domains := make(map[string]bool)
	for _, u := range p.upstreams {
		if u.acceptsRequests() && u.consecutiveEjections == 0 && !b.evacuatedDomains[u.Domain] {
			domains[u.Domain] = true
		}
	}
	return domains
}

// DomainToProbe returns an unreachable failure domain with an ejected upstream that a
// request may probe now. ok is false if there is no such domain.
func (b *Balancer) DomainToProbe(service string, idempotent bool) (domain string, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, now := b.pool(service), b.config.Now()
	var reachable map[string]bool
	for _, u := range p.upstreams {
		if u.consecutiveEjections == 0 || !u.usable(now) || !u.allowsProbe(idempotent, now) || b.evacuatedDomains[u.Domain] {
			continue
		}
		if reachable == nil {
			reachable = b.reachableDomains(p)
		}
		if !reachable[u.Domain] {
			return u.Domain, true
		}
	}
	return "", false
}

// InFlightAt returns the number of requests in flight at an upstream from all
// instances. ok is false if the upstream is unknown.
func (b *Balancer) InFlightAt(id string) (n int, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.upstreams[id]
	if u == nil {
		return 0, false
	}
	return u.inFlight + u.peerInFlight, true
}
