package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/entry"
	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/operator"
	"github.com/sequoiacove/sequoiacove/pkg/peer"
	"github.com/sequoiacove/sequoiacove/pkg/peer/peertest"
	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/pkg/settings"
	"github.com/sequoiacove/sequoiacove/pkg/standin"
)

const (
	token   = "a-token-of-some-length"
	patient = 15 * time.Second
	tick    = 20 * time.Millisecond
)

// descriptionText is a valid document with one service over two domains.
const descriptionText = `{"regions": {"north": {"domains": ["north-a", "north-b"]}},
 "lookup": {"ttl_ms": 200},
 "services": {"shop": {"regions": {"north": {"share": 1, "domains": {"north-a": 0.5, "north-b": 0.5}}},
  "caps": {"region_share_per_second": 0.02, "domain_share_per_second": 0, "failover_share_per_second": 0},
  "max_request_ms": 1000}}}`

// fleet is a stand-in platform with agents and fake entries in one process.
type fleet struct {
	t         *testing.T
	platform  *standin.Platform
	authority *peertest.Authority
	dir       string
	nodes     []*node
}

type node struct {
	settings *settings.Instance
	agent    *Agent
	stop     context.CancelFunc
	done     chan struct{}
	entry    *fakeEntry
	client   *operator.Client
}

func newFleet(t *testing.T, n int) *fleet { return newFleetWith(t, n, func(*settings.Instance) {}) }

// newFleetWith starts n agents whose settings change may alter.
func newFleetWith(t *testing.T, n int, change func(*settings.Instance)) *fleet {
	authority, err := peertest.NewAuthority(time.Hour)
	require.NoError(t, err)
	f := &fleet{t: t, platform: standin.NewPlatform(time.Now), authority: authority, dir: t.TempDir()}
	require.NoError(t, f.platform.Start("127.0.0.1:0"))
	t.Cleanup(f.platform.Close)
	var seeds []string
	for i := range n {
		s := f.settings(i)
		change(s)
		seeds = append(seeds, s.Agent.AdvertisedAddress)
		f.nodes = append(f.nodes, &node{settings: s})
	}
	for _, nd := range f.nodes {
		nd.settings.Membership.Seeds = seeds
		nd.entry = f.startEntry(nd, 1)
		f.startAgent(nd)
	}
	return f
}

// nextPort counts through ports below the range from which the system takes
// the ports of clients, which would collide with an address that is not open yet.
var nextPort = func() *atomic.Uint32 {
	var n atomic.Uint32
	n.Store(uint32(os.Getpid()))
	return &n
}()

// freePort returns a loopback address that is free for TCP and UDP.
func (f *fleet) freePort() string {
	for {
		addr := fmt.Sprintf("127.0.0.1:%d", 20_000+nextPort.Add(1)%12_000)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp", addr)
		l.Close()
		if err == nil {
			u.Close()
			return addr
		}
	}
}

func (f *fleet) settings(i int) *settings.Instance {
	id := fmt.Sprintf("north-%c-%d", 'a'+i%2, i)
	files, err := f.authority.WritePEM(f.dir, id, net.IPv4(127, 0, 0, 1))
	require.NoError(f.t, err)
	s := &settings.Instance{ID: id, Region: "north", Domain: fmt.Sprintf("north-%c", 'a'+i%2), TLS: files}
	s.Entry = settings.Entry{CallerAddress: f.freePort(), PeerAddress: f.freePort(), DrainGrace: 10 * time.Second}
	s.Entry.AdvertisedAddress = s.Entry.PeerAddress
	s.Agent = settings.Agent{
		PeerAddress: f.freePort(), OperatorAddress: f.freePort(), AdminAddress: "127.0.0.1:0",
		Operators: map[string]string{"ana": token}, OperatorRequestsPerSecond: 1000,
	}
	s.Agent.AdvertisedAddress = s.Agent.PeerAddress
	addr := f.platform.Address()
	s.Platform = settings.Platform{TableAddress: addr, ObjectsAddress: addr, ListAddress: addr, Timeout: time.Second}
	return s
}

func (f *fleet) startAgent(nd *node) {
	var a *Agent
	require.Eventually(f.t, func() bool {
		var err error
		a, err = New(nd.settings, event.Discard())
		return err == nil
	}, patient, tick)
	ctx, cancel := context.WithCancel(context.Background())
	nd.agent, nd.stop, nd.done = a, cancel, make(chan struct{})
	nd.client = operator.NewClient(operator.ClientConfig{Addresses: []string{nd.settings.Agent.OperatorAddress}, Token: token})
	done := nd.done
	go func() { _ = a.Run(ctx); close(done) }()
	f.t.Cleanup(func() {
		nd.entry.close()
		nd.kill()
	})
}

// fakeEntry answers an agent as an entry does.
type fakeEntry struct {
	server *peer.Server

	mu   sync.Mutex
	last cluster.Snapshot
	// first holds the first snapshot of each agent incarnation.
	first    map[uint64]cluster.Snapshot
	report   cluster.EntryReport
	inFlight map[string]int
	ordered  bool
}

func (f *fleet) startEntry(nd *node, incarnation uint64) *fakeEntry {
	serverTLS, _, err := peer.LoadTLS(nd.settings.TLS)
	require.NoError(f.t, err)
	e := &fakeEntry{report: cluster.EntryReport{Incarnation: incarnation}, inFlight: make(map[string]int), first: make(map[uint64]cluster.Snapshot)}
	require.Eventually(f.t, func() bool {
		e.server, err = peer.NewServer(peer.ServerConfig{Address: nd.settings.Entry.PeerAddress, TLS: serverTLS})
		return err == nil
	}, patient, tick)
	e.server.Handle(peer.PushSnapshot, e.push)
	e.server.Handle(peer.Control, e.control)
	e.server.Handle(peer.DumpState, func(context.Context, []byte) (any, error) { return []byte(`{"entry":1}`), nil })
	e.server.Handle(peer.Explain, func(context.Context, []byte) (any, error) {
		return entry.Explanation{Service: "shop", Version: 1}, nil
	})
	go e.server.Serve(context.Background())
	return e
}

func (e *fakeEntry) push(_ context.Context, body []byte) (any, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var s cluster.Snapshot
	if err := peer.Decode(body, &s); err != nil {
		return nil, err
	}
	if s.Version.Number > e.report.Version.Number {
		if len(s.Version.Body) == 0 {
			return nil, result.New(result.ObjectCorrupt, "no body")
		}
		e.report.Version = s.Version
	}
	e.last = s
	if _, ok := e.first[s.AgentIncarnation]; !ok {
		e.first[s.AgentIncarnation] = s
	}
	report := e.report
	return &report, nil
}

func (e *fakeEntry) control(_ context.Context, body []byte) (any, error) {
	var q entry.ControlRequest
	if err := peer.Decode(body, &q); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if q.Action == entry.ControlLeave {
		e.ordered, e.report.Leaving = true, true
	}
	return entry.ControlReply{InFlight: e.inFlight[q.ID]}, nil
}

func (e *fakeEntry) snapshot() cluster.Snapshot {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.last
}

func (e *fakeEntry) change(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
}

func (e *fakeEntry) close() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = e.server.Close(ctx)
}

// kill ends an agent without a graceful stop.
func (nd *node) kill() {
	nd.agent.link.stop()
	nd.agent.link.mu.Lock()
	nd.agent.link.incarnation = 0
	nd.agent.link.mu.Unlock()
	nd.stop()
	<-nd.done
}

// eventually waits for a condition and names what did not happen.
func (f *fleet) eventually(what string, ok func() bool) {
	f.t.Helper()
	require.Eventually(f.t, ok, patient, tick, what)
}

// counts returns the members of a snapshot by state.
func counts(s cluster.Snapshot) map[cluster.State]int {
	m := make(map[cluster.State]int)
	for _, member := range s.Members {
		m[member.State]++
	}
	return m
}

// settle waits until all entries see all members serving with a live entry.
func (f *fleet) settle() {
	f.t.Helper()
	f.eventually("all entries see all members", func() bool {
		for _, nd := range f.nodes {
			s := nd.entry.snapshot()
			if counts(s)[cluster.Serving] != len(f.nodes) || len(cluster.Live(s.Members)) != len(f.nodes) {
				return false
			}
		}
		return true
	})
}

// patch accepts a description at the first agent.
func (f *fleet) patch(base uint64, id, body string) operator.PatchReply {
	f.t.Helper()
	reply, err := f.nodes[0].client.Patch(context.Background(), operator.PatchRequest{
		BaseVersion: base, PatchID: id, Kind: "merge", Patch: json.RawMessage(body),
	})
	require.NoError(f.t, err)
	return reply
}

// inForce waits until every entry has a version.
func (f *fleet) inForce(number uint64) {
	f.t.Helper()
	f.eventually(fmt.Sprintf("version %d at all entries", number), func() bool {
		for _, nd := range f.nodes {
			if nd.entry.snapshot().Version.Number != number {
				return false
			}
		}
		return true
	})
}
