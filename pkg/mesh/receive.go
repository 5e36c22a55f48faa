package mesh

import (
	"context"
	"net"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/sequoiacove/sequoiacove/pkg/balance"
	"github.com/sequoiacove/sequoiacove/pkg/event"
)

// receive takes datagrams until the socket is closed.
func (m *Mesh) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, from, err := m.conn.ReadFrom(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		var msg message
		if err := cbor.Unmarshal(buffer[:n], &msg); err != nil || msg.ID == "" || msg.ID == m.config.Self.ID {
			continue
		}
		if msg.Digest != nil {
			m.takeDigest(&msg)
			continue
		}
		m.take(&msg, from)
	}
}

// take applies a message.
func (m *Mesh) take(msg *message, from net.Addr) {
	now := m.config.Now()
	m.mu.Lock()
	m.received++
	x := m.members[msg.ID]
	introduces := msg.Beat != nil && msg.Beat.Region != ""
	if x == nil && (!introduces || len(m.members) >= maxMembers) {
		m.mu.Unlock()
		return
	}
	if x == nil {
		x = &member{}
		m.members[msg.ID] = x
	}
	if x.incarnation == msg.Incarnation && msg.Sequence <= x.sequence {
		m.mu.Unlock()
		return
	}
	restarted := x.incarnation != msg.Incarnation
	if restarted && !introduces {
		m.mu.Unlock()
		return
	}
	x.incarnation, x.sequence, x.heard = msg.Incarnation, msg.Sequence, now
	changed := m.takeBeat(x, msg, from, restarted)
	current := x.Member
	m.mu.Unlock()
	if changed {
		m.config.OnChange()
	}
	if current.Region != m.config.Self.Region {
		return
	}
	if msg.HasLoad {
		m.config.OnLoad(msg.ID, current.Region, unpack(msg.InFlight))
	}
	if msg.Beat != nil {
		if msg.Beat.Demand != nil {
			m.config.OnDemand(msg.ID, current.Region, msg.Beat.Demand)
		}
		m.config.OnHeartbeat(current)
	}
}

// takeBeat updates a member and tells whether the live members changed.
func (m *Mesh) takeBeat(x *member, msg *message, from net.Addr, restarted bool) bool {
	changed := !x.alive || restarted
	if b := msg.Beat; b != nil {
		changed = changed || x.State != b.State
		x.State, x.Directives, x.Upstreams, x.Watching = b.State, b.Directives, b.Upstreams, b.Watching
		x.Version, x.Active, x.Shares = b.Version, b.Active, b.Shares
		if b.Region != "" {
			changed = changed || x.Caller != b.Caller
			x.ID, x.Region, x.Domain, x.Caller = msg.ID, b.Region, b.Domain, b.Caller
			x.target, x.Address, x.Rates = from, from.String(), b.Rates
			if to, err := net.ResolveUDPAddr("udp4", b.Address); err == nil && b.Address != "" {
				x.target, x.Address = to, b.Address
			}
			delete(m.unknown, x.Address)
			delete(m.lost, x.Address)
		}
		for i, a := range b.Addresses {
			if i < passedAddresses {
				m.addAddress(a)
			}
		}
	}
	if !x.alive || restarted {
		event.Log(m.config.Logger, event.MemberJoined, "member", msg.ID, "region", x.Region, "domain", x.Domain, "state", x.State)
	}
	x.alive = true
	return changed
}

func unpack(packed []uint32) []balance.InFlight {
	list := make([]balance.InFlight, 0, len(packed)/2)
	for i := 0; i+1 < len(packed); i += 2 {
		list = append(list, balance.InFlight{Upstream: packed[i], Count: int(min(packed[i+1], 1<<16))})
	}
	return list
}
