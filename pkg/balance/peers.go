package balance

import "time"

// peerLoad is the load of another instance of this region, as reported by that
// instance, or of another region, as reported by its gateway.
type peerLoad struct {
	region string
	// inFlight maps the hash of an upstream id to the number of requests in flight
	// there.
	inFlight map[uint32]int
	// demand maps the hash of service and route to the demand of callers, in slots.
	demand map[uint32]float64
	// routeStats holds what the peer has measured of each route, by the same hash.
	routeStats         map[uint32]RouteStats
	inFlightReportedAt time.Time
	demandReportedAt   time.Time
}

// inFlightReportTTL is how long a report of requests in flight is used.
const inFlightReportTTL = 2 * time.Second

// demandReportTTL is the minimum time for which a demand report is used. A peer is
// removed once both its last demand report and its last report of requests in
// flight are older than this.
const demandReportTTL = 5 * time.Second

// InFlight is the number of requests in flight at one upstream. UpstreamHash is the
// hash of the upstream's id.
type InFlight struct {
	UpstreamHash uint32
	Count        int
}

// InFlight returns this instance's requests in flight per upstream.
func (b *Balancer) InFlight() []InFlight {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []InFlight
	for _, u := range b.upstreams {
		if u.inFlight > 0 {
			list = append(list, InFlight{u.hash, u.inFlight})
		}
	}
	return list
}

// SetPeerInFlight replaces a peer's report of requests in flight. A count that is
// not positive is ignored.
func (b *Balancer) SetPeerInFlight(id, region string, list []InFlight) {
	b.mu.Lock()
	defer b.mu.Unlock()
	reported := make(map[uint32]int, len(list))
	for _, f := range list {
		if f.Count > 0 {
			reported[f.UpstreamHash] = f.Count
		}
	}
	b.peer(id).region = region
	b.replaceInFlight(id, reported)
	b.dispatchAll()
}

// replaceInFlight replaces a peer's counts and adjusts the upstreams' totals.
func (b *Balancer) replaceInFlight(id string, reported map[uint32]int) {
	p := b.peer(id)
	for h, n := range p.inFlight {
		if u := b.byHash[h]; u != nil {
			u.peerInFlight -= n
		}
	}
	for h, n := range reported {
		if u := b.byHash[h]; u != nil {
			u.peerInFlight += n
		}
	}
	p.inFlight, p.inFlightReportedAt = reported, b.config.Now()
}

// peer returns the load of a peer, creating it if needed.
func (b *Balancer) peer(id string) *peerLoad {
	p := b.peers[id]
	if p == nil {
		p = &peerLoad{}
		b.peers[id] = p
	}
	return p
}

// SetPeerDemand replaces a peer's report of the demand of its callers.
func (b *Balancer) SetPeerDemand(id, region string, list []Demand) {
	b.mu.Lock()
	defer b.mu.Unlock()
	demand := make(map[uint32]float64, len(list))
	for _, d := range list {
		demand[d.RouteHash] = d.Slots
	}
	p := b.peer(id)
	p.region, p.demand, p.demandReportedAt = region, demand, b.config.Now()
}

// ExpirePeers removes expired reports of peers and expired dead instances. Then it
// dispatches waiting requests, since upstreams may have room again.
func (b *Balancer) ExpirePeers() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.config.Now()
	b.expireInstances(now)
	for id, p := range b.peers {
		if len(p.inFlight) > 0 && now.Sub(p.inFlightReportedAt) > inFlightReportTTL {
			b.replaceInFlight(id, nil)
		}
		if now.Sub(p.inFlightReportedAt) > demandReportTTL && now.Sub(p.demandReportedAt) > demandReportTTL {
			b.replaceInFlight(id, nil)
			delete(b.peers, id)
		}
	}
	b.dispatchAll()
}

// RegionReport returns the requests in flight and the demand of this region,
// summed over its instances.
func (b *Balancer) RegionReport() ([]InFlight, []Demand) {
	own := b.Demands()
	b.mu.Lock()
	defer b.mu.Unlock()
	demand := make(map[uint32]float64)
	for _, d := range own {
		demand[d.RouteHash] += d.Slots
	}
	for _, p := range b.peers {
		if p.region == b.config.Region {
			for route, slots := range p.demand {
				demand[route] += slots
			}
		}
	}
	var inFlight []InFlight
	for h, u := range b.byHash {
		n := u.inFlight
		for _, p := range b.peers {
			if p.region == b.config.Region {
				n += p.inFlight[h]
			}
		}
		if n > 0 {
			inFlight = append(inFlight, InFlight{h, n})
		}
	}
	demands := make([]Demand, 0, len(demand))
	for route, slots := range demand {
		demands = append(demands, Demand{RouteHash: route, Slots: slots})
	}
	return inFlight, demands
}
