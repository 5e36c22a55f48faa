package faultproxy

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxChunkBytes = 32 << 10
	dialTimeout   = 2 * time.Second
	// maxQueuedChunks is the maximum number of delayed chunks that each direction of
	// a connection holds.
	maxQueuedChunks = 1024
)

// TCP is a fault-injecting relay for TCP connections.
type TCP struct {
	listener net.Listener
	target   string
	faults   faultState
	// truncationsLeft and dropsLeft count the responses that are still to be
	// truncated or dropped. A truncated response is cut off after truncateAfterBytes
	// bytes, which are forwarded.
	truncationsLeft    atomic.Int64
	dropsLeft          atomic.Int64
	truncateAfterBytes atomic.Int64
	// dropPrefix is the string that a request must begin with for its response to be
	// dropped.
	dropPrefix atomic.Value

	mu          sync.Mutex
	connections map[*connection]struct{}
	goroutines  sync.WaitGroup
}

// NewTCP starts a relay to target on a port of 127.0.0.1.
func NewTCP(target string) (*TCP, error) { return NewTCPAt("127.0.0.1:0", target) }

// NewTCPAt starts a relay to target that listens on address.
func NewTCPAt(address, target string) (*TCP, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	t := &TCP{listener: listener, target: target, connections: make(map[*connection]struct{})}
	t.goroutines.Add(1)
	go t.acceptLoop()
	return t, nil
}

// Addr returns the address that the relay listens on.
func (t *TCP) Addr() string { return t.listener.Addr().String() }

// SetFaults replaces the faults. Cut also closes the established connections.
func (t *TCP) SetFaults(f Faults) {
	t.faults.set(f)
	if !f.Cut {
		return
	}
	for _, c := range t.openConnections() {
		if f.cuts(sourceAddr(c.client.RemoteAddr())) {
			c.close()
		}
	}
}

// BlackholeEstablished drops all further data of the established connections
// without closing them; new connections work. It returns the number of
// connections affected.
func (t *TCP) BlackholeEstablished() int {
	connections := t.openConnections()
	for _, c := range connections {
		c.blackholed.Store(true)
	}
	return len(connections)
}

// TruncateResponses forwards at most maxBytes bytes of each of the next count
// responses and then closes the connection of the response.
func (t *TCP) TruncateResponses(count, maxBytes int) {
	t.truncateAfterBytes.Store(int64(maxBytes))
	t.truncationsLeft.Store(int64(count))
}

// DropResponses drops the next count responses and closes their connections after
// the target has responded, so that the requests take effect unacknowledged.
func (t *TCP) DropResponses(count int) { t.DropResponsesTo("", count) }

// DropResponsesTo is DropResponses restricted to requests that begin with prefix,
// such as "POST /path".
func (t *TCP) DropResponsesTo(prefix string, count int) {
	t.dropPrefix.Store(prefix)
	t.dropsLeft.Store(int64(count))
}

// dropsResponseTo reports whether data, the start of a request, begins with the
// prefix set by DropResponsesTo.
func (t *TCP) dropsResponseTo(data []byte) bool {
	prefix, _ := t.dropPrefix.Load().(string)
	return bytes.HasPrefix(data, []byte(prefix))
}

// Close stops the relay and closes all its connections.
func (t *TCP) Close() {
	t.listener.Close()
	for _, c := range t.openConnections() {
		c.close()
	}
	t.goroutines.Wait()
}

func (t *TCP) openConnections() []*connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]*connection, 0, len(t.connections))
	for c := range t.connections {
		list = append(list, c)
	}
	return list
}

func (t *TCP) acceptLoop() {
	defer t.goroutines.Done()
	for {
		client, err := t.listener.Accept()
		if err != nil {
			return
		}
		if t.faults.get().cuts(sourceAddr(client.RemoteAddr())) {
			reset(client)
			continue
		}
		t.goroutines.Add(1)
		go t.serve(client)
	}
}

func (t *TCP) serve(client net.Conn) {
	defer t.goroutines.Done()
	server, err := net.DialTimeout("tcp", t.target, dialTimeout)
	if err != nil {
		reset(client)
		return
	}
	c := &connection{relay: t, client: client, server: server}
	t.mu.Lock()
	t.connections[c] = struct{}{}
	t.mu.Unlock()
	c.run()
	t.mu.Lock()
	delete(t.connections, c)
	t.mu.Unlock()
}

// reset closes a connection with a TCP RST, like a host that refuses connections or
// on which the target process has died.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

// decrementIfPositive decrements counter if it is positive, and reports whether it
// was.
func decrementIfPositive(counter *atomic.Int64) bool {
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
