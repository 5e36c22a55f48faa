// Package mesh implements membership and gossip between the live instances of
// the system.
//
// It has two levels. Inside a region each instance sends small datagrams to all
// other members: heartbeats with its status, and more often load reports with
// its requests in flight (send.go, receive.go). Across regions only the gateway
// of each region, the live instance with the lowest hash of its id, sends a
// digest of its region to the other gateways, which forward it inside their
// regions (digest.go).
//
// An instance that has been silent for DeadAfter is considered dead. New
// instances discover members through the seed addresses in their settings,
// through the platform's store, and through the addresses that heartbeats
// carry. Changes to the tables and to the operator's description are
// transferred over TCP between the same addresses (snapshot.go). The mesh
// provides no consensus: what the instances must agree on goes through the
// platform's store.
package mesh

import (
	"context"
	"net"
	"sort"
	"sync"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/event"
)

const (
	// heartbeatInterval is the minimum time between heartbeats.
	heartbeatInterval = 500 * time.Millisecond
	// DeadAfter is the silence after which an instance is considered dead.
	DeadAfter = 2500 * time.Millisecond
	// remoteDeadAfter is the corresponding time for instances of other
	// regions, which are known through digests.
	remoteDeadAfter = 5 * time.Second
	// removeAfter is the silence after which a member is removed and gets no
	// more heartbeats. Addresses at which no instance is found are probed for
	// the same time.
	removeAfter = 30 * time.Second
	// probeInterval is the time between probes, which are heartbeats to
	// addresses at which no instance has been found yet.
	probeInterval = time.Second
	// deadProbeEvery is the period, counted in probe rounds, at which the
	// addresses of dead members are probed too, so that members are found
	// again after a network partition.
	deadProbeEvery = 3
	// deadProbeDuration is how long the addresses of dead members are probed.
	// After that, instances that still exist are found through the platform's
	// store.
	deadProbeDuration = 15 * time.Minute
	// loadInterval is the minimum time between load reports, which hold the
	// sender's requests in flight.
	loadInterval = 100 * time.Millisecond
	// The intervals grow with the number of members of the region, so that an
	// instance sends at most about 100 datagrams per second. The interval of
	// heartbeats does not exceed maxHeartbeatInterval.
	loadIntervalPerMember      = 10 * time.Millisecond
	heartbeatIntervalPerMember = 40 * time.Millisecond
	maxHeartbeatInterval       = time.Second
	tickInterval               = 50 * time.Millisecond
	// sendSocketLifetime is how long datagrams are sent from one source port. If
	// the network path permanently drops everything between two ports, a new port
	// restores contact. This lifetime plus the time until the next report is less
	// than DeadAfter, so that the members receive a datagram from the new port
	// before they consider this instance dead.
	sendSocketLifetime = 1500 * time.Millisecond
	// fullHeartbeatEvery is the period of full heartbeats, counted in
	// heartbeats. The others are short.
	fullHeartbeatEvery = 2
	// maxGossipedAddresses is the maximum number of member addresses in a
	// heartbeat.
	maxGossipedAddresses = 4
	// maxMembers limits the number of members, and maxDatagram the size of a
	// datagram.
	maxMembers  = 4096
	maxDatagram = 60 << 10
	// pauseThreshold is the gap between ticks above which this process is assumed
	// to have been paused. Members are not considered silent during such a gap.
	pauseThreshold = time.Second
)

// Mesh exchanges datagrams with the other instances.
type Mesh struct {
	config Config
	conn   net.PacketConn

	mu sync.Mutex
	// sendConn is the socket for sending, and sendConnOpenedAt the time of
	// the last attempt to open one.
	sendConn         net.PacketConn
	sendConnOpenedAt time.Time
	members          map[string]*member
	// candidateAddresses maps the addresses at which no instance has been found yet
	// to the time when they were added.
	candidateAddresses map[string]time.Time
	// deadMembers holds the dead members that are still probed, by address.
	deadMembers map[string]deadMember
	// joined holds the addresses of the members of the local region that have joined since
	// the last tick. They may have just started and have to know this instance before they
	// take their shares of the limits.
	joined          []net.Addr
	probeRoundCount int
	sequence        uint64
	heartbeatCount  int
	lastTickAt      time.Time
	lastHeartbeatAt time.Time
	lastProbeAt     time.Time
	lastLoadAt      time.Time
	lastDigestAt    time.Time
	digestCount     int
	sentCount       int64
	receivedCount   int64
	// otherDomainHeardAt is the time of the last message that came directly from a member of
	// another failure domain.
	otherDomainHeardAt time.Time
}

// deadMember is a member that was declared dead and is still probed.
type deadMember struct {
	region string
	since  time.Time
}

// member is a known member and the state of the exchange with it.
type member struct {
	Member
	// incarnation and sequence are those of the last message applied.
	incarnation uint64
	sequence    uint64
	lastHeardAt time.Time
	alive       bool
	// sendAddress is the address to which datagrams for the member are sent.
	sendAddress net.Addr
	// sentEmptyLoad is set if the last load sent to the member had no requests
	// in flight. Load reports that would repeat this are not sent.
	sentEmptyLoad bool
}

// New returns a Mesh that receives on an open socket.
func New(config Config, conn net.PacketConn) *Mesh {
	m := &Mesh{config: config, conn: conn, sendConn: conn, members: make(map[string]*member), candidateAddresses: make(map[string]time.Time), deadMembers: make(map[string]deadMember)}
	for _, a := range config.Seeds {
		m.addAddress(a)
	}
	return m
}

// AddAddresses adds addresses to probe for instances, from the next tick on.
func (m *Mesh) AddAddresses(list []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastProbeAt = time.Time{}
	for _, a := range list {
		m.addAddress(a)
	}
}

func (m *Mesh) addAddress(a string) {
	if a == m.config.Self.Address || len(m.candidateAddresses) >= maxMembers {
		return
	}
	for _, x := range m.members {
		if x.Address == a {
			return
		}
	}
	if _, ok := m.candidateAddresses[a]; !ok {
		m.candidateAddresses[a] = m.config.Now()
	}
}

// Run exchanges datagrams until ctx is done; it then closes the sockets.
func (m *Mesh) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, m.close)
	defer stop()
	go m.receive(ctx)
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		m.tick()
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
}

// close closes the sockets. Errors are ignored, because the process releases
// the sockets when it exits.
func (m *Mesh) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.conn.Close()
	_ = m.sendConn.Close()
	m.config.OpenSocket = nil
}

// Announce sends a full heartbeat to the local region immediately, for example
// after a change of state.
func (m *Mesh) Announce() {
	m.mu.Lock()
	m.lastHeartbeatAt, m.heartbeatCount = time.Time{}, 0
	m.mu.Unlock()
	m.tick()
}

// SendHeartbeat sends the next heartbeat to the local region immediately.
func (m *Mesh) SendHeartbeat() {
	m.mu.Lock()
	m.lastHeartbeatAt = time.Time{}
	m.mu.Unlock()
	m.tick()
}

// AnnounceToOtherRegions sends a heartbeat directly to the live members of the
// other regions. It is for urgent updates, which must not be delayed by a stalled
// gateway.
func (m *Mesh) AnnounceToOtherRegions() {
	m.sendDue(dueMessages{otherRegions: true})
}

// Live returns the live members sorted by id, excluding this instance.
func (m *Mesh) Live() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]Member, 0, len(m.members))
	for _, x := range m.members {
		if x.alive {
			list = append(list, x.Member)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// UnreachedAddressCount returns the number of addresses being probed at which no
// instance has been found yet.
func (m *Mesh) UnreachedAddressCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.candidateAddresses)
}

// HeardFromOtherDomainAt returns the time of the last message that came directly from a member
// of another failure domain, the zero time if none did.
func (m *Mesh) HeardFromOtherDomainAt() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.otherDomainHeardAt
}

// DatagramCounts returns the numbers of datagrams sent and received.
func (m *Mesh) DatagramCounts() (sent, received int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sentCount, m.receivedCount
}

func (m *Mesh) tick() {
	now := m.config.Now()
	m.mu.Lock()
	m.compensatePause(now)
	changed := m.expire(now)
	peerCount := time.Duration(m.regionPeerCount())
	due := dueMessages{
		heartbeat: restartIfElapsed(&m.lastHeartbeatAt, now, min(maxHeartbeatInterval, max(heartbeatInterval, peerCount*heartbeatIntervalPerMember))),
		load:      restartIfElapsed(&m.lastLoadAt, now, max(loadInterval, peerCount*loadIntervalPerMember)),
		probe:     restartIfElapsed(&m.lastProbeAt, now, probeInterval),
		joined:    len(m.joined) > 0,
		digest:    m.isGateway() && restartIfElapsed(&m.lastDigestAt, now, max(digestInterval, peerCount*digestIntervalPerMember)),
	}
	if due.heartbeat {
		// A heartbeat also contains a load report.
		m.lastLoadAt = now
		due.full = m.heartbeatCount%fullHeartbeatEvery == 0
		m.heartbeatCount++
	}
	m.mu.Unlock()
	if changed {
		m.config.OnMembershipChange()
	}
	if due.heartbeat || due.load || due.probe || due.joined {
		m.sendDue(due)
	}
	if due.digest {
		m.sendDigests()
	}
}

// dueMessages specifies which messages to send. full makes the heartbeat to the
// local region a full one; joined requests a heartbeat to the members that have just
// joined, and otherRegions one to the members of the other regions.
type dueMessages struct{ heartbeat, full, load, probe, joined, digest, otherRegions bool }

// restartIfElapsed sets *at to now if interval has passed since *at, and reports
// whether it did.
func restartIfElapsed(at *time.Time, now time.Time, interval time.Duration) bool {
	if now.Sub(*at) < interval {
		return false
	}
	*at = now
	return true
}

// regionPeerCount returns the number of known members of the local region,
// excluding this instance.
func (m *Mesh) regionPeerCount() int {
	n := 0
	for _, x := range m.members {
		if x.Region == m.config.Self.Region {
			n++
		}
	}
	return n
}

// compensatePause extends the last-heard times of all members if this process
// itself was paused.
func (m *Mesh) compensatePause(now time.Time) {
	if gap := now.Sub(m.lastTickAt); !m.lastTickAt.IsZero() && gap > pauseThreshold {
		for _, x := range m.members {
			x.lastHeardAt = x.lastHeardAt.Add(gap)
		}
	}
	m.lastTickAt = now
}

// expire marks silent members as dead and reports whether it marked any. It
// also removes members that have been silent for removeAfter, and addresses
// whose probing time has passed.
func (m *Mesh) expire(now time.Time) bool {
	changed := false
	for id, x := range m.members {
		silent := now.Sub(x.lastHeardAt)
		limit := DeadAfter
		if x.Region != m.config.Self.Region {
			limit = remoteDeadAfter
		}
		if x.alive && silent > limit {
			x.alive, changed = false, true
			if x.State != Leaving && len(m.deadMembers) < maxMembers {
				m.deadMembers[x.Address] = deadMember{x.Region, now}
			}
			event.Log(m.config.Logger, event.MemberDead, "member", id, "silent_ms", silent.Milliseconds())
		}
		if silent > removeAfter {
			delete(m.members, id)
		}
	}
	for a, since := range m.candidateAddresses {
		if now.Sub(since) > removeAfter {
			delete(m.candidateAddresses, a)
		}
	}
	for a, d := range m.deadMembers {
		if now.Sub(d.since) > deadProbeDuration {
			delete(m.deadMembers, a)
		}
	}
	return changed
}
