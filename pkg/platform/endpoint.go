package platform

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/request"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

const (
	// maxAnswerBytes bounds every answer; the largest is a list of 1,000 rows.
	maxAnswerBytes = 32 << 20
	// maxConnections bounds the connections for reads and those for writes.
	maxConnections = 16
	// The latency sample covers about the last five minutes.
	sampleSize  = 1028
	sampleDecay = 0.015
	// idleConnection closes pooled connections before a component between the
	// two ends is likely to have dropped their state.
	idleConnection = time.Second
)

// dialError marks a failure before any byte was sent.
type dialError struct{ err error }

func (e *dialError) Error() string { return "dial: " + e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }

// answer is the status and the body of one HTTP exchange.
type answer struct {
	status int
	// notRun tells that the service states that it did nothing.
	notRun bool
	body   []byte
}

// serverFailed tells whether the service reported that it cannot serve now.
func (a answer) serverFailed() bool {
	return a.status >= fasthttp.StatusInternalServerError || a.status == fasthttp.StatusTooManyRequests
}

// endpoint exchanges HTTP messages with one service of the platform.
type endpoint struct {
	name    string
	address string
	client  *Client
	health  health
	reads   fasthttp.HostClient
	writes  fasthttp.HostClient
	// transport sends one request once; tests replace it.
	transport func(write bool, timeout time.Duration, prepare func(*fasthttp.Request)) (answer, error)

	calls    metrics.Counter
	failures metrics.Counter
	refused  metrics.Counter
	up       metrics.Gauge
	latency  metrics.Histogram
}

func newEndpoint(c *Client, name, address string) *endpoint {
	registry := c.config.Metrics
	e := &endpoint{
		name: name, address: address, client: c,
		health:   health{random: c.config.Random},
		calls:    metrics.GetOrRegisterCounter("platform."+name+".calls", registry),
		failures: metrics.GetOrRegisterCounter("platform."+name+".failures", registry),
		refused:  metrics.GetOrRegisterCounter("platform."+name+".refused", registry),
		up:       metrics.GetOrRegisterGauge("platform."+name+".up", registry),
		// A metrics.Timer would start a goroutine that never ends.
		latency: metrics.GetOrRegisterHistogram("platform."+name+".latency_us", registry,
			metrics.NewExpDecaySample(sampleSize, sampleDecay)),
	}
	e.up.Update(1)
	e.transport = e.send
	e.configure(&e.reads)
	e.configure(&e.writes)
	return e
}

// configure sets up a client that sends every request once: by default
// fasthttp repeats a GET or PUT up to five times.
func (e *endpoint) configure(h *fasthttp.HostClient) {
	h.Addr = e.address
	h.Dial = func(addr string) (net.Conn, error) {
		conn, err := net.DialTimeout("tcp", addr, e.client.config.Timeout)
		if err != nil {
			return nil, &dialError{err}
		}
		return conn, nil
	}
	h.MaxIdemponentCallAttempts = 1
	h.RetryIfErr = func(*fasthttp.Request, int, error) (bool, bool) { return false, false }
	h.MaxConns = maxConnections
	h.MaxIdleConnDuration = idleConnection
	h.MaxResponseBodySize = maxAnswerBytes
	h.ReadTimeout = e.client.config.Timeout
	h.WriteTimeout = e.client.config.Timeout
	h.NoDefaultUserAgentHeader = true
	h.DisablePathNormalizing = true
}

// exchange sends one request once. prepare fills in method, path and body.
func (e *endpoint) exchange(ctx context.Context, write bool, prepare func(*fasthttp.Request)) (answer, error) {
	config := &e.client.config
	probe, err := e.admit(ctx, write)
	if err != nil {
		e.refused.Inc(1)
		return answer{}, err
	}
	timeout, err := e.timeout(ctx)
	if err != nil {
		e.health.abandon(probe)
		return answer{}, err
	}
	e.calls.Inc(1)
	start := config.Now()
	got, err := e.transport(write, timeout, prepare)
	e.latency.Update(config.Now().Sub(start).Microseconds())
	e.record(got, err, probe)
	if err != nil {
		return answer{}, classify(e.name, write, err)
	}
	return got, classifyStatus(e.name, write, got)
}

// admit applies the up/down state and the rate limit.
func (e *endpoint) admit(ctx context.Context, write bool) (probe bool, err error) {
	config := &e.client.config
	ok, probe := e.health.admit(config.Now())
	if !ok {
		return false, result.New(result.StoreUnavailable, "%s is down, waiting to retry", e.name)
	}
	tokens := e.client.readTokens
	if write {
		tokens = e.client.writeTokens
	}
	wait, ok := tokens.reserve(config.Now(), config.Timeout)
	if !ok {
		e.health.abandon(probe)
		return false, result.New(result.StoreUnavailable, "%s: own rate limit reached", e.name)
	}
	if err := config.Sleep(ctx, wait); err != nil {
		e.health.abandon(probe)
		return false, result.New(result.StoreUnavailable, "%s: %v", e.name, err)
	}
	return probe, nil
}

// timeout returns the time that is left for the exchange.
func (e *endpoint) timeout(ctx context.Context) (time.Duration, error) {
	timeout := e.client.config.Timeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	if ctx.Err() != nil || timeout <= 0 {
		return 0, result.New(result.StoreUnavailable, "%s: cancelled before sending", e.name)
	}
	return timeout, nil
}

// send sends one request over HTTP and copies the answer.
func (e *endpoint) send(write bool, timeout time.Duration, prepare func(*fasthttp.Request)) (answer, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + e.address + "/")
	prepare(req)
	client := &e.reads
	if write {
		// A write gets a new connection: a pooled one that went silent would
		// make its outcome unknown.
		client = &e.writes
		req.SetConnectionClose()
	}
	if err := client.DoTimeout(req, resp, timeout); err != nil {
		return answer{}, err
	}
	notRun := string(resp.Header.Peek(request.HeaderNotRun)) == "1"
	return answer{resp.StatusCode(), notRun, append([]byte(nil), resp.Body()...)}, nil
}

// record updates the up/down state. A service that answers with a server
// error or a rate limit counts as failed, so that it is not pressed further.
func (e *endpoint) record(got answer, err error, probe bool) {
	config := &e.client.config
	if err == nil && !got.serverFailed() {
		if e.health.succeeded(probe) {
			e.up.Update(1)
			e.client.drainTokens()
			event.Log(config.Logger, event.StoreUp, "service", e.name)
		}
		return
	}
	e.failures.Inc(1)
	wentDown, backoff := e.health.failed(config.Now(), probe)
	if wentDown {
		e.up.Update(0)
		event.Log(config.Logger, event.StoreDown, "service", e.name,
			"error", slog.AnyValue(err), "status", got.status, "backoff_ms", backoff.Milliseconds())
	}
}

// classify turns a transport error into a result code. A read changes nothing,
// so a read without an answer is always "not run".
func classify(name string, write bool, err error) error {
	var dial *dialError
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return result.New(result.StoreProtocol, "%s: answer exceeds %d bytes", name, maxAnswerBytes)
	case !write, errors.As(err, &dial), errors.Is(err, fasthttp.ErrNoFreeConns):
		return result.New(result.StoreUnavailable, "%s: %v", name, err)
	default:
		return result.New(result.StoreNoAnswer, "%s: %v", name, err)
	}
}

// classifyStatus turns a server error into a result code; the caller handles
// all other statuses.
func classifyStatus(name string, write bool, got answer) error {
	switch {
	case !got.serverFailed():
		return nil
	case !write, got.status == fasthttp.StatusServiceUnavailable && got.notRun:
		return result.New(result.StoreUnavailable, "%s: status %d", name, got.status)
	default:
		return result.New(result.StoreNoAnswer, "%s: status %d", name, got.status)
	}
}
