package balance

import "time"

// peerLoad is what an instance reported of itself.
type peerLoad struct {
	// inFlight maps hashes of upstream ids to requests in flight.
	inFlight map[uint32]int
	// demand maps hashes of service and route to the load of its callers.
	demand map[uint32]float64
	at     time.Time
}

// peerMemory is how long a report of requests in flight counts.
const peerMemory = time.Second

// InFlight is the number of requests that an instance has at an upstream.
type InFlight struct {
	Upstream uint32
	Count    int
}

// InFlight returns the own requests in flight by upstream.
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

// SetPeerInFlight takes the report of a peer.
func (b *Balancer) SetPeerInFlight(id string, list []InFlight) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.instances[id]; !ok {
		return
	}
	reported := make(map[uint32]int, len(list))
	for _, f := range list {
		if f.Count > 0 {
			reported[f.Upstream] = f.Count
		}
	}
	b.setPeer(id, reported)
	b.dispatchAll()
}

func (b *Balancer) setPeer(id string, reported map[uint32]int) {
	p := b.peer(id)
	for h, n := range p.inFlight {
		if u := b.byHash[h]; u != nil {
			u.peers -= n
		}
	}
	for h, n := range reported {
		if u := b.byHash[h]; u != nil {
			u.peers += n
		}
	}
	p.inFlight, p.at = reported, b.config.Now()
}

func (b *Balancer) peer(id string) *peerLoad {
	p := b.peers[id]
	if p == nil {
		p = &peerLoad{}
		b.peers[id] = p
	}
	return p
}

// SetPeerDemand takes the load of a peer's callers.
func (b *Balancer) SetPeerDemand(id string, list []Demand) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.instances[id]; !ok {
		return
	}
	demand := make(map[uint32]float64, len(list))
	for _, d := range list {
		demand[d.Route] = d.Slots
	}
	b.peer(id).demand = demand
}

// ExpirePeers forgets reports that are too old to tell the load.
func (b *Balancer) ExpirePeers() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.config.Now()
	for id, p := range b.peers {
		if len(p.inFlight) > 0 && now.Sub(p.at) > peerMemory {
			b.setPeer(id, nil)
		}
	}
	b.dispatchAll()
}
