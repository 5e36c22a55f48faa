package peer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"

	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// connection is one connection to a peer, from the dial to the close. It has a
// UDP socket of its own: a new connection must not share the flow whose state
// a component on the path may have lost.
type connection struct {
	client *Client
	addr   string
	ctx    context.Context
	cancel context.CancelFunc

	// ready is closed when the dial has ended; quic and dialError are set then.
	ready     chan struct{}
	quic      *quic.Conn
	dialError error

	// lastUse and lastAnswer are times since start.
	start      time.Time
	lastUse    atomic.Int64
	lastAnswer atomic.Int64
	inFlight   atomic.Int64
}

func newConnection(client *Client, addr string) *connection {
	ctx, cancel := context.WithCancel(context.Background())
	return &connection{
		client: client,
		addr:   addr,
		ctx:    ctx,
		cancel: cancel,
		ready:  make(chan struct{}),
		start:  time.Now(),
	}
}

// retired makes inFlight negative, whatever calls begin on the connection.
const retired = -1 << 40

var (
	errBusy  = errors.New("too many calls in flight")
	errEnded = errors.New("the connection was unused and is being closed")
)

// begin counts a call, unless the connection has as many as it may or is being
// closed.
func (c *connection) begin() error {
	n := c.inFlight.Add(1)
	if n > 0 && n <= c.client.maxCalls {
		c.used()
		return nil
	}
	c.inFlight.Add(-1)
	if n <= 0 {
		return errEnded
	}
	return errBusy
}

// retire ends an unused connection for new calls; it fails when a call has
// begun, which must not be cut off.
func (c *connection) retire() bool {
	return c.sinceUse() > c.client.keepUnused && c.inFlight.CompareAndSwap(0, retired)
}

// openStream opens the stream of a call, which end must end.
func (c *connection) openStream(ctx context.Context) (*quic.Stream, error) {
	if err := c.begin(); err != nil {
		return nil, err
	}
	stream, err := c.quic.OpenStreamSync(ctx)
	if err == nil && ctx.Err() == nil {
		return stream, nil
	}
	c.end()
	if err == nil {
		stream.CancelWrite(cancelled)
		stream.CancelRead(cancelled)
		err = ctx.Err()
	}
	return nil, err
}

// end ends a call that begin counted.
func (c *connection) end() {
	c.used()
	c.inFlight.Add(-1)
}

func (c *connection) used()     { c.lastUse.Store(int64(time.Since(c.start))) }
func (c *connection) answered() { c.lastAnswer.Store(int64(time.Since(c.start))) }

func (c *connection) sinceUse() time.Duration {
	return time.Since(c.start) - time.Duration(c.lastUse.Load())
}

func (c *connection) sinceAnswer() time.Duration {
	return time.Since(c.start) - time.Duration(c.lastAnswer.Load())
}

// expired reports whether a new connection must take this one's place.
func (c *connection) expired() bool {
	select {
	case <-c.ready:
	default:
		return false
	}
	return c.dialError == nil && c.quic.Context().Err() != nil
}

// run dials and then pings until the connection ends.
func (c *connection) run() {
	defer c.cancel()
	ctx, cancel := context.WithTimeout(c.ctx, dialTimeout)
	transport, err := newTransport(c.client.cfg.LocalAddress)
	if err == nil {
		defer closeTransport(transport)
		c.quic, err = dial(ctx, transport, c.addr, c.client.cfg.TLS)
	}
	c.dialError = err
	cancel()
	c.used()
	c.answered()
	close(c.ready)
	if c.dialError != nil {
		time.AfterFunc(redialPause, func() { c.client.remove(c) })
		return
	}
	c.client.counters.opened.Inc(1)
	c.watch()
	c.client.remove(c)
}

// watch pings the connection and closes it when it is silent or unused.
func (c *connection) watch() {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.quic.Context().Done():
			return
		case <-c.ctx.Done():
			c.quic.CloseWithError(closedNormally, "client closed")
			return
		case <-ticker.C:
		}
		if c.retire() {
			c.client.remove(c)
			c.close(closedNormally, "unused")
			return
		}
		// An answer to a call during the ping is as good as the ping's own.
		if c.sinceAnswer() < c.pingDue() || c.ping() || c.sinceAnswer() < pingTimeout {
			continue
		}
		c.replace()
		return
	}
}

// pingDue returns the time without an answer after which a ping is due.
func (c *connection) pingDue() time.Duration {
	if c.inFlight.Load() > 0 {
		return pingInterval
	}
	return idlePingInterval
}

// ping reports whether the peer answered an application ping in time.
func (c *connection) ping() bool {
	sent := time.Now()
	if c.pingOnce() {
		return true
	}
	if time.Since(sent) < 2*pingTimeout {
		return false
	}
	// The own process was paused; the answer may be waiting in the socket.
	return c.pingOnce()
}

func (c *connection) pingOnce() bool {
	ctx, cancel := context.WithTimeout(c.ctx, pingTimeout)
	defer cancel()
	stream, err := c.quic.OpenStreamSync(ctx)
	if err != nil {
		return false
	}
	return c.client.exchange(ctx, c, stream, Ping, appendFrame(byte(Ping), nil), nil) == nil
}

// replace gives a silent connection up: new calls open a new connection, and
// the calls in flight fail.
func (c *connection) replace() {
	c.client.remove(c)
	if c.ctx.Err() == nil && c.quic.Context().Err() == nil {
		c.client.counters.replaced.Inc(1)
		event.Log(c.client.cfg.Logger, event.PeerReplaced, "address", c.addr)
	}
	c.close(closedSilent, "no answer to a ping")
}

func (c *connection) close(code quic.ApplicationErrorCode, reason string) {
	c.cancel()
	select {
	case <-c.ready:
	default:
		return
	}
	if c.quic != nil {
		c.quic.CloseWithError(code, reason)
	}
}

// failure returns the error of a call that failed after its first write. Only
// a refused connection proves that the message was not read.
func (c *connection) failure(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return result.New(result.PeerNoAnswer, "%s: %v", c.addr, ctx.Err())
	}
	if result.CodeOf(err) == result.PeerProtocol {
		return err
	}
	var closed *quic.ApplicationError
	if errors.As(err, &closed) && closed.Remote && closed.ErrorCode == closedRefused {
		return result.New(result.PeerUnreachable, "%s: connection refused", c.addr)
	}
	return result.New(result.PeerNoAnswer, "%s: %v", c.addr, err)
}
