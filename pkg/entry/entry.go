package entry

import (
	"context"
	"crypto/rand"
	"hash/fnv"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/description"
	"github.com/sequoiacove/sequoiacove/pkg/linkbudget"
	"github.com/sequoiacove/sequoiacove/pkg/peer"
	"github.com/sequoiacove/sequoiacove/pkg/request"
	"github.com/sequoiacove/sequoiacove/pkg/requestid"
	"github.com/sequoiacove/sequoiacove/pkg/routing"
)

// Pool is the pool of one service in the own failure domain.
type Pool struct {
	Service string
	// Limit bounds the concurrent executions; 0 means the slots alone do.
	Limit     int
	Upstreams []cluster.UpstreamRecord
}

// Admission runs the requests of the pools that this instance owns.
type Admission interface {
	// Update replaces the owned pools.
	Update(pools []Pool)
	// Do runs a request and returns when its outcome is settled.
	Do(ctx context.Context, req *request.Request) (*request.Response, error)
	// Reports returns the load of the pools.
	Reports() []cluster.PoolReport
	// InFlight returns the executions on an upstream.
	InFlight(upstream string) int
	// State returns a dump for operators.
	State() any
}

// Options are the inputs of an entry.
type Options struct {
	Instance      string
	Region        string
	Domain        string
	CallerAddress string
	PeerAddress   string
	MaxConcurrent int
	// CallerRequestsPerSecond bounds each caller address; 0 means no bound.
	CallerRequestsPerSecond float64
	DrainGrace              time.Duration
	Admission               Admission
	Peers                   peer.Caller
	Logger                  *slog.Logger
	// Registry receives the counters.
	Registry gometrics.Registry
	Now      func() time.Time
}

// Entry is the request path of one instance.
type Entry struct {
	opt         Options
	incarnation uint64
	routes      *routing.Table
	budgets     *linkbudget.Budgets
	ids         *requestid.Table
	metrics     *counters
	callers     *callers
	limits      *callerLimits
	avoid       *avoidList
	bodies      bodies

	view     atomic.Pointer[view]
	inFlight atomic.Int64
	trace    atomic.Uint64
	// tracePrefix makes traces unique among instances and restarts.
	tracePrefix string
	gate        gate
	// left is closed when the instance starts to leave.
	left chan struct{}

	// applyMu serializes snapshots, so that views rise in order. It guards
	// what the last snapshot left.
	applyMu     sync.Mutex
	applied     order
	version     cluster.Version
	description *description.Description
	previous    *description.Description
	blocks      *blockTable
	members     []cluster.Member
	upstreams   []cluster.UpstreamRecord
	// generation counts the changes of members that views depend on.
	generation uint64
	// routed is the view that routing has, or nil after a change of members,
	// and the shares are those that it has.
	routed                       *view
	peerShares, checkpointShares cluster.Shares
	// unreachable holds the domains without an entry instance in the last
	// snapshot.
	unreachable map[string]bool
}

// New returns an entry without a view; it refuses requests until its agent
// pushes a snapshot with a configuration.
func New(opt Options) (*Entry, error) {
	key := make([]byte, 32)
	if _, err := rand.Read(key); err != nil {
		return nil, err
	}
	now := opt.Now()
	incarnation := uint64(now.UnixNano())
	e := &Entry{
		opt:         opt,
		incarnation: incarnation,
		routes:      routing.NewTable(seedOf(opt.Instance)),
		budgets:     linkbudget.New(opt.Region),
		ids:         requestid.New(opt.Instance, incarnation, key, requestid.DefaultLimits, opt.Now),
		metrics:     newCounters(opt.Registry),
		callers:     newCallers(),
		limits:      newCallerLimits(opt.CallerRequestsPerSecond),
		avoid:       newAvoidList(),
		unreachable: make(map[string]bool),
		left:        make(chan struct{}),
	}
	e.tracePrefix = traceName(opt.Instance, incarnation)
	e.gate.start(now)
	return e, nil
}

// self returns the member record of this instance.
func (e *Entry) self() cluster.Member {
	m := cluster.Member{
		ID:               e.opt.Instance,
		Region:           e.opt.Region,
		Domain:           e.opt.Domain,
		State:            cluster.Serving,
		CallerAddress:    e.opt.CallerAddress,
		EntryAddress:     e.opt.PeerAddress,
		EntryIncarnation: e.incarnation,
	}
	if e.gate.leaving.Load() {
		m.State = cluster.Leaving
	}
	return m
}

// traceName returns the part of a trace that is the same for all requests of
// an incarnation.
func traceName(instance string, incarnation uint64) string {
	const longest = 64
	if len(instance) > longest {
		instance = instance[:longest]
	}
	return instance + "." + strconv.FormatUint(incarnation, 36) + "."
}

// seedOf returns a number that differs between instances.
func seedOf(instance string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(instance))
	return h.Sum64()
}
