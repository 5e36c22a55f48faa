package admission

import (
	"context"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/upstream"
)

// Figures for confirming the end of executions.
const (
	// settlePause is the time between two cancel calls for one execution.
	settlePause = 100 * time.Millisecond
	// silenceLimit is how long the answer to a finished execution may take
	// before its connection counts as silent.
	silenceLimit = 100 * time.Millisecond
	// openLimit is how long after its start an execution may have opened the
	// connection that it uses.
	openLimit = 50 * time.Millisecond
)

// settle frees the slot of e once the upstream confirms that e no longer runs,
// or when the deadline of e has passed.
func (p *pool) settle(e *execution) {
	ctx, cancel := context.WithDeadline(context.Background(), e.task.deadline)
	defer cancel()
	unseen := 0
	for ctx.Err() == nil && unseen < 2 {
		state, err := p.config.Exchange.Cancel(ctx, e.target.address, e.id)
		if err == nil && ends(state) {
			break
		}
		// A request whose connection closed can still be on its way, so one
		// answer that the execution is unknown is not enough.
		if err == nil && state == upstream.StateUnknown {
			unseen++
		}
		p.sleep(ctx, settlePause)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.release(e)
}

func (p *pool) sleep(ctx context.Context, d time.Duration) {
	elapsed, stop := p.config.Clock.NewTimer(d)
	defer stop()
	select {
	case <-elapsed:
	case <-ctx.Done():
	}
}

// abandon ends an execution whose answer is no longer wanted and frees its slot
// once the upstream confirms the end.
func (p *pool) abandon(e *execution, stopExchange context.CancelFunc) {
	defer stopExchange()
	if p.markAbandoned(e) {
		return
	}
	state := p.cancelOpen(e)
	stopExchange()
	if !ends(state) {
		p.settle(e)
	}
}

// markAbandoned records the latency so far and reports whether the slot of e is
// free already.
func (p *pool) markAbandoned(e *execution) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.abandoned = true
	if !e.ended {
		now := p.config.Clock.Now()
		p.observeLatency(e, now)
		p.ejectIfFaulty(e.target, now)
	}
	return e.released
}

// ends tells whether a state of a cancelled execution means that it holds no slot.
func ends(state string) bool {
	return state == upstream.StateCancelled || state == upstream.StateFinished
}

// cancelOpen cancels e over a new connection while its exchange is still open and
// returns the state of e at the upstream. When the upstream has finished e or
// never saw it and yet the exchange stays without an answer, the connection is
// silent, and all connections to the upstream that are as old are retired. An
// exchange on one of them then fails as unknown.
func (p *pool) cancelOpen(e *execution) string {
	ctx, cancel := context.WithDeadline(context.Background(), e.task.deadline)
	defer cancel()
	state, err := p.config.Exchange.Cancel(ctx, e.target.address, e.id)
	if err != nil {
		return ""
	}
	if ends(state) {
		p.mu.Lock()
		p.release(e)
		p.mu.Unlock()
	}
	if state == upstream.StateCancelled {
		return state
	}
	elapsed, stop := p.config.Clock.NewTimer(silenceLimit)
	defer stop()
	select {
	case <-e.done:
	case <-elapsed:
		p.retire(e.target, e.started.Add(openLimit))
	}
	return state
}
