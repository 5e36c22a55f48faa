package mesh

import (
	"context"
	"net"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/sequoiacove/sequoiacove/pkg/balance"
	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/revision"
)

// receive handles datagrams until the socket is closed.
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
			m.handleDigest(&msg)
			continue
		}
		m.handleMessage(&msg, from)
	}
}

// handleMessage applies a heartbeat or load report. Messages that arrive twice
// or out of order are ignored, and so are those of a new or restarted member
// until it sends a full heartbeat. Loads and heartbeats of members of other
// regions are not passed to the callbacks, because digests report the load of
// those regions.
func (m *Mesh) handleMessage(msg *message, from net.Addr) {
	now := m.config.Now()
	m.mu.Lock()
	m.receivedCount++
	x := m.members[msg.ID]
	isFullHeartbeat := msg.Heartbeat != nil && msg.Heartbeat.Region != ""
	if x == nil && (!isFullHeartbeat || len(m.members) >= maxMembers) {
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
	if restarted && !isFullHeartbeat {
		m.mu.Unlock()
		return
	}
	x.incarnation, x.sequence, x.lastHeardAt = msg.Incarnation, msg.Sequence, now
	joined := !x.alive || restarted
	changed := m.updateMember(x, msg, from, restarted)
	current := x.Member
	if x.Domain != m.config.Self.Domain {
		m.otherDomainHeardAt = now
	}
	if joined && x.Region == m.config.Self.Region && len(m.joined) < maxMembers {
		m.joined = append(m.joined, x.sendAddress)
	}
	m.mu.Unlock()
	if changed {
		m.config.OnMembershipChange()
	}
	if current.Region != m.config.Self.Region {
		return
	}
	if msg.HasLoad {
		m.config.OnLoad(msg.ID, current.Region, unpackInFlight(msg.InFlight))
	}
	if msg.Heartbeat != nil {
		if msg.Heartbeat.Demand != nil {
			m.config.OnDemand(msg.ID, current.Region, msg.Heartbeat.Demand)
			m.config.OnRouteStats(msg.ID, current.Region, msg.Heartbeat.RouteStats)
		}
		m.reportNotices(current.Region, balance.Notices{Statements: msg.Heartbeat.Statements, Leaving: msg.Heartbeat.Leaving})
		m.config.OnHeartbeat(current)
	}
}

// reportNotices passes on what upstreams have said to instances of a region, if they have.
func (m *Mesh) reportNotices(region string, n balance.Notices) {
	if len(n.Statements)+len(n.Leaving) > 0 {
		m.config.OnNotices(region, n)
	}
}

// updateMember updates a member from a message and reports whether the member
// joined, restarted, or changed its state or caller address.
func (m *Mesh) updateMember(x *member, msg *message, from net.Addr, restarted bool) bool {
	changed := !x.alive || restarted
	if h := msg.Heartbeat; h != nil {
		changed = changed || x.State != h.State
		x.State, x.Watching = h.State, h.Watching
		x.DirectivesRevision = revision.Revision{Era: h.DirectivesEra, Number: h.DirectivesRevision}
		x.UpstreamsRevision = revision.Revision{Era: h.UpstreamsEra, Number: h.UpstreamsRevision}
		x.Proofs = h.proofs(m.config.Now())
		x.DescriptionVersion, x.ActiveRequests, x.Shares = h.DescriptionVersion, h.ActiveRequests, h.Shares
		if h.Region != "" {
			changed = changed || x.CallerAddress != h.CallerAddress
			x.ID, x.Region, x.Domain, x.CallerAddress = msg.ID, h.Region, h.Domain, h.CallerAddress
			x.sendAddress, x.Address, x.RequestRates, x.LinkMbps = from, from.String(), h.RequestRates, h.LinkMbps
			if to, err := net.ResolveUDPAddr("udp4", h.Address); err == nil && h.Address != "" {
				x.sendAddress, x.Address = to, h.Address
			}
			delete(m.candidateAddresses, x.Address)
			delete(m.deadMembers, x.Address)
		}
		for i, a := range h.Addresses {
			if i < maxGossipedAddresses {
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

// unpackInFlight decodes the encoding of packInFlight and caps each count.
func unpackInFlight(packed []uint32) []balance.InFlight {
	list := make([]balance.InFlight, 0, len(packed)/2)
	for i := 0; i+1 < len(packed); i += 2 {
		list = append(list, balance.InFlight{UpstreamHash: packed[i], Count: int(min(packed[i+1], 1<<16))})
	}
	return list
}
