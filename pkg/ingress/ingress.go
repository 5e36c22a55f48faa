// Package ingress serves callers over HTTP/1.1.
//
// A Server runs one session per connection, which reads requests, passes them to
// the Handler and writes the responses.
//
// A session keeps reading from its connection while requests are served, so
// that work is cancelled as soon as a caller disconnects and pipelined requests
// run concurrently. Responses are sent in the order of the requests. A request
// that is not idempotent starts only when it is the oldest one on its
// connection, because callers retry the pipelined requests that follow a
// response with "Connection: close".
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
	// AffinityKey identifies the object that the request concerns; it may be
	// empty.
	AffinityKey string
	// Timeout is the caller's timeout, counted from ArrivedAt; 0 if not stated.
	Timeout   time.Duration
	ArrivedAt time.Time
}

// Response is what a Handler returns for a request.
type Response struct {
	Status int
	Header []exchange.Field
	Body   []byte
	// RetryAfter is the value of the Retry-After header field; 0 omits the field.
	RetryAfter time.Duration
}

// Handler serves requests.
type Handler interface {
	// Idempotent reports whether a request may run concurrently with older
	// requests of its connection.
	Idempotent(r *Request) bool
	// Serve handles a request. ctx is cancelled when the caller disconnects; Serve
	// may then return nil, because no response is sent.
	Serve(ctx context.Context, r *Request) *Response
}

// Config configures a Server.
type Config struct {
	Headers exchange.Headers
	Now     func() time.Time
	Handler Handler
	// Limits returns the limits in force.
	Limits func() steering.CallerLimits
	// MaxConnections is the maximum number of open connections. At the limit, a new one
	// takes the place of an idle one.
	MaxConnections int
	// MaxBufferedBodyBytes is the maximum total size of the request bodies in memory
	// over all connections, except those of at most minBodyBytes.
	MaxBufferedBodyBytes int64
}

// Server accepts and serves connections of callers.
type Server struct {
	config   Config
	draining atomic.Bool
	// bufferedBodyBytes is the total size of the request bodies in memory, and of the
	// memory reserved for those being read.
	bufferedBodyBytes atomic.Int64
	closed            atomic.Bool
	// rejectedConnections counts the new and the idle connections closed because
	// MaxConnections was reached.
	rejectedConnections atomic.Int64

	mu       sync.Mutex
	sessions map[*session]bool
	inFlight int
	// finished is signalled when no request is in flight or a connection has ended, and
	// when the context of Close is done.
	finished *sync.Cond
}

// NewServer returns a Server.
func NewServer(config Config) *Server {
	s := &Server{config: config, sessions: make(map[*session]bool)}
	s.finished = sync.NewCond(&s.mu)
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
			// The process may be temporarily out of file descriptors.
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.start(c)
	}
}

func (s *Server) start(c net.Conn) {
	x := newSession(s, c)
	s.mu.Lock()
	idle, accepted := s.makeRoom()
	if accepted {
		s.sessions[x] = true
	}
	s.mu.Unlock()
	// A caller whose request was not read can safely retry it at another instance, so
	// that neither connection needs a response.
	if idle != nil {
		s.rejectedConnections.Add(1)
		_ = idle.conn.Close()
	}
	if !accepted {
		s.rejectedConnections.Add(1)
		_ = c.Close()
		return
	}
	go x.run()
}

// makeRoom reports whether another connection may be open. At the limit, it takes out the
// longest-idle of up to maxIdleSample connections, which the caller of makeRoom has to
// close: idle connections must not keep out callers that have requests. s.mu must be held.
func (s *Server) makeRoom() (idle *session, ok bool) {
	if len(s.sessions) < s.config.MaxConnections {
		return nil, true
	}
	samples, longest := 0, s.config.Now()
	for x := range s.sessions {
		if since, isIdle := x.idleSince(); isIdle && !since.After(longest) {
			idle, longest = x, since
		}
		if samples++; samples == maxIdleSample {
			break
		}
	}
	if idle == nil || !idle.closeBeforeRequest() {
		return nil, false
	}
	delete(s.sessions, idle)
	return idle, true
}

// Drain makes the server close each connection after the response to the last
// request in flight on it.
func (s *Server) Drain() { s.draining.Store(true) }

// RejectedConnections returns the number of connections, new and idle ones, that were
// closed without reading a request because MaxConnections was reached.
func (s *Server) RejectedConnections() int64 { return s.rejectedConnections.Load() }

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
	return s.inFlight
}

// Close closes the idle connections and waits until all others have ended or ctx is
// done. Waiting only for the requests in flight would cut off requests of which a part
// has been read, and the end of the process would reset connections on which the last
// response is still on its way. The listener must be closed first.
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
		s.finished.Broadcast()
	})
	defer stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for (s.inFlight > 0 || len(s.sessions) > 0) && ctx.Err() == nil {
		s.finished.Wait()
	}
}

func (s *Server) beginRequest() {
	s.mu.Lock()
	s.inFlight++
	s.mu.Unlock()
}

func (s *Server) endRequest() {
	s.mu.Lock()
	s.inFlight--
	if s.inFlight == 0 {
		s.finished.Broadcast()
	}
	s.mu.Unlock()
}

func (s *Server) remove(x *session) {
	s.mu.Lock()
	delete(s.sessions, x)
	s.finished.Broadcast()
	s.mu.Unlock()
}
