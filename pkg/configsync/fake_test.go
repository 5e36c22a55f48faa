package configsync

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/description"
	"github.com/sequoiacove/sequoiacove/pkg/peer"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// network connects syncers in one process. A silent member takes messages and
// never answers; a closed one refuses them.
type network struct {
	mu      sync.Mutex
	agents  map[string]*Syncer
	members []cluster.Member
	silent  map[string]bool
	closed  map[string]bool
	calls   map[peer.MessageType]int
	delay   map[string]time.Duration
}

func newNetwork(domains, perDomain int, source Source) *network {
	n := &network{agents: map[string]*Syncer{}, silent: map[string]bool{}, closed: map[string]bool{}, calls: map[peer.MessageType]int{}, delay: map[string]time.Duration{}}
	for d := range domains {
		for i := range perDomain {
			id := fmt.Sprintf("d%d-%d", d, i)
			n.members = append(n.members, cluster.Member{ID: id, AgentAddress: id, Domain: fmt.Sprint("d", d), State: cluster.Serving})
		}
	}
	for _, m := range n.members {
		n.agents[m.AgentAddress] = n.agent(m, source)
	}
	return n
}

// agent returns a new syncer for m, as after a restart.
func (n *network) agent(m cluster.Member, source Source) *Syncer {
	return New(Config{ID: m.ID, Domain: m.Domain, Caller: n, Members: n.list, Source: source, Random: func() float64 { return 0.5 }})
}

func (n *network) list() []cluster.Member { return n.members }

func (n *network) close() {
	for _, agent := range n.agents {
		agent.Close()
	}
}

// Call implements peer.Caller.
func (n *network) Call(ctx context.Context, addr string, typ peer.MessageType, msg, reply any) error {
	n.mu.Lock()
	agent, silent, closed := n.agents[addr], n.silent[addr], n.closed[addr]
	n.calls[typ]++
	delay := n.delay[addr]
	n.mu.Unlock()
	time.Sleep(delay)
	if closed || agent == nil {
		return result.New(result.PeerUnreachable, "%s", addr)
	}
	if silent {
		<-ctx.Done()
		return result.New(result.PeerNoAnswer, "%s", addr)
	}
	body, err := cbor.Marshal(msg)
	if err != nil {
		return err
	}
	handler := agent.HandlePush
	if typ == peer.FetchVersion {
		handler = agent.HandleFetch
	}
	answer, err := handler(ctx, body)
	if err != nil {
		return err
	}
	encoded, err := cbor.Marshal(answer)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(encoded, reply)
}

// newAlone returns a syncer without other members that the test closes.
func newAlone(t *testing.T, config Config) *Syncer {
	config.Members = func() []cluster.Member { return nil }
	s := New(config)
	t.Cleanup(s.Close)
	return s
}

// holding counts the agents that hold at least the version.
func (n *network) holding(number uint64) int {
	count := 0
	for _, agent := range n.agents {
		if agent.Current().Number >= number {
			count++
		}
	}
	return count
}

// version returns a valid version whose body depends on its number.
func version(number uint64) cluster.Version {
	body := fmt.Appendf(nil, `{"regions":{"north":{"domains":["north-a"]}},"lookup":{"ttl_ms":%d},"services":{}}`, 1000+number)
	return cluster.Version{Number: number, Hash: description.Hash(body), Body: body, AcceptedUnixMS: time.Now().UnixMilli()}
}

// fakeSource is a store; it answers after a delay, or not at all when down.
type fakeSource struct {
	mu      sync.Mutex
	current cluster.Version
	down    bool
	delay   time.Duration
	reads   int
}

func (f *fakeSource) set(v cluster.Version, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current, f.down = v, down
}

func (f *fakeSource) Head(context.Context) (cluster.Version, error) {
	time.Sleep(f.delay)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if f.down {
		return cluster.Version{}, result.New(result.StoreUnavailable, "down")
	}
	return cluster.Version{Number: f.current.Number, Hash: f.current.Hash}, nil
}

func (f *fakeSource) Load(_ context.Context, number uint64) (cluster.Version, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if f.down || f.current.Number != number {
		return cluster.Version{}, result.New(result.StoreUnavailable, "down")
	}
	return f.current, nil
}
