package standin

import (
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

// UpstreamConfig holds the inputs of a stand-in upstream.
type UpstreamConfig struct {
	ID      string
	Service string
	// Address is where the upstream listens; port 0 lets the system choose.
	Address string
	Slots   int
	// Queue bounds the requests that wait for a slot; the upstream sheds others.
	Queue int
	// ServiceTime is the mean service time of requests without work_ms.
	ServiceTime time.Duration
	// Cold is the number of first executions that run slower.
	Cold int
	Seed uint64
}

// UpstreamFault is what POST /control sets.
type UpstreamFault struct {
	Leaving bool `json:"leaving"`
	// StatusLeavingLagMS is how long the status hides that the upstream leaves.
	StatusLeavingLagMS int64 `json:"status_leaving_lag_ms"`
	// SlowFactor multiplies the service time; 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
	// StatusLagMS is the age of the load figures in the status.
	StatusLagMS int64 `json:"status_lag_ms"`
	// StatusFalse makes the status show idle slots as busy and the reverse.
	StatusFalse bool `json:"status_false"`
	// Fail is one of the UpstreamFail constants.
	Fail string `json:"fail"`
}

// Kinds of failure of a stand-in upstream.
const (
	UpstreamFailNone           = "none"
	UpstreamFailCloseAfterRead = "close_after_read"
	UpstreamFailHalfAnswer     = "half_answer"
	UpstreamFailRefuse         = "refuse"
	UpstreamFailHang           = "hang"
)

// Upstream is a stand-in upstream. It runs requests by waiting for their
// service time while they hold one of its slots.
type Upstream struct {
	config   UpstreamConfig
	listener net.Listener
	server   *fasthttp.Server

	mu      sync.Mutex
	random  *rand.Rand
	fault   UpstreamFault
	leftAt  time.Time
	cold    int
	running int
	waiting []*upstreamExecution
	known   map[string]*upstreamExecution
	loads   []upstreamLoad
	log     UpstreamLog
}

// upstreamMaxBodyBytes is above the largest request body of the system.
const upstreamMaxBodyBytes = 8 << 20

// StartUpstream starts a stand-in upstream.
func StartUpstream(config UpstreamConfig) (*Upstream, error) {
	config.Slots = max(config.Slots, 1)
	if config.Queue == 0 {
		config.Queue = config.Slots
	}
	if config.Address == "" {
		config.Address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", config.Address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	u := &Upstream{
		config:   config,
		listener: listener,
		random:   rand.New(rand.NewPCG(config.Seed, 1)),
		cold:     config.Cold,
		known:    make(map[string]*upstreamExecution),
	}
	u.server = &fasthttp.Server{Handler: u.handle, NoDefaultServerHeader: true, NoDefaultDate: true, MaxRequestBodySize: upstreamMaxBodyBytes}
	go func() { _ = u.server.Serve(listener) }()
	return u, nil
}

// Address returns the address on which the upstream listens.
func (u *Upstream) Address() string { return u.listener.Addr().String() }

// ID returns the id of the upstream.
func (u *Upstream) ID() string { return u.config.ID }

// Close stops the upstream; executions in flight are cut off.
func (u *Upstream) Close() {
	_ = u.listener.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, e := range u.known {
		e.cancel()
	}
}

// SetFault changes the behaviour of the upstream.
func (u *Upstream) SetFault(fault UpstreamFault) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if fault.Leaving && !u.fault.Leaving {
		u.leftAt = time.Now()
	}
	if u.fault.Fail == UpstreamFailHang && fault.Fail != UpstreamFailHang {
		for _, e := range u.known {
			e.unhang()
		}
	}
	u.fault = fault
}

// Figures of the service time.
const (
	// serviceSigma is the spread of the log-normal service time.
	serviceSigma = 0.6
	// coldFactor is how much slower the first cold execution is; the factor
	// falls to 1 over the cold executions.
	coldFactor = 4.0
)

// LogNormal draws a log-normal duration with the given mean and the spread that
// stand-in upstreams use.
func LogNormal(random *rand.Rand, mean time.Duration) time.Duration {
	factor := math.Exp(serviceSigma*random.NormFloat64() - serviceSigma*serviceSigma/2)
	return time.Duration(float64(mean) * factor)
}

// serviceTime returns how long an execution takes that starts now; work is the
// time that the request asks for, or negative.
func (u *Upstream) serviceTime(work time.Duration) time.Duration {
	if work < 0 {
		work = LogNormal(u.random, u.config.ServiceTime)
	}
	factor := 1.0
	if u.cold > 0 {
		factor += (coldFactor - 1) * float64(u.cold) / float64(u.config.Cold)
		u.cold--
	}
	if u.fault.SlowFactor > 0 {
		factor *= u.fault.SlowFactor
	}
	return time.Duration(float64(work) * factor)
}
