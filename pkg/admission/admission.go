// Package admission decides when and on which upstream a request runs.
//
// A Set holds the pools that this instance owns: one pool for each service
// whose upstreams in the own failure domain belong to the instance. The owner
// alone knows which slots are occupied. Requests wait in one queue ordered by
// deadline and get an upstream only when a slot is idle (late binding), so that
// no request waits behind a slow upstream while another one is idle.
//
// An execution that was cancelled, or whose connection failed, may still hold
// its slot at the upstream. Its slot is counted as occupied until the upstream
// confirms the end or the deadline of the execution has passed.
package admission

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/request"
	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/pkg/settings"
	"github.com/sequoiacove/sequoiacove/pkg/upstream"
)

// Exchanger exchanges messages with upstreams; *upstream.Client implements it.
type Exchanger interface {
	Do(ctx context.Context, address string, req *request.Request, execution string) (*request.Response, error)
	Cancel(ctx context.Context, address, execution string) (string, error)
	Status(ctx context.Context, address string) (upstream.Status, error)
	Retire(address string, before time.Time) int
	// Forget closes the idle connections of an upstream that is no longer used.
	Forget(address string)
}

// Config holds the inputs of a Set.
type Config struct {
	// Domain is the own failure domain.
	Domain   string
	Settings settings.Admission
	Exchange Exchanger
	Logger   *slog.Logger
	// Clock defaults to the system clock.
	Clock Clock
	// Seed makes the random choices repeatable.
	Seed uint64
}

// PoolConfig describes one owned pool.
type PoolConfig struct {
	Service string
	// Limit bounds the concurrent executions; 0 means no limit besides slots.
	Limit     int
	Upstreams []cluster.UpstreamRecord
}

// Set holds the owned pools of an instance.
type Set struct {
	config Config
	stop   context.CancelFunc
	done   chan struct{}

	mu    sync.RWMutex
	pools map[string]*pool
}

// New returns an empty Set that polls the status of its upstreams until Close.
func New(config Config) *Set {
	if config.Clock == nil {
		config.Clock = SystemClock{}
	}
	if config.Logger == nil {
		config.Logger = event.Discard()
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &Set{config: config, stop: stop, done: make(chan struct{}), pools: make(map[string]*pool)}
	go s.poll(ctx)
	return s
}

// Close stops the polling; requests in flight finish.
func (s *Set) Close() {
	s.stop()
	<-s.done
}

// Update replaces the owned pools. Requests that wait in a pool that is no
// longer owned are refused as not run; executions in flight finish.
func (s *Set) Update(configs []PoolConfig) {
	s.mu.Lock()
	defer s.mu.Unlock()
	owned := make(map[string]bool, len(configs))
	for _, c := range configs {
		owned[c.Service] = true
		p := s.pools[c.Service]
		if p == nil {
			p = newPool(s.config, c.Service, s.random(c.Service))
			s.pools[c.Service] = p
			event.Log(s.config.Logger, event.PoolAcquired, "service", c.Service)
		}
		p.update(c)
	}
	for service, p := range s.pools {
		if !owned[service] {
			delete(s.pools, service)
			p.close()
			event.Log(s.config.Logger, event.PoolReleased, "service", service)
		}
	}
}

func (s *Set) random(service string) *rand.Rand {
	salt := uint64(len(service))
	for _, b := range []byte(service) {
		salt = salt*31 + uint64(b)
	}
	return rand.New(rand.NewPCG(s.config.Seed, salt))
}

// Do runs req on an upstream of its service's pool and returns the complete
// answer or an error with a result code.
func (s *Set) Do(ctx context.Context, req *request.Request) (*request.Response, error) {
	s.mu.RLock()
	p := s.pools[req.Service]
	s.mu.RUnlock()
	if p == nil {
		return nil, result.New(result.NotOwner, "no pool for service %s in domain %s", req.Service, s.config.Domain)
	}
	return p.do(ctx, req)
}

// Reports returns the load of the owned pools, ordered by service.
func (s *Set) Reports() []cluster.PoolReport {
	var reports []cluster.PoolReport
	for _, p := range s.sorted() {
		reports = append(reports, p.report())
	}
	return reports
}

// InFlight returns the occupied slots of an upstream over all pools.
func (s *Set) InFlight(upstreamID string) int {
	total := 0
	for _, p := range s.sorted() {
		total += p.inFlight(upstreamID)
	}
	return total
}

// State returns the pools for the state dump.
func (s *Set) State() any {
	states := []PoolState{}
	for _, p := range s.sorted() {
		states = append(states, p.state())
	}
	return states
}

func (s *Set) sorted() []*pool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	pools := make([]*pool, 0, len(s.pools))
	for _, p := range s.pools {
		pools = append(pools, p)
	}
	sort.Slice(pools, func(i, j int) bool { return pools[i].service < pools[j].service })
	return pools
}
