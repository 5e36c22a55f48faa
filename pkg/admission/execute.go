package admission

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/request"
	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/pkg/upstream"
)

// maxAttempts bounds the attempts of a request besides its deadline.
const maxAttempts = 4

// attempt runs e; idempotent requests are hedged.
func (p *pool) attempt(ctx context.Context, t *task, e *execution) (*request.Response, error) {
	if !t.req.Idempotent || !p.queues() {
		return p.exchange(ctx, e)
	}
	h := &hedger{pool: p, task: t, answers: make(chan answer, 1+maxHedges)}
	return h.run(ctx, e)
}

// exchange runs e on its upstream and accounts for the outcome.
func (p *pool) exchange(ctx context.Context, e *execution) (*request.Response, error) {
	if e.hedge || e.silenceProbe {
		ctx = upstream.WithNewConnection(ctx)
	}
	resp, err := p.config.Exchange.Do(ctx, e.target.address, e.task.req, e.id)
	p.finish(e, resp, err)
	if resp != nil {
		resp.Upstream = e.target.id
	}
	return resp, err
}

// finish records the outcome of the exchange of e and frees its slot when the
// outcome shows that nothing runs any more.
func (p *pool) finish(e *execution, resp *request.Response, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Clock.Now()
	e.ended = true
	close(e.done)
	u := e.target
	settled := true
	switch code := result.CodeOf(err); code {
	case result.OK:
		p.observeAnswer(e, resp, now)
	case result.UpstreamRefused:
		p.observeRefusal(u, err, now)
	case result.UpstreamConnect:
		u.health.failed(now)
	case result.DeadlineAfterStart:
		p.observeLatency(e, now)
	default:
		settled = result.OutcomeOf(err) == result.NotRun
		if code == result.UpstreamNoAnswer || code == result.UpstreamTruncated || code == result.UpstreamProtocol {
			u.health.failed(now)
		}
	}
	if result.OutcomeOf(err) != result.NotRun {
		p.started(e)
	}
	p.ejectIfFaulty(u, now)
	switch {
	case settled:
		p.release(e)
	case !e.abandoned:
		go p.settle(e)
	}
}

// started accounts for an execution that may have run.
func (p *pool) started(e *execution) {
	p.counts.Executions++
	if !e.hedge && e.task.started == 0 {
		p.duplicateBudget.earn()
		p.retryBudget.earn()
	}
	e.task.started++
}

func (p *pool) observeAnswer(e *execution, resp *request.Response, now time.Time) {
	u := e.target
	u.health.answered()
	u.lastAnswer = now
	if hasField(resp, request.HeaderLeaving) {
		p.markLeaving(u)
	}
	if e.abandoned {
		return
	}
	if e.silenceProbe && resp.Status < http.StatusBadRequest {
		p.observeSilenceProbe(e)
	}
	latency := now.Sub(e.started)
	if !p.suspect(u, now) {
		p.routes.add(e.task.route, latency)
	}
	p.observeLatency(e, now)
	u.slowStart.answered(u.slots)
}

// observeLatency compares the time since the start of e with its route.
func (p *pool) observeLatency(e *execution, now time.Time) {
	if e.expected.median > 0 {
		e.target.health.observe(float64(now.Sub(e.started))/float64(e.expected.median), now)
	}
}

func (p *pool) observeRefusal(u *target, err error, now time.Time) {
	p.counts.Shed++
	u.lastAnswer = now
	var refusal *upstream.Refusal
	if errors.As(err, &refusal) && refusal.Leaving {
		p.markLeaving(u)
		return
	}
	u.health.shedUntil = now.Add(shedPause)
	p.wakeAfter(shedPause)
}

func (p *pool) markLeaving(u *target) {
	if !u.seenLeaving {
		u.seenLeaving = true
		u.leavingAt = p.config.Clock.Now()
		event.Log(p.config.Logger, event.UpstreamLeaving, "service", p.service, "upstream", u.id)
	}
}

// wakeAfter starts waiting tasks after d, when an upstream becomes usable again.
func (p *pool) wakeAfter(d time.Duration) {
	elapsed, _ := p.config.Clock.NewTimer(d)
	go func() {
		<-elapsed
		p.mu.Lock()
		defer p.mu.Unlock()
		p.dispatch(p.config.Clock.Now())
	}()
}

func hasField(resp *request.Response, name string) bool {
	for _, f := range resp.Header {
		if f.Name == name {
			return true
		}
	}
	return false
}

// mayRetry decides whether t gets another attempt after err.
func (p *pool) mayRetry(ctx context.Context, t *task, err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ctx.Err() != nil || t.attempts >= maxAttempts {
		return false
	}
	switch result.CodeOf(err) {
	case result.UpstreamRefused, result.UpstreamConnect:
		return p.take(&p.retryBudget, &p.counts.Retries)
	case result.UpstreamNoAnswer, result.UpstreamTruncated:
		return t.req.Idempotent && p.take(&p.duplicateBudget, &p.counts.Retries)
	default:
		return false
	}
}

func (p *pool) take(b *budget, count *uint64) bool {
	if !b.take() {
		p.counts.OverBudget++
		return false
	}
	*count++
	return true
}
