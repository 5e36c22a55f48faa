package mesh

import (
	"net"

	"github.com/fxamacker/cbor/v2"

	"github.com/sequoiacove/sequoiacove/pkg/balance"
	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/event"
)

// message is the content of a datagram. A load report carries the fields up to
// InFlight, a heartbeat all of them.
type message struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Incarnation uint64
	Sequence    uint64
	HasLoad     bool
	InFlight    []uint32
	Beat        *beat
	Digest      *digest
}

// beat is the content of a heartbeat. Its fields are numbered, so that releases
// with other fields read each other. A short one leaves out where the sender is
// and what changes slowly: Region, Domain, Caller, Demand, Rates, Addresses and
// Address.
type beat struct {
	Region     string           `cbor:"1,keyasint,omitempty"`
	Domain     string           `cbor:"2,keyasint,omitempty"`
	Caller     string           `cbor:"3,keyasint,omitempty"`
	State      State            `cbor:"4,keyasint,omitempty"`
	Directives int64            `cbor:"5,keyasint,omitempty"`
	Upstreams  int64            `cbor:"6,keyasint,omitempty"`
	Watching   bool             `cbor:"7,keyasint,omitempty"`
	Demand     []balance.Demand `cbor:"8,keyasint"`
	Addresses  []string         `cbor:"9,keyasint,omitempty"`
	Version    uint64           `cbor:"10,keyasint,omitempty"`
	Active     int              `cbor:"11,keyasint,omitempty"`
	Shares     cluster.Shares   `cbor:"12,keyasint,omitempty"`
	Rates      cluster.Demand   `cbor:"13,keyasint,omitempty"`
	// Address is where the sender receives. Releases that left it out sent from
	// there.
	Address string `cbor:"14,keyasint,omitempty"`
}

// send sends the messages that are due inside the region, heartbeats to the
// addresses of instances that are not known yet and, if that is due, to the
// members of other regions.
func (m *Mesh) send(due schedule) {
	inFlight := pack(m.config.InFlight())
	short, whole := m.heartbeats(due.full)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sequence++
	whole.Addresses = m.someAddresses()
	var load, heartbeat []byte
	switch {
	case due.beat && due.full:
		heartbeat = m.encode(inFlight, whole, nil)
	case due.beat:
		heartbeat = m.encode(inFlight, short, nil)
	case due.load:
		load = m.encode(inFlight, nil, nil)
	}
	if due.hello {
		m.sendHellos(m.encode(inFlight, whole, nil))
	}
	if due.far {
		m.sendFar(m.encode(inFlight, whole, nil))
	}
	idle := len(inFlight) == 0
	for _, x := range m.members {
		switch {
		case x.Region != m.config.Self.Region:
			continue
		case due.beat:
			m.write(heartbeat, x.target)
		case due.load && !(idle && x.idle):
			m.write(load, x.target)
		default:
			continue
		}
		x.idle = idle
	}
}

// heartbeats returns a short heartbeat and one that says everything but the
// addresses of others; demand tells whether that includes the demand.
func (m *Mesh) heartbeats(demand bool) (short, whole *beat) {
	local := m.config.LocalStatus()
	short = &beat{State: local.State, Directives: local.Directives, Upstreams: local.Upstreams, Watching: local.Watching,
		Version: local.Version, Active: local.Active, Shares: local.Shares}
	all := *short
	all.Region, all.Domain, all.Caller = m.config.Self.Region, m.config.Self.Domain, m.config.Self.Caller
	all.Rates, all.Address = local.Rates, m.config.Self.Address
	if demand {
		all.Demand = m.config.Demands()
	}
	return short, &all
}

// sendHellos sends heartbeats to addresses at which an instance may be found.
// Only the gateway looks for the lost members of other regions.
func (m *Mesh) sendHellos(full []byte) {
	hello := func(a string) {
		if target, err := net.ResolveUDPAddr("udp4", a); err == nil {
			m.write(full, target)
		}
	}
	for a := range m.unknown {
		hello(a)
	}
	if m.hellos++; m.hellos%lostEvery != 0 {
		return
	}
	gateway := m.isGateway()
	for a, l := range m.lost {
		if gateway || l.region == m.config.Self.Region {
			hello(a)
		}
	}
}

// sendFar sends a heartbeat to the live members of the other regions.
func (m *Mesh) sendFar(full []byte) {
	for _, x := range m.members {
		if x.alive && x.Region != m.config.Self.Region {
			m.write(full, x.target)
		}
	}
}

// pack lists the hash and the count of each upstream.
func pack(list []balance.InFlight) []uint32 {
	packed := make([]uint32, 0, 2*len(list))
	for _, f := range list {
		packed = append(packed, f.Upstream, uint32(f.Count))
	}
	return packed
}

func (m *Mesh) encode(inFlight []uint32, b *beat, d *digest) []byte {
	data, err := cbor.Marshal(&message{ID: m.config.Self.ID, Incarnation: m.config.Incarnation, Sequence: m.sequence, HasLoad: d == nil, InFlight: inFlight, Beat: b, Digest: d})
	if err != nil {
		// Only a programming error makes the types above impossible to encode.
		panic(err)
	}
	return data
}

// write sends a datagram. An error is like a loss, which the next one repairs.
func (m *Mesh) write(data []byte, to net.Addr) {
	if _, err := m.sender().WriteTo(data, to); err == nil {
		m.sent++
	}
}

// sender returns the socket to send from; the caller holds the lock. Without
// another one, the present socket stays in use.
func (m *Mesh) sender() net.PacketConn {
	now := m.config.Now()
	if m.config.OpenSocket == nil || now.Sub(m.outSince) < flowLife {
		return m.out
	}
	m.outSince = now
	opened, err := m.config.OpenSocket()
	if err != nil {
		event.Log(m.config.Logger, event.SocketFailed, "error", err.Error())
		return m.out
	}
	if m.out != m.conn {
		_ = m.out.Close()
	}
	m.out = opened
	return m.out
}

func (m *Mesh) someAddresses() []string {
	all := make([]string, 0, len(m.members))
	for _, x := range m.members {
		if x.alive {
			all = append(all, x.Address)
		}
	}
	for i := range min(passedAddresses, len(all)) {
		j := i + int(m.config.Random()*float64(len(all)-i))
		all[i], all[j] = all[j], all[i]
	}
	return all[:min(passedAddresses, len(all))]
}
