// Package mesh keeps the live instances of the system known to one another.
//
// It has two levels. Inside a region each instance sends small datagrams to all
// others: a heartbeat with its state and what it knows, and more often the
// requests that it has in flight. Across regions only the gateway of each
// region, the live instance with the lowest rank, sends a digest of its region
// to the other gateways, which pass it on inside theirs (digest.go).
//
// An instance that is not heard for DeadAfter counts as dead. New instances find
// the others through addresses in their settings, through the platform's store,
// and through the addresses that heartbeats pass on. Changes travel over TCP
// between the same addresses (snapshot.go). Nothing is agreed on here: what must
// be agreed on goes through the platform's store.
package mesh

import (
	"context"
	"log/slog"
	"net"
	"sort"
	"sync"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/balance"
	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/event"
)

const (
	// beatInterval is the time between heartbeats.
	beatInterval = 500 * time.Millisecond
	// DeadAfter is the silence after which an instance counts as dead.
	DeadAfter = 2500 * time.Millisecond
	// farDeadAfter is the same for instances of other regions, which are known
	// through digests.
	farDeadAfter = 5 * time.Second
	// forgetAfter is the silence after which an instance gets no heartbeats.
	forgetAfter = 30 * time.Second
	// helloInterval is the time between heartbeats to addresses at which no
	// instance is known yet.
	helloInterval = time.Second
	// lostEvery is the number of such rounds of which one also goes to the
	// addresses of dead members: those that were cut off are found again.
	lostEvery = 3
	// lostMemory is how long they are tried. The platform's store names the
	// instances that still exist after that.
	lostMemory = 15 * time.Minute
	// loadInterval is the time between reports of the requests in flight.
	loadInterval = 100 * time.Millisecond
	// intervalPerMember stretches the intervals for many members of a region,
	// so that an instance sends at most about 100 datagrams per second.
	intervalPerMember = 10 * time.Millisecond
	beatPerMember     = 40 * time.Millisecond
	maxBeatInterval   = time.Second
	tick              = 50 * time.Millisecond
	// flowLife is how long datagrams leave from one port. A path that drops what
	// passes between two ports for good must not keep members apart; the time
	// and the next report are less than DeadAfter.
	flowLife = 1500 * time.Millisecond
	// fullEvery is the number of heartbeats of which one says everything.
	fullEvery = 2
	// passedAddresses is the number of addresses that a heartbeat passes on.
	passedAddresses = 4
	// maxMembers bounds the members, and maxDatagram the size of a message.
	maxMembers  = 4096
	maxDatagram = 60 << 10
	// pauseThreshold is the gap between ticks that shows that the process
	// stood still; the others were not silent meanwhile.
	pauseThreshold = time.Second
)

// State is the state that an instance reports of itself.
type State uint8

// States of an instance.
const (
	// Starting instances know no configuration yet.
	Starting State = iota + 1
	Serving
	Leaving
)

// Member is a live instance.
type Member struct {
	ID     string
	Region string
	Domain string
	// Caller is the address that serves callers.
	Caller string
	// Address is the address of its mesh.
	Address string
	Status
}

// Status is what an instance tells the others of itself.
type Status struct {
	State State
	// Directives and Upstreams are the revisions that it knows.
	Directives int64
	Upstreams  int64
	// Watching tells that it watches the store and reaches it.
	Watching bool
	// Version is the version of the description in force.
	Version uint64
	// Active is the number of callers' requests in flight.
	Active int
	// Shares holds the shares in effect; those of instances of other regions
	// are known as the mean of the region only.
	Shares cluster.Shares
	// Rates holds the requests per second of the own callers by service, for
	// services that the description names; those of other regions are known as
	// sums.
	Rates cluster.Demand
}

// Config holds the inputs of a Mesh.
type Config struct {
	// Self is this instance; its address is where the others reach it.
	Self Member
	// Incarnation tells two starts under one id apart.
	Incarnation uint64
	// OpenSocket opens a socket to send from. Without it, datagrams leave from the
	// socket that receives.
	OpenSocket func() (net.PacketConn, error)
	// Seeds are addresses to try before any member is known.
	Seeds  []string
	Now    func() time.Time
	Random func() float64
	Logger *slog.Logger
	// LocalStatus returns what is to be told at the moment.
	LocalStatus func() Status
	InFlight    func() []balance.InFlight
	Demands     func() []balance.Demand
	// RegionTotals returns the sums over the own region.
	RegionTotals func() ([]balance.InFlight, []balance.Demand)
	// OnLoad and Demand take the reports of a member or a region, and Beat each
	// heartbeat of a member of the own region. Changed is called when a member
	// joined, died, or changed its state or address.
	OnLoad      func(id, region string, list []balance.InFlight)
	OnDemand    func(id, region string, list []balance.Demand)
	OnChange    func()
	OnHeartbeat func(Member)
	// OnRegionShares takes the mean of the shares in effect in another region and
	// the sum of its requests per second.
	OnRegionShares func(region string, shares cluster.Shares, rates cluster.Demand)
}

// Mesh exchanges datagrams with the other instances.
type Mesh struct {
	config Config
	conn   net.PacketConn

	mu sync.Mutex
	// out is the socket that datagrams leave from, opened at outSince.
	out      net.PacketConn
	outSince time.Time
	members  map[string]*member
	unknown  map[string]time.Time
	// lost holds the dead members by address.
	lost     map[string]lostMember
	hellos   int
	sequence uint64
	beats    int
	ticked   time.Time
	beatAt   time.Time
	helloAt  time.Time
	loadAt   time.Time
	digestAt time.Time
	digests  int
	sent     int64
	received int64
}

// lostMember is a member that is not heard any more.
type lostMember struct {
	region string
	since  time.Time
}

type member struct {
	Member
	incarnation uint64
	sequence    uint64
	heard       time.Time
	alive       bool
	target      net.Addr
	idle        bool
}

// New returns a Mesh on an open socket.
func New(config Config, conn net.PacketConn) *Mesh {
	m := &Mesh{config: config, conn: conn, out: conn, members: make(map[string]*member), unknown: make(map[string]time.Time), lost: make(map[string]lostMember)}
	for _, a := range config.Seeds {
		m.addAddress(a)
	}
	return m
}

// AddAddresses adds addresses at which instances may be found.
func (m *Mesh) AddAddresses(list []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range list {
		m.addAddress(a)
	}
}

func (m *Mesh) addAddress(a string) {
	if a == m.config.Self.Address || len(m.unknown) >= maxMembers {
		return
	}
	for _, x := range m.members {
		if x.Address == a {
			return
		}
	}
	if _, ok := m.unknown[a]; !ok {
		m.unknown[a] = m.config.Now()
	}
}

// Run exchanges datagrams until ctx ends; it closes the sockets.
func (m *Mesh) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, m.close)
	defer stop()
	go m.receive(ctx)
	t := time.NewTicker(tick)
	defer t.Stop()
	for ctx.Err() == nil {
		m.tick()
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
}

// close closes the sockets. A failure leaves them to the end of the process.
func (m *Mesh) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.conn.Close()
	_ = m.out.Close()
	m.config.OpenSocket = nil
}

// Announce sends a heartbeat at once, as a change of state needs.
func (m *Mesh) Announce() {
	m.mu.Lock()
	m.beatAt, m.beats = time.Time{}, 0
	m.mu.Unlock()
	m.tick()
}

// AnnounceToOtherRegions sends a heartbeat to the live members of the other regions, for
// news that must not wait for their gateways, which may stand still.
func (m *Mesh) AnnounceToOtherRegions() {
	m.send(schedule{far: true})
}

// Live returns the live members by id, without the own instance.
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

// UnreachedAddresses returns the number of addresses at which no instance has been heard
// yet.
func (m *Mesh) UnreachedAddresses() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.unknown)
}

// Datagrams returns the numbers of datagrams sent and received.
func (m *Mesh) Datagrams() (sent, received int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sent, m.received
}

func (m *Mesh) tick() {
	now := m.config.Now()
	m.mu.Lock()
	m.forgivePause(now)
	changed := m.expire(now)
	near := time.Duration(m.near())
	due := schedule{
		beat:   elapsed(&m.beatAt, now, min(maxBeatInterval, max(beatInterval, near*beatPerMember))),
		load:   elapsed(&m.loadAt, now, max(loadInterval, near*intervalPerMember)),
		hello:  elapsed(&m.helloAt, now, helloInterval),
		digest: m.isGateway() && elapsed(&m.digestAt, now, max(digestInterval, near*digestPerMember)),
	}
	if due.beat {
		// A heartbeat reports the load too.
		m.loadAt = now
		due.full = m.beats%fullEvery == 0
		m.beats++
	}
	m.mu.Unlock()
	if changed {
		m.config.OnChange()
	}
	if due.beat || due.load || due.hello {
		m.send(due)
	}
	if due.digest {
		m.sendDigests()
	}
}

// schedule tells which messages are due; full is set with beat for a heartbeat
// that says everything, far for one to the other regions.
type schedule struct{ beat, full, load, hello, digest, far bool }

// elapsed tells whether an interval has passed since *at, and starts the next.
func elapsed(at *time.Time, now time.Time, interval time.Duration) bool {
	if now.Sub(*at) < interval {
		return false
	}
	*at = now
	return true
}

// near returns the number of members of the own region.
func (m *Mesh) near() int {
	n := 0
	for _, x := range m.members {
		if x.Region == m.config.Self.Region {
			n++
		}
	}
	return n
}

// forgivePause moves the times of the last messages when the process stood
// still itself.
func (m *Mesh) forgivePause(now time.Time) {
	if gap := now.Sub(m.ticked); !m.ticked.IsZero() && gap > pauseThreshold {
		for _, x := range m.members {
			x.heard = x.heard.Add(gap)
		}
	}
	m.ticked = now
}

// expire marks silent members as dead and tells whether there were any.
func (m *Mesh) expire(now time.Time) bool {
	changed := false
	for id, x := range m.members {
		silent := now.Sub(x.heard)
		limit := DeadAfter
		if x.Region != m.config.Self.Region {
			limit = farDeadAfter
		}
		if x.alive && silent > limit {
			x.alive, changed = false, true
			if x.State != Leaving && len(m.lost) < maxMembers {
				m.lost[x.Address] = lostMember{x.Region, now}
			}
			event.Log(m.config.Logger, event.MemberDead, "member", id, "silent_ms", silent.Milliseconds())
		}
		if silent > forgetAfter {
			delete(m.members, id)
		}
	}
	for a, since := range m.unknown {
		if now.Sub(since) > forgetAfter {
			delete(m.unknown, a)
		}
	}
	for a, l := range m.lost {
		if now.Sub(l.since) > lostMemory {
			delete(m.lost, a)
		}
	}
	return changed
}
