package entry

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/peer"
	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/pkg/settings"
)

// closeTimeout bounds the close of the servers after the drain.
const closeTimeout = 5 * time.Second

// Process is an entry with its servers.
type Process struct {
	Entry   *Entry
	logger  *slog.Logger
	peers   *peer.Server
	client  *peer.Client
	callers *fasthttp.Server
	admin   *fasthttp.Server

	callerListener net.Listener
	adminListener  net.Listener
}

// NewProcess opens the sockets of an entry; Run serves them.
func NewProcess(s *settings.Instance, logger *slog.Logger, admission Admission) (*Process, error) {
	serverTLS, clientTLS, err := peer.LoadTLS(s.TLS)
	if err != nil {
		return nil, err
	}
	p := &Process{logger: logger}
	if p.callerListener, err = listen(s.Entry.CallerAddress); err != nil {
		return nil, err
	}
	if p.adminListener, err = listen(s.Entry.AdminAddress); err != nil {
		p.callerListener.Close()
		return nil, err
	}
	p.peers, err = peer.NewServer(peer.ServerConfig{Address: s.Entry.PeerAddress, TLS: serverTLS, Logger: logger})
	if err != nil {
		p.callerListener.Close()
		p.adminListener.Close()
		return nil, err
	}
	p.client = peer.NewClient(peer.ClientConfig{TLS: clientTLS, Logger: logger})
	p.Entry, err = New(Options{
		Instance:      s.ID,
		Region:        s.Region,
		Domain:        s.Domain,
		CallerAddress: p.callerListener.Addr().String(),
		PeerAddress:   p.peers.Addr(),
		MaxConcurrent: s.Entry.MaxConcurrent,
		DrainGrace:    s.Entry.DrainGrace,
		Admission:     admission,
		Peers:         p.client,
		Logger:        logger,
		Now:           time.Now,
	})
	if err != nil {
		return nil, err
	}
	p.Entry.Register(p.peers)
	p.callers, p.admin = p.Entry.NewServer(), p.Entry.newAdminServer()
	return p, nil
}

func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, result.New(result.SettingsInvalid, "listen on %s: %v", address, err)
	}
	return l, nil
}

// Run serves until ctx ends or the agent orders the instance to leave, drains
// and returns.
func (p *Process) Run(ctx context.Context) {
	event.Log(p.logger, event.ProcessStarted, "incarnation", p.Entry.incarnation)
	work, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	start := func(serve func()) {
		running.Add(1)
		go func() { defer running.Done(); serve() }()
	}
	start(func() { p.Entry.Run(work) })
	start(func() { _ = p.peers.Serve(context.Background()) })
	start(func() { p.serve(p.callers, p.callerListener) })
	start(func() { p.serve(p.admin, p.adminListener) })
	select {
	case <-ctx.Done():
	case <-p.Entry.left:
	}
	p.Entry.Drain(context.Background())
	p.close()
	stop()
	running.Wait()
	event.Log(p.logger, event.ProcessStopped)
}

func (p *Process) serve(s *fasthttp.Server, l net.Listener) {
	if err := s.Serve(l); err != nil {
		event.Log(p.logger, event.ListenerFailed, "address", l.Addr().String(), "error", err)
	}
}

// close ends the servers after their requests. Peers come last, because
// requests in flight still use them.
func (p *Process) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = p.callers.ShutdownWithContext(ctx)
	_ = p.peers.Close(ctx)
	_ = p.admin.ShutdownWithContext(ctx)
	p.client.Close()
}
