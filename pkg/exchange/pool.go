package exchange

import (
	"sync"
	"time"
)

const (
	// maxIdleConnections is the maximum number of idle connections per upstream.
	maxIdleConnections = 16
	// maxIdleLimit is the maximum idle time of a connection that is reused.
	// nonIdempotentIdleLimit is the shorter limit for requests that are not
	// idempotent.
	maxIdleLimit           = 8 * time.Second
	nonIdempotentIdleLimit = 6 * time.Second
	// keepAliveFraction is the fraction of the idle timeout announced by the
	// upstream after which a connection is not reused.
	keepAliveFraction = 0.7
)

// pool holds the connections to one upstream. The idle ones are ordered by the
// time of their last response, oldest first.
type pool struct {
	mu      sync.Mutex
	idle    []*conn
	open    map[*conn]bool
	removed bool
}

// get returns the most recently used idle connection that can be reused, or nil
// if there is none with an idle time of at most limit. It closes expired
// connections and those that it finds closed by the upstream or with unsolicited
// bytes.
func (p *pool) get(now time.Time, limit time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	staleCount := 0
	for staleCount < len(p.idle) && !p.idle[staleCount].withinIdleLimit(now, maxIdleLimit) {
		p.close(p.idle[staleCount])
		staleCount++
	}
	p.idle = append(p.idle[:0], p.idle[staleCount:]...)
	for len(p.idle) > 0 {
		last := p.idle[len(p.idle)-1]
		if !last.withinIdleLimit(now, limit) {
			return nil
		}
		p.idle = p.idle[:len(p.idle)-1]
		if last.openAndEmpty() {
			return last
		}
		p.close(last)
	}
	return nil
}

func (p *pool) put(c *conn, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.open[c] || p.removed {
		p.close(c)
		return
	}
	c.lastResponseAt = now
	p.idle = append(p.idle, c)
	if len(p.idle) > maxIdleConnections {
		p.close(p.idle[0])
		p.idle = append(p.idle[:0], p.idle[1:]...)
	}
}

// evictIdle closes the oldest idle connections until another connection can be
// opened without exceeding maxOpen; 0 means no limit.
func (p *pool) evictIdle(maxOpen int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for maxOpen > 0 && len(p.open) >= maxOpen && len(p.idle) > 0 {
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

// close closes c once; p.mu must be held. The error of Close is ignored because
// the connection is not used again.
func (p *pool) close(c *conn) {
	if p.open[c] {
		delete(p.open, c)
		_ = c.Close()
	}
}

// closeOpenedBefore closes the idle connections that were opened before the
// given time.
func (p *pool) closeOpenedBefore(before time.Time) {
	p.closeIdle(func(c *conn) bool { return c.openedAt.Before(before) })
}

// closeUnansweredSince closes the idle connections that have received no
// response since the given time.
func (p *pool) closeUnansweredSince(since time.Time) {
	p.closeIdle(func(c *conn) bool { return c.lastResponseAt.Before(since) })
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
