package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"time"
)

const (
	acceptRetryDelay = 20 * time.Millisecond
	// maxIdleSample is the number of connections among which a new connection at the limit
	// looks for an idle one to take its place.
	maxIdleSample = 64
	// maxPipelined is the maximum number of requests in flight per connection.
	maxPipelined = 32
	// writeTimeout limits the time to write a response.
	writeTimeout = 10 * time.Second
	// lingerTimeout limits the wait for the caller to close the connection after
	// the final response. Closing it earlier could reset the connection and lose
	// the response.
	lingerTimeout = time.Second
	// maxLingerBytes limits what is read meanwhile, from a caller that sends without end.
	maxLingerBytes = 4 << 20
	// closingReadTimeout is how long a server that is being closed still reads a request
	// from an idle connection, so that requests that are already on their way are answered.
	closingReadTimeout = 250 * time.Millisecond
	// bodyTimeout limits the time to read a request body.
	bodyTimeout = 30 * time.Second
	// Limits that apply until the first configuration is loaded, and where a
	// configuration sets none.
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 1 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// readBufferBytes is the initial size of the read buffer of a connection.
	readBufferBytes = 4 << 10
)

// session is one caller's connection.
type session struct {
	server *Server
	conn   net.Conn
	reader *bufio.Reader
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// inFlight is the number of requests that were read and have no response yet.
	inFlight int
	// awaitingRequest is set while the reader waits for the first byte of a
	// request.
	awaitingRequest bool
	// waitingSince is the time since which the reader has waited for a request.
	waitingSince time.Time
	// closing is set when no further request will be served.
	closing bool
	// closeSent is set when a response with "Connection: close" was sent.
	closeSent         bool
	inFlightDecreased *sync.Cond
	// lastDone is closed when the newest request has been handled.
	lastDone chan struct{}
}

func newSession(s *Server, c net.Conn) *session {
	x := &session{server: s, conn: c}
	header := s.config.Limits().MaxHeaderBytes
	if header <= 0 {
		header = defaultHeaderBytes
	}
	x.reader = bufio.NewReaderSize(c, min(readBufferBytes, header))
	x.ctx, x.cancel = context.WithCancel(context.Background())
	x.inFlightDecreased = sync.NewCond(&x.mu)
	x.lastDone = make(chan struct{})
	close(x.lastDone)
	return x
}

// run reads requests until the caller disconnects or the connection is closed.
func (x *session) run() {
	defer x.server.remove(x)
	defer x.shutdown()
	for x.awaitRequest() {
		r, err := x.readRequest()
		if err != nil {
			x.writeError(err)
			return
		}
		x.dispatch(r)
	}
}

// shutdown closes the connection and cancels the requests in flight. If closing
// is set, shutdown first waits until these requests have been handled.
func (x *session) shutdown() {
	x.mu.Lock()
	closing, last := x.closing, x.lastDone
	x.mu.Unlock()
	if closing {
		<-last
	}
	x.mu.Lock()
	closeSent := x.closeSent
	x.mu.Unlock()
	if closeSent {
		x.linger()
	}
	x.cancel()
	_ = x.conn.Close()
}

// linger closes the sending side and reads until the caller has closed the
// connection, for at most lingerTimeout and maxLingerBytes.
func (x *session) linger() {
	if half, ok := x.conn.(interface{ CloseWrite() error }); ok {
		if half.CloseWrite() != nil {
			return
		}
	}
	if x.conn.SetReadDeadline(x.server.config.Now().Add(lingerTimeout)) == nil {
		_, _ = io.CopyN(io.Discard, x.conn, maxLingerBytes)
	}
}

// awaitRequest waits for the first byte of a request and reports whether one can
// be read.
func (x *session) awaitRequest() bool {
	x.mu.Lock()
	for x.inFlight >= maxPipelined && !x.closing {
		x.inFlightDecreased.Wait()
	}
	if x.closing {
		x.mu.Unlock()
		return false
	}
	x.awaitingRequest, x.waitingSince = true, x.server.config.Now()
	x.setIdleDeadline()
	x.mu.Unlock()
	_, err := x.reader.Peek(1)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.awaitingRequest = false
	return err == nil && !x.closing
}

// idleSince reports whether the session is idle: it waits for a request, and none is in
// flight. It also returns since when.
func (x *session) idleSince() (since time.Time, idle bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.waitingSince, x.awaitingRequest && x.inFlight == 0
}

// closeBeforeRequest makes the session serve no request and reports whether it is still
// idle. A request that arrives meanwhile is not passed on.
func (x *session) closeBeforeRequest() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.awaitingRequest || x.inFlight > 0 {
		return false
	}
	x.closing = true
	return true
}

// setIdleDeadline sets the read deadline to the idle timeout, or clears it while
// requests are in flight.
func (x *session) setIdleDeadline() {
	var deadline time.Time
	if x.inFlight == 0 {
		idle := x.server.config.Limits().IdleTimeout
		if idle <= 0 {
			idle = defaultIdleTimeout
		}
		if x.server.closed.Load() {
			idle = closingReadTimeout
		}
		deadline = x.server.config.Now().Add(idle)
	}
	// An error means that the connection is closed, which the next read reports.
	_ = x.conn.SetReadDeadline(deadline)
}

// closeIfIdle makes the session close the connection after closingReadTimeout if it
// waits for a request and none is in flight.
func (x *session) closeIfIdle() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.inFlight == 0 && x.awaitingRequest {
		x.setIdleDeadline()
	}
}

// dispatch starts serving a request.
func (x *session) dispatch(r *Request) {
	r.Idempotent = x.server.config.Handler.Idempotent(r)
	x.mu.Lock()
	previous, done := x.lastDone, make(chan struct{})
	x.lastDone = done
	x.inFlight++
	x.mu.Unlock()
	x.server.beginRequest()
	go x.serve(r, previous, done)
}

// serve handles a request and writes its response. The response is written only
// after previous is closed, which means that the preceding request has been
// handled. A request that is not idempotent is not even started before.
func (x *session) serve(r *Request, previous <-chan struct{}, done chan<- struct{}) {
	defer close(done)
	defer x.server.endRequest()
	defer x.server.bufferedBodyBytes.Add(-int64(len(r.Body)))
	if !r.Idempotent {
		<-previous
	}
	x.mu.Lock()
	dropped := x.closing
	x.mu.Unlock()
	if dropped {
		x.release(false)
		return
	}
	resp := x.server.config.Handler.Serve(x.ctx, r)
	<-previous
	x.respond(resp, r.Method)
}
