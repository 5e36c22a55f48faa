package membership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/peer"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// sim runs tables in one thread on a clock that only the test moves, over a
// network that loses and cuts exchanges as the test says.
type sim struct {
	t       *testing.T
	mu      sync.Mutex
	now     time.Time
	random  *rand.Rand
	nodes   map[string]*node
	order   []*node
	seeds   []string
	loss    float64
	blocked func(from, to string) bool
	// lose tells which messages are lost.
	lose func(*Sync) bool
	// bytes and records count what exchanges carried.
	bytes, records int
}

type node struct {
	sim    *sim
	addr   string
	table  *Table
	round  int
	paused bool
	down   bool
	heard  []cluster.Member
}

func newSim(t *testing.T, n int) *sim {
	s := &sim{
		t:       t,
		now:     time.Unix(1_700_000_000, 0),
		random:  rand.New(rand.NewPCG(11, 12)),
		nodes:   make(map[string]*node),
		seeds:   []string{"127.0.0.1:1000", "127.0.0.1:1001"},
		blocked: func(string, string) bool { return false },
		lose:    func(*Sync) bool { return false },
	}
	for i := range n {
		s.start(i, 1)
	}
	return s
}

func (s *sim) Now() time.Time                       { return s.now }
func (s *sim) After(time.Duration) <-chan time.Time { return nil }

// start runs instance i with an incarnation in the place of an earlier one.
func (s *sim) start(i int, incarnation uint64) *node {
	n := &node{sim: s, addr: fmt.Sprintf("127.0.0.1:%d", 1000+i)}
	n.table = New(Config{
		Self: cluster.Member{
			ID: fmt.Sprintf("i%02d", i), Incarnation: incarnation, Region: "r",
			Domain: fmt.Sprintf("d%d", i%3), AgentAddress: n.addr,
		},
		Seeds:  s.seeds,
		Caller: n,
		Clock:  s,
		Random: rand.New(rand.NewPCG(uint64(i), incarnation)),
		Heard:  func(m cluster.Member) { n.heard = append(n.heard, m) },
	})
	if old := s.nodes[n.addr]; old != nil {
		old.down = true
	}
	s.nodes[n.addr] = n
	s.order = append(s.order, n)
	return n
}

// Call implements peer.Caller with the codec of the transport.
func (n *node) Call(ctx context.Context, addr string, _ peer.MessageType, msg, reply any) error {
	s := n.sim
	// Resync calls several peers at the same time.
	s.mu.Lock()
	defer s.mu.Unlock()
	to := s.nodes[addr]
	if to == nil || to.down || to.paused || s.blocked(n.addr, addr) || s.random.Float64() < s.loss || s.lose(msg.(*Sync)) {
		return result.New(result.PeerNoAnswer, "%s is cut off", addr)
	}
	body, err := peer.Encode(msg)
	require.NoError(s.t, err)
	out, err := to.table.HandleSync(ctx, body)
	if err != nil {
		return err
	}
	answer, err := peer.Encode(out)
	require.NoError(s.t, err)
	s.bytes += len(body) + len(answer)
	s.records += len(msg.(*Sync).Records) + len(out.(*Sync).Records)
	return cbor.Unmarshal(answer, reply)
}

// advance moves the clock in steps of one heartbeat interval.
func (s *sim) advance(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(defaultInterval)
		for _, n := range s.order {
			if !n.down && !n.paused {
				n.beat()
			}
		}
	}
}

func (n *node) beat() {
	for _, addr := range n.table.beat(n.round) {
		n.table.exchangeOnce(context.Background(), addr)
	}
	n.round++
}

// states returns the states of all members as n sees them.
func (n *node) states() map[string]cluster.State {
	states := make(map[string]cluster.State)
	for _, m := range n.table.Members() {
		states[m.ID] = m.State
	}
	return states
}

func (n *node) member(id string) (cluster.Member, bool) {
	for _, m := range n.table.Members() {
		if m.ID == id {
			return m, true
		}
	}
	return cluster.Member{}, false
}

// requireAll checks that every running node sees exactly want members in state.
func (s *sim) requireAll(state cluster.State, want int, msg string) {
	s.t.Helper()
	for _, n := range s.order {
		if n.down || n.paused {
			continue
		}
		got := 0
		for _, st := range n.states() {
			if st == state {
				got++
			}
		}
		require.Equal(s.t, want, got, "%s: %s sees %v", msg, n.addr, n.states())
	}
}
