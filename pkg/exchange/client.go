package exchange

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// inlineWriteBytes is the size up to which a request is written before its
	// answer is read; longer ones are written beside the reading, because an
	// upstream may answer before it has read them.
	inlineWriteBytes = 16 << 10
	// maxResponseBytes bounds an answer.
	maxResponseBytes = 64 << 20
	// maxForeignAnswers bounds the answers to other requests that are skipped.
	maxForeignAnswers = 2
	// maxInterim bounds the 1xx answers before the final one.
	maxInterim = 4
	// unframed is fasthttp's content length of an answer that ends with its
	// connection.
	unframed = -2
	// maxSlots and maxSlowness bound what a load report may claim.
	maxSlots    = 10000
	maxSlowness = 100
)

// Config holds the inputs of a Client.
type Config struct {
	Headers Headers
	Now     func() time.Time
	// Dial opens a connection; Dial of this package is the default.
	Dial func(ctx context.Context, address string, timeout, silence time.Duration) (net.Conn, error)
}

// Client exchanges requests with upstreams.
type Client struct {
	config Config
	mu     sync.Mutex
	pools  map[string]*pool
	limits map[string]*idleBound
	dials  int64
}

// NewClient returns a Client.
func NewClient(config Config) *Client {
	if config.Dial == nil {
		config.Dial = Dial
	}
	return &Client{config: config, pools: make(map[string]*pool), limits: make(map[string]*idleBound)}
}

// Dials returns the number of connections opened.
func (c *Client) Dials() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dials
}

// Do sends the request to the target and reads its answer until deadline. A
// cancelled ctx closes the connection, which ends the work at the upstream.
func (c *Client) Do(ctx context.Context, t Target, req *Request, deadline time.Time) *Result {
	start := c.config.Now()
	r := c.do(ctx, t, req, deadline, start)
	r.Elapsed = c.config.Now().Sub(start)
	return r
}

func (c *Client) do(ctx context.Context, t Target, req *Request, deadline time.Time, start time.Time) *Result {
	p := c.pool(t)
	k := p.take(start, c.idleLimit(t, req.Idempotent, start))
	opened := k == nil
	var idle time.Duration
	if !opened {
		idle = k.idle(start)
	}
	if opened {
		var err error
		if k, err = c.open(ctx, p, t, deadline.Sub(start)); err != nil {
			return &Result{Outcome: NotRun, Reason: ConnectFailed, NewConnection: true, Err: err}
		}
	}
	r, reusable := c.exchange(ctx, k, t, req, deadline)
	r.NewConnection = opened
	if reusable {
		p.put(k, c.config.Now())
		return r
	}
	p.discard(k)
	switch {
	case k.silent:
		// What cut this connection off has usually cut the older ones too.
		p.retire(start)
	case !opened && !k.heard && r.gaveUp() && c.config.Now().Sub(start) >= suspectSilence:
		p.retireUnproven(start)
	}
	c.noteLoss(t, r, idle, start)
	return r
}

// noteLoss learns from a kept connection that was lost at its next request.
func (c *Client) noteLoss(t Target, r *Result, idle time.Duration, start time.Time) {
	now := c.config.Now()
	if r.Reason != Lost || r.NewConnection || now.Sub(start) > forgottenLoss+roundTrip(t) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleBound(t).lost(idle, now)
}

// idleLimit returns how long a connection may have been idle that is used for
// a request.
func (c *Client) idleLimit(t Target, idempotent bool, now time.Time) time.Duration {
	limit := firmIdleLimit
	if idempotent {
		limit = idleLimit
	}
	if idempotent && !t.SameRegion {
		// A repeat costs less than the opening of a connection across regions.
		return limit
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return min(limit, c.idleBound(t).at(now))
}

// idleBound returns the bound of the target's service; the caller holds the
// lock.
func (c *Client) idleBound(t Target) *idleBound {
	b := c.limits[t.Service]
	if b == nil {
		b = &idleBound{limit: idleLimit}
		c.limits[t.Service] = b
	}
	return b
}

func (c *Client) pool(t Target) *pool {
	key := t.ID + " " + t.Address
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[key]
	if p == nil {
		p = &pool{open: make(map[*conn]bool)}
		c.pools[key] = p
	}
	return p
}

func (c *Client) open(ctx context.Context, p *pool, t Target, left time.Duration) (*conn, error) {
	timeout, silence := farDialTimeout, farSilence
	if t.SameRegion {
		timeout, silence = nearDialTimeout, nearSilence
	}
	p.makeRoom(t.MaxConnections)
	c.mu.Lock()
	c.dials++
	c.mu.Unlock()
	raw, err := c.config.Dial(ctx, t.Address, max(time.Millisecond, min(timeout, left)), silence)
	if err != nil {
		return nil, errors.Trace(err)
	}
	k := &conn{Conn: raw, opened: c.config.Now()}
	k.reader = bufio.NewReaderSize(k, readBufferBytes)
	p.add(k)
	return k, nil
}

// RemoveUpstream closes the idle connections to an upstream that is no longer used.
func (c *Client) RemoveUpstream(t Target) {
	key := t.ID + " " + t.Address
	c.mu.Lock()
	p := c.pools[key]
	delete(c.pools, key)
	c.mu.Unlock()
	if p == nil {
		return
	}
	p.mu.Lock()
	p.gone = true
	p.mu.Unlock()
	// Every connection was opened before that time.
	p.retire(c.config.Now().Add(time.Hour))
}

// exchange writes the request and reads its answer. The second value tells
// whether the connection can carry another request.
func (c *Client) exchange(ctx context.Context, k *conn, t Target, req *Request, deadline time.Time) (*Result, bool) {
	stop := context.AfterFunc(ctx, func() { _ = k.SetDeadline(time.Unix(1, 0)) })
	if err := k.SetDeadline(deadline); err != nil {
		stop()
		return &Result{Outcome: NotRun, Reason: ConnectFailed, Err: errors.Trace(err)}, false
	}
	if ctx.Err() != nil {
		stop()
		return &Result{Outcome: NotRun, Reason: Cancelled, Err: ctx.Err()}, false
	}
	message := c.encode(t, req, deadline)
	written, n, err := write(k, message)
	if err != nil {
		stop()
		return writeFailure(ctx, n, err), false
	}
	used := k.used
	k.used, k.heard = true, false
	r, reusable := c.read(ctx, k, req, used)
	if !stop() {
		reusable = false
	}
	select {
	case err := <-written:
		reusable = reusable && err == nil
	default:
		// The upstream answered before it read the whole body; the rest of the
		// body must not be taken for the next request.
		reusable = false
	}
	return r, reusable
}
