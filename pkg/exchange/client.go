package exchange

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
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
	if k.silent {
		// What cut this connection off has usually cut the older ones too.
		p.retire(start)
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
	if idempotent && !t.Near {
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
	if t.Near {
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

// Forget closes the idle connections to an upstream that is no longer used.
func (c *Client) Forget(t Target) {
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
	k.used = true
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

// write sends the message, a long one beside the reading of the answer. The
// channel holds the end of the writing.
func write(k *conn, message []byte) (<-chan error, int, error) {
	written := make(chan error, 1)
	if len(message) <= inlineWriteBytes {
		n, err := k.Write(message)
		written <- err
		return written, n, err
	}
	go func() {
		_, err := k.Write(message)
		written <- err
	}()
	return written, len(message), nil
}

func writeFailure(ctx context.Context, n int, err error) *Result {
	r := &Result{Outcome: Unknown, Reason: Lost, Err: errors.Trace(err)}
	switch {
	case ctx.Err() != nil:
		r.Reason = Cancelled
	case timeout(err):
		r.Reason = TimedOut
	}
	if n == 0 {
		r.Outcome = NotRun
		if r.Reason == Lost {
			r.Reason = ConnectFailed
		}
	}
	return r
}

func timeout(err error) bool {
	var netErr net.Error
	return errors.Is(err, fasthttp.ErrTimeout) || errors.As(err, &netErr) && netErr.Timeout()
}

// encode renders the request with the fields of this attempt.
func (c *Client) encode(t Target, req *Request, deadline time.Time) []byte {
	b := make([]byte, 0, len(req.Head)+len(req.Body)+256)
	b = append(b, req.Head...)
	b = appendField(b, c.config.Headers.Target, t.ID)
	left := max(1, deadline.Sub(c.config.Now()).Milliseconds())
	b = appendField(b, c.config.Headers.Deadline, strconv.FormatInt(left, 10))
	if req.HasBody {
		b = appendField(b, "Content-Length", strconv.Itoa(len(req.Body)))
	}
	b = append(b, "\r\n"...)
	return append(b, req.Body...)
}

func appendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// read reads answers until the one to this request.
func (c *Client) read(ctx context.Context, k *conn, req *Request, used bool) (*Result, bool) {
	foreign := false
	for range maxForeignAnswers + 1 {
		message := fasthttp.AcquireResponse()
		r, reusable, mine := c.readOne(ctx, k, message, req, used || foreign)
		fasthttp.ReleaseResponse(message)
		if mine {
			return r, reusable && !foreign
		}
		foreign = true
	}
	return &Result{Outcome: Unknown, Reason: Malformed, Err: errors.New("answers to other requests")}, false
}

func (c *Client) readOne(ctx context.Context, k *conn, message *fasthttp.Response, req *Request, used bool) (r *Result, reusable, mine bool) {
	if err := readHeader(k.reader, message); err != nil {
		return readFailure(ctx, k, err), false, true
	}
	complete, err := readBody(k.reader, message, req.Method)
	if err != nil {
		return readFailure(ctx, k, err), false, true
	}
	h := &c.config.Headers
	id := string(message.Header.Peek(h.RequestID))
	if id != "" && id != req.ID {
		return nil, false, false
	}
	notRun := len(message.Header.Peek(h.NotRun)) > 0 || message.StatusCode() == http.StatusMisdirectedRequest
	if id == "" && req.ID != "" && (!notRun || used) {
		// Without the identifier it may be a late answer to another request.
		return &Result{Outcome: Unknown, Reason: Malformed, Err: errors.New("answer without identifier")}, false, true
	}
	r = c.convert(message)
	reusable = complete && !message.ConnectionClose() && k.reader.Buffered() == 0
	if idle := parseKeepAlive(message.Header.Peek("Keep-Alive")); idle > 0 {
		k.peerIdle = idle
	}
	switch {
	case message.StatusCode() == http.StatusMisdirectedRequest:
		r.Outcome, r.Reason = NotRun, Misdirected
	case notRun:
		r.Outcome, r.Reason = NotRun, Shed
	case r.Status < http.StatusMultipleChoices && !r.Signed:
		return &Result{Outcome: Unknown, Reason: Malformed, Load: r.Load, Err: errors.New("success without signature")}, false, true
	default:
		r.Outcome, r.Reason = Answered, Complete
	}
	return r, reusable, true
}

func readHeader(b *bufio.Reader, message *fasthttp.Response) error {
	for range maxInterim {
		if err := message.Header.Read(b); err != nil {
			return err
		}
		status := message.StatusCode()
		if status == http.StatusSwitchingProtocols {
			return errors.New("unexpected switch of protocols")
		}
		if status >= http.StatusOK {
			return nil
		}
	}
	return errors.New("too many interim answers")
}

// readBody reads the body; complete is false when the answer ends with the
// connection, so that no other answer can follow.
func readBody(b *bufio.Reader, message *fasthttp.Response, method string) (complete bool, err error) {
	status := message.StatusCode()
	if method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified {
		return true, nil
	}
	length := message.Header.ContentLength()
	if err := message.ReadBody(b, maxResponseBytes); err != nil {
		return false, err
	}
	if length == -1 {
		if err := message.Header.ReadTrailer(b); err != nil {
			return false, err
		}
	}
	return length != unframed, nil
}

func readFailure(ctx context.Context, k *conn, err error) *Result {
	r := &Result{Outcome: Unknown, Reason: Malformed, Err: errors.Trace(err)}
	var netErr net.Error
	switch {
	case ctx.Err() != nil:
		r.Reason = Cancelled
	case k.silent:
		r.Reason = Lost
	case timeout(err):
		r.Reason = TimedOut
	case errors.As(err, &netErr), lostConnection(err):
		r.Reason = Lost
	}
	return r
}

// lostConnection tells whether fasthttp reports the end of the connection.
func lostConnection(err error) bool {
	text := err.Error()
	return strings.Contains(text, "EOF") || strings.Contains(text, "reset") || strings.Contains(text, "closed")
}

// hopByHop holds the header fields that concern one connection or its framing.
var hopByHop = map[string]bool{
	"connection": true, "keep-alive": true, "te": true, "trailer": true, "transfer-encoding": true,
	"upgrade": true, "content-length": true, "proxy-connection": true, "proxy-authorization": true,
	"proxy-authenticate": true, "expect": true,
}

// Passed tells whether a header field goes on to the next hop.
func Passed(name string) bool { return !hopByHop[strings.ToLower(name)] }

func (c *Client) convert(message *fasthttp.Response) *Result {
	h := &c.config.Headers
	r := &Result{Status: message.StatusCode(), Leaving: message.ConnectionClose()}
	message.Header.SetNoDefaultContentType(true)
	for key, value := range message.Header.All() {
		name := string(key)
		switch {
		case strings.EqualFold(name, h.Load):
			r.Load = parseLoad(value)
		case strings.EqualFold(name, h.Signature):
			r.Signed = len(value) > 0
			r.Header = append(r.Header, Field{h.Signature, string(value)})
		case Passed(name):
			r.Header = append(r.Header, Field{name, string(value)})
		}
	}
	r.Body = append([]byte(nil), message.Body()...)
	return r
}

// parseLoad reads "running,waiting,slots" and an optional slowness in percent.
func parseLoad(value []byte) Load {
	parts := bytes.Split(value, []byte{','})
	if len(parts) < 3 {
		return Load{}
	}
	var n [4]int
	n[3] = 100
	for i := range min(len(parts), len(n)) {
		v, err := strconv.Atoi(string(bytes.TrimSpace(parts[i])))
		if err != nil || v < 0 || v > maxSlots*maxSlowness {
			return Load{}
		}
		n[i] = v
	}
	return Load{Known: true, Running: min(n[0], maxSlots), Waiting: min(n[1], maxSlots), Slots: min(n[2], maxSlots), Slowness: min(maxSlowness, max(0.1, float64(n[3])/100))}
}

// parseKeepAlive reads the idle timeout of a Keep-Alive field.
func parseKeepAlive(value []byte) time.Duration {
	for _, part := range strings.Split(string(value), ",") {
		name, number, _ := strings.Cut(strings.TrimSpace(part), "=")
		if strings.EqualFold(name, "timeout") {
			if n, err := strconv.Atoi(strings.TrimSpace(number)); err == nil && n > 0 && n < 1<<20 {
				return time.Duration(n) * time.Second
			}
		}
	}
	return 0
}
