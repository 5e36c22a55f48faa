package mesh

import (
	"context"
	"fmt"
	"net"
	"reflect"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/balance"
	"github.com/sequoiacove/sequoiacove/pkg/catalog"
	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/event"
)

// peer is a mesh on a loopback socket with what it was told.
type peer struct {
	*Mesh
	address string
	stop    context.CancelFunc

	mu     sync.Mutex
	load   map[string]int
	demand map[string]float64
	shares map[string]cluster.Shares
	rates  map[string]float64
	state  State
	// version is that of the description.
	version uint64
}

func (p *peer) sharesOf(region string) cluster.Shares {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.shares[region]
}

func (p *peer) rateOf(region string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rates[region]
}

func (p *peer) setState(s State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = s
}

func (p *peer) loadOf(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.load[id]
}

var testShares = cluster.Shares{"shop": {"n-a": 0.25, "s-a": 0.75}}

func start(t *testing.T, id, region string, seeds ...string) *peer {
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(t, err)
	return startOn(t, conn, time.Now, id, region, seeds...)
}

// startOn starts a peer on a socket with a clock.
func startOn(t *testing.T, conn net.PacketConn, now func() time.Time, id, region string, seeds ...string) *peer {
	p := &peer{address: conn.LocalAddr().String(), load: map[string]int{}, demand: map[string]float64{}, shares: map[string]cluster.Shares{}, rates: map[string]float64{}, state: Serving, version: 6}
	var open func() (net.PacketConn, error)
	if o, ok := conn.(*flowConn); ok {
		open = o.open
	}
	p.Mesh = New(Config{
		OpenSocket:  open,
		Self:        Member{ID: id, Region: region, Domain: region + "-a", Caller: "10.0.0.1:1", Address: p.address},
		Incarnation: uint64(time.Now().UnixNano()), Seeds: seeds, Now: now, Random: func() float64 { return 0.5 }, Logger: event.Discard(),
		LocalStatus: func() Status {
			p.mu.Lock()
			defer p.mu.Unlock()
			return Status{State: p.state, Directives: 3, Upstreams: 4, Watching: true, Version: p.version, Active: 8, Shares: testShares, Rates: cluster.Demand{"shop": 5}}
		},
		InFlight: func() []balance.InFlight { return []balance.InFlight{{Upstream: 7, Count: 2}} },
		Demands:  func() []balance.Demand { return []balance.Demand{{Route: 9, Slots: 1.5}} },
		RegionTotals: func() ([]balance.InFlight, []balance.Demand) {
			return []balance.InFlight{{Upstream: 7, Count: 5}}, []balance.Demand{{Route: 9, Slots: 3}}
		},
		OnLoad: func(from, _ string, list []balance.InFlight) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.load[from] = 0
			for _, f := range list {
				p.load[from] += f.Count
			}
		},
		OnDemand: func(from, _ string, list []balance.Demand) {
			p.mu.Lock()
			defer p.mu.Unlock()
			for _, d := range list {
				p.demand[from] = d.Slots
			}
		},
		OnChange: func() {}, OnHeartbeat: func(Member) {},
		OnRegionShares: func(region string, shares cluster.Shares, rates cluster.Demand) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.shares[region], p.rates[region] = shares, rates["shop"]
		},
	}, conn)
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	t.Cleanup(cancel)
	go p.Run(ctx)
	return p
}

func knows(p *peer, n int) func() bool { return func() bool { return len(p.Live()) == n } }

const patience = 15 * time.Second

// Guards against instances that never find each other, loads that do not
// travel, and a region that cannot be seen from another.
func TestInstancesOfAllRegionsFindEachOther(t *testing.T) {
	first := start(t, "n0", "n")
	all := []*peer{first}
	for i := 1; i < 6; i++ {
		all = append(all, start(t, fmt.Sprintf("%c%d", "ns"[i%2], i), string("ns"[i%2]), first.address))
	}
	for _, p := range all {
		require.Eventually(t, knows(p, 5), patience, 10*time.Millisecond)
	}
	require.Eventually(t, func() bool { return first.loadOf("n2") == 2 }, patience, 10*time.Millisecond)
	for _, p := range all {
		other := regionPrefix + map[string]string{"n": "s", "s": "n"}[p.config.Self.Region]
		require.Eventually(t, func() bool { return p.loadOf(other) == 5 }, patience, 10*time.Millisecond, "%s hears %s", p.config.Self.ID, other)
		region := strings.TrimPrefix(other, regionPrefix)
		require.Eventually(t, func() bool { return reflect.DeepEqual(p.sharesOf(region), testShares) && p.rateOf(region) == 15 }, patience, 10*time.Millisecond)
		for _, m := range p.Live() {
			require.EqualValues(t, 6, m.Version)
			require.Equal(t, 8, m.Active)
		}
	}
}

// Guards against dead instances that stay in look-ups, and against a region
// that is cut off from the others when its gateway dies.
func TestDeathOfTheGateway(t *testing.T) {
	first := start(t, "n0", "n")
	second := start(t, "n1", "n", first.address)
	far := start(t, "s0", "s", first.address)
	for _, p := range []*peer{first, second, far} {
		require.Eventually(t, knows(p, 2), patience, 10*time.Millisecond)
	}
	gateway, other := first, second
	if rank("n1") < rank("n0") {
		gateway, other = second, first
	}
	gateway.stop()
	require.Eventually(t, knows(other, 1), patience, 10*time.Millisecond)
	require.Eventually(t, knows(far, 1), patience, 10*time.Millisecond)
	require.Equal(t, other.config.Self.ID, far.Live()[0].ID)
}

// Guards against a leaving instance that others still name.
func TestLeavingIsAnnounced(t *testing.T) {
	a := start(t, "n0", "n")
	b := start(t, "n1", "n", a.address)
	require.Eventually(t, knows(a, 1), patience, 10*time.Millisecond)
	b.setState(Leaving)
	b.Announce()
	require.Eventually(t, func() bool { return a.Live()[0].State == Leaving }, patience, time.Millisecond)
}

// Guards against changes that do not arrive whole.
func TestSnapshotTravels(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	want := Changes{VersionKnown: true, Version: &cluster.Version{Number: 7, Body: []byte("{}")},
		Tables: catalog.Snapshot{Upstreams: catalog.Listing{Revision: 9, Since: 5, Rows: []catalog.Row{{Key: "u", Revision: 8, Deleted: true}, {Key: "v", Revision: 9, Value: make([]byte, 1<<20)}}}}}
	known := KnownRevisions{Directives: 2, Upstreams: 5, Version: 6}
	go ServeSnapshots(l, time.Now, func(k KnownRevisions) Changes {
		if k != known {
			return Changes{}
		}
		return want
	})
	got, err := FetchSnapshot(context.Background(), l.Addr().String(), time.Now, known)
	require.NoError(t, err)
	require.Equal(t, want, got)
}

// Guards against a short heartbeat that makes a member without a place, and one
// that loses what the last whole heartbeat said or the state that it brings.
func TestShortHeartbeats(t *testing.T) {
	m, from := quietMesh(t)
	short := func(incarnation, sequence uint64, directives int64) *message {
		return &message{ID: "a", Incarnation: incarnation, Sequence: sequence, HasLoad: true, Beat: &beat{State: Serving, Directives: directives}}
	}
	m.take(short(1, 1, 5), from)
	require.Empty(t, m.Live())
	whole := short(1, 2, 6)
	whole.Beat.Region, whole.Beat.Domain, whole.Beat.Caller = "n", "n-a", "10.0.0.1:1"
	m.take(whole, from)
	m.take(short(1, 3, 7), from)
	live := m.Live()
	require.Len(t, live, 1)
	require.Equal(t, Member{ID: "a", Region: "n", Domain: "n-a", Caller: "10.0.0.1:1", Address: from.String(), Status: Status{State: Serving, Directives: 7}}, live[0])
	m.take(short(2, 1, 8), from)
	require.EqualValues(t, 7, m.Live()[0].Directives, "a new start introduces itself first")
}

// quietMesh returns a mesh that sends nothing, and an address.
func quietMesh(t testing.TB) (*Mesh, net.Addr) {
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return New(Config{Self: Member{ID: "self", Region: "n"}, Now: time.Now, Random: func() float64 { return 0 }, Logger: event.Discard(),
		LocalStatus: func() Status { return Status{} }, OnLoad: func(string, string, []balance.InFlight) {}, OnDemand: func(string, string, []balance.Demand) {},
		OnChange: func() {}, OnHeartbeat: func(Member) {}, OnRegionShares: func(string, cluster.Shares, cluster.Demand) {}}, &discardConn{conn}), conn.LocalAddr()
}

// FuzzDatagram guards against datagrams that stop the process or grow its
// state without bound.
func FuzzDatagram(f *testing.F) {
	for _, m := range []message{{ID: "a"}, {ID: "a", Incarnation: 1, Sequence: 2, HasLoad: true, InFlight: []uint32{1, 2, 3}, Beat: &beat{Region: "n", Addresses: []string{"x", "1.2.3.4:5"}}},
		{ID: "b", Digest: &digest{Region: "s", InFlight: []uint32{1}, Members: []digestMember{{ID: "c", Address: "?"}, {ID: "d", Address: "127.0.0.1:9"}}}}} {
		data, err := cbor.Marshal(&m)
		require.NoError(f, err)
		f.Add(data)
	}
	m, from := quietMesh(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		var msg message
		if cbor.Unmarshal(data, &msg) != nil || msg.ID == "" {
			return
		}
		if msg.Digest != nil {
			m.takeDigest(&msg)
		} else {
			m.take(&msg, from)
		}
		require.LessOrEqual(t, len(m.members), maxMembers)
		require.LessOrEqual(t, len(m.unknown), maxMembers)
	})
}

// discardConn sends nothing.
type discardConn struct{ net.PacketConn }

func (*discardConn) WriteTo(b []byte, _ net.Addr) (int, error) { return len(b), nil }

// cutConn loses all datagrams while it is cut.
type cutConn struct {
	net.PacketConn
	cut atomic.Bool
}

// WriteTo implements net.PacketConn.
func (c *cutConn) WriteTo(b []byte, to net.Addr) (int, error) {
	if c.cut.Load() {
		return len(b), nil
	}
	return c.PacketConn.WriteTo(b, to)
}

// Guards against instances, of one region or of two, that never find each other
// again after they were cut off from each other for longer than members are
// remembered.
func TestMembersFindEachOtherAfterACut(t *testing.T) {
	const speed = 15
	began := time.Now()
	fast := func() time.Time { return began.Add(speed * time.Since(began)) }
	for _, regions := range [][2]string{{"n", "n"}, {"n", "s"}} {
		var conns [2]*cutConn
		var peers [2]*peer
		for i, region := range regions {
			conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
			require.NoError(t, err)
			conns[i] = &cutConn{PacketConn: conn}
			var seeds []string
			if i == 1 {
				seeds = []string{peers[0].address}
			}
			peers[i] = startOn(t, conns[i], fast, fmt.Sprint("i", i), region, seeds...)
		}
		meet := func() bool { return len(peers[0].Live()) == 1 && len(peers[1].Live()) == 1 }
		require.Eventually(t, meet, 5*time.Second, 5*time.Millisecond)
		for _, c := range conns {
			c.cut.Store(true)
		}
		forgotten := func() bool {
			for _, p := range peers {
				p.Mesh.mu.Lock()
				n := len(p.members)
				p.Mesh.mu.Unlock()
				if n > 0 {
					return false
				}
			}
			return true
		}
		require.Eventually(t, forgotten, 10*time.Second, 5*time.Millisecond)
		for _, c := range conns {
			c.cut.Store(false)
		}
		require.Eventually(t, meet, 5*time.Second, 5*time.Millisecond, "%v", regions)
	}
}

// path drops all datagrams from the sockets that were open when it was
// silenced.
type path struct {
	mu    sync.Mutex
	conns []*cutConn
}

func (p *path) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.cut.Store(true)
	}
}

// flowConn is a socket of a path that can open others.
type flowConn struct {
	*cutConn
	path *path
}

func (f *flowConn) open() (net.PacketConn, error) {
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &flowConn{&cutConn{PacketConn: conn}, f.path}
	f.path.mu.Lock()
	defer f.path.mu.Unlock()
	f.path.conns = append(f.path.conns, c.cutConn)
	return c, nil
}

// Guards against members that lose each other for good because everything
// between the ports that they used goes silent while new flows work.
func TestMembersStayWhenTheirFlowsGoSilent(t *testing.T) {
	p := &path{}
	var peers [2]*peer
	for i := range peers {
		conn, err := (&flowConn{path: p}).open()
		require.NoError(t, err)
		var seeds []string
		if i == 1 {
			seeds = []string{peers[0].address}
		}
		peers[i] = startOn(t, conn, time.Now, fmt.Sprint("i", i), "n", seeds...)
	}
	meet := func() bool { return len(peers[0].Live()) == 1 && len(peers[1].Live()) == 1 }
	require.Eventually(t, meet, 5*time.Second, 5*time.Millisecond)
	p.silence()
	require.Never(t, func() bool { return !meet() }, 2*DeadAfter, 20*time.Millisecond)
	addresses := []string{peers[1].address, peers[0].address}
	for i, x := range peers {
		require.Equal(t, addresses[i], x.Live()[0].Address, "the address is that of the socket that receives")
	}
}

// Guards against news that reach another region only when its gateway, which
// stands still, is found dead.
func TestNewsReachARegionWhoseGatewayStandsStill(t *testing.T) {
	far := start(t, "far", "s")
	ids := []string{"n0", "n1"}
	if rank(ids[0]) > rank(ids[1]) {
		ids[0], ids[1] = ids[1], ids[0]
	}
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(t, err)
	still := &cutConn{PacketConn: conn}
	startOn(t, still, time.Now, ids[0], "n", far.address)
	other := start(t, ids[1], "n", far.address, conn.LocalAddr().String())
	require.Eventually(t, func() bool { return len(far.Live()) == 2 && len(other.Live()) == 2 }, 5*time.Second, 5*time.Millisecond)
	still.cut.Store(true)
	far.mu.Lock()
	far.version = 7
	far.mu.Unlock()
	far.AnnounceToOtherRegions()
	known := func() bool {
		for _, m := range other.Live() {
			if m.ID == "far" && m.Version == 7 {
				return true
			}
		}
		return false
	}
	require.Eventually(t, known, time.Second, 5*time.Millisecond)
}
