package exchange

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

const (
	// readBufferBytes bounds the header of an answer.
	readBufferBytes = 8 << 10
	// nearDialTimeout and farDialTimeout bound the opening of a connection; a
	// lost opening packet is sent again only after a second.
	nearDialTimeout = 250 * time.Millisecond
	farDialTimeout  = 600 * time.Millisecond
	// maxIdleConnections bounds the idle connections to one upstream.
	maxIdleConnections = 16
	// idleLimit bounds the idle time of a connection that is used again.
	// firmIdleLimit is the shorter bound for requests that are not idempotent.
	idleLimit     = 8 * time.Second
	firmIdleLimit = 6 * time.Second
	// keepAlivePart is the part of the upstream's own idle timeout after which
	// a connection is not used again.
	keepAlivePart = 0.7
)

// keepAlive detects connections that went silent without a reset.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// Dial opens a connection with the keep-alive that all connections use.
func Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive}
	return d.DialContext(ctx, "tcp", address)
}

type conn struct {
	net.Conn
	reader *bufio.Reader
	opened time.Time
	// answered is the time of the last whole answer.
	answered time.Time
	// peerIdle is the idle timeout that the upstream stated, 0 if none.
	peerIdle time.Duration
	// used tells that an earlier request was sent on the connection.
	used bool
}

func (c *conn) fresh(now time.Time, idempotent bool) bool {
	limit := idleLimit
	if !idempotent {
		limit = firmIdleLimit
	}
	if c.peerIdle > 0 {
		limit = min(limit, time.Duration(keepAlivePart*float64(c.peerIdle)))
	}
	return now.Sub(c.answered) <= limit
}

// quiet tells that the idle connection is open and holds no bytes that no
// request asked for.
func (c *conn) quiet() bool {
	source, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	// Control, unlike Read, does not fail for the deadline of the last request.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
	})
	return quiet && err == nil
}

// pool holds the connections to one upstream, the idle ones ordered by the
// time of their last answer.
type pool struct {
	mu   sync.Mutex
	idle []*conn
	open map[*conn]bool
	gone bool
}

func (p *pool) take(now time.Time, idempotent bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	stale := 0
	for stale < len(p.idle) && !p.idle[stale].fresh(now, true) {
		p.close(p.idle[stale])
		stale++
	}
	p.idle = append(p.idle[:0], p.idle[stale:]...)
	for len(p.idle) > 0 {
		last := p.idle[len(p.idle)-1]
		if !last.fresh(now, idempotent) {
			return nil
		}
		p.idle = p.idle[:len(p.idle)-1]
		if last.quiet() {
			return last
		}
		p.close(last)
	}
	return nil
}

func (p *pool) put(c *conn, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.open[c] || p.gone {
		p.close(c)
		return
	}
	c.answered = now
	p.idle = append(p.idle, c)
	if len(p.idle) > maxIdleConnections {
		p.close(p.idle[0])
		p.idle = append(p.idle[:0], p.idle[1:]...)
	}
}

func (p *pool) add(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[c] = true
}

func (p *pool) discard(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.close(c)
}

// close closes c once; the caller holds the lock. A close error changes
// nothing: the connection is not used again.
func (p *pool) close(c *conn) {
	if p.open[c] {
		delete(p.open, c)
		_ = c.Close()
	}
}

// retire closes the idle connections that were opened before a time.
func (p *pool) retire(before time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept, closed := p.idle[:0], 0
	for _, c := range p.idle {
		if c.opened.Before(before) {
			p.close(c)
			closed++
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
	return closed
}
