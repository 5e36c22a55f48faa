// Package transfer moves large states between processes: connections that give up a transfer
// for lack of progress and not for its length (Conn), and compressed differences between two
// versions of a state (Diff, Patch).
package transfer

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// minProgress is the number of bytes that must arrive, or be taken by the peer, within
	// stallTimeout for a transfer to go on beyond its first deadline. It is 40 kbit/s, far
	// below the smallest link of an instance.
	minProgress = 4 << 10
	// stallTimeout covers a lost packet that TCP sends again, and the queue of a busy link.
	stallTimeout = 800 * time.Millisecond
	// maxExtension bounds a transfer beyond its first deadline: what takes longer is out of
	// date when it arrives. It is the time in which a change must be in force.
	maxExtension = 8 * time.Second
	// maxWrite is the number of bytes after which the progress of a write is checked.
	maxWrite = 16 << 10
)

// Conn is a connection whose deadlines apply to transfers without progress. A deadline that
// is set holds until minProgress bytes have been transferred; from then on, each further
// minProgress bytes extend it to stallTimeout from that time, up to maxExtension in all.
type Conn struct {
	net.Conn
	now func() time.Time

	mu          sync.Mutex
	read, write progress
}

// NewConn returns a Conn that transfers on c; now is the clock of its deadlines.
func NewConn(c net.Conn, now func() time.Time) *Conn { return &Conn{Conn: c, now: now} }

// progress is the state of one direction of a connection since its deadline was set.
type progress struct {
	// first is the deadline that was set, deadline the current one and limit the latest one;
	// zero if there is none.
	first, deadline, limit time.Time
	startedAt              time.Time
	// bytes is the number of bytes transferred, and counted the part of them that has
	// extended the deadline.
	bytes, counted int64
}

func (p *progress) start(deadline, now time.Time) {
	*p = progress{first: deadline, deadline: deadline, startedAt: now}
	if !deadline.IsZero() {
		p.limit = deadline.Add(maxExtension)
	}
}

// advance records that n bytes were transferred and reports whether the deadline moved.
func (p *progress) advance(n int, now time.Time) bool {
	p.bytes += int64(n)
	if p.deadline.IsZero() || p.bytes-p.counted < minProgress {
		return false
	}
	p.counted = p.bytes
	extended := now.Add(stallTimeout)
	if extended.After(p.limit) {
		extended = p.limit
	}
	if !extended.After(p.deadline) {
		return false
	}
	p.deadline = extended
	return true
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read.start(t, c.now())
	return c.Conn.SetReadDeadline(t)
}

// StopExtendingRead restores the read deadline that was set, whatever arrives from now on.
func (c *Conn) StopExtendingRead() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read.deadline, c.read.limit = c.read.first, c.read.first
	return c.Conn.SetReadDeadline(c.read.first)
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.write.start(t, c.now())
	return c.Conn.SetWriteDeadline(t)
}

// Read implements net.Conn. The error of a transfer that stalls states how far it came.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	return n, c.record(&c.read, n, err, c.Conn.SetReadDeadline)
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (written int, err error) {
	for {
		n, err := c.Conn.Write(b[written:min(written+maxWrite, len(b))])
		written += n
		if err = c.record(&c.write, n, err, c.Conn.SetWriteDeadline); err != nil || written == len(b) {
			return written, err
		}
	}
}

// record records the progress of one read or write.
func (c *Conn) record(p *progress, n int, err error, setDeadline func(time.Time) error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if p.advance(n, now) {
		if setErr := setDeadline(p.deadline); setErr != nil && err == nil {
			err = setErr
		}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("no progress after %d bytes in %d ms: %w", p.bytes, now.Sub(p.startedAt).Milliseconds(), err)
	}
	return err
}
