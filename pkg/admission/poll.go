package admission

import (
	"context"
	"sync"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/upstream"
)

// Figures for the checks that run besides requests.
const (
	// checkInterval is the time between two looks for silent executions.
	checkInterval = 200 * time.Millisecond
	// checksPerPoll makes a status poll follow every fifth check.
	checksPerPoll = 5
	// pollLimit bounds a status call.
	pollLimit = 800 * time.Millisecond
	// minSilence is the shortest time without any answer after which the
	// connections to an upstream are checked.
	minSilence = 300 * time.Millisecond
)

// poll checks the upstreams until ctx ends.
func (s *Set) poll(ctx context.Context) {
	defer close(s.done)
	for n := 1; ; n++ {
		elapsed, stop := s.config.Clock.NewTimer(checkInterval)
		select {
		case <-ctx.Done():
			stop()
			return
		case <-elapsed:
		}
		for _, p := range s.sorted() {
			p.check()
			if n%checksPerPoll == 0 {
				go p.pollStatus(ctx)
			}
		}
	}
}

// check returns ejected upstreams to use, starts what can start and looks for
// silent connections.
func (p *pool) check() {
	p.mu.Lock()
	now := p.config.Clock.Now()
	p.readmit(now)
	p.dispatch(now)
	silent := p.silent(now)
	p.mu.Unlock()
	for _, e := range silent {
		go p.checkSilence(e)
	}
}

// silent returns, for each upstream that has answered nothing for a while, its
// oldest idempotent execution, if all its executions are overdue. An inquiry
// about that execution needs no slot, so it also helps when silent connections
// hold all slots.
func (p *pool) silent(now time.Time) []*execution {
	var found []*execution
	for _, u := range p.targets {
		if u.inUse() == 0 || u.overdue(now) < u.inUse() || now.Sub(u.lastAnswer) < minSilence {
			continue
		}
		if e := u.oldest(); e != nil && e.inquiry == nil && now.Sub(e.started) > minSilence {
			e.inquiry = make(chan struct{})
			found = append(found, e)
		}
	}
	return found
}

// checkSilence inquires about e, whose answer is still wanted.
func (p *pool) checkSilence(e *execution) {
	defer close(e.inquiry)
	e.cancelled = p.inquire(e) == upstream.StateCancelled
}

// oldest returns the execution that has waited longest for its answer among
// those that may be cancelled and run again.
func (u *target) oldest() *execution {
	var found *execution
	for e := range u.executions {
		if e.ended || e.abandoned || !e.task.req.Idempotent {
			continue
		}
		if found == nil || e.started.Before(found.started) {
			found = e
		}
	}
	return found
}

func (p *pool) pollStatus(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollLimit)
	defer cancel()
	p.mu.Lock()
	targets := append([]*target(nil), p.targets...)
	p.mu.Unlock()
	var group sync.WaitGroup
	for _, u := range targets {
		group.Go(func() {
			if status, err := p.config.Exchange.Status(ctx, u.address); err == nil {
				p.observeStatus(u, status)
			}
		})
	}
	group.Wait()
}

// States of an upstream's status.
const (
	stateReady   = "ready"
	stateWarming = "warming"
	stateLeaving = "leaving"
)

// observeStatus takes an upstream's own word on whether it leaves. Its load
// figures lag or mislead and only influence the order of choice.
func (p *pool) observeStatus(u *target, status upstream.Status) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Clock.Now()
	switch status.State {
	case stateLeaving:
		p.markLeaving(u)
	case stateWarming:
		if !u.ramp.active && !u.warmed {
			u.ramp.begin()
		}
		u.warmed = true
	case stateReady:
		u.warmed = false
		u.returned(now, status)
	}
	u.load = loadReport{
		foreign: float64(status.InFlight + status.Queued - u.inUse()),
		at:      now.Add(-time.Duration(status.AgeMS) * time.Millisecond),
	}
}

// returned clears the mark of leaving after a status that is newer than the
// mark; an older one may lag behind the answer that carried the mark.
func (u *target) returned(now time.Time, status upstream.Status) {
	if u.seenLeaving && status.AgeMS == 0 && now.Sub(u.leavingAt) > returnDelay {
		u.seenLeaving = false
		u.ramp.begin()
	}
}

// returnDelay is how long an upstream stays marked as leaving although its
// status says ready; status calls lag by several seconds.
const returnDelay = 10 * time.Second
