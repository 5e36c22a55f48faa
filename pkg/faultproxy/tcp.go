package faultproxy

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	chunkBytes  = 32 << 10
	dialTimeout = 2 * time.Second
	// queuedChunks bounds the data that a delayed direction holds.
	queuedChunks = 1024
)

// TCP is a relay for TCP connections.
type TCP struct {
	listener net.Listener
	target   string
	state    faultState
	// halve and lose count the answers that the fault still applies to.
	halve atomic.Int64
	lose  atomic.Int64
	half  atomic.Int64
	// loseOnly limits lost answers to requests that begin with it.
	loseOnly atomic.Value

	mu    sync.Mutex
	links map[*link]struct{}
	wait  sync.WaitGroup
}

// NewTCP starts a relay to target on a port of 127.0.0.1.
func NewTCP(target string) (*TCP, error) { return NewTCPAt("127.0.0.1:0", target) }

// NewTCPAt starts a relay to target at an address.
func NewTCPAt(address, target string) (*TCP, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	t := &TCP{listener: listener, target: target, links: make(map[*link]struct{})}
	t.wait.Add(1)
	go t.accept()
	return t, nil
}

// Addr returns the address that the relay listens on.
func (t *TCP) Addr() string { return t.listener.Addr().String() }

// Set replaces the faults. Cut also closes the established connections.
func (t *TCP) Set(f Faults) {
	t.state.set(f)
	if !f.Cut {
		return
	}
	for _, l := range t.snapshot() {
		if f.cuts(sourceOf(l.client.RemoteAddr())) {
			l.close()
		}
	}
}

// BlackholeEstablished drops all further data of the established connections without
// closing them; new connections work. It returns how many were silenced.
func (t *TCP) BlackholeEstablished() int {
	links := t.snapshot()
	for _, l := range links {
		l.silent.Store(true)
	}
	return len(links)
}

// TruncateResponses passes only the first bytes of the next n answers and then
// closes their connections.
func (t *TCP) TruncateResponses(n, bytes int) {
	t.half.Store(int64(bytes))
	t.halve.Store(int64(n))
}

// DropResponses discards the next n answers and closes their connections after
// the target has answered, so that requests take effect without confirmation.
func (t *TCP) DropResponses(n int) { t.DropResponsesTo("", n) }

// DropResponsesTo is LoseAnswers for requests that begin with prefix, such as
// "POST /path".
func (t *TCP) DropResponsesTo(prefix string, n int) {
	t.loseOnly.Store(prefix)
	t.lose.Store(int64(n))
}

// loses tells whether answers to a request that begins with data may be lost.
func (t *TCP) loses(data []byte) bool {
	prefix, _ := t.loseOnly.Load().(string)
	return bytes.HasPrefix(data, []byte(prefix))
}

// Close ends the relay and all its connections.
func (t *TCP) Close() {
	t.listener.Close()
	for _, l := range t.snapshot() {
		l.close()
	}
	t.wait.Wait()
}

func (t *TCP) snapshot() []*link {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]*link, 0, len(t.links))
	for l := range t.links {
		list = append(list, l)
	}
	return list
}

func (t *TCP) accept() {
	defer t.wait.Done()
	for {
		client, err := t.listener.Accept()
		if err != nil {
			return
		}
		if t.state.get().cuts(sourceOf(client.RemoteAddr())) {
			reset(client)
			continue
		}
		t.wait.Add(1)
		go t.serve(client)
	}
}

func (t *TCP) serve(client net.Conn) {
	defer t.wait.Done()
	server, err := net.DialTimeout("tcp", t.target, dialTimeout)
	if err != nil {
		reset(client)
		return
	}
	l := &link{relay: t, client: client, server: server}
	t.mu.Lock()
	t.links[l] = struct{}{}
	t.mu.Unlock()
	l.run()
	t.mu.Lock()
	delete(t.links, l)
	t.mu.Unlock()
}

// reset closes a connection with RST, as a refusing or vanished host does.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

// take lowers a counter of faults that are left and tells whether one applies.
func take(counter *atomic.Int64) bool {
	for {
		left := counter.Load()
		if left <= 0 {
			return false
		}
		if counter.CompareAndSwap(left, left-1) {
			return true
		}
	}
}
