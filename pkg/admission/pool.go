package admission

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/request"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// pool admits the requests of one service to its upstreams in the own domain.
type pool struct {
	config  Config
	service string

	mu      sync.Mutex
	random  *rand.Rand
	limit   int
	targets []*target
	// draining holds upstreams that left the list with executions in flight.
	draining []*target
	// normal and long hold the waiting tasks; tasks of long routes wait apart
	// so that the others can pass them when long routes hold all their slots.
	normal queue
	long   queue
	routes *routes
	// duplicateBudget bounds hedges and the retries of requests that may have
	// run already. It starts empty, so that its fraction of the executions
	// holds over any time since the start.
	duplicateBudget budget
	// retryBudget bounds the retries of requests that did not run.
	retryBudget budget
	work        work
	inUse       int
	longInUse   int
	// ratio is the pool's median latency ratio as of ratioAt.
	ratio   float64
	ratioAt time.Time
	turn    int
	closed  bool
	counts  Counts
}

// retryRate bounds the retries of requests that did not run, so that a pool
// that sheds everything is not offered every request several times.
const retryRate = 0.2

func newPool(config Config, service string, random *rand.Rand) *pool {
	return &pool{
		config:          config,
		service:         service,
		random:          random,
		routes:          newRoutes(config.Settings.HedgeQuantile),
		duplicateBudget: budget{rate: config.Settings.ExtraExecutions},
		retryBudget:     budget{rate: retryRate, tokens: budgetBurst},
	}
}

func (p *pool) update(c PoolConfig) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = c.Limit
	first := len(p.targets) == 0
	known := make(map[string]*target, len(p.targets))
	for _, u := range p.targets {
		u.gone = true
		known[u.id] = u
	}
	targets := make([]*target, 0, len(c.Upstreams))
	for _, record := range c.Upstreams {
		u := known[record.ID]
		if u == nil || u.address != record.Address {
			u = newTarget(record)
			if !first {
				u.slowStart.begin()
			}
		}
		u.apply(record)
		targets = append(targets, u)
	}
	p.keepDraining()
	p.targets = targets
	p.readmit(p.config.Clock.Now())
	p.dispatch(p.config.Clock.Now())
}

// keepDraining remembers the upstreams that are no longer listed until their
// executions end.
func (p *pool) keepDraining() {
	var draining []*target
	for _, u := range append(p.draining, p.targets...) {
		switch {
		case u.gone && u.inUse() > 0:
			draining = append(draining, u)
		case u.gone:
			p.config.Exchange.Forget(u.address)
		}
	}
	p.draining = draining
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, u := range p.targets {
		p.config.Exchange.Forget(u.address)
	}
	for t := p.pop(); t != nil; t = p.pop() {
		t.granted <- grant{err: errPoolMoved()}
	}
}

func (p *pool) pop() *task {
	for _, q := range []*queue{&p.normal, &p.long} {
		if t := q.head(); t != nil {
			q.remove(t)
			return t
		}
	}
	return nil
}

func (p *pool) do(ctx context.Context, req *request.Request) (*request.Response, error) {
	t := newTask(req, p.config.Clock.Now())
	ctx, cancel := context.WithDeadline(ctx, t.deadline)
	defer cancel()
	var unknown error
	for {
		e, err := p.admit(ctx, t)
		if err == nil {
			var resp *request.Response
			resp, err = p.attempt(ctx, t, e)
			if err == nil {
				return p.complete(resp, t), nil
			}
		}
		if result.OutcomeOf(err) == result.Unknown {
			unknown = err
		}
		if e != nil && p.mayRetry(ctx, t, err) {
			t.tried = append(t.tried, e.target)
			continue
		}
		if unknown != nil {
			return nil, unknown
		}
		return nil, err
	}
}

func (p *pool) complete(resp *request.Response, t *task) *request.Response {
	p.mu.Lock()
	defer p.mu.Unlock()
	resp.Domain = p.config.Domain
	resp.Attempts = t.started
	return resp
}

// admit returns the execution that t may start.
func (p *pool) admit(ctx context.Context, t *task) (*execution, error) {
	if !p.queues() {
		return p.admitAtOnce(t)
	}
	if err := p.submit(t); err != nil {
		return nil, err
	}
	select {
	case g := <-t.granted:
		return g.execution, g.err
	case <-ctx.Done():
		return nil, p.withdraw(ctx, t)
	}
}

// ownerQueue is the policy with a queue at the owner.
const ownerQueue = "owner_queue"

// queues reports whether the policy is ownerQueue, which is the default.
func (p *pool) queues() bool {
	return p.config.Settings.Policy == ownerQueue || p.config.Settings.Policy == ""
}

// atLimit reports whether the region's limit admits no further execution.
func (p *pool) atLimit() bool { return p.limit > 0 && p.inUse >= p.limit }

// errPoolMoved returns the refusal of a pool that this instance gave up.
func errPoolMoved() error {
	return result.New(result.NotOwner, "the pool moved to another instance")
}

// withdraw takes t out of the queue; a slot that was granted meanwhile is given
// back.
func (p *pool) withdraw(ctx context.Context, t *task) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.normal.remove(t) || p.long.remove(t) {
		return endedBeforeStart(ctx)
	}
	if g := <-t.granted; g.execution != nil {
		p.release(g.execution)
	}
	return endedBeforeStart(ctx)
}

// bind occupies a slot of u for t.
func (p *pool) bind(u *target, t *task, now time.Time, hedge bool) *execution {
	e := &execution{id: t.executionID(), task: t, target: u, started: now, expected: t.expected, hedge: hedge, done: make(chan struct{})}
	u.executions[e] = true
	u.probedAt = now
	p.inUse++
	if e.expected.long {
		p.longInUse++
	}
	return e
}

// release frees the slot of e and starts what waits for it.
func (p *pool) release(e *execution) {
	if e.released {
		return
	}
	e.released = true
	delete(e.target.executions, e)
	p.inUse--
	if e.expected.long {
		p.longInUse--
	}
	p.dispatch(p.config.Clock.Now())
}

func (p *pool) report() cluster.PoolReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	return cluster.PoolReport{Service: p.service, Slots: p.slots(), InUse: p.inUse, Queued: p.queued()}
}

func (p *pool) inFlight(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, u := range append(append([]*target(nil), p.targets...), p.draining...) {
		if u.id == id {
			n += u.inUse()
		}
	}
	return n
}

func (p *pool) queued() int { return p.normal.Len() + p.long.Len() }

// slots returns the slots in force: those of upstreams that take work, within
// the limit of the region.
func (p *pool) slots() int {
	now := p.config.Clock.Now()
	total := 0
	for _, u := range p.targets {
		total += u.limit(now)
	}
	if p.limit > 0 {
		total = min(total, p.limit)
	}
	return total
}
