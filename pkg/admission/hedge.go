package admission

import (
	"context"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/request"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// Figures for hedging.
const (
	// unknownHedgeDelay applies until the costs of a route are known.
	unknownHedgeDelay = 250 * time.Millisecond
	// hedgeRetryPart is the part of the hedge delay after which a hedge that
	// found no slot or budget is tried again.
	hedgeRetryPart = 4
	// maxHedges bounds the hedges of one attempt.
	maxHedges = 2
	// noHedge is the delay after the last decision of an attempt.
	noHedge = time.Hour
)

type answer struct {
	execution *execution
	resp      *request.Response
	err       error
}

// hedger runs one attempt of an idempotent request with at most one hedge at a
// time.
type hedger struct {
	pool    *pool
	task    *task
	answers chan answer
	running []*runningExecution
	hedges  int
	failure error
}

// runningExecution is an execution whose exchange is open. The exchange has its
// own context, because an abandoned exchange stays open after the request has
// its answer.
type runningExecution struct {
	execution *execution
	stop      context.CancelFunc
	// unlink separates the exchange from the context of the request.
	unlink func() bool
}

func (h *hedger) run(ctx context.Context, primary *execution) (*request.Response, error) {
	h.start(ctx, primary)
	delay := h.delay()
	timer, stopTimer := h.pool.config.Clock.NewTimer(delay)
	defer func() { stopTimer() }()
	for {
		select {
		case a := <-h.answers:
			if !h.drop(a.execution) {
				continue
			}
			if a.err == nil {
				h.abandonFrom(0)
				return a.resp, nil
			}
			h.fail(a.err)
			if len(h.running) == 0 {
				return nil, h.failure
			}
		case <-timer:
			timer, stopTimer = h.pool.config.Clock.NewTimer(h.onTimer(ctx, delay))
		}
	}
}

func (h *hedger) delay() time.Duration {
	if !h.task.expected.known {
		return unknownHedgeDelay
	}
	return h.task.expected.hedge
}

// onTimer starts a hedge, or gives one up that has itself run for the hedge
// delay: then the request is long, and a second execution wastes a slot. It
// returns the time to the next decision.
func (h *hedger) onTimer(ctx context.Context, delay time.Duration) time.Duration {
	if len(h.running) > 1 {
		if !h.pool.isSuspect(h.running[0].execution.target) {
			h.pool.noteLong(h.running[0].execution)
			h.abandonFrom(1)
		}
		return noHedge
	}
	if h.hedges >= maxHedges {
		return noHedge
	}
	hedge := h.pool.bindHedge(h.task, h.running[0].execution)
	if hedge == nil {
		return max(delay/hedgeRetryPart, time.Millisecond)
	}
	h.hedges++
	h.start(ctx, hedge)
	return delay
}

func (h *hedger) start(ctx context.Context, e *execution) {
	own, stop := context.WithDeadline(context.WithoutCancel(ctx), h.task.deadline)
	unlink := context.AfterFunc(ctx, func() {
		// The own deadline ends the exchange when the request's deadline passes.
		if ctx.Err() != context.DeadlineExceeded {
			stop()
		}
	})
	h.running = append(h.running, &runningExecution{execution: e, stop: stop, unlink: unlink})
	answers := h.answers
	go func() {
		resp, err := h.pool.exchange(own, e)
		answers <- answer{execution: e, resp: resp, err: err}
	}()
}

// drop removes an execution that ended; it reports false when the execution was
// abandoned before.
func (h *hedger) drop(e *execution) bool {
	for i, r := range h.running {
		if r.execution == e {
			r.unlink()
			r.stop()
			h.running = append(h.running[:i], h.running[i+1:]...)
			return true
		}
	}
	return false
}

// fail keeps the error that says most about what may have run.
func (h *hedger) fail(err error) {
	if h.failure == nil || result.OutcomeOf(err) == result.Unknown {
		h.failure = err
	}
}

// abandonFrom abandons the running executions from the given index on.
func (h *hedger) abandonFrom(first int) {
	for _, r := range h.running[first:] {
		r.unlink()
		go h.pool.abandon(r.execution, r.stop)
	}
	h.running = h.running[:first]
}

// bindHedge occupies an idle slot of another upstream for a hedge of primary.
// Waiting requests have priority over hedges.
func (p *pool) bindHedge(t *task, primary *execution) *execution {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Clock.Now()
	if e := p.probeSilentByHedge(t, primary, now); e != nil {
		return e
	}
	if p.closed || p.queued() > 0 || p.atLimit() {
		return nil
	}
	t.tried = append(t.tried, primary.target)
	u := p.choose(t, now, 0)
	t.tried = t.tried[:len(t.tried)-1]
	if u == nil || p.suspect(u, now) || !p.take(&p.duplicateBudget, &p.counts.Hedges) {
		return nil
	}
	return p.bind(u, t, now, true)
}

// noteLong lets a route that is not known yet learn from an execution that a
// hedge did not overtake. Answers of long requests come too late to keep the
// first ones from filling the slots.
func (p *pool) noteLong(e *execution) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.routes.get(e.task.route); !r.figures.known {
		p.routes.addTo(r, p.config.Clock.Now().Sub(e.started))
	}
}

func (p *pool) isSuspect(u *target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.suspect(u, p.config.Clock.Now())
}
