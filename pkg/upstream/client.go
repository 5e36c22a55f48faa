// Package upstream exchanges requests with upstreams over HTTP/1.1.
//
// The package keeps its own connections and uses fasthttp only as the message
// codec, because fasthttp's client may repeat a request on its own. Every
// exchange is written at most once, and every failure is classified by whether
// a byte of the request may have left the process.
//
// A connection can go silent while new ones work, so a connection that was idle
// for IdleLimit is replaced instead of probed, and a request that is not
// idempotent uses only a new connection or one that answered within FreshLimit.
package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/request"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// Limits on connections.
const (
	// IdleLimit is the idle time after which a connection is replaced: a new
	// connection costs 1 ms and a probe 6 ms.
	IdleLimit = time.Second
	// FreshLimit is how recently a connection must have answered to carry a
	// request that is not idempotent.
	FreshLimit = 500 * time.Millisecond
	// dialLimit bounds the opening of a connection, so that a lost SYN packet
	// does not use up the deadline of a request that can run elsewhere.
	dialLimit = time.Second
	// maxIdle bounds the idle connections of one upstream.
	maxIdle = 64
)

// Dialer opens a connection to an address.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Config holds the inputs of a Client.
type Config struct {
	Now  func() time.Time
	Dial Dialer
}

// Client exchanges requests with upstreams.
type Client struct {
	config Config
	mu     sync.Mutex
	pools  map[string]*connPool
}

// NewClient returns a Client; zero fields of config get their defaults.
func NewClient(config Config) *Client {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Dial == nil {
		dialer := &net.Dialer{Timeout: dialLimit, KeepAlive: -1}
		config.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	return &Client{config: config, pools: make(map[string]*connPool)}
}

type newConnectionKey struct{}

// WithNewConnection makes Do use a new connection, as a hedge needs to avoid
// connections that went silent.
func WithNewConnection(ctx context.Context) context.Context {
	return context.WithValue(ctx, newConnectionKey{}, true)
}

// Do sends req to the upstream at address as the named execution and returns
// its complete answer or an error with a result code.
func (c *Client) Do(ctx context.Context, address string, req *request.Request, execution string) (*request.Response, error) {
	if err := validate(req); err != nil {
		return nil, err
	}
	ctx, stop := withDeadline(ctx, req.Deadline)
	defer stop()
	if err := beforeStart(ctx); err != nil {
		return nil, err
	}
	conn, err := c.acquire(ctx, address, req.Idempotent)
	if err != nil {
		return nil, err
	}
	resp, reusable, err := exchange(ctx, conn, address, req, execution)
	c.release(conn, reusable)
	return resp, err
}

func withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

// beforeStart returns the error of a context that ended before anything was sent.
func beforeStart(ctx context.Context) error {
	switch ctx.Err() {
	case nil:
		return nil
	case context.DeadlineExceeded:
		return result.New(result.DeadlineBeforeStart, "deadline passed before the request was sent")
	default:
		return result.New(result.CancelledBeforeStart, "cancelled before the request was sent")
	}
}

func (c *Client) acquire(ctx context.Context, address string, idempotent bool) (*conn, error) {
	pool := c.pool(address)
	if ctx.Value(newConnectionKey{}) == nil {
		maxAge := IdleLimit
		if !idempotent {
			maxAge = FreshLimit
		}
		if conn := pool.take(c.config.Now(), maxAge); conn != nil {
			return conn, nil
		}
	}
	return c.open(ctx, pool, address)
}

func (c *Client) open(ctx context.Context, pool *connPool, address string) (*conn, error) {
	opened := c.config.Now()
	raw, err := c.config.Dial(ctx, address)
	if err != nil {
		if ended := beforeStart(ctx); ended != nil {
			return nil, ended
		}
		return nil, result.New(result.UpstreamConnect, "%s: %v", address, err)
	}
	conn := &conn{Conn: raw, pool: pool, opened: opened}
	conn.reader = bufio.NewReaderSize(conn, bufferBytes)
	conn.writer = bufio.NewWriterSize(conn, bufferBytes)
	pool.add(conn)
	return conn, nil
}

func (c *Client) release(conn *conn, reusable bool) {
	if reusable && conn.SetDeadline(time.Time{}) == nil {
		conn.pool.put(conn, c.config.Now())
		return
	}
	conn.pool.discard(conn)
}

func (c *Client) pool(address string) *connPool {
	c.mu.Lock()
	defer c.mu.Unlock()
	pool := c.pools[address]
	if pool == nil {
		pool = &connPool{open: make(map[*conn]bool)}
		c.pools[address] = pool
	}
	return pool
}

// Retire closes all connections to address that were opened before a time and
// returns how many there were. Exchanges on them fail as unknown.
func (c *Client) Retire(address string, before time.Time) int {
	return c.pool(address).retire(before)
}

// Forget closes the idle connections of an upstream that is no longer in use.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	pool := c.pools[address]
	delete(c.pools, address)
	c.mu.Unlock()
	if pool != nil {
		pool.closeIdle()
	}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	pools := c.pools
	c.pools = make(map[string]*connPool)
	c.mu.Unlock()
	for _, pool := range pools {
		// Every connection was opened before that time.
		pool.retire(c.config.Now().Add(time.Hour))
	}
}
