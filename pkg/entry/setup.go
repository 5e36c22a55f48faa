package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"github.com/sequoiacove/sequoiacove/pkg/admin"
	"github.com/sequoiacove/sequoiacove/pkg/admission"
	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/peer"
	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/pkg/settings"
	"github.com/sequoiacove/sequoiacove/pkg/upstream"
)

// closeTimeout bounds the close of the servers after the drain.
const closeTimeout = 5 * time.Second

// Process is an entry with its servers.
type Process struct {
	Entry   *Entry
	logger  *slog.Logger
	peers   *peer.Server
	client  *peer.Client
	pools   *admission.Set
	callers *fasthttp.Server

	callerListener net.Listener
	adminListener  net.Listener
}

// NewProcess opens the sockets of an entry; Run serves them.
func NewProcess(s *settings.Instance, logger *slog.Logger) (*Process, error) {
	p := &Process{logger: logger}
	registry := metrics.NewRegistry()
	if err := p.open(s, registry); err != nil {
		return nil, err
	}
	p.pools = admission.New(admission.Config{
		Domain:   s.Domain,
		Settings: s.Admission,
		Exchange: upstream.NewClient(upstream.Config{}),
		Logger:   logger,
		Seed:     rand.Uint64(),
	})
	var err error
	if p.Entry, err = New(p.options(s, registry)); err != nil {
		return nil, err
	}
	p.Entry.Register(p.peers)
	p.callers = p.Entry.NewServer()
	return p, nil
}

// open opens the listeners and the peer transport; after an error no socket is
// open.
func (p *Process) open(s *settings.Instance, registry metrics.Registry) error {
	serverTLS, clientTLS, err := peer.LoadTLS(s.TLS)
	if err != nil {
		return err
	}
	if p.callerListener, err = listen(s.Entry.CallerAddress); err != nil {
		return err
	}
	if p.adminListener, err = listen(s.Entry.AdminAddress); err != nil {
		p.callerListener.Close()
		return err
	}
	p.peers, err = peer.NewServer(peer.ServerConfig{Address: s.Entry.PeerAddress, TLS: serverTLS, Logger: p.logger, Registry: registry})
	if err != nil {
		p.callerListener.Close()
		p.adminListener.Close()
		return err
	}
	p.client = peer.NewClient(peer.ClientConfig{
		TLS: clientTLS, Logger: p.logger, Registry: registry, LocalAddress: s.Entry.PeerAddress,
	})
	return nil
}

// options returns the options of the entry of a process whose sockets are open.
func (p *Process) options(s *settings.Instance, registry metrics.Registry) Options {
	return Options{
		Instance:                s.ID,
		Region:                  s.Region,
		Domain:                  s.Domain,
		CallerAddress:           p.callerListener.Addr().String(),
		PeerAddress:             s.Entry.AdvertisedAddress,
		MaxConcurrent:           s.Entry.MaxConcurrent,
		CallerRequestsPerSecond: s.Entry.CallerRequestsPerSecond,
		DrainGrace:              s.Entry.DrainGrace,
		Admission:               ownedPools{p.pools},
		Peers:                   p.client,
		Logger:                  p.logger,
		Registry:                registry,
		Now:                     time.Now,
	}
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
	start(func() { p.logFailure(p.callerListener, p.callers.Serve(p.callerListener)) })
	start(func() { p.logFailure(p.adminListener, p.serveAdmin(work)) })
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

func (p *Process) serveAdmin(ctx context.Context) error {
	return admin.ServeListener(ctx, p.adminListener, p.Entry.state, p.Entry.metrics.registry)
}

// logFailure logs the error that ended a listener, if any.
func (p *Process) logFailure(l net.Listener, err error) {
	if err != nil {
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
	p.client.Close()
	p.pools.Close()
}

// ownedPools adapts admission.Set, which declares its own pool type.
type ownedPools struct{ *admission.Set }

func (o ownedPools) Update(pools []Pool) {
	configs := make([]admission.PoolConfig, 0, len(pools))
	for _, p := range pools {
		configs = append(configs, admission.PoolConfig(p))
	}
	o.Set.Update(configs)
}
