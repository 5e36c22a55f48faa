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
	// nearSilence and farSilence are how long sent bytes may stay without a
	// confirmation of TCP. Two resends of a lost packet fit in.
	nearSilence = time.Second
	farSilence  = 1500 * time.Millisecond
	// suspectSilence is the time without a byte of the answer after which a kept
	// connection that is given up may have gone silent behind something that
	// still confirms what is sent.
	suspectSilence = 900 * time.Millisecond
	// tcpUserTimeout is the socket option of that bound, which package syscall
	// does not name.
	tcpUserTimeout = 18
	// keepAlivePart is the part of the upstream's own idle timeout after which
	// a connection is not used again.
	keepAlivePart = 0.7
)

// keepAlive detects idle connections that went silent without a reset.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// Dial opens a connection that ends when its peer stays silent: keep-alive
// shows it while the connection is idle, the bound of silence on what was sent
// while a request is under way. A silence of 0 sets no such bound.
func Dial(ctx context.Context, address string, timeout, silence time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive}
	if silence > 0 {
		d.Control = func(_, _ string, raw syscall.RawConn) error {
			var err error
			if controlErr := raw.Control(func(fd uintptr) {
				err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silence.Milliseconds()))
			}); controlErr != nil {
				return controlErr
			}
			return err
		}
	}
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
	// silent tells that what was sent was not confirmed in time.
	silent bool
	// heard tells that bytes arrived since the last request was sent.
	heard bool
}

// idle returns how long the connection has carried no request.
func (c *conn) idle(now time.Time) time.Duration { return now.Sub(c.answered) }

// fresh tells whether the connection was idle for no longer than limit and
// than the upstream keeps it.
func (c *conn) fresh(now time.Time, limit time.Duration) bool {
	if c.peerIdle > 0 {
		limit = min(limit, time.Duration(keepAlivePart*float64(c.peerIdle)))
	}
	return c.idle(now) <= limit
}

// Read implements net.Conn. At the deadline it still returns bytes that have
// arrived before, which the read of package net refuses: an answer that is
// there must not be given up.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.heard = c.heard || n > 0
	if n > 0 || !timeout(err) || len(p) == 0 {
		return n, err
	}
	if errors.Is(err, syscall.ETIMEDOUT) {
		c.silent = true
		return n, err
	}
	if arrived := c.receive(p, 0); arrived > 0 {
		c.heard = true
		return arrived, nil
	}
	return n, err
}

// receive reads what has arrived without a wait and returns the number of
// bytes, 0 if there are none, and -1 if the connection has ended. Control,
// unlike a read, does not fail for a deadline that has passed.
func (c *conn) receive(p []byte, flags int) int {
	source, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return -1
	}
	n := -1
	err = raw.Control(func(fd uintptr) {
		got, _, err := syscall.Recvfrom(int(fd), p, flags|syscall.MSG_DONTWAIT)
		switch {
		case err == nil && got > 0:
			n = got
		case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
			n = 0
		}
	})
	if err != nil {
		return -1
	}
	return n
}

// quiet tells that the idle connection is open and holds no bytes that no
// request asked for.
func (c *conn) quiet() bool {
	var b [1]byte
	return c.receive(b[:], syscall.MSG_PEEK) == 0
}

// pool holds the connections to one upstream, the idle ones ordered by the
// time of their last answer.
type pool struct {
	mu   sync.Mutex
	idle []*conn
	open map[*conn]bool
	gone bool
}

// take returns the connection that was used last if it was idle for no longer
// than limit, or nil.
func (p *pool) take(now time.Time, limit time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	stale := 0
	for stale < len(p.idle) && !p.idle[stale].fresh(now, idleLimit) {
		p.close(p.idle[stale])
		stale++
	}
	p.idle = append(p.idle[:0], p.idle[stale:]...)
	for len(p.idle) > 0 {
		last := p.idle[len(p.idle)-1]
		if !last.fresh(now, limit) {
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

// makeRoom closes the oldest idle connections until one more may be opened.
func (p *pool) makeRoom(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for limit > 0 && len(p.open) >= limit && len(p.idle) > 0 {
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
func (p *pool) retire(before time.Time) {
	p.closeIdle(func(c *conn) bool { return c.opened.Before(before) })
}

// retireUnproven closes the idle connections that have carried no answer since
// a time.
func (p *pool) retireUnproven(since time.Time) {
	p.closeIdle(func(c *conn) bool { return c.answered.Before(since) })
}

func (p *pool) closeIdle(matches func(*conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if matches(c) {
			p.close(c)
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
}
