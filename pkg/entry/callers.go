package entry

import (
	"net"
	"sync"
	"syscall"
)

// callers notices callers that close their connection while their request
// runs. fasthttp does not read from a connection during a request, so the
// check peeks at the socket and leaves pipelined bytes in place.
type callers struct {
	mu   sync.Mutex
	next uint64
	open map[uint64]*callerConn
}

type callerConn struct {
	conn   syscall.Conn
	cancel func()
	// fresh is set until the first check.
	fresh bool
}

func newCallers() *callers { return &callers{open: make(map[uint64]*callerConn)} }

// watch calls cancel when the peer of conn closes it. The returned function
// ends the watch; it must run before fasthttp reuses the connection.
func (c *callers) watch(conn net.Conn, cancel func()) (stop func()) {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return func() {}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	id := c.next
	c.open[id] = &callerConn{conn: raw, cancel: cancel, fresh: true}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.open, id)
	}
}

// check cancels the requests whose callers are gone. It runs every tick and
// skips a request at its first one: most requests have ended by the second.
func (c *callers) check() (gone int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, k := range c.open {
		if k.fresh {
			k.fresh = false
			continue
		}
		if closed(k.conn) {
			k.cancel()
			delete(c.open, id)
			gone++
		}
	}
	return gone
}

// closed tells whether the other side has closed a connection.
func closed(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch err {
		case nil:
			gone = n == 0
		case syscall.EAGAIN, syscall.EINTR:
		default:
			gone = true
		}
	})
	return gone || err != nil
}
