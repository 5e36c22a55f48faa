package admission

import (
	"context"
	"sync"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/upstream"
)

// Figures for the checks that run besides requests.
const (
	// checkInterval is the time between two checks.
	checkInterval = 200 * time.Millisecond
	// checksPerPoll makes a status poll follow every fifth check.
	checksPerPoll = 5
	// pollLimit bounds a status call.
	pollLimit = 800 * time.Millisecond
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

// check returns ejected upstreams to use and starts what can start.
func (p *pool) check() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Clock.Now()
	p.readmit(now)
	p.dispatch(now)
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
		if !u.slowStart.active && !u.warmed {
			u.slowStart.begin()
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
		u.slowStart.begin()
	}
}

// returnDelay is how long an upstream stays marked as leaving although its
// status says ready; status calls lag by several seconds.
const returnDelay = 10 * time.Second
