package peer

import (
	"crypto/tls"
	"time"
)

// SetLimits shortens limits of the client; it must precede the first call.
func (c *Client) SetLimits(maxCalls int64, keepUnused time.Duration) {
	c.maxCalls, c.keepUnused = maxCalls, keepUnused
}

// TLS returns the client's configuration, so that a test can make another one.
func (c *Client) TLS() *tls.Config { return c.cfg.TLS }

// Closed reports whether the server has closed its socket.
func (s *Server) Closed() bool {
	select {
	case <-s.closed:
		return true
	default:
		return false
	}
}
