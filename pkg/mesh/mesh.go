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

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/sequoiacove/sequoiacove/pkg/balance"
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
	// loadInterval is the time between reports of the requests in flight.
	loadInterval = 100 * time.Millisecond
	// intervalPerMember stretches the intervals for many members of a region,
	// so that an instance sends at most about 100 datagrams per second.
	intervalPerMember = 10 * time.Millisecond
	beatPerMember     = 40 * time.Millisecond
	maxBeatInterval   = time.Second
	tick              = 50 * time.Millisecond
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
	State  State
	// Directives and Upstreams are the revisions that the member knows.
	Directives int64
	Upstreams  int64
	// Watching tells that the member watches the store and reaches it.
	Watching bool
	// Address is the address of its mesh.
	Address string
}

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

type beat struct {
	_          struct{} `cbor:",toarray"`
	Region     string
	Domain     string
	Caller     string
	State      State
	Directives int64
	Upstreams  int64
	Watching   bool
	Demand     []balance.Demand
	Addresses  []string
}

// Local is what an instance tells the others.
type Local struct {
	State      State
	Directives int64
	Upstreams  int64
	Watching   bool
}

// Config holds the inputs of a Mesh.
type Config struct {
	Self Member
	// Incarnation tells two starts under one id apart.
	Incarnation uint64
	// Seeds are addresses to try before any member is known.
	Seeds  []string
	Now    func() time.Time
	Random func() float64
	Logger *slog.Logger
	// Local returns what is to be told at the moment.
	Local    func() Local
	InFlight func() []balance.InFlight
	Demands  func() []balance.Demand
	// Region returns the sums over the own region.
	Region func() ([]balance.InFlight, []balance.Demand)
	// Load and Demand take the reports of a member or a region, Members the
	// live members whenever they change, and Beat each heartbeat of a member
	// of the own region.
	Load    func(id, region string, list []balance.InFlight)
	Demand  func(id, region string, list []balance.Demand)
	Members func([]Member)
	Beat    func(Member)
}

// Mesh exchanges datagrams with the other instances.
type Mesh struct {
	config Config
	conn   net.PacketConn

	mu       sync.Mutex
	members  map[string]*member
	unknown  map[string]time.Time
	sequence uint64
	ticked   time.Time
	beatAt   time.Time
	helloAt  time.Time
	loadAt   time.Time
	digestAt time.Time
	digests  int
	sent     int64
	received int64
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
	m := &Mesh{config: config, conn: conn, members: make(map[string]*member), unknown: make(map[string]time.Time)}
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

// Run exchanges datagrams until ctx ends; it closes the socket.
func (m *Mesh) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = m.conn.Close() })
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

// Announce sends a heartbeat at once, as a change of state needs.
func (m *Mesh) Announce() {
	m.mu.Lock()
	m.beatAt = time.Time{}
	m.mu.Unlock()
	m.tick()
}

// Live returns the live members by id, without the own instance.
func (m *Mesh) Live() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.live()
}

func (m *Mesh) live() []Member {
	list := make([]Member, 0, len(m.members))
	for _, x := range m.members {
		if x.alive {
			list = append(list, x.Member)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
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
	m.mu.Unlock()
	if changed != nil {
		m.config.Members(changed)
	}
	if due.beat || due.load || due.hello {
		m.send(due)
	}
	if due.digest {
		m.sendDigests()
	}
}

// schedule tells which messages are due.
type schedule struct{ beat, load, hello, digest bool }

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

// expire marks silent members as dead and returns the live ones if they changed.
func (m *Mesh) expire(now time.Time) []Member {
	changed := false
	for id, x := range m.members {
		silent := now.Sub(x.heard)
		limit := DeadAfter
		if x.Region != m.config.Self.Region {
			limit = farDeadAfter
		}
		if x.alive && silent > limit {
			x.alive, changed = false, true
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
	if !changed {
		return nil
	}
	return m.live()
}

// send sends the messages that are due inside the region, and heartbeats to
// the addresses of instances that are not known yet.
func (m *Mesh) send(due schedule) {
	inFlight := pack(m.config.InFlight())
	local := m.config.Local()
	b := &beat{Region: m.config.Self.Region, Domain: m.config.Self.Domain, Caller: m.config.Self.Caller,
		State: local.State, Directives: local.Directives, Upstreams: local.Upstreams, Watching: local.Watching}
	if due.beat {
		b.Demand = m.config.Demands()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sequence++
	b.Addresses = m.someAddresses()
	load, full := m.encode(inFlight, nil, nil), m.encode(inFlight, b, nil)
	if due.hello {
		m.sendHellos(full)
	}
	idle := len(inFlight) == 0
	for _, x := range m.members {
		switch {
		case x.Region != m.config.Self.Region:
			continue
		case due.beat:
			m.write(full, x.target)
		case due.load && !(idle && x.idle):
			m.write(load, x.target)
		default:
			continue
		}
		x.idle = idle
	}
}

func (m *Mesh) sendHellos(full []byte) {
	for a := range m.unknown {
		if target, err := net.ResolveUDPAddr("udp4", a); err == nil {
			m.write(full, target)
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
	if _, err := m.conn.WriteTo(data, to); err == nil {
		m.sent++
	}
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
	if x == nil && (msg.Beat == nil || len(m.members) >= maxMembers) {
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
	if restarted && msg.Beat == nil {
		m.mu.Unlock()
		return
	}
	x.incarnation, x.sequence, x.heard = msg.Incarnation, msg.Sequence, now
	changed := m.takeBeat(x, msg, from, restarted)
	var live []Member
	if changed {
		live = m.live()
	}
	current := x.Member
	m.mu.Unlock()
	if changed {
		m.config.Members(live)
	}
	if current.Region != m.config.Self.Region {
		return
	}
	if msg.HasLoad {
		m.config.Load(msg.ID, current.Region, unpack(msg.InFlight))
	}
	if msg.Beat != nil {
		if msg.Beat.Demand != nil {
			m.config.Demand(msg.ID, current.Region, msg.Beat.Demand)
		}
		m.config.Beat(current)
	}
}

// takeBeat updates a member and tells whether the live members changed.
func (m *Mesh) takeBeat(x *member, msg *message, from net.Addr, restarted bool) bool {
	changed := !x.alive || restarted
	if b := msg.Beat; b != nil {
		changed = changed || x.State != b.State || x.Caller != b.Caller
		x.target = from
		x.Member = Member{ID: msg.ID, Region: b.Region, Domain: b.Domain, Caller: b.Caller, State: b.State,
			Directives: b.Directives, Upstreams: b.Upstreams, Watching: b.Watching, Address: from.String()}
		delete(m.unknown, x.Address)
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
