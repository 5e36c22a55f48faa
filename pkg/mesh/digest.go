package mesh

import (
	"hash/fnv"
	"net"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/balance"
	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/event"
)

const (
	// digestInterval is the time between digests of a region;
	// digestPerMember stretches it for many members.
	digestInterval  = 200 * time.Millisecond
	digestPerMember = 20 * time.Millisecond
	// membersEvery is the number of digests of which one lists the members.
	membersEvery = 4
	// regionPrefix marks the reports of a region.
	regionPrefix = "region/"
)

// digest is what the gateway of a region tells the other regions.
type digest struct {
	Region string `cbor:"1,keyasint,omitempty"`
	// Passed tells that the gateway of the receiver's region passes it on.
	Passed   bool             `cbor:"2,keyasint,omitempty"`
	InFlight []uint32         `cbor:"3,keyasint,omitempty"`
	Demand   []balance.Demand `cbor:"4,keyasint"`
	Members  []digestMember   `cbor:"5,keyasint,omitempty"`
	// Shares is the mean of the shares in effect, with Members.
	Shares cluster.Shares `cbor:"6,keyasint,omitempty"`
	// Rates is the sum of the requests per second, with Members.
	Rates cluster.Demand `cbor:"7,keyasint,omitempty"`
}

// digestMember is a live instance in a digest.
type digestMember struct {
	ID         string `cbor:"1,keyasint,omitempty"`
	Domain     string `cbor:"2,keyasint,omitempty"`
	Caller     string `cbor:"3,keyasint,omitempty"`
	Address    string `cbor:"4,keyasint,omitempty"`
	State      State  `cbor:"5,keyasint,omitempty"`
	Directives int64  `cbor:"6,keyasint,omitempty"`
	Upstreams  int64  `cbor:"7,keyasint,omitempty"`
	Version    uint64 `cbor:"8,keyasint,omitempty"`
	Active     int    `cbor:"9,keyasint,omitempty"`
}

// rank orders the instances of a region; the lowest is its gateway.
func rank(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32()
}

// Rank returns the place of the own instance among the live ones of its region
// that fulfil a condition.
func (m *Mesh) Rank(counts func(Member) bool) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	own, place := rank(m.config.Self.ID), 0
	for _, x := range m.members {
		if x.alive && x.Region == m.config.Self.Region && rank(x.ID) < own && counts(x.Member) {
			place++
		}
	}
	return place
}

// isGateway tells whether the own instance is the gateway of its region.
func (m *Mesh) isGateway() bool {
	own := rank(m.config.Self.ID)
	for _, x := range m.members {
		if x.alive && x.Region == m.config.Self.Region && x.State != Leaving && rank(x.ID) < own {
			return false
		}
	}
	return true
}

// gateways returns the gateways of the other regions.
func (m *Mesh) gateways() []*member {
	lowest := make(map[string]*member)
	for _, x := range m.members {
		if x.Region == m.config.Self.Region || !x.alive || x.State == Leaving {
			continue
		}
		if g := lowest[x.Region]; g == nil || rank(x.ID) < rank(g.ID) {
			lowest[x.Region] = x
		}
	}
	list := make([]*member, 0, len(lowest))
	for _, g := range lowest {
		list = append(list, g)
	}
	return list
}

// sendDigests sends the digest of the own region to the other gateways.
func (m *Mesh) sendDigests() {
	inFlight, demand := m.config.RegionTotals()
	local := m.config.LocalStatus()
	m.mu.Lock()
	defer m.mu.Unlock()
	targets := m.gateways()
	if len(targets) == 0 {
		return
	}
	d := &digest{Region: m.config.Self.Region, InFlight: pack(inFlight)}
	if m.digests++; m.digests%membersEvery == 1 {
		d.Demand = demand
		self := m.config.Self
		self.Status = local
		m.describe(d, self)
	}
	m.sequence++
	data := m.encode(nil, nil, d)
	for _, g := range targets {
		m.write(data, g.target)
	}
}

// describe adds the members of the own region, the mean of their shares and the
// sum of their requests.
func (m *Mesh) describe(d *digest, self Member) {
	near := []Member{self}
	for _, x := range m.members {
		if x.alive && x.Region == self.Region {
			near = append(near, x.Member)
		}
	}
	shares := make([]cluster.Member, 0, len(near))
	d.Rates = make(cluster.Demand)
	for _, x := range near {
		d.Members = append(d.Members, digestMember{ID: x.ID, Domain: x.Domain, Caller: x.Caller, Address: x.Address, State: x.State,
			Directives: x.Directives, Upstreams: x.Upstreams, Version: x.Version, Active: x.Active})
		for service, rate := range x.Rates {
			d.Rates[service] += rate
		}
		shares = append(shares, cluster.Member{ID: x.ID, Shares: x.Shares})
	}
	d.Shares = cluster.MeanShares(shares)
}

// takeDigest applies the digest of another region and passes it on if it came
// from there.
func (m *Mesh) takeDigest(msg *message) {
	d := msg.Digest
	if d.Region == m.config.Self.Region {
		return
	}
	m.mu.Lock()
	m.received++
	changed := m.takeMembers(d)
	if !d.Passed {
		m.passOn(msg)
	}
	m.mu.Unlock()
	if changed {
		m.config.OnChange()
	}
	m.config.OnLoad(regionPrefix+d.Region, d.Region, unpack(d.InFlight))
	if d.Demand != nil {
		m.config.OnDemand(regionPrefix+d.Region, d.Region, d.Demand)
	}
	if len(d.Members) > 0 {
		m.config.OnRegionShares(d.Region, d.Shares, d.Rates)
	}
}

// passOn sends a digest to the members of the own region.
func (m *Mesh) passOn(msg *message) {
	msg.Digest.Passed = true
	data := m.encode(nil, nil, msg.Digest)
	for _, x := range m.members {
		if x.alive && x.Region == m.config.Self.Region {
			m.write(data, x.target)
		}
	}
}

// takeMembers notes the members of a region and tells whether any changed.
func (m *Mesh) takeMembers(d *digest) bool {
	now, changed := m.config.Now(), false
	for i := range d.Members {
		r := &d.Members[i]
		if r.ID == m.config.Self.ID || len(m.members) >= maxMembers {
			continue
		}
		x := m.members[r.ID]
		if x == nil || x.Address != r.Address {
			target, err := net.ResolveUDPAddr("udp4", r.Address)
			if err != nil {
				continue
			}
			x = &member{target: target}
			m.members[r.ID] = x
		}
		if !x.alive {
			event.Log(m.config.Logger, event.MemberJoined, "member", r.ID, "region", d.Region, "domain", r.Domain, "state", r.State)
		}
		changed = changed || !x.alive || x.State != r.State || x.Caller != r.Caller
		x.Member = Member{ID: r.ID, Region: d.Region, Domain: r.Domain, Caller: r.Caller, Address: r.Address,
			Status: Status{State: r.State, Directives: r.Directives, Upstreams: r.Upstreams, Version: r.Version, Active: r.Active}}
		x.heard, x.alive = now, true
		delete(m.unknown, r.Address)
		delete(m.lost, r.Address)
	}
	return changed
}
