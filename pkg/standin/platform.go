// Package standin holds small stand-ins for what surrounds the system: the
// platform and the upstreams.
//
// They speak the protocols of docs/protocols.md, keep everything in memory and
// can be told to fail, to be slow or to report false figures. They are meant for
// tests and demos only and run in a test process or as binaries of their own.
package standin

import (
	"io"
	"log"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiacove/sequoiacove/pkg/platform"
)

// PlatformMode is a fault of the stand-in platform.
type PlatformMode string

// Faults of the stand-in platform.
const (
	PlatformNormal PlatformMode = "none"
	// PlatformDown closes connections without an answer and changes nothing.
	PlatformDown PlatformMode = "down"
	// PlatformSlow delays every call by DelayMS before it takes effect.
	PlatformSlow PlatformMode = "slow"
	// PlatformLoseAnswers applies writes and closes their connections without
	// an answer.
	PlatformLoseAnswers PlatformMode = "lose_answers"
)

// PlatformFaults is the body of POST /faults.
type PlatformFaults struct {
	Mode      PlatformMode `json:"mode"`
	DelayMS   int          `json:"delay_ms"`
	ListLagMS int          `json:"list_lag_ms"`
	// DropAfterWrites makes the store go down once that many further writes
	// have taken effect; objects and transactions both count. 0 is off.
	DropAfterWrites int `json:"drop_after_writes"`
}

// PlatformStats counts the calls that the platform carried out, and those
// that it dropped while it was down.
type PlatformStats struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Dropped int64 `json:"dropped"`
}

const (
	// platformMaxBodyBytes is above platform.MaxObjectBytes.
	platformMaxBodyBytes = 4 << 20
	platformIdleTimeout  = time.Minute
)

// Platform is the stand-in platform server.
type Platform struct {
	mu      sync.Mutex
	now     func() time.Time
	faults  PlatformFaults
	stats   PlatformStats
	table   platformTable
	objects map[string][]byte
	list    platformList

	defaultLag time.Duration

	server   *fasthttp.Server
	listener net.Listener
	done     chan struct{}

	connecting  sync.Mutex
	connections map[net.Conn]bool
}

// NewPlatform returns a platform with empty stores; now is the clock for the
// lag of the instance list.
func NewPlatform(now func() time.Time) *Platform {
	p := &Platform{
		now:     now,
		faults:  PlatformFaults{Mode: PlatformNormal},
		table:   newPlatformTable(),
		objects: make(map[string][]byte),
		done:    make(chan struct{}),

		connections: make(map[net.Conn]bool),
	}
	p.server = &fasthttp.Server{
		Handler:               p.handle,
		MaxRequestBodySize:    platformMaxBodyBytes,
		ReadTimeout:           platformIdleTimeout,
		NoDefaultServerHeader: true,
		Logger:                log.New(io.Discard, "", 0),
		ConnState:             p.track,
	}
	return p
}

// Start listens on address, for example "127.0.0.1:0", and serves until Close.
func (p *Platform) Start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	p.listener = listener
	go func() {
		defer close(p.done)
		_ = p.server.Serve(listener)
	}()
	return nil
}

// Address returns the address that Start listens on.
func (p *Platform) Address() string { return p.listener.Addr().String() }

// Close stops the server and closes all connections at once, as a crash would.
func (p *Platform) Close() {
	_ = p.listener.Close()
	p.connecting.Lock()
	for conn := range p.connections {
		_ = conn.Close()
	}
	p.connecting.Unlock()
	_ = p.server.Shutdown()
	<-p.done
}

func (p *Platform) track(conn net.Conn, state fasthttp.ConnState) {
	p.connecting.Lock()
	defer p.connecting.Unlock()
	switch state {
	case fasthttp.StateNew:
		p.connections[conn] = true
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		delete(p.connections, conn)
	}
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(faults PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if faults.Mode == "" {
		faults.Mode = PlatformNormal
	}
	p.faults = faults
	p.list.lag = p.defaultLag
	if faults.ListLagMS > 0 {
		p.list.lag = time.Duration(faults.ListLagMS) * time.Millisecond
	}
}

// SetListLag sets the lag of the instance list for faults that state none.
func (p *Platform) SetListLag(lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.defaultLag, p.list.lag = lag, lag
}

// Stats returns the call counts.
func (p *Platform) Stats() PlatformStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// PutInstance adds or replaces an instance of the list.
func (p *Platform) PutInstance(instance platform.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list.put(p.now(), instance)
}

// DeleteInstance removes an instance from the list.
func (p *Platform) DeleteInstance(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list.delete(p.now(), id)
}
