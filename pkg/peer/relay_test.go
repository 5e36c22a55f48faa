package peer_test

import (
	"math/rand/v2"
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// relay forwards UDP packets per client flow. It can drop every packet of the
// flows that exist now, as a component does that lost its state for them, or a
// part of all packets.
type relay struct {
	t      *testing.T
	socket *net.UDPConn
	target *net.UDPAddr

	mu     sync.Mutex
	flows  map[string]*flow
	loss   float64
	random *rand.Rand
}

type flow struct {
	socket *net.UDPConn
	silent bool
}

func newRelay(t *testing.T, target string) *relay {
	addr, err := net.ResolveUDPAddr("udp", target)
	require.NoError(t, err)
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	r := &relay{t: t, socket: socket, target: addr, flows: make(map[string]*flow), random: rand.New(rand.NewPCG(1, 2))}
	t.Cleanup(r.close)
	go r.run()
	return r
}

func (r *relay) addr() string { return r.socket.LocalAddr().String() }

// silence drops all packets of the existing flows from now on.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		f.silent = true
	}
}

func (r *relay) setLoss(part float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loss = part
}

func (r *relay) close() {
	r.socket.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		f.socket.Close()
	}
}

func (r *relay) run() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := r.socket.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if f := r.flow(from); f != nil && r.passes(f) {
			_, _ = f.socket.WriteToUDP(buf[:n], r.target)
		}
	}
}

func (r *relay) flow(from *net.UDPAddr) *flow {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f := r.flows[from.String()]; f != nil {
		return f
	}
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil
	}
	f := &flow{socket: socket}
	r.flows[from.String()] = f
	go r.back(f, from)
	return f
}

func (r *relay) back(f *flow, to *net.UDPAddr) {
	buf := make([]byte, 64<<10)
	for {
		n, _, err := f.socket.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if r.passes(f) {
			_, _ = r.socket.WriteToUDP(buf[:n], to)
		}
	}
}

func (r *relay) passes(f *flow) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !f.silent && (r.loss == 0 || r.random.Float64() >= r.loss)
}
