package faultproxy

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	maxDatagramBytes = 64 << 10
	// reorderDelay is the extra delay of a reordered datagram, during which later
	// ones overtake it.
	reorderDelay = 5 * time.Millisecond
	// flowIdleTimeout is how long a flow is kept without datagrams from its client.
	flowIdleTimeout = 5 * time.Second
)

// UDP is a fault-injecting relay for UDP datagrams. A flow is identified by the
// source address and port of its client.
type UDP struct {
	listener *net.UDPConn
	target   *net.UDPAddr
	faults   faultState

	mu           sync.Mutex
	flows        map[netip.AddrPort]*flow
	random       *rand.Rand
	lossRatio    float64
	reorderRatio float64
	closed       bool
	goroutines   sync.WaitGroup
}

// flow is the state of the datagrams between one client and the target.
type flow struct {
	client     netip.AddrPort
	targetConn *net.UDPConn
	blackholed bool
	// lastRequestTime is the time of the client's last datagram.
	lastRequestTime time.Time
	// linkBusyUntil is the time at which the bandwidth limit admits the next datagram,
	// by direction: index 0 is to the target, index 1 to the client.
	linkBusyUntil [2]time.Time
}

// NewUDP starts a relay to target on a port of 127.0.0.1; seed determines which
// datagrams are dropped or reordered once a ratio is set.
func NewUDP(target string, seed uint64) (*UDP, error) {
	return NewUDPAt("127.0.0.1:0", target, seed)
}

// NewUDPAt starts a relay to target that listens on address.
func NewUDPAt(address, target string, seed uint64) (*UDP, error) {
	targetAddr, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, err
	}
	listenAddr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	listener, err := net.ListenUDP("udp", listenAddr)
	if err != nil {
		return nil, err
	}
	u := &UDP{listener: listener, target: targetAddr, flows: make(map[netip.AddrPort]*flow), random: rand.New(rand.NewPCG(seed, 2))}
	u.goroutines.Add(1)
	go u.forwardRequests()
	return u, nil
}

// Addr returns the address that the relay listens on.
func (u *UDP) Addr() string { return u.listener.LocalAddr().String() }

// SetFaults replaces the faults.
func (u *UDP) SetFaults(f Faults) { u.faults.set(f) }

// SetLossRatio drops the given ratio of the datagrams.
func (u *UDP) SetLossRatio(ratio float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lossRatio = ratio
}

// SetReorderRatio delays the given ratio of the datagrams so that later ones overtake
// them.
func (u *UDP) SetReorderRatio(ratio float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reorderRatio = ratio
}

// BlackholeEstablished drops all further datagrams of the established flows; new
// flows work. It returns the number of flows affected.
func (u *UDP) BlackholeEstablished() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, f := range u.flows {
		f.blackholed = true
	}
	return len(u.flows)
}

// Close stops the relay and closes all its flows.
func (u *UDP) Close() {
	u.mu.Lock()
	u.closed = true
	u.listener.Close()
	for _, f := range u.flows {
		f.targetConn.Close()
	}
	u.mu.Unlock()
	u.goroutines.Wait()
}

func (u *UDP) forwardRequests() {
	defer u.goroutines.Done()
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := u.listener.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		client := netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		f := u.flowFor(client)
		if f == nil {
			continue
		}
		u.forward(f, 0, buffer[:n], func(data []byte) { _, _ = f.targetConn.Write(data) })
	}
}

// flowFor returns the flow of a client and creates it if needed. It returns nil for
// a new client if the relay is closed or the target cannot be dialed.
func (u *UDP) flowFor(client netip.AddrPort) *flow {
	u.mu.Lock()
	defer u.mu.Unlock()
	if f := u.flows[client]; f != nil || u.closed {
		return f
	}
	targetConn, err := net.DialUDP("udp", nil, u.target)
	if err != nil {
		return nil
	}
	f := &flow{client: client, targetConn: targetConn, lastRequestTime: time.Now()}
	u.flows[client] = f
	u.goroutines.Add(1)
	go u.forwardResponses(f)
	return f
}

func (u *UDP) forwardResponses(f *flow) {
	defer u.goroutines.Done()
	buffer := make([]byte, maxDatagramBytes)
	for {
		// If setting the deadline fails, so does the read.
		_ = f.targetConn.SetReadDeadline(time.Now().Add(flowIdleTimeout))
		n, err := f.targetConn.Read(buffer)
		if err != nil {
			if u.closeIfIdle(f) {
				return
			}
			// A connected UDP socket reports a closed target port as an error
			// of the next read; the flow remains usable.
			time.Sleep(time.Millisecond)
			continue
		}
		u.forward(f, 1, buffer[:n], func(data []byte) { _, _ = u.listener.WriteToUDPAddrPort(data, f.client) })
	}
}

// closeIfIdle closes and removes the flow if it is idle or the relay is closed,
// and reports whether it did.
func (u *UDP) closeIfIdle(f *flow) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.closed && time.Since(f.lastRequestTime) < flowIdleTimeout {
		return false
	}
	delete(u.flows, f.client)
	f.targetConn.Close()
	return true
}

// forward sends data after the delay that the current faults impose, or drops it.
// direction is the index in flow.linkBusyUntil. Delayed data is copied because the
// calling loop reuses its buffer.
func (u *UDP) forward(f *flow, direction int, data []byte, send func([]byte)) {
	faults := u.faults.get()
	delay, dropped := u.schedule(f, direction, len(data), faults)
	if dropped {
		return
	}
	if delay <= 0 {
		send(data)
		return
	}
	payload := append([]byte(nil), data...)
	time.AfterFunc(delay, func() { send(payload) })
}

// schedule returns the delay of a datagram, or reports that the datagram is dropped.
// It also records the time of a datagram from the client.
func (u *UDP) schedule(f *flow, direction, size int, faults Faults) (delay time.Duration, dropped bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if direction == 0 {
		f.lastRequestTime = time.Now()
	}
	source := f.client.Addr()
	if f.blackholed || faults.cuts(source) || faults.blackholes(source) || u.random.Float64() < u.lossRatio {
		return 0, true
	}
	delay = faults.Delay
	if u.random.Float64() < u.reorderRatio {
		delay += reorderDelay
	}
	if faults.BytesPerSecond > 0 {
		now := time.Now()
		if f.linkBusyUntil[direction].Before(now) {
			f.linkBusyUntil[direction] = now
		}
		f.linkBusyUntil[direction] = f.linkBusyUntil[direction].Add(transmissionTime(size, faults.BytesPerSecond))
		delay += f.linkBusyUntil[direction].Sub(now)
	}
	return delay, false
}
