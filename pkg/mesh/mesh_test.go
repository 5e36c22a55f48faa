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
	"github.com/sequoiacove/sequoiacove/pkg/revision"
)

// peer is a mesh on a loopback socket that records the reports it receives.
type peer struct {
	*Mesh
	address string
	stop    context.CancelFunc

	mu     sync.Mutex
	load   map[string]int
	demand map[string]float64
	// serviceTimes holds the service time that each peer has reported.
	serviceTimes map[string]time.Duration
	shares       map[string]cluster.Shares
	rates        map[string]float64
	state        State
	// version is the reported version of the description.
	version uint64
	// statements holds the limits that the members of each region have reported.
	statements map[string]float64
	// leaving holds the start of an upstream that the members of each region have reported
	// as leaving.
	leaving map[string]int64
}

func (p *peer) statementOf(region string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.statements[region]
}

func (p *peer) leavingOf(region string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaving[region]
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

func (p *peer) serviceTimeOf(id string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.serviceTimes[id]
}

// peerLinkMbps is the rate of the link of each peer.
const peerLinkMbps = 200

var testShares = cluster.Shares{"shop": {"n-a": 0.25, "s-a": 0.75}}

func startPeer(t *testing.T, id, region string, seeds ...string) *peer {
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(t, err)
	return startPeerOn(t, conn, time.Now, id, region, seeds...)
}

// startPeerOn starts a peer on the given socket and clock.
func startPeerOn(t *testing.T, conn net.PacketConn, now func() time.Time, id, region string, seeds ...string) *peer {
	p := &peer{address: conn.LocalAddr().String(), load: map[string]int{}, demand: map[string]float64{}, serviceTimes: map[string]time.Duration{}, shares: map[string]cluster.Shares{}, rates: map[string]float64{}, statements: map[string]float64{}, leaving: map[string]int64{}, state: Serving, version: 6}
	var open func() (net.PacketConn, error)
	if o, ok := conn.(*flowConn); ok {
		open = o.open
	}
	p.Mesh = New(Config{
		OpenSocket:  open,
		Self:        Member{ID: id, Region: region, Domain: region + "-a", CallerAddress: "10.0.0.1:1", Address: p.address, LinkMbps: peerLinkMbps},
		Incarnation: uint64(time.Now().UnixNano()), Seeds: seeds, Now: now, Random: func() float64 { return 0.5 }, Logger: event.DiscardLogger(),
		LocalStatus: func() Status {
			p.mu.Lock()
			defer p.mu.Unlock()
			return Status{State: p.state, DirectivesRevision: at(3), UpstreamsRevision: at(4), Watching: true, DescriptionVersion: p.version, ActiveRequests: 8, Shares: testShares, RequestRates: cluster.RequestRates{"shop": 5}}
		},
		InFlight: func() []balance.InFlight { return []balance.InFlight{{UpstreamHash: 7, Count: 2}} },
		Demands:  func() []balance.Demand { return []balance.Demand{{RouteHash: 9, Slots: 1.5}} },
		RouteStats: func() []balance.RouteStats {
			return []balance.RouteStats{{RouteHash: 9, ServiceTime: 30 * time.Millisecond, SampleCount: 4}}
		},
		Notices: func() balance.Notices {
			return balance.Notices{Statements: []balance.Statement{{UpstreamHash: 7, Limit: 2.5, Age: time.Second}},
				Leaving: []balance.Leaving{{UpstreamHash: 7, StartUnixMS: 8, Age: time.Second}}}
		},
		RegionNotices: func() balance.Notices {
			return balance.Notices{Statements: []balance.Statement{{UpstreamHash: 7, Limit: 3.5}}, Leaving: []balance.Leaving{{UpstreamHash: 7, StartUnixMS: 9}}}
		},
		OnNotices: func(region string, n balance.Notices) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.statements[region] = n.Statements[0].Limit
			p.leaving[region] = n.Leaving[0].StartUnixMS
		},
		RegionTotals: func() ([]balance.InFlight, []balance.Demand) {
			return []balance.InFlight{{UpstreamHash: 7, Count: 5}}, []balance.Demand{{RouteHash: 9, Slots: 3}}
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
		OnRouteStats: func(from, _ string, list []balance.RouteStats) {
			p.mu.Lock()
			defer p.mu.Unlock()
			for _, s := range list {
				p.serviceTimes[from] = s.ServiceTime
			}
		},
		OnMembershipChange: func() {}, OnHeartbeat: func(Member) {},
		OnRegionShares: func(region string, shares cluster.Shares, rates cluster.RequestRates) {
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

func hasLiveMembers(p *peer, n int) func() bool { return func() bool { return len(p.Live()) == n } }

const waitTimeout = 15 * time.Second

// Guards against instances that never discover each other, loads that are not
// reported, and a region whose totals do not reach the other region.
func TestInstancesDiscoverEachOtherAcrossRegions(t *testing.T) {
	first := startPeer(t, "n0", "n")
	all := []*peer{first}
	for i := 1; i < 6; i++ {
		all = append(all, startPeer(t, fmt.Sprintf("%c%d", "ns"[i%2], i), string("ns"[i%2]), first.address))
	}
	for _, p := range all {
		require.Eventually(t, hasLiveMembers(p, 5), waitTimeout, 10*time.Millisecond)
	}
	require.Eventually(t, func() bool { return first.loadOf("n2") == 2 }, waitTimeout, 10*time.Millisecond)
	require.Eventually(t, func() bool { return first.serviceTimeOf("n2") == 30*time.Millisecond }, waitTimeout, 10*time.Millisecond)
	for _, p := range all {
		other := regionPrefix + map[string]string{"n": "s", "s": "n"}[p.config.Self.Region]
		require.Eventually(t, func() bool { return p.loadOf(other) == 5 }, waitTimeout, 10*time.Millisecond, "%s did not receive the load of %s", p.config.Self.ID, other)
		region := strings.TrimPrefix(other, regionPrefix)
		require.Eventually(t, func() bool { return p.statementOf(p.config.Self.Region) == 2.5 && p.statementOf(region) == 3.5 }, waitTimeout, 10*time.Millisecond)
		require.Eventually(t, func() bool { return p.leavingOf(p.config.Self.Region) == 8 && p.leavingOf(region) == 9 }, waitTimeout, 10*time.Millisecond)
		require.Eventually(t, func() bool { return reflect.DeepEqual(p.sharesOf(region), testShares) && p.rateOf(region) == 15 }, waitTimeout, 10*time.Millisecond)
		for _, m := range p.Live() {
			require.EqualValues(t, 6, m.DescriptionVersion)
			require.Equal(t, 8, m.ActiveRequests)
		}
	}
}

// Guards against dead instances that stay listed as live, and against a region
// that stays cut off from the other regions after its gateway dies.
func TestGatewayFailover(t *testing.T) {
	first := startPeer(t, "n0", "n")
	second := startPeer(t, "n1", "n", first.address)
	remote := startPeer(t, "s0", "s", first.address)
	for _, p := range []*peer{first, second, remote} {
		require.Eventually(t, hasLiveMembers(p, 2), waitTimeout, 10*time.Millisecond)
	}
	gateway, other := first, second
	if idHash("n1") < idHash("n0") {
		gateway, other = second, first
	}
	gateway.stop()
	require.Eventually(t, hasLiveMembers(other, 1), waitTimeout, 10*time.Millisecond)
	require.Eventually(t, hasLiveMembers(remote, 1), waitTimeout, 10*time.Millisecond)
	require.Equal(t, other.config.Self.ID, remote.Live()[0].ID)
}

// Guards against a leaving instance that other members still list as serving.
func TestLeavingIsAnnounced(t *testing.T) {
	a := startPeer(t, "n0", "n")
	b := startPeer(t, "n1", "n", a.address)
	require.Eventually(t, hasLiveMembers(a, 1), waitTimeout, 10*time.Millisecond)
	b.setState(Leaving)
	b.Announce()
	require.Eventually(t, func() bool { return a.Live()[0].State == Leaving }, waitTimeout, time.Millisecond)
}

// Guards against instances with small links that serve the large state to a whole region.
func TestInstancesWithLargeLinksRankFirst(t *testing.T) {
	var ids []string
	for n := range 6 {
		ids = append(ids, fmt.Sprint("n", n))
	}
	ranks := make(map[int]string)
	for own, id := range ids {
		m := &Mesh{config: Config{Self: Member{ID: id, Region: "n", LinkMbps: float64(own % 3 * 100)}}, members: make(map[string]*member)}
		for other, otherID := range ids {
			if other != own {
				m.members[otherID] = &member{Member: Member{ID: otherID, Region: "n", LinkMbps: float64(other % 3 * 100)}, alive: true}
			}
		}
		ranks[m.Rank(func(Member) bool { return true })] = id
	}
	require.Len(t, ranks, len(ids), "all instances agree on one order")
	require.ElementsMatch(t, []string{"n2", "n5"}, []string{ranks[0], ranks[1]})
	require.ElementsMatch(t, []string{"n0", "n3"}, []string{ranks[4], ranks[5]})
}

// Guards against members whose link the others do not know.
func TestHeartbeatsCarryTheLink(t *testing.T) {
	a := startPeer(t, "n0", "n")
	startPeer(t, "n1", "n", a.address)
	require.Eventually(t, func() bool { l := a.Live(); return len(l) == 1 && l[0].LinkMbps == peerLinkMbps }, waitTimeout, 10*time.Millisecond)
}

// Guards against changes that arrive incomplete.
func TestSnapshotTransfer(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	want := Changes{VersionKnown: true, Version: &cluster.Version{Number: 7, Body: []byte("{}")},
		Tables: catalog.Snapshot{Upstreams: catalog.Listing{Revision: at(9), Since: at(5), Rows: []catalog.Row{{Key: "u", Revision: at(8), Deleted: true}, {Key: "v", Revision: at(9), Value: make([]byte, 1<<20)}}}}}
	known := KnownRevisions{DirectivesRevision: at(2), UpstreamsRevision: at(5), DescriptionVersion: 6}
	go ServeSnapshots(l, time.Now, func(k KnownRevisions) Changes {
		if k != known {
			return Changes{}
		}
		return want
	})
	got, _, err := FetchSnapshot(context.Background(), l.Addr().String(), time.Now, known, nil)
	require.NoError(t, err)
	require.Equal(t, want, got)
}

// Guards against a short heartbeat that creates a member without a region, one
// that erases what the last full heartbeat reported, and one whose status is
// lost.
func TestShortHeartbeats(t *testing.T) {
	m, from := quietMesh(t)
	short := func(incarnation, sequence uint64, directives int64) *message {
		return &message{ID: "a", Incarnation: incarnation, Sequence: sequence, HasLoad: true, Heartbeat: &heartbeat{State: Serving, DirectivesRevision: directives}}
	}
	m.handleMessage(short(1, 1, 5), from)
	require.Empty(t, m.Live())
	full := short(1, 2, 6)
	full.Heartbeat.Region, full.Heartbeat.Domain, full.Heartbeat.CallerAddress = "n", "n-a", "10.0.0.1:1"
	m.handleMessage(full, from)
	m.handleMessage(short(1, 3, 7), from)
	live := m.Live()
	require.Len(t, live, 1)
	require.Equal(t, Member{ID: "a", Region: "n", Domain: "n-a", CallerAddress: "10.0.0.1:1", Address: from.String(), Status: Status{State: Serving, DirectivesRevision: at(7)}}, live[0])
	m.handleMessage(short(2, 1, 8), from)
	require.Equal(t, at(7), m.Live()[0].DirectivesRevision, "a restarted member is ignored until it sends a full heartbeat")
}

// quietMesh returns a mesh that sends nothing, and a sender address for the
// messages that a test passes to it.
func quietMesh(t testing.TB) (*Mesh, net.Addr) {
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return New(Config{Self: Member{ID: "self", Region: "n"}, Now: time.Now, Random: func() float64 { return 0 }, Logger: event.DiscardLogger(),
		LocalStatus: func() Status { return Status{} }, OnLoad: func(string, string, []balance.InFlight) {}, OnDemand: func(string, string, []balance.Demand) {}, OnRouteStats: func(string, string, []balance.RouteStats) {}, OnNotices: func(string, balance.Notices) {},
		OnMembershipChange: func() {}, OnHeartbeat: func(Member) {}, OnRegionShares: func(string, cluster.Shares, cluster.RequestRates) {}}, &discardConn{conn}), conn.LocalAddr()
}

// FuzzDatagram guards against datagrams that crash the process or grow its
// state without bound.
func FuzzDatagram(f *testing.F) {
	for _, m := range []message{{ID: "a"}, {ID: "a", Incarnation: 1, Sequence: 2, HasLoad: true, InFlight: []uint32{1, 2, 3}, Heartbeat: &heartbeat{Region: "n", Addresses: []string{"x", "1.2.3.4:5"}}},
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
			m.handleDigest(&msg)
		} else {
			m.handleMessage(&msg, from)
		}
		require.LessOrEqual(t, len(m.members), maxMembers)
		require.LessOrEqual(t, len(m.candidateAddresses), maxMembers)
	})
}

// discardConn discards all datagrams to be sent.
type discardConn struct{ net.PacketConn }

func (*discardConn) WriteTo(b []byte, _ net.Addr) (int, error) { return len(b), nil }

// partitionedConn discards all datagrams to be sent while dropping is set.
type partitionedConn struct {
	net.PacketConn
	dropping atomic.Bool
}

// WriteTo implements net.PacketConn.
func (c *partitionedConn) WriteTo(b []byte, to net.Addr) (int, error) {
	if c.dropping.Load() {
		return len(b), nil
	}
	return c.PacketConn.WriteTo(b, to)
}

// Guards against instances, of one region or of two, that do not find each
// other again after a network partition that outlasts the removal of silent
// members.
func TestMembersReconnectAfterPartition(t *testing.T) {
	const clockSpeed = 15
	startedAt := time.Now()
	fastClock := func() time.Time { return startedAt.Add(clockSpeed * time.Since(startedAt)) }
	for _, regions := range [][2]string{{"n", "n"}, {"n", "s"}} {
		var conns [2]*partitionedConn
		var peers [2]*peer
		for i, region := range regions {
			conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
			require.NoError(t, err)
			conns[i] = &partitionedConn{PacketConn: conn}
			var seeds []string
			if i == 1 {
				seeds = []string{peers[0].address}
			}
			peers[i] = startPeerOn(t, conns[i], fastClock, fmt.Sprint("i", i), region, seeds...)
		}
		connected := func() bool { return len(peers[0].Live()) == 1 && len(peers[1].Live()) == 1 }
		require.Eventually(t, connected, 5*time.Second, 5*time.Millisecond)
		for _, c := range conns {
			c.dropping.Store(true)
		}
		allRemoved := func() bool {
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
		require.Eventually(t, allRemoved, 10*time.Second, 5*time.Millisecond)
		for _, c := range conns {
			c.dropping.Store(false)
		}
		require.Eventually(t, connected, 5*time.Second, 5*time.Millisecond, "%v", regions)
	}
}

// networkPath holds the sockets opened on a network path. dropOpenFlows makes
// the sockets opened so far discard all datagrams.
type networkPath struct {
	mu    sync.Mutex
	conns []*partitionedConn
}

func (p *networkPath) dropOpenFlows() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.dropping.Store(true)
	}
}

// flowConn is a socket on a networkPath. open opens another one on that path.
type flowConn struct {
	*partitionedConn
	path *networkPath
}

func (f *flowConn) open() (net.PacketConn, error) {
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &flowConn{&partitionedConn{PacketConn: conn}, f.path}
	f.path.mu.Lock()
	defer f.path.mu.Unlock()
	f.path.conns = append(f.path.conns, c.partitionedConn)
	return c, nil
}

// Guards against members that lose each other permanently because the path
// drops everything between the ports in use while new flows work.
func TestMembersSurviveSilentFlows(t *testing.T) {
	p := &networkPath{}
	var peers [2]*peer
	for i := range peers {
		conn, err := (&flowConn{path: p}).open()
		require.NoError(t, err)
		var seeds []string
		if i == 1 {
			seeds = []string{peers[0].address}
		}
		peers[i] = startPeerOn(t, conn, time.Now, fmt.Sprint("i", i), "n", seeds...)
	}
	connected := func() bool { return len(peers[0].Live()) == 1 && len(peers[1].Live()) == 1 }
	require.Eventually(t, connected, 5*time.Second, 5*time.Millisecond)
	p.dropOpenFlows()
	require.Never(t, func() bool { return !connected() }, 2*DeadAfter, 20*time.Millisecond)
	addresses := []string{peers[1].address, peers[0].address}
	for i, x := range peers {
		require.Equal(t, addresses[i], x.Live()[0].Address, "the address must be that of the receiving socket")
	}
}

// Guards against an urgent update that reaches another region only after its
// stalled gateway is declared dead.
func TestUpdateReachesRegionWithStalledGateway(t *testing.T) {
	remote := startPeer(t, "far", "s")
	ids := []string{"n0", "n1"}
	if idHash(ids[0]) > idHash(ids[1]) {
		ids[0], ids[1] = ids[1], ids[0]
	}
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(t, err)
	stalledConn := &partitionedConn{PacketConn: conn}
	startPeerOn(t, stalledConn, time.Now, ids[0], "n", remote.address)
	other := startPeer(t, ids[1], "n", remote.address, conn.LocalAddr().String())
	require.Eventually(t, func() bool { return len(remote.Live()) == 2 && len(other.Live()) == 2 }, 5*time.Second, 5*time.Millisecond)
	stalledConn.dropping.Store(true)
	remote.mu.Lock()
	remote.version = 7
	remote.mu.Unlock()
	remote.AnnounceToOtherRegions()
	versionReceived := func() bool {
		for _, m := range other.Live() {
			if m.ID == "far" && m.DescriptionVersion == 7 {
				return true
			}
		}
		return false
	}
	require.Eventually(t, versionReceived, time.Second, 5*time.Millisecond)
}

// Guards against transfers that are thrown away because the wait of the one who asked is over.
func TestTransferGoesOnAfterTheWaitForIt(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	ctx, cancel := context.WithCancel(context.Background())
	go ServeSnapshots(l, time.Now, func(KnownRevisions) Changes {
		cancel()
		time.Sleep(20 * time.Millisecond)
		return Changes{VersionKnown: true}
	})
	got, _, err := FetchSnapshot(ctx, l.Addr().String(), time.Now, KnownRevisions{}, nil)
	require.NoError(t, err)
	require.True(t, got.VersionKnown)
}

// at returns a revision of a store that does not state its era.
func at(number int64) revision.Revision { return revision.Revision{Number: number} }
