package standin

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// SilentDialer opens connections that can be made to go silent: what is written
// to them is lost, what arrives is not read, and they stay open.
type SilentDialer struct {
	// before is in nanoseconds since the Unix epoch; connections that were
	// opened earlier are silent.
	before atomic.Int64
}

// Silence makes the connections that were opened before a time go silent.
func (d *SilentDialer) Silence(before time.Time) { d.before.Store(before.UnixNano()) }

// Dial opens a connection to an address.
func (d *SilentDialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &silentConn{Conn: c, dialer: d, opened: time.Now()}, nil
}

type silentConn struct {
	net.Conn
	dialer *SilentDialer
	opened time.Time
}

func (c *silentConn) silent() bool { return c.opened.UnixNano() < c.dialer.before.Load() }

// Write implements io.Writer.
func (c *silentConn) Write(p []byte) (int, error) {
	if c.silent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Read implements io.Reader.
func (c *silentConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent() {
			return n, err
		}
	}
}
