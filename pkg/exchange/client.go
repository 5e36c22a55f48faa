package exchange

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

const (
	// inlineWriteBytes is the maximum size of a request that is written before
	// its response is read. Larger requests are written concurrently with the
	// read, because an upstream may respond before it has read the whole
	// request.
	inlineWriteBytes = 16 << 10
	// maxResponseBytes is the maximum size of a response body.
	maxResponseBytes = 64 << 20
	// minBufferedBytes is the part of a response that is read even if
	// MaxBufferedBytes is used up, so that long responses do not fail short ones.
	minBufferedBytes = 32 << 10
	// maxMismatchedResponses is the maximum number of responses to other
	// requests that are skipped.
	maxMismatchedResponses = 2
	// smallestRateLimit stands for a stated rate limit of 0, in requests per second. It
	// differs from 0, which means that no limit is stated.
	smallestRateLimit = 1e-3
	// maxSlots and maxSlowness cap the values accepted from a load report.
	maxSlots    = 10000
	maxSlowness = 100
)

// Config configures a Client.
type Config struct {
	Headers Headers
	Now     func() time.Time
	// Dial opens a connection; nil selects Dial of this package.
	Dial func(ctx context.Context, address string, timeout, ackTimeout time.Duration) (net.Conn, error)
	// MaxBufferedBytes is the maximum total size of the responses that are being
	// read; 0 means maxResponseBytes. A response that exceeds it fails, unless it is
	// short.
	MaxBufferedBytes int64
}

// Client sends requests to upstreams over pooled connections.
type Client struct {
	config        Config
	mu            sync.Mutex
	pools         map[string]*pool
	idleEstimates map[string]*idleEstimate
	dialCount     int64
	// bufferedBytes is the number of bytes read of responses that are not complete.
	bufferedBytes atomic.Int64
	silence       *silenceDetector
}

// NewClient returns a Client without open connections.
func NewClient(config Config) *Client {
	if config.Dial == nil {
		config.Dial = Dial
	}
	if config.MaxBufferedBytes <= 0 {
		config.MaxBufferedBytes = maxResponseBytes
	}
	return &Client{config: config, pools: make(map[string]*pool), idleEstimates: make(map[string]*idleEstimate), silence: newSilenceDetector()}
}

// Dials returns the number of connection attempts so far.
func (c *Client) Dials() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dialCount
}

// CloseSilent checks whether the kept connections to all upstreams have stopped
// delivering data. It then closes the idle ones and ends the idempotent requests that
// wait on the others, so that they can be sent on new connections. It returns how long
// the connections have been silent, or 0 if they are not. It has to be called often.
func (c *Client) CloseSilent() time.Duration {
	now := c.config.Now()
	silence := c.silence.check(now, func(k *conn) {
		k.givenUp = true
		_ = k.SetDeadline(time.Unix(1, 0))
	})
	if silence == 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.closeUnansweredSince(now.Add(-silence))
	}
	return silence
}

// Do sends the request to the target and waits for the response until deadline.
// Cancelling ctx closes the connection, which stops the work at the upstream.
func (c *Client) Do(ctx context.Context, t Target, req *Request, deadline time.Time) *Result {
	start := c.config.Now()
	r := c.do(ctx, t, req, deadline, start)
	r.Elapsed = c.config.Now().Sub(start)
	return r
}

func (c *Client) do(ctx context.Context, t Target, req *Request, deadline time.Time, start time.Time) *Result {
	p := c.pool(t)
	var k *conn
	if req.ID != "" {
		// A late second response to an earlier request could not be told from the
		// response to a request without an identifier.
		k = p.get(start, c.idleLimit(t, req.Idempotent, start))
	}
	opened := k == nil
	var idle time.Duration
	if !opened {
		idle = k.idleTime(start)
	}
	if opened {
		var err error
		if k, err = c.open(ctx, p, t, deadline.Sub(start)); err != nil {
			return &Result{Outcome: NotRun, Reason: c.dialFailure(ctx, deadline, err), NewConnection: true, Err: err}
		}
	}
	var connectTime time.Duration
	if opened {
		connectTime = k.openedAt.Sub(start)
	}
	r, reusable := c.exchange(ctx, k, t, req, deadline)
	r.NewConnection, r.ConnectTime = opened, connectTime
	if reusable {
		p.put(k, c.config.Now())
		return r
	}
	if r.Outcome == Unknown {
		k.resetOnClose()
	}
	p.discard(k)
	switch {
	case k.ackTimedOut:
		// A failure that cut off this connection has usually cut off the older
		// connections to the upstream too.
		p.closeOpenedBefore(start)
	case !opened && !k.responseStarted && r.stoppedWaiting() && c.config.Now().Sub(start) >= unresponsiveThreshold:
		p.closeUnansweredSince(start)
	}
	c.lowerIdleLimit(t, r, idle, start)
	return r
}

// lowerIdleLimit lowers the idle limit of the service when a reused connection
// was lost shortly after a request was sent on it.
func (c *Client) lowerIdleLimit(t Target, r *Result, idle time.Duration, start time.Time) {
	now := c.config.Now()
	if r.Reason != ConnectionLost || r.NewConnection || now.Sub(start) > idleLossWindow+maxRoundTrip(t) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleEstimateFor(t).recordLoss(idle, now)
}

// idleLimit returns the maximum idle time of a connection that is reused for a
// request to the target.
func (c *Client) idleLimit(t Target, idempotent bool, now time.Time) time.Duration {
	limit := nonIdempotentIdleLimit
	switch {
	case idempotent:
		limit = maxIdleLimit
	case !c.silence.deliveredRecently(now):
		// After a quiet time all kept connections may be silent. The loss of a request
		// that may not run twice costs more than opening a connection.
		limit = deliveryWindow
	}
	if idempotent && !t.SameRegion {
		// Across regions, a retry after the loss of an idle connection costs less
		// than opening a new connection.
		return limit
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return min(limit, c.idleEstimateFor(t).currentLimit(now))
}

// idleEstimateFor returns the idle estimate of the target's service. c.mu must
// be held.
func (c *Client) idleEstimateFor(t Target) *idleEstimate {
	e := c.idleEstimates[t.Service]
	if e == nil {
		e = &idleEstimate{limit: maxIdleLimit}
		c.idleEstimates[t.Service] = e
	}
	return e
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

func (c *Client) open(ctx context.Context, p *pool, t Target, remaining time.Duration) (*conn, error) {
	timeout, ackTimeout := crossRegionDialTimeout, crossRegionAckTimeout
	if t.SameRegion {
		timeout, ackTimeout = sameRegionDialTimeout, sameRegionAckTimeout
	}
	p.evictIdle(t.MaxConnections)
	c.mu.Lock()
	c.dialCount++
	c.mu.Unlock()
	raw, err := c.config.Dial(ctx, t.Address, max(time.Millisecond, min(timeout, remaining)), ackTimeout)
	if err != nil {
		return nil, errors.Trace(err)
	}
	k := &conn{Conn: raw, openedAt: c.config.Now(), client: c}
	k.reader = bufio.NewReaderSize(k, readBufferBytes)
	p.add(k)
	return k, nil
}

// dialFailure returns the reason of a failed attempt to open a connection. The end of the
// request, by its caller or by its deadline, tells nothing about the upstream.
func (c *Client) dialFailure(ctx context.Context, deadline time.Time, err error) Reason {
	switch {
	case ctx.Err() != nil:
		return Cancelled
	case isTimeout(err) && !c.config.Now().Before(deadline):
		return OutOfTime
	}
	return ConnectFailed
}

// RemoveUpstream drops the connection pool of an upstream that is no longer
// used and closes its idle connections.
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
	p.removed = true
	p.mu.Unlock()
	// All connections were opened before this time, so all idle ones are closed.
	p.closeOpenedBefore(c.config.Now().Add(time.Hour))
}

// exchange writes the request and reads the response. The second result reports
// whether the connection can be reused.
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
	if !t.ExpiresAt.IsZero() && c.config.Now().After(t.ExpiresAt) || t.OutOfDate != nil && t.OutOfDate() {
		return &Result{Outcome: NotRun, Reason: Expired}, stop()
	}
	message := c.encode(t, req, deadline)
	w, n, err := write(k, message)
	if err != nil {
		stop()
		return writeFailure(ctx, n, err), false
	}
	used := k.used
	k.used, k.responseStarted = true, false
	if used && len(message) <= inlineWriteBytes {
		c.silence.sent(k, t.ID, req.Idempotent, c.config.Now())
	}
	r, reusable := c.read(ctx, w, req, used)
	c.silence.ended(k)
	if k.givenUp && r.Outcome != Answered {
		r.Reason, reusable = Silent, false
	}
	k.endResponse()
	if !stop() {
		reusable = false
	}
	// If the upstream responded before it read the whole body, the rest of the body must
	// not be parsed as the next request.
	return r, reusable && w.complete()
}
