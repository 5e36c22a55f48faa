// Package ingress serves callers over HTTP/1.1.
//
// A connection is read ahead while its requests are served, so that a caller's
// departure cancels the work at once and requests sent behind one another run
// together. Answers leave in the order of the requests. A request that is not
// idempotent starts only when it is the oldest of its connection, because
// callers send requests again that stood behind a closing answer.
package ingress

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/sequoiacove/sequoiacove/pkg/exchange"
	"github.com/sequoiacove/sequoiacove/pkg/steering"
)

// Request is a caller's request.
type Request struct {
	exchange.Request
	Host string
	URI  string
	// AffinityKey names the object that the request concerns, or is empty.
	AffinityKey string
	// Timeout is how long the caller waits from Arrived on; 0 if not stated.
	Timeout time.Duration
	Arrived time.Time
}

// Response is the answer to a request.
type Response struct {
	Status int
	Header []exchange.Field
	Body   []byte
	// RetryAfter tells the caller when to come back; 0 leaves it out.
	RetryAfter time.Duration
}

// Handler serves requests.
type Handler interface {
	// Idempotent tells whether a request may run beside older ones.
	Idempotent(r *Request) bool
	// Serve answers a request; ctx ends when the caller has left.
	Serve(ctx context.Context, r *Request) *Response
}

// Config holds the inputs of a Server.
type Config struct {
	Headers exchange.Headers
	Now     func() time.Time
	Handler Handler
	// Limits returns the limits in force.
	Limits func() steering.Limits
	// MaxConnections bounds the open connections.
	MaxConnections int
	// MaxBufferedBytes bounds the bodies in memory over all connections.
	MaxBufferedBytes int64
}

// Server accepts callers' connections.
type Server struct {
	config   Config
	draining atomic.Bool
	buffered atomic.Int64
	closed   atomic.Bool
	// turnedAway counts connections closed for lack of descriptors.
	turnedAway atomic.Int64

	mu       sync.Mutex
	sessions map[*session]bool
	active   int
	quiet    *sync.Cond
}

// NewServer returns a Server.
func NewServer(config Config) *Server {
	s := &Server{config: config, sessions: make(map[*session]bool)}
	s.quiet = sync.NewCond(&s.mu)
	return s
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			if s.closed.Load() || errors.Is(err, net.ErrClosed) {
				return nil
			}
			var netErr net.Error
			if errors.As(err, &netErr) && netErr.Timeout() {
				continue
			}
			// Descriptors may be short for a moment.
			time.Sleep(acceptPause)
			continue
		}
		s.start(c)
	}
}

func (s *Server) start(c net.Conn) {
	x := newSession(s, c)
	s.mu.Lock()
	full := len(s.sessions) >= s.config.MaxConnections
	if !full {
		s.sessions[x] = true
	}
	s.mu.Unlock()
	if full {
		// A caller whose request was not read may send it elsewhere.
		s.turnedAway.Add(1)
		_ = c.Close()
		return
	}
	go x.run()
}

// Drain makes every answer close its connection.
func (s *Server) Drain() { s.draining.Store(true) }

// Rejected returns the number of connections that were closed unread because
// too many were open.
func (s *Server) Rejected() int64 { return s.turnedAway.Load() }

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

// Close closes the idle connections and returns when no request is in flight
// or ctx ends. The listener must be closed before.
func (s *Server) Close(ctx context.Context) {
	s.closed.Store(true)
	s.draining.Store(true)
	s.mu.Lock()
	for x := range s.sessions {
		x.closeIfIdle()
	}
	s.mu.Unlock()
	stop := context.AfterFunc(ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.quiet.Broadcast()
	})
	defer stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.active > 0 && ctx.Err() == nil {
		s.quiet.Wait()
	}
}

func (s *Server) begin() {
	s.mu.Lock()
	s.active++
	s.mu.Unlock()
}

func (s *Server) end() {
	s.mu.Lock()
	s.active--
	if s.active == 0 {
		s.quiet.Broadcast()
	}
	s.mu.Unlock()
}

func (s *Server) remove(x *session) {
	s.mu.Lock()
	delete(s.sessions, x)
	s.mu.Unlock()
}
