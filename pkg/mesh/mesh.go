// Package mesh keeps the live instances of the system known to one another.
//
// Each instance sends small datagrams to all others: a heartbeat with its state
// and what it knows, and more often the requests that it has in flight. An
// instance that is not heard for DeadAfter counts as dead. New instances find
// the others through addresses in their settings, through the platform's store,
// and through the addresses that heartbeats pass on. Whole snapshots travel
// over TCP between the same addresses. Nothing is agreed on here: what must be
// agreed on goes through the platform's store.
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
	// forgetAfter is the silence after which an instance gets no heartbeats.
	forgetAfter = 30 * time.Second
	// nearLoadInterval and farLoadInterval are the times between reports of the
	// requests in flight, inside the region and across regions.
	nearLoadInterval = 100 * time.Millisecond
	farLoadInterval  = 200 * time.Millisecond
	// loadIntervalPerMember stretches both for many members, so that an
	// instance sends at most about 100 reports per second.
	loadIntervalPerMember = 10 * time.Millisecond
	tick                  = 50 * time.Millisecond
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
}

type beat struct {
	_          struct{} `cbor:",toarray"`
	Region     string
	Domain     string
	Caller     string
	State      State
	Directives int64
	Upstreams  int64
	Demand     []balance.Demand
	Addresses  []string
}

// Local is what an instance tells the others.
type Local struct {
	State      State
	Directives int64
	Upstreams  int64
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
	// Load and Demand take the reports of a member, Members the live ones
	// whenever they change.
	Load    func(id string, list []balance.InFlight)
	Demand  func(id string, list []balance.Demand)
	Members func([]Member)
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
	nearAt   time.Time
	farAt    time.Time
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
	n := time.Duration(len(m.members))
	sendBeat := now.Sub(m.beatAt) >= beatInterval
	near := now.Sub(m.nearAt) >= max(nearLoadInterval, n*loadIntervalPerMember)
	far := now.Sub(m.farAt) >= max(farLoadInterval, n*loadIntervalPerMember)
	if sendBeat {
		m.beatAt = now
	}
	if near {
		m.nearAt = now
	}
	if far {
		m.farAt = now
	}
	m.mu.Unlock()
	if changed != nil {
		m.config.Members(changed)
	}
	if sendBeat || near || far {
		m.send(sendBeat, near, far)
	}
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
		if x.alive && silent > DeadAfter {
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

// send sends the messages that are due.
func (m *Mesh) send(sendBeat, near, far bool) {
	inFlight := pack(m.config.InFlight())
	var b *beat
	if sendBeat {
		local := m.config.Local()
		b = &beat{Region: m.config.Self.Region, Domain: m.config.Self.Domain, Caller: m.config.Self.Caller,
			State: local.State, Directives: local.Directives, Upstreams: local.Upstreams, Demand: m.config.Demands()}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sequence++
	load := m.encode(inFlight, nil)
	full := load
	if b != nil {
		b.Addresses = m.someAddresses()
		full = m.encode(inFlight, b)
		for a := range m.unknown {
			if target, err := net.ResolveUDPAddr("udp4", a); err == nil {
				m.write(full, target)
			}
		}
	}
	idle := len(inFlight) == 0
	for _, x := range m.members {
		isNear := x.Region == m.config.Self.Region
		switch {
		case b != nil:
			m.write(full, x.target)
		case (isNear && near || !isNear && far) && !(idle && x.idle):
			m.write(load, x.target)
		default:
			continue
		}
		x.idle = idle
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

func (m *Mesh) encode(inFlight []uint32, b *beat) []byte {
	data, err := cbor.Marshal(&message{ID: m.config.Self.ID, Incarnation: m.config.Incarnation, Sequence: m.sequence, HasLoad: true, InFlight: inFlight, Beat: b})
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
	m.mu.Unlock()
	if changed {
		m.config.Members(live)
	}
	if msg.HasLoad {
		m.config.Load(msg.ID, unpack(msg.InFlight))
	}
	if msg.Beat != nil {
		m.config.Demand(msg.ID, msg.Beat.Demand)
	}
}

// takeBeat updates a member and tells whether the live members changed.
func (m *Mesh) takeBeat(x *member, msg *message, from net.Addr, restarted bool) bool {
	changed := !x.alive || restarted
	if b := msg.Beat; b != nil {
		changed = changed || x.State != b.State || x.Caller != b.Caller
		x.target = from
		x.Member = Member{ID: msg.ID, Region: b.Region, Domain: b.Domain, Caller: b.Caller, State: b.State,
			Directives: b.Directives, Upstreams: b.Upstreams, Address: from.String()}
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
