// Package balance chooses the upstream of each request.
//
// Every instance chooses alone. It knows the requests that it has in flight at
// each upstream, those that its peers reported a moment ago, and the load that
// upstreams state in their answers. A request goes to the upstream with the
// lowest expected latency: the way there, the wait for a slot, and the work,
// which is shorter at upstreams that saw the same object lately and longer at
// slow ones.
//
// The region of a request follows shares per route (shares.go), which move
// slowly to their targets (targets.go). Under overload a route may use the
// queue of an upstream only as far as its priority allows, so that the less
// urgent requests are refused first (admit.go, choose.go). Limits that hold
// over all instances are divided among those that may use a part
// (instances.go, limits.go, repeats.go).
package balance

import (
	"hash/fnv"
	"log/slog"
	"sync"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/exchange"
	"github.com/sequoiacove/sequoiacove/pkg/steering"
)

// Config holds the inputs of a Balancer.
type Config struct {
	// Instance, Region and Domain are those of the own instance.
	Instance string
	Region   string
	Domain   string
	// Regions maps failure domains to their regions.
	Regions map[string]string
	Bounds  steering.Bounds
	Now     func() time.Time
	// Random returns a number in [0, 1).
	Random func() float64
	Logger *slog.Logger
	// OnRemove is called for each upstream that is no longer used.
	OnRemove func(exchange.Target)
}

// Balancer chooses upstreams.
type Balancer struct {
	config Config

	mu sync.Mutex
	// upstreams holds every known upstream by id.
	upstreams map[string]*upstream
	byHash    map[uint32]*upstream
	pools     map[string]*pool
	evacuated map[string]bool
	// instances holds the instances that count for the limits over all of them,
	// by id, the own one included (limits.go).
	instances map[string]*knownInstance
	// unheard is the number of instances that are known by address only.
	addressOnly int
	peers       map[string]*peerLoad
	splitters   map[string]*splitter
	seeded      bool
}

// Instance is a live instance.
type Instance struct {
	ID     string
	Region string
	// Leaving tells that the instance stops.
	Leaving bool
}

// pool holds the upstreams of one service.
type pool struct {
	service       string
	config        steering.Service
	upstreams     []*upstream
	routes        map[string]*routeState
	retries       retryBudget
	waiters       []*waiter
	spills        spillLimiter
	activeObjects activeObjects
	// ranked caches the order of upstreams per object and region; it is
	// cleared when the upstreams change.
	rankings map[rankingKey][]*upstream
	// work is the mean time of a request at an upstream.
	serviceTime time.Duration
	// usualCapacity is the usual number of slots; lostAt is when many were lost.
	usualCapacity  float64
	capacityLostAt time.Time
}

// routeState is what the balancer learned of a route at one service.
type routeState struct {
	route *steering.Route
	hash  uint32
	// work is the usual time at an upstream without a wait.
	serviceTime time.Duration
	demand      rate
	shares      regionShares
	samples     int
}

// New returns a Balancer without upstreams.
func New(config Config) *Balancer {
	b := &Balancer{config: config, upstreams: make(map[string]*upstream), byHash: make(map[uint32]*upstream), pools: make(map[string]*pool),
		evacuated: make(map[string]bool), peers: make(map[string]*peerLoad), splitters: make(map[string]*splitter)}
	b.instances = map[string]*knownInstance{config.Instance: {Instance: Instance{ID: config.Instance, Region: config.Region}, live: true}}
	return b
}

func hash(senderCount ...string) uint32 {
	h := fnv.New32a()
	for _, p := range senderCount {
		_, _ = h.Write([]byte(p))
		_, _ = h.Write([]byte{0})
	}
	// The last mixing spreads texts that differ only at their end.
	x := h.Sum32()
	x ^= x >> 16
	x *= 0x7feb352d
	x ^= x >> 15
	x *= 0x846ca68b
	return x ^ x>>16
}

// unit maps a hash to [0, 1).
func unit(h uint32) float64 { return float64(h) / (1 << 32) }

// Update installs a new view.
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
	for _, rec := range v.Upstreams {
		b.register(rec, now)
	}
	b.seeded = b.seeded || len(v.Upstreams) > 0
	for domain := range b.evacuated {
		if !v.Evacuated[domain] {
			b.endEvacuation(domain, now)
		}
	}
	b.evacuated = v.Evacuated
	for _, p := range b.pools {
		p.rankings = nil
	}
	b.dispatchAll()
}

func (b *Balancer) configure(c *steering.Config) {
	for name, s := range c.Services {
		b.pool(name).config = *s
	}
	for name, p := range b.pools {
		for key, r := range p.routes {
			if current := c.Match(r.route.Host, r.route.Prefix); current == nil || current.Name != r.route.Name {
				delete(p.routes, key)
			}
		}
		if c.Services[name] == nil && len(p.upstreams) == 0 {
			delete(b.pools, name)
		}
	}
}

func (b *Balancer) pool(service string) *pool {
	p := b.pools[service]
	if p == nil {
		p = &pool{service: service, routes: make(map[string]*routeState)}
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

func (b *Balancer) register(rec steering.Upstream, now time.Time) {
	u := b.upstreams[rec.ID]
	if u != nil && (u.StartUnixMS != rec.StartUnixMS || u.Address != rec.Address || u.Service != rec.Service) {
		b.remove(rec.ID, u)
		u = nil
	}
	if u != nil {
		u.updateRegistration(rec, now)
		return
	}
	u = &upstream{hash: hash(rec.ID), region: b.config.Regions[rec.Domain], reportedSlowness: 1, latencyRatio: 1}
	u.updateRegistration(rec, now)
	u.peerInFlight = 0
	for _, p := range b.peers {
		u.peerInFlight += p.inFlight[u.hash]
	}
	b.upstreams[rec.ID] = u
	b.byHash[u.hash] = u
	p := b.pool(rec.Service)
	p.upstreams = append(p.upstreams, u)
}

// endEvacuation treats the upstreams of a domain as cold: they may have lost
// what they held while they got no requests.
func (b *Balancer) endEvacuation(domain string, now time.Time) {
	for _, u := range b.upstreams {
		if u.Domain == domain {
			u.markCold(now.Add(b.pool(u.Service).config.ColdStart))
		}
	}
}

func (b *Balancer) target(u *upstream) exchange.Target {
	return exchange.Target{ID: u.ID, Address: u.Address, Service: u.Service, SameRegion: u.region == b.config.Region, MaxConnections: b.maxConnections(u)}
}

// SetBounds installs new bounds.
func (b *Balancer) SetBounds(bounds steering.Bounds) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.config.Bounds = bounds
}

// Reachable returns, per service, the failure domains with an upstream that
// takes requests. A domain whose upstreams were all ejected is reachable again
// when one of them has answered.
func (b *Balancer) Reachable() map[string]map[string]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	reachable := make(map[string]map[string]bool, len(b.pools))
	for name, p := range b.pools {
		reachable[name] = b.reachable(p)
	}
	return reachable
}

func (b *Balancer) reachable(p *pool) map[string]bool {
	domains := make(map[string]bool)
	for _, u := range p.upstreams {
		if u.acceptsRequests() && u.ejections == 0 && !b.evacuated[u.Domain] {
			domains[u.Domain] = true
		}
	}
	return domains
}

// ProbeDue returns a failure domain that is not reachable and has an upstream
// that a request may try again.
func (b *Balancer) ProbeDue(service string, idempotent bool) (domain string, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, now := b.pool(service), b.config.Now()
	var reachable map[string]bool
	for _, u := range p.upstreams {
		if u.ejections == 0 || !u.usable(now) || !u.allowsProbe(idempotent, now) || b.evacuated[u.Domain] {
			continue
		}
		if reachable == nil {
			reachable = b.reachable(p)
		}
		if !reachable[u.Domain] {
			return u.Domain, true
		}
	}
	return "", false
}

// InFlightAt returns the requests of all instances at an upstream; ok is false
// if the upstream is not known.
func (b *Balancer) InFlightAt(id string) (n int, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.upstreams[id]
	if u == nil {
		return 0, false
	}
	return u.inFlight + u.peerInFlight, true
}
