package mesh

import (
	"hash/fnv"
	"net"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/balance"
	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/revision"
)

const (
	// digestInterval is the minimum time between digests of a region. In large
	// regions the interval is digestIntervalPerMember times the number of the
	// gateway's peers in the region.
	digestInterval          = 200 * time.Millisecond
	digestIntervalPerMember = 20 * time.Millisecond
	// memberListEvery is the period, counted in digests, at which a digest
	// includes the member list.
	memberListEvery = 4
	// regionPrefix is the prefix of the ids under which regional totals are
	// reported.
	regionPrefix = "region/"
)

// digest is the summary of a region that its gateway sends to the other
// regions.
type digest struct {
	Region string `cbor:"1,keyasint,omitempty"`
	// Forwarded is set if the gateway of the receiver's own region forwarded
	// the digest.
	Forwarded bool             `cbor:"2,keyasint,omitempty"`
	InFlight  []uint32         `cbor:"3,keyasint,omitempty"`
	Demand    []balance.Demand `cbor:"4,keyasint"`
	Members   []digestMember   `cbor:"5,keyasint,omitempty"`
	// Shares is the mean of the members' shares in effect, sent with Members.
	Shares cluster.Shares `cbor:"6,keyasint,omitempty"`
	// RequestRates is the sum of the members' request rates per second, sent with
	// Members.
	RequestRates cluster.RequestRates `cbor:"7,keyasint,omitempty"`
	// Statements holds what upstreams have stated to the members, sent with Members.
	Statements []balance.Statement `cbor:"8,keyasint,omitempty"`
	// Leaving holds the upstreams that have said to the members that they leave.
	Leaving []balance.Leaving `cbor:"9,keyasint,omitempty"`
}

// digestMember describes a live instance in a digest.
type digestMember struct {
	ID                 string `cbor:"1,keyasint,omitempty"`
	Domain             string `cbor:"2,keyasint,omitempty"`
	CallerAddress      string `cbor:"3,keyasint,omitempty"`
	Address            string `cbor:"4,keyasint,omitempty"`
	State              State  `cbor:"5,keyasint,omitempty"`
	DirectivesRevision int64  `cbor:"6,keyasint,omitempty"`
	UpstreamsRevision  int64  `cbor:"7,keyasint,omitempty"`
	DescriptionVersion uint64 `cbor:"8,keyasint,omitempty"`
	ActiveRequests     int    `cbor:"9,keyasint,omitempty"`
	// DirectivesEra and UpstreamsEra are the eras of the revisions above, as in a heartbeat.
	DirectivesEra int64 `cbor:"10,keyasint,omitempty"`
	UpstreamsEra  int64 `cbor:"11,keyasint,omitempty"`
}

// idHash returns the hash by which the instances of a region are ordered. The
// gateway is the live instance with the lowest hash that is not leaving.
func idHash(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32()
}

// ranksBefore reports whether a has a lower rank than b. The instances with the largest links
// come first, because those with the lowest ranks serve the others of their region.
func ranksBefore(a, b Member) bool {
	if a.LinkMbps != b.LinkMbps {
		return a.LinkMbps > b.LinkMbps
	}
	return idHash(a.ID) < idHash(b.ID)
}

// Rank returns the zero-based position of this instance among the live members
// of the local region that satisfy include, ordered by ranksBefore.
func (m *Mesh) Rank(include func(Member) bool) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	position := 0
	for _, x := range m.members {
		if x.alive && x.Region == m.config.Self.Region && ranksBefore(x.Member, m.config.Self) && include(x.Member) {
			position++
		}
	}
	return position
}

// isGateway reports whether this instance is the gateway of its region.
func (m *Mesh) isGateway() bool {
	ownHash := idHash(m.config.Self.ID)
	for _, x := range m.members {
		if x.alive && x.Region == m.config.Self.Region && x.State != Leaving && idHash(x.ID) < ownHash {
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
		if g := lowest[x.Region]; g == nil || idHash(x.ID) < idHash(g.ID) {
			lowest[x.Region] = x
		}
	}
	list := make([]*member, 0, len(lowest))
	for _, g := range lowest {
		list = append(list, g)
	}
	return list
}

// sendDigests sends the digest of the local region to the gateways of the other
// regions.
func (m *Mesh) sendDigests() {
	inFlight, demand := m.config.RegionTotals()
	notices := m.config.RegionNotices()
	status := m.config.LocalStatus()
	m.mu.Lock()
	defer m.mu.Unlock()
	targets := m.gateways()
	if len(targets) == 0 {
		return
	}
	d := &digest{Region: m.config.Self.Region, InFlight: packInFlight(inFlight)}
	if m.digestCount++; m.digestCount%memberListEvery == 1 {
		d.Demand, d.Statements, d.Leaving = demand, notices.Statements, notices.Leaving
		self := m.config.Self
		self.Status = status
		m.addRegionMembers(d, self)
	}
	m.sequence++
	data := m.encode(nil, nil, d)
	for _, g := range targets {
		m.sendDatagram(data, g.sendAddress)
	}
}

// addRegionMembers adds to the digest the members of the local region, the mean
// of their shares and the sum of their request rates.
func (m *Mesh) addRegionMembers(d *digest, self Member) {
	regionMembers := []Member{self}
	for _, x := range m.members {
		if x.alive && x.Region == self.Region {
			regionMembers = append(regionMembers, x.Member)
		}
	}
	shareMembers := make([]cluster.Member, 0, len(regionMembers))
	d.RequestRates = make(cluster.RequestRates)
	for _, x := range regionMembers {
		d.Members = append(d.Members, digestMember{ID: x.ID, Domain: x.Domain, CallerAddress: x.CallerAddress, Address: x.Address, State: x.State,
			DirectivesRevision: x.DirectivesRevision.Number, UpstreamsRevision: x.UpstreamsRevision.Number, DirectivesEra: x.DirectivesRevision.Era, UpstreamsEra: x.UpstreamsRevision.Era, DescriptionVersion: x.DescriptionVersion, ActiveRequests: x.ActiveRequests})
		for service, rate := range x.RequestRates {
			d.RequestRates[service] += rate
		}
		shareMembers = append(shareMembers, cluster.Member{ID: x.ID, Shares: x.Shares})
	}
	d.Shares = cluster.MeanShares(shareMembers)
}

// handleDigest applies the digest of another region. A digest that came directly
// from that region is also forwarded inside the local region.
func (m *Mesh) handleDigest(msg *message) {
	d := msg.Digest
	if d.Region == m.config.Self.Region {
		return
	}
	m.mu.Lock()
	m.receivedCount++
	changed := m.updateRemoteMembers(d)
	if !d.Forwarded {
		m.otherDomainHeardAt = m.config.Now()
		m.forwardDigest(msg)
	}
	m.mu.Unlock()
	if changed {
		m.config.OnMembershipChange()
	}
	m.config.OnLoad(regionPrefix+d.Region, d.Region, unpackInFlight(d.InFlight))
	if d.Demand != nil {
		m.config.OnDemand(regionPrefix+d.Region, d.Region, d.Demand)
	}
	m.reportNotices(d.Region, balance.Notices{Statements: d.Statements, Leaving: d.Leaving})
	if len(d.Members) > 0 {
		m.config.OnRegionShares(d.Region, d.Shares, d.RequestRates)
	}
}

// forwardDigest sends a digest to the live members of the local region.
func (m *Mesh) forwardDigest(msg *message) {
	msg.Digest.Forwarded = true
	data := m.encode(nil, nil, msg.Digest)
	for _, x := range m.members {
		if x.alive && x.Region == m.config.Self.Region {
			m.sendDatagram(data, x.sendAddress)
		}
	}
}

// updateRemoteMembers updates the members of another region and reports whether
// any joined or changed its state or caller address.
func (m *Mesh) updateRemoteMembers(d *digest) bool {
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
			x = &member{sendAddress: target}
			m.members[r.ID] = x
		}
		if !x.alive {
			event.Log(m.config.Logger, event.MemberJoined, "member", r.ID, "region", d.Region, "domain", r.Domain, "state", r.State)
		}
		changed = changed || !x.alive || x.State != r.State || x.CallerAddress != r.CallerAddress
		x.Member = Member{ID: r.ID, Region: d.Region, Domain: r.Domain, CallerAddress: r.CallerAddress, Address: r.Address,
			Status: Status{State: r.State, DirectivesRevision: revision.Revision{Era: r.DirectivesEra, Number: r.DirectivesRevision}, UpstreamsRevision: revision.Revision{Era: r.UpstreamsEra, Number: r.UpstreamsRevision}, DescriptionVersion: r.DescriptionVersion, ActiveRequests: r.ActiveRequests}}
		x.lastHeardAt, x.alive = now, true
		delete(m.candidateAddresses, r.Address)
		delete(m.deadMembers, r.Address)
	}
	return changed
}
