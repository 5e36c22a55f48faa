package mesh

import (
	"math"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/sequoiacove/sequoiacove/pkg/balance"
	"github.com/sequoiacove/sequoiacove/pkg/catalog"
	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/event"
)

// message is the content of a datagram. A load report carries the fields up to
// InFlight, a heartbeat those up to Heartbeat, and a digest has Digest set.
type message struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Incarnation uint64
	Sequence    uint64
	HasLoad     bool
	InFlight    []uint32
	Heartbeat   *heartbeat
	Digest      *digest
}

// heartbeat is the content of a heartbeat. Its fields are numbered so that
// releases with different fields can decode each other's heartbeats. A short
// heartbeat omits the sender's identity and slowly changing fields: Region,
// Domain, CallerAddress, Demand, RequestRates, Addresses, Address and RouteStats.
type heartbeat struct {
	Region             string               `cbor:"1,keyasint,omitempty"`
	Domain             string               `cbor:"2,keyasint,omitempty"`
	CallerAddress      string               `cbor:"3,keyasint,omitempty"`
	State              State                `cbor:"4,keyasint,omitempty"`
	DirectivesRevision int64                `cbor:"5,keyasint,omitempty"`
	UpstreamsRevision  int64                `cbor:"6,keyasint,omitempty"`
	Watching           bool                 `cbor:"7,keyasint,omitempty"`
	Demand             []balance.Demand     `cbor:"8,keyasint"`
	Addresses          []string             `cbor:"9,keyasint,omitempty"`
	DescriptionVersion uint64               `cbor:"10,keyasint,omitempty"`
	ActiveRequests     int                  `cbor:"11,keyasint,omitempty"`
	Shares             cluster.Shares       `cbor:"12,keyasint,omitempty"`
	RequestRates       cluster.RequestRates `cbor:"13,keyasint,omitempty"`
	// Address is the address on which the sender receives. Older releases omit
	// it and send from that address.
	Address string `cbor:"14,keyasint,omitempty"`
	// RouteStats is sent with Demand.
	RouteStats []balance.RouteStats `cbor:"15,keyasint,omitempty"`
	Statements []balance.Statement  `cbor:"16,keyasint,omitempty"`
	// Ages holds the ages of Status.Proofs. Older releases omit it, so that their
	// heartbeats prove nothing.
	Ages    *proofAges        `cbor:"17,keyasint,omitempty"`
	Leaving []balance.Leaving `cbor:"18,keyasint,omitempty"`
	// LinkMbps is sent with Region. Older releases omit it.
	LinkMbps float64 `cbor:"19,keyasint,omitempty"`
	// DirectivesEra and UpstreamsEra are the eras of the revisions above, which hold only the
	// numbers. Older releases omit them and ignore them.
	DirectivesEra int64 `cbor:"20,keyasint,omitempty"`
	UpstreamsEra  int64 `cbor:"21,keyasint,omitempty"`
}

// proofAges holds the ages of proofs in milliseconds; unprovenMS if there is no proof.
type proofAges struct {
	_                                    struct{} `cbor:",toarray"`
	Directives, Upstreams, StoreAnswered uint32
}

const unprovenMS = math.MaxUint32

// ages returns the ages of p, rounded up.
func ages(p catalog.Proofs, now time.Time) *proofAges {
	age := func(at time.Time) uint32 {
		if at.IsZero() {
			return unprovenMS
		}
		return uint32(min(max(now.Sub(at)+time.Millisecond-1, 0).Milliseconds(), unprovenMS))
	}
	return &proofAges{Directives: age(p.Directives), Upstreams: age(p.Upstreams), StoreAnswered: age(p.StoreAnswered)}
}

// proofs returns the proofs that a heartbeat received now carries.
func (h *heartbeat) proofs(now time.Time) catalog.Proofs {
	if h.Ages == nil {
		return catalog.Proofs{}
	}
	at := func(age uint32) time.Time {
		if age == unprovenMS {
			return time.Time{}
		}
		return now.Add(-time.Duration(age) * time.Millisecond)
	}
	return catalog.Proofs{Directives: at(h.Ages.Directives), Upstreams: at(h.Ages.Upstreams), StoreAnswered: at(h.Ages.StoreAnswered)}
}

// sendDue sends the messages that are due, except digests: a heartbeat or a
// load report to the members of the local region, probes, and heartbeats to the
// members of other regions.
func (m *Mesh) sendDue(due dueMessages) {
	inFlight := packInFlight(m.config.InFlight())
	short, fullHeartbeat := m.heartbeats(due.full || due.joined)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sequence++
	fullHeartbeat.Addresses = m.sampleAddresses()
	var loadData, heartbeatData []byte
	switch {
	case due.heartbeat && due.full:
		heartbeatData = m.encode(inFlight, fullHeartbeat, nil)
	case due.heartbeat:
		heartbeatData = m.encode(inFlight, short, nil)
	case due.load:
		loadData = m.encode(inFlight, nil, nil)
	}
	if due.probe {
		m.sendProbes(m.encode(inFlight, fullHeartbeat, nil))
	}
	if due.joined {
		m.sendToJoined(m.encode(inFlight, fullHeartbeat, nil))
	}
	if due.otherRegions {
		m.sendToOtherRegions(m.encode(inFlight, fullHeartbeat, nil))
	}
	emptyLoad := len(inFlight) == 0
	for _, x := range m.members {
		switch {
		case x.Region != m.config.Self.Region:
			continue
		case due.heartbeat:
			m.sendDatagram(heartbeatData, x.sendAddress)
		case due.load && !(emptyLoad && x.sentEmptyLoad):
			m.sendDatagram(loadData, x.sendAddress)
		default:
			continue
		}
		x.sentEmptyLoad = emptyLoad
	}
}

// heartbeats returns a short heartbeat and a full one, whose Addresses are not
// set yet. withDemand specifies whether the full one includes the demand.
func (m *Mesh) heartbeats(withDemand bool) (short, fullHeartbeat *heartbeat) {
	status := m.config.LocalStatus()
	notices := m.config.Notices()
	short = &heartbeat{State: status.State, DirectivesRevision: status.DirectivesRevision.Number, UpstreamsRevision: status.UpstreamsRevision.Number,
		DirectivesEra: status.DirectivesRevision.Era, UpstreamsEra: status.UpstreamsRevision.Era, Watching: status.Watching,
		DescriptionVersion: status.DescriptionVersion, ActiveRequests: status.ActiveRequests, Shares: status.Shares, Statements: notices.Statements, Leaving: notices.Leaving, Ages: ages(status.Proofs, m.config.Now())}
	full := *short
	full.Region, full.Domain, full.CallerAddress = m.config.Self.Region, m.config.Self.Domain, m.config.Self.CallerAddress
	full.RequestRates, full.Address, full.LinkMbps = status.RequestRates, m.config.Self.Address, m.config.Self.LinkMbps
	if withDemand {
		full.Demand, full.RouteStats = m.config.Demands(), m.config.RouteStats()
	}
	return short, &full
}

// sendToJoined sends a full heartbeat to the members that have joined since the last tick.
func (m *Mesh) sendToJoined(full []byte) {
	for _, address := range m.joined {
		m.sendDatagram(full, address)
	}
	m.joined = nil
}

// sendProbes sends a full heartbeat to the candidate addresses and, every
// deadProbeEvery rounds, to the addresses of dead members. Only the gateway
// probes the dead members of other regions.
func (m *Mesh) sendProbes(full []byte) {
	probe := func(a string) {
		if target, err := net.ResolveUDPAddr("udp4", a); err == nil {
			m.sendDatagram(full, target)
		}
	}
	for a := range m.candidateAddresses {
		probe(a)
	}
	if m.probeRoundCount++; m.probeRoundCount%deadProbeEvery != 0 {
		return
	}
	gateway := m.isGateway()
	for a, d := range m.deadMembers {
		if gateway || d.region == m.config.Self.Region {
			probe(a)
		}
	}
}

// sendToOtherRegions sends a full heartbeat to the live members of the other
// regions.
func (m *Mesh) sendToOtherRegions(full []byte) {
	for _, x := range m.members {
		if x.alive && x.Region != m.config.Self.Region {
			m.sendDatagram(full, x.sendAddress)
		}
	}
}

// packInFlight encodes the list as alternating upstream hashes and counts.
func packInFlight(list []balance.InFlight) []uint32 {
	packed := make([]uint32, 0, 2*len(list))
	for _, f := range list {
		packed = append(packed, f.UpstreamHash, uint32(f.Count))
	}
	return packed
}

func (m *Mesh) encode(inFlight []uint32, h *heartbeat, d *digest) []byte {
	data, err := cbor.Marshal(&message{ID: m.config.Self.ID, Incarnation: m.config.Incarnation, Sequence: m.sequence, HasLoad: d == nil, InFlight: inFlight, Heartbeat: h, Digest: d})
	if err != nil {
		// The types above can always be encoded, so an error is a bug.
		panic(err)
	}
	return data
}

// sendDatagram sends a datagram. A send error is treated like packet loss: the
// next datagram makes up for it. The lock must be held.
func (m *Mesh) sendDatagram(data []byte, to net.Addr) {
	if _, err := m.currentSendConn().WriteTo(data, to); err == nil {
		m.sentCount++
	}
}

// currentSendConn returns the socket to send from, after replacing it if its
// lifetime has passed. If no new socket can be opened, the current one stays in
// use. The lock must be held.
func (m *Mesh) currentSendConn() net.PacketConn {
	now := m.config.Now()
	if m.config.OpenSocket == nil || now.Sub(m.sendConnOpenedAt) < sendSocketLifetime {
		return m.sendConn
	}
	m.sendConnOpenedAt = now
	opened, err := m.config.OpenSocket()
	if err != nil {
		event.Log(m.config.Logger, event.SocketFailed, "error", err.Error())
		return m.sendConn
	}
	if m.sendConn != m.conn {
		_ = m.sendConn.Close()
	}
	m.sendConn = opened
	return m.sendConn
}

// sampleAddresses returns a random sample of the addresses of live members, at
// most maxGossipedAddresses of them.
func (m *Mesh) sampleAddresses() []string {
	all := make([]string, 0, len(m.members))
	for _, x := range m.members {
		if x.alive {
			all = append(all, x.Address)
		}
	}
	for i := range min(maxGossipedAddresses, len(all)) {
		j := i + int(m.config.Random()*float64(len(all)-i))
		all[i], all[j] = all[j], all[i]
	}
	return all[:min(maxGossipedAddresses, len(all))]
}
