package faultproxy

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	maxDatagram = 64 << 10
	// reorderHold is how long a reordered datagram waits for later ones.
	reorderHold = 5 * time.Millisecond
	// flowIdle is how long a flow without datagrams of its client is kept.
	flowIdle = 5 * time.Second
)

// UDP is a relay for datagrams. A flow is identified by the source address and
// port of its client.
type UDP struct {
	front  *net.UDPConn
	target *net.UDPAddr
	state  faultState

	mu      sync.Mutex
	flows   map[netip.AddrPort]*flow
	random  *rand.Rand
	loss    float64
	reorder float64
	closed  bool
	wait    sync.WaitGroup
}

// flow is the traffic of one client.
type flow struct {
	client netip.AddrPort
	back   *net.UDPConn
	silent bool
	// used is the time of the client's last datagram.
	used time.Time
	// free is when the link can take the next datagram, one per direction.
	free [2]time.Time
}

// NewUDP starts a relay to target on a port of 127.0.0.1; seed fixes which
// datagrams are lost or reordered.
func NewUDP(target string, seed uint64) (*UDP, error) {
	return NewUDPAt("127.0.0.1:0", target, seed)
}

// NewUDPAt is NewUDP at an address.
func NewUDPAt(address, target string, seed uint64) (*UDP, error) {
	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, err
	}
	at, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	front, err := net.ListenUDP("udp", at)
	if err != nil {
		return nil, err
	}
	u := &UDP{front: front, target: to, flows: make(map[netip.AddrPort]*flow), random: rand.New(rand.NewPCG(seed, 2))}
	u.wait.Add(1)
	go u.receive()
	return u, nil
}

// Addr returns the address that the relay listens on.
func (u *UDP) Addr() string { return u.front.LocalAddr().String() }

// Set replaces the faults.
func (u *UDP) Set(f Faults) { u.state.set(f) }

// SetLoss loses the given part of the datagrams.
func (u *UDP) SetLoss(part float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.loss = part
}

// SetReorder holds the given part of the datagrams back behind later ones.
func (u *UDP) SetReorder(part float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reorder = part
}

// BlackholeEstablished drops all further datagrams of the established flows; new flows
// work. It returns how many flows were silenced.
func (u *UDP) BlackholeEstablished() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, f := range u.flows {
		f.silent = true
	}
	return len(u.flows)
}

// Close ends the relay.
func (u *UDP) Close() {
	u.mu.Lock()
	u.closed = true
	u.front.Close()
	for _, f := range u.flows {
		f.back.Close()
	}
	u.mu.Unlock()
	u.wait.Wait()
}

func (u *UDP) receive() {
	defer u.wait.Done()
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := u.front.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		client := netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		f := u.flowOf(client)
		if f == nil {
			continue
		}
		u.pass(f, 0, buffer[:n], func(data []byte) { _, _ = f.back.Write(data) })
	}
}

func (u *UDP) flowOf(client netip.AddrPort) *flow {
	u.mu.Lock()
	defer u.mu.Unlock()
	if f := u.flows[client]; f != nil || u.closed {
		return f
	}
	back, err := net.DialUDP("udp", nil, u.target)
	if err != nil {
		return nil
	}
	f := &flow{client: client, back: back, used: time.Now()}
	u.flows[client] = f
	u.wait.Add(1)
	go u.answer(f)
	return f
}

func (u *UDP) answer(f *flow) {
	defer u.wait.Done()
	buffer := make([]byte, maxDatagram)
	for {
		// A failure to set the deadline shows in the read.
		_ = f.back.SetReadDeadline(time.Now().Add(flowIdle))
		n, err := f.back.Read(buffer)
		if err != nil {
			if u.ended(f) {
				return
			}
			// A connected UDP socket reports a closed target port as an error
			// on the next read; the flow itself goes on.
			time.Sleep(time.Millisecond)
			continue
		}
		u.pass(f, 1, buffer[:n], func(data []byte) { _, _ = u.front.WriteToUDPAddrPort(data, f.client) })
	}
}

// ended tells whether the relay is closed or the flow is idle, which ends it.
func (u *UDP) ended(f *flow) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.closed && time.Since(f.used) < flowIdle {
		return false
	}
	delete(u.flows, f.client)
	f.back.Close()
	return true
}

// pass sends a copy of data after the delay of the moment, unless a fault
// drops it.
func (u *UDP) pass(f *flow, direction int, data []byte, send func([]byte)) {
	faults := u.state.get()
	wait, dropped := u.plan(f, direction, len(data), faults)
	if dropped {
		return
	}
	if wait <= 0 {
		send(data)
		return
	}
	kept := append([]byte(nil), data...)
	time.AfterFunc(wait, func() { send(kept) })
}

func (u *UDP) plan(f *flow, direction, size int, faults Faults) (wait time.Duration, dropped bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if direction == 0 {
		f.used = time.Now()
	}
	source := f.client.Addr()
	if f.silent || faults.cuts(source) || faults.blackholes(source) || u.random.Float64() < u.loss {
		return 0, true
	}
	wait = faults.Delay
	if u.random.Float64() < u.reorder {
		wait += reorderHold
	}
	if faults.BytesPerSecond > 0 {
		now := time.Now()
		if f.free[direction].Before(now) {
			f.free[direction] = now
		}
		f.free[direction] = f.free[direction].Add(transmission(size, faults.BytesPerSecond))
		wait += f.free[direction].Sub(now)
	}
	return wait, false
}
