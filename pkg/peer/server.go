package peer

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rcrowley/go-metrics"

	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

const (
	// receiveTimeout bounds the time in which a whole message must arrive.
	receiveTimeout = 30 * time.Second
	// ackTimeout bounds the wait for the sender's confirmation of a reply.
	ackTimeout = 5 * time.Second
	// idleTimeout closes a connection on which nothing arrives. It is above the
	// ping timeout, so the ping decides about connections in use.
	idleTimeout = 15 * time.Second
)

// Application error codes of closed connections.
const (
	closedNormally quic.ApplicationErrorCode = 0
	// closedRefused is sent before any stream of the connection was read.
	closedRefused quic.ApplicationErrorCode = 1
	closedSilent  quic.ApplicationErrorCode = 2
)

// cancelled is the stream error code of a cancelled call.
const cancelled quic.StreamErrorCode = 1

// ServerConfig configures a Server.
type ServerConfig struct {
	// Address is the UDP address to listen on.
	Address string
	// TLS is the server configuration of LoadTLS or NewTLS.
	TLS    *tls.Config
	Logger *slog.Logger
	// Registry receives the counters; nil keeps them private.
	Registry metrics.Registry
	// MaxConnections bounds open connections; 0 selects the constant
	// MaxConnections.
	MaxConnections int
}

// Server answers messages of peers.
type Server struct {
	cfg       ServerConfig
	handlers  map[MessageType]Handler
	socket    *net.UDPConn
	transport *quic.Transport
	listener  *quic.Listener
	counters  *counters

	mu       sync.Mutex
	conns    map[*quic.Conn]struct{}
	stopping bool
	running  sync.WaitGroup
	// closed is closed after the socket.
	closed     chan struct{}
	closeGuard sync.Once
}

// NewServer opens the socket of a server; Serve starts answering.
func NewServer(cfg ServerConfig) (*Server, error) {
	if cfg.MaxConnections == 0 {
		cfg.MaxConnections = MaxConnections
	}
	if cfg.Logger == nil {
		cfg.Logger = event.Discard()
	}
	addr, err := net.ResolveUDPAddr("udp", cfg.Address)
	if err != nil {
		return nil, result.New(result.SettingsInvalid, "peer address %q: %v", cfg.Address, err)
	}
	socket, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, result.New(result.SettingsInvalid, "peer address %q: %v", cfg.Address, err)
	}
	transport := &quic.Transport{Conn: socket, StatelessResetKey: resetKey(cfg.TLS, socket.LocalAddr().String())}
	listener, err := transport.Listen(cfg.TLS, quicConfig())
	if err != nil {
		socket.Close()
		return nil, result.New(result.SettingsInvalid, "peer address %q: %v", cfg.Address, err)
	}
	return &Server{
		cfg:       cfg,
		handlers:  make(map[MessageType]Handler),
		socket:    socket,
		transport: transport,
		listener:  listener,
		counters:  newCounters(cfg.Registry, "server"),
		conns:     make(map[*quic.Conn]struct{}),
		closed:    make(chan struct{}),
	}, nil
}

// resetKey derives the stateless reset key from the private key and the
// address, so that a restarted process can end the connections of the one
// before it at once.
func resetKey(cfg *tls.Config, addr string) *quic.StatelessResetKey {
	if len(cfg.Certificates) == 0 {
		return nil
	}
	der, err := x509.MarshalPKCS8PrivateKey(cfg.Certificates[0].PrivateKey)
	if err != nil {
		return nil
	}
	key := quic.StatelessResetKey(sha256.Sum256(append([]byte("sequoia-reset "+addr+" "), der...)))
	return &key
}

// quicConfig is the configuration of both sides. The windows bound what a
// connection makes the receiver hold; they start small because most messages
// are.
func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           dialTimeout,
		MaxIdleTimeout:                 idleTimeout,
		MaxIncomingStreams:             streamHeadroom * MaxStreamsPerConn,
		MaxIncomingUniStreams:          -1,
		MaxStreamReceiveWindow:         4 << 20,
		MaxConnectionReceiveWindow:     16 << 20,
		InitialStreamReceiveWindow:     512 << 10,
		InitialConnectionReceiveWindow: 1 << 20,
	}
}

// Handle sets the handler of a message type; it must precede Serve.
func (s *Server) Handle(typ MessageType, h Handler) { s.handlers[typ] = h }

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.socket.LocalAddr().String() }

// Serve answers messages until Close; when ctx ends first, it cancels the
// running handlers and closes all connections.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.closeNow() })
	defer stop()
	for {
		conn, err := s.listener.Accept(context.Background())
		if err != nil {
			return nil
		}
		if !s.admit(conn) {
			conn.CloseWithError(closedRefused, "connection limit or stopping")
			continue
		}
		go s.serveConn(conn)
	}
}

// admit counts a connection unless the server is full or stopping.
func (s *Server) admit(conn *quic.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping || len(s.conns) >= s.cfg.MaxConnections {
		return false
	}
	s.conns[conn] = struct{}{}
	s.counters.opened.Inc(1)
	return true
}

// serveConn answers the streams of a connection until it ends.
func (s *Server) serveConn(conn *quic.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	for {
		stream, err := conn.AcceptStream(context.Background())
		if err != nil {
			return
		}
		accepted := s.begin()
		go func() {
			s.serveStream(stream, accepted)
			if accepted {
				s.running.Done()
			}
		}()
	}
}

// begin counts a call as running unless the server is stopping.
func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.running.Add(1)
	return true
}

// serveStream reads one message and answers it.
func (s *Server) serveStream(stream *quic.Stream, accepted bool) {
	defer stream.CancelRead(cancelled)
	stream.SetReadDeadline(time.Now().Add(receiveTimeout))
	kind, body, err := readFrame(stream)
	if err != nil {
		s.counters.failures.Inc(1)
		if result.CodeOf(err) != result.PeerProtocol {
			stream.CancelWrite(cancelled)
			return
		}
		s.reply(stream, replyFrame(nil, err))
		return
	}
	typ := MessageType(kind)
	count := s.counters.of(typ)
	count.calls.Inc(1)
	count.received.Inc(int64(headerBytes + len(body)))
	frame := replyFrame(s.answer(stream.Context(), typ, body, accepted))
	if stream.Context().Err() != nil {
		return
	}
	count.sent.Inc(int64(len(frame)))
	s.reply(stream, frame)
}

// answer calls the handler of a message type.
func (s *Server) answer(ctx context.Context, typ MessageType, body []byte, accepted bool) (any, error) {
	if typ == Ping {
		return nil, nil
	}
	if !accepted {
		return nil, result.New(result.PeerRefused, "the process is stopping")
	}
	handler, ok := s.handlers[typ]
	if !ok {
		return nil, result.New(result.PeerRefused, "no handler for message type %d", typ)
	}
	return handler(ctx, body)
}

// reply sends a reply and waits until the sender has read it and closed its
// side, so that closing the connection cannot cut the reply off.
func (s *Server) reply(stream *quic.Stream, frame []byte) {
	if _, err := stream.Write(frame); err != nil {
		return
	}
	stream.Close()
	stream.SetReadDeadline(time.Now().Add(ackTimeout))
	var rest [1]byte
	_, _ = stream.Read(rest[:])
}

// Close refuses new messages, waits until the running handlers have answered
// or ctx ends, and closes all connections.
func (s *Server) Close(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		s.running.Wait()
		close(done)
	}()
	var err error
	select {
	case <-done:
	case <-ctx.Done():
		err = result.New(result.Stopping, "handlers still running: %v", ctx.Err())
	}
	s.closeNow()
	return err
}

// closeNow closes all connections and the socket without waiting for handlers.
func (s *Server) closeNow() {
	s.mu.Lock()
	s.stopping = true
	conns := make([]*quic.Conn, 0, len(s.conns))
	for conn := range s.conns {
		conns = append(conns, conn)
	}
	s.mu.Unlock()
	s.listener.Close()
	for _, conn := range conns {
		conn.CloseWithError(closedNormally, "stopped")
	}
	s.transport.Close()
	s.socket.Close()
	s.closeGuard.Do(func() { close(s.closed) })
}
