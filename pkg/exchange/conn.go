package exchange

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"
)

const (
	// readBufferBytes is the size of the read buffer of a connection, and thus the
	// maximum size of a response header.
	readBufferBytes = 8 << 10
	// sameRegionDialTimeout and crossRegionDialTimeout limit the time to open a
	// connection. They are shorter than the second after which TCP retransmits a
	// lost SYN.
	sameRegionDialTimeout  = 250 * time.Millisecond
	crossRegionDialTimeout = 600 * time.Millisecond
	// sameRegionAckTimeout and crossRegionAckTimeout limit how long sent bytes
	// may remain unacknowledged by TCP. They allow two retransmissions of a lost
	// packet.
	sameRegionAckTimeout  = time.Second
	crossRegionAckTimeout = 1500 * time.Millisecond
	// If a request on a reused connection times out or is cancelled after waiting
	// at least unresponsiveThreshold without receiving a byte, the connection is
	// considered dead. All idle connections to the upstream without a response since
	// the request started are then closed too. The ACK timeout does not detect a dead
	// connection if a middlebox still acknowledges the sent bytes.
	unresponsiveThreshold = 900 * time.Millisecond
	// maxLateReadTime is how long after its deadline a response is still read, if its
	// bytes are there.
	maxLateReadTime = 100 * time.Millisecond
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT, which package syscall
	// does not define.
	tcpUserTimeout = 18
)

// keepAliveConfig detects idle connections whose peer vanished without a reset.
var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// Dial opens a TCP connection that fails when its peer stops responding. An
// idle connection is checked by keep-alive probes; while a request is in
// flight, sent bytes must be acknowledged within ackTimeout. An ackTimeout of 0
// leaves the default of the operating system.
func Dial(ctx context.Context, address string, timeout, ackTimeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAliveConfig: keepAliveConfig}
	if ackTimeout > 0 {
		d.Control = func(_, _ string, raw syscall.RawConn) error {
			var err error
			if controlErr := raw.Control(func(fd uintptr) {
				err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(ackTimeout.Milliseconds()))
			}); controlErr != nil {
				return controlErr
			}
			return err
		}
	}
	return d.DialContext(ctx, "tcp", address)
}

// conn is a pooled connection to an upstream.
type conn struct {
	net.Conn
	reader   *bufio.Reader
	client   *Client
	openedAt time.Time
	// lastResponseAt is the time of the last complete response.
	lastResponseAt time.Time
	// peerIdleTimeout is the idle timeout announced by the upstream, 0 if none.
	peerIdleTimeout time.Duration
	// used is set once a request was sent on the connection.
	used bool
	// ackTimedOut is set when sent bytes were not acknowledged in time.
	ackTimedOut bool
	// responseStarted is set when bytes arrived since the last request was sent.
	responseStarted bool
	// givenUp is set when the request in flight is ended because all kept connections
	// are silent. It is guarded by the mutex of the client's silenceDetector until the
	// request has left that.
	givenUp bool
	// responseBytes is the number of bytes read since the last request was sent.
	responseBytes int64
	// firstLateReadAt is the time of the first read of the current response after its
	// deadline.
	firstLateReadAt time.Time
}

// resetOnClose makes Close reset the connection. Bytes of a request that was given up and that
// are held up on their way are dropped then; after an orderly close they would be delivered
// when the path is restored, and the request would run long after its caller was answered.
func (c *conn) resetOnClose() {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		// An error means that the connection has ended.
		_ = tcp.SetLinger(0)
	}
}

// errTooManyBufferedBytes ends a response for which no memory is left.
var errTooManyBufferedBytes = errors.New("the responses being read exceed the memory for them")

// countBuffered adds received bytes of the current response and fails if they exceed
// the memory for responses.
func (c *conn) countBuffered(n int) error {
	c.responseBytes += int64(n)
	total := c.client.bufferedBytes.Add(int64(n))
	if total > c.client.config.MaxBufferedBytes && c.responseBytes > minBufferedBytes {
		return errTooManyBufferedBytes
	}
	return nil
}

// lateReadsOver reports whether the bytes that arrived before the deadline must have been
// read by now. Without this limit, a response that never pauses is read long after it.
func (c *conn) lateReadsOver() bool {
	now := c.client.config.Now()
	if c.firstLateReadAt.IsZero() {
		c.firstLateReadAt = now
	}
	return now.Sub(c.firstLateReadAt) > maxLateReadTime
}

// startResponse records that bytes of the current response have arrived.
func (c *conn) startResponse() {
	if !c.responseStarted {
		c.responseStarted = true
		c.client.silence.delivered(c, c.client.config.Now())
	}
}

// endResponse ends the counts of the current response.
func (c *conn) endResponse() {
	c.client.bufferedBytes.Add(-c.responseBytes)
	c.responseBytes, c.firstLateReadAt = 0, time.Time{}
}

// idleTime returns the time since the last complete response.
func (c *conn) idleTime(now time.Time) time.Duration { return now.Sub(c.lastResponseAt) }

// withinIdleLimit reports whether the idle time is at most limit and at most
// keepAliveFraction of the idle timeout announced by the upstream, if any.
func (c *conn) withinIdleLimit(now time.Time, limit time.Duration) bool {
	if c.peerIdleTimeout > 0 {
		limit = min(limit, time.Duration(keepAliveFraction*float64(c.peerIdleTimeout)))
	}
	return c.idleTime(now) <= limit
}

// Read implements net.Conn. Unlike package net, it still returns received bytes
// after the deadline, because a response that arrived in time must not be
// discarded.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.startResponse()
		if err := c.countBuffered(n); err != nil {
			return n, err
		}
	}
	if n > 0 || !isTimeout(err) || len(p) == 0 {
		return n, err
	}
	if errors.Is(err, syscall.ETIMEDOUT) {
		c.ackTimedOut = true
		return n, err
	}
	if c.lateReadsOver() {
		return n, err
	}
	if arrived := c.receive(p, 0); arrived > 0 {
		c.startResponse()
		return arrived, c.countBuffered(arrived)
	}
	return n, err
}

// receive reads available bytes without blocking. It returns their number, 0 if
// there are none, and -1 if the connection has ended. It uses Control because
// Control, unlike Read, does not fail after the deadline.
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

// openAndEmpty reports whether the idle connection is open and has no
// unsolicited bytes to read.
func (c *conn) openAndEmpty() bool {
	var b [1]byte
	return c.receive(b[:], syscall.MSG_PEEK) == 0
}
