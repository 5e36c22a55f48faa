package upstream

import (
	"bufio"
	"net"
	"sync"
	"syscall"
	"time"
)

// bufferBytes bounds the header of an answer; longer ones are refused.
const bufferBytes = 16 << 10

// conn is a connection that records what an exchange needs to classify errors.
type conn struct {
	net.Conn
	pool     *connPool
	reader   *bufio.Reader
	writer   *bufio.Writer
	opened   time.Time
	answered time.Time
	// received and sent count the bytes of the current exchange.
	received int
	sent     int
	// readError is the network error that ended reading.
	readError error
}

// Read implements io.Reader.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received += n
	if err != nil {
		c.readError = err
	}
	return n, err
}

// Write implements io.Writer.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent += n
	return n, err
}

func (c *conn) begin() {
	c.received, c.sent, c.readError = 0, 0, nil
}

// closedByPeer tells whether the peer closed the idle connection or sent data
// that no request asked for. It looks at the socket without waiting.
func (c *conn) closedByPeer() bool {
	source, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = err != syscall.EAGAIN
		return true
	})
	return closed || err != nil
}

// connPool holds the connections to one upstream; the idle ones are ordered by
// the time of their last answer.
type connPool struct {
	mu   sync.Mutex
	idle []*conn
	open map[*conn]bool
}

func (p *connPool) add(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[c] = true
}

// take returns the idle connection that answered last, or nil when none
// answered within maxAge.
func (p *connPool) take(now time.Time, maxAge time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropStale(now)
	for len(p.idle) > 0 {
		last := p.idle[len(p.idle)-1]
		if now.Sub(last.answered) > maxAge {
			return nil
		}
		p.idle = p.idle[:len(p.idle)-1]
		if !last.closedByPeer() {
			return last
		}
		p.closeLocked(last)
	}
	return nil
}

// dropStale closes the connections that were idle for longer than IdleLimit.
func (p *connPool) dropStale(now time.Time) {
	fresh := 0
	for fresh < len(p.idle) && now.Sub(p.idle[fresh].answered) > IdleLimit {
		p.closeLocked(p.idle[fresh])
		fresh++
	}
	p.idle = append(p.idle[:0], p.idle[fresh:]...)
}

func (p *connPool) put(c *conn, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.open[c] {
		return
	}
	c.answered = now
	p.idle = append(p.idle, c)
	if len(p.idle) > maxIdle {
		p.closeLocked(p.idle[0])
		p.idle = append(p.idle[:0], p.idle[1:]...)
	}
}

func (p *connPool) discard(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(c)
}

// closeLocked closes c once; the caller holds the lock.
func (p *connPool) closeLocked(c *conn) {
	if p.open[c] {
		delete(p.open, c)
		_ = c.Close()
	}
}

// retire closes the connections that were opened before a time, also those in
// use, and returns how many there were.
func (p *connPool) retire(before time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if !c.opened.Before(before) {
			kept = append(kept, c)
		}
	}
	p.idle = kept
	closed := 0
	for c := range p.open {
		if c.opened.Before(before) {
			p.closeLocked(c)
			closed++
		}
	}
	return closed
}

func (p *connPool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		p.closeLocked(c)
	}
	p.idle = nil
}
