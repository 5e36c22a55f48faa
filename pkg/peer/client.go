package peer

import (
	"context"
	"crypto/tls"
	"log/slog"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"
	"github.com/rcrowley/go-metrics"

	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

const (
	// dialTimeout leaves room for two retransmissions of a handshake packet at
	// the 55 ms latency between regions.
	dialTimeout = time.Second
	// redialPause is the time in which calls share the failure of a dial.
	redialPause = 100 * time.Millisecond
	// pingInterval and pingTimeout replace a silent connection within 1.25 s
	// while a call waits on it.
	pingInterval = 250 * time.Millisecond
	pingTimeout  = time.Second
	// idlePingInterval is the interval without calls in flight; pings at the
	// short interval were four of five messages between 12 idle agents.
	idlePingInterval = time.Second
	// keepUnused is the time after which a connection without calls is closed
	// instead of pinged.
	keepUnused = 10 * time.Second
	// streamHeadroom is the factor by which a server allows more streams than a
	// client uses: a finished call keeps its stream for another round trip, and
	// a ping must always get one.
	streamHeadroom = 2
	// maxDials is the number of connections that one call may try before
	// anything was sent.
	maxDials = 2
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// TLS is the client configuration of LoadTLS or NewTLS.
	TLS    *tls.Config
	Logger *slog.Logger
	// Registry receives the counters; nil keeps them private.
	Registry metrics.Registry
	// LocalAddress is the process's own address from its settings. Connections
	// leave from its IP address, so that filters on the path can tell
	// instances apart; empty lets the system choose. The port is not used.
	LocalAddress string
}

// Client sends messages to peers over one connection per address.
type Client struct {
	cfg      ClientConfig
	counters *counters
	// maxCalls and keepUnused are constants that tests shorten.
	maxCalls   int64
	keepUnused time.Duration

	mu     sync.Mutex
	conns  map[string]*connection
	closed bool
}

var _ Caller = (*Client)(nil)

// NewClient returns a client; it opens connections on demand.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Logger == nil {
		cfg.Logger = event.Discard()
	}
	return &Client{
		cfg:      cfg,
		counters: newCounters(cfg.Registry, "client"),
		conns:    make(map[string]*connection),

		maxCalls:   MaxStreamsPerConn,
		keepUnused: keepUnused,
	}
}

// Call implements Caller.
func (c *Client) Call(ctx context.Context, addr string, typ MessageType, msg, reply any) error {
	body, err := Encode(msg)
	if err != nil {
		return err
	}
	conn, stream, err := c.open(ctx, addr)
	if err != nil {
		c.counters.failures.Inc(1)
		return err
	}
	defer conn.end()
	err = c.exchange(ctx, conn, stream, typ, appendFrame(byte(typ), body), reply)
	if err != nil {
		c.counters.failures.Inc(1)
	}
	return err
}

// open returns a stream on a usable connection, which counts the call until
// its end. A connection that has ended is replaced, because nothing was sent on
// it yet.
func (c *Client) open(ctx context.Context, addr string) (*connection, *quic.Stream, error) {
	var last error
	for range maxDials {
		conn, err := c.connect(ctx, addr)
		if err != nil {
			return nil, nil, result.New(result.PeerUnreachable, "%s: %v", addr, err)
		}
		stream, err := conn.openStream(ctx)
		if err == nil {
			return conn, stream, nil
		}
		if err == errBusy || ctx.Err() != nil {
			return nil, nil, result.New(result.PeerUnreachable, "%s: %v", addr, err)
		}
		c.remove(conn)
		last = err
	}
	return nil, nil, result.New(result.PeerUnreachable, "%s: %v", addr, last)
}

// connect returns the connection of an address and dials when there is none.
func (c *Client) connect(ctx context.Context, addr string) (*connection, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, errors.New("client closed")
	}
	conn := c.conns[addr]
	if conn == nil || conn.expired() {
		conn = newConnection(c, addr)
		c.conns[addr] = conn
		go conn.run()
	}
	c.mu.Unlock()
	select {
	case <-conn.ready:
		return conn, conn.dialError
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// remove forgets a connection, so that the next call opens a new one.
func (c *Client) remove(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[conn.addr] == conn {
		delete(c.conns, conn.addr)
	}
}

// exchange writes a request on its stream and reads the reply; the end of ctx
// resets the stream.
func (c *Client) exchange(ctx context.Context, conn *connection, stream *quic.Stream, typ MessageType, frame []byte, reply any) error {
	stop := context.AfterFunc(ctx, func() {
		stream.CancelWrite(cancelled)
		stream.CancelRead(cancelled)
	})
	defer stop()
	count := c.counters.of(typ)
	count.calls.Inc(1)
	count.sent.Inc(int64(len(frame)))
	if _, err := stream.Write(frame); err != nil {
		stream.CancelRead(cancelled)
		return conn.failure(ctx, err)
	}
	kind, body, err := readFrame(stream)
	if err != nil {
		stream.CancelWrite(cancelled)
		stream.CancelRead(cancelled)
		return conn.failure(ctx, err)
	}
	// The closed side tells the server that the reply has arrived.
	stream.Close()
	conn.answered()
	count.received.Inc(int64(headerBytes + len(body)))
	return readReply(kind, body, reply)
}

// Close closes all connections; calls in flight fail with PeerNoAnswer.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	conns := c.conns
	c.conns = make(map[string]*connection)
	c.mu.Unlock()
	for _, conn := range conns {
		conn.close(closedNormally, "client closed")
	}
}
