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
	acceptPause = 20 * time.Millisecond
	// maxAhead bounds the requests of one connection that are read before the
	// oldest is answered.
	maxAhead = 32
	// writeTimeout bounds how long a caller may take to receive an answer.
	writeTimeout = 10 * time.Second
	// lingerTimeout bounds the wait for the caller to close after a closing
	// answer; an earlier close could reset the connection and lose the answer.
	lingerTimeout = time.Second
	// bodyTimeout bounds how long a caller may take to send a body.
	bodyTimeout = 30 * time.Second
	// Limits in force before the first configuration.
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 1 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// readBufferBytes is the initial buffer of a connection.
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
	// active counts the requests that are read and not yet answered.
	active int
	// waiting tells that the reader waits for the first byte of a request.
	waiting bool
	// closing tells that no further request is served.
	closing bool
	// answered tells that the closing answer was written.
	answered bool
	room     *sync.Cond
	// last is closed when the newest request is answered.
	last chan struct{}
}

func newSession(s *Server, c net.Conn) *session {
	x := &session{server: s, conn: c}
	header := s.config.Limits().HeaderBytes
	if header <= 0 {
		header = defaultHeaderBytes
	}
	x.reader = bufio.NewReaderSize(c, min(readBufferBytes, header))
	x.ctx, x.cancel = context.WithCancel(context.Background())
	x.room = sync.NewCond(&x.mu)
	x.last = make(chan struct{})
	close(x.last)
	return x
}

// run reads requests until the caller leaves or the connection closes.
func (x *session) run() {
	defer x.server.remove(x)
	defer x.finish()
	for x.await() {
		r, err := x.read()
		if err != nil {
			x.refuse(err)
			return
		}
		if !x.dispatch(r) {
			return
		}
	}
}

// finish ends the connection. The work for a caller that left is cancelled.
func (x *session) finish() {
	x.mu.Lock()
	closing, last := x.closing, x.last
	x.mu.Unlock()
	if closing {
		<-last
	}
	x.mu.Lock()
	answered := x.answered
	x.mu.Unlock()
	if answered {
		x.linger()
	}
	x.cancel()
	_ = x.conn.Close()
}

// linger reads until the caller has closed its end.
func (x *session) linger() {
	if half, ok := x.conn.(interface{ CloseWrite() error }); ok {
		if half.CloseWrite() != nil {
			return
		}
	}
	if x.conn.SetReadDeadline(x.server.config.Now().Add(lingerTimeout)) == nil {
		_, _ = io.Copy(io.Discard, x.conn)
	}
}

// await waits for the first byte of a request.
func (x *session) await() bool {
	x.mu.Lock()
	for x.active >= maxAhead && !x.closing {
		x.room.Wait()
	}
	if x.closing || (x.server.closed.Load() && x.active == 0) {
		x.mu.Unlock()
		return false
	}
	x.waiting = true
	x.setIdleDeadline()
	x.mu.Unlock()
	_, err := x.reader.Peek(1)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.waiting = false
	return err == nil && !x.closing
}

// setIdleDeadline bounds the wait for a request while none is in flight.
func (x *session) setIdleDeadline() {
	var deadline time.Time
	if x.active == 0 {
		idle := x.server.config.Limits().IdleTimeout
		if idle <= 0 {
			idle = defaultIdleTimeout
		}
		deadline = x.server.config.Now().Add(idle)
	}
	// An error means that the connection is closed, which the reader sees.
	_ = x.conn.SetReadDeadline(deadline)
}

// closeIfIdle closes the connection unless a request is in flight.
func (x *session) closeIfIdle() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.active == 0 && x.waiting {
		x.closing = true
		_ = x.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// dispatch starts a request; false tells that no further one is read.
func (x *session) dispatch(r *Request) bool {
	r.Idempotent = x.server.config.Handler.Idempotent(r)
	x.mu.Lock()
	previous, done := x.last, make(chan struct{})
	x.last = done
	x.active++
	x.mu.Unlock()
	x.server.begin()
	go x.serve(r, previous, done)
	return true
}

func (x *session) serve(r *Request, previous <-chan struct{}, done chan<- struct{}) {
	defer close(done)
	defer x.server.end()
	defer x.server.buffered.Add(-int64(len(r.Body)))
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
