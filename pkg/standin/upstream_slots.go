package standin

import (
	"time"
)

// Results of an execution in the log.
const (
	UpstreamDone      = "done"
	UpstreamCancelled = "cancelled"
	UpstreamShed      = "shed"
)

// upstreamExecution is a request from its arrival to its end.
type upstreamExecution struct {
	id       string
	path     string
	started  time.Time
	ended    time.Time
	result   string
	cancelOn bool
	hangOff  bool
	// granted is closed when the execution gets its slot.
	granted chan struct{}
	// cancelled is closed to end the execution early.
	cancelled chan struct{}
	// hangEnd is closed when a hanging execution may go on.
	hangEnd chan struct{}
	// done is closed when the execution holds no slot any more.
	done chan struct{}
}

func newUpstreamExecution(id, path string) *upstreamExecution {
	return &upstreamExecution{
		id: id, path: path,
		granted: make(chan struct{}), cancelled: make(chan struct{}),
		hangEnd: make(chan struct{}), done: make(chan struct{}),
	}
}

// cancel is called with the upstream's lock held, like unhang.
func (e *upstreamExecution) cancel() {
	if !e.cancelOn {
		e.cancelOn = true
		close(e.cancelled)
	}
}

func (e *upstreamExecution) unhang() {
	if !e.hangOff {
		e.hangOff = true
		close(e.hangEnd)
	}
}

// admit gives e a slot or a place in the queue; it reports false when the
// upstream sheds e.
func (u *Upstream) admit(e *upstreamExecution) (admitted, leaving bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	leaving = u.fault.Leaving
	full := u.running >= u.config.Slots && len(u.waiting) >= u.config.Queue
	if leaving || full || u.fault.Fail == UpstreamFailRefuse {
		e.result, e.started, e.ended = UpstreamShed, time.Now(), time.Now()
		u.log.add(e)
		return false, leaving
	}
	u.known[e.id] = e
	if u.running < u.config.Slots {
		u.grant(e)
	} else {
		u.waiting = append(u.waiting, e)
	}
	u.noteLoad()
	return true, false
}

func (u *Upstream) grant(e *upstreamExecution) {
	u.running++
	u.log.noteRunning(u.running)
	e.started = time.Now()
	close(e.granted)
}

// execute waits for the slot of e and then for its service time. It returns the
// result and the failure that was in force when the execution ended.
func (u *Upstream) execute(e *upstreamExecution, work time.Duration, deadline time.Time) (result, fail string) {
	expired, stop := expiry(deadline)
	defer stop()
	select {
	case <-e.granted:
	case <-e.cancelled:
	case <-expired:
	}
	if !u.holdsSlot(e) {
		return UpstreamCancelled, ""
	}
	u.mu.Lock()
	timer := time.NewTimer(u.serviceTime(work))
	hang := u.fault.Fail == UpstreamFailHang
	u.mu.Unlock()
	defer timer.Stop()
	finished := timer.C
	if hang {
		finished = nil
	}
	result = UpstreamDone
	select {
	case <-finished:
	case <-e.hangEnd:
	case <-e.cancelled:
		result = UpstreamCancelled
	case <-expired:
		result = UpstreamCancelled
	}
	return result, u.end(e, result)
}

func expiry(deadline time.Time) (<-chan time.Time, func() bool) {
	if deadline.IsZero() {
		return nil, func() bool { return true }
	}
	timer := time.NewTimer(time.Until(deadline))
	return timer.C, timer.Stop
}

// holdsSlot reports whether e has its slot; otherwise e leaves the queue.
func (u *Upstream) holdsSlot(e *upstreamExecution) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	select {
	case <-e.granted:
		return true
	default:
	}
	for i, w := range u.waiting {
		if w == e {
			u.waiting = append(u.waiting[:i], u.waiting[i+1:]...)
			break
		}
	}
	e.started = time.Now()
	u.finish(e, UpstreamCancelled)
	return false
}

// end frees the slot of e, starts the next waiting execution and returns the
// failure in force.
func (u *Upstream) end(e *upstreamExecution, result string) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
	if len(u.waiting) > 0 {
		next := u.waiting[0]
		u.waiting = append(u.waiting[:0], u.waiting[1:]...)
		u.grant(next)
	}
	u.finish(e, result)
	return u.fault.Fail
}

func (u *Upstream) finish(e *upstreamExecution, result string) {
	e.ended, e.result = time.Now(), result
	u.log.add(e)
	u.noteLoad()
	close(e.done)
	u.forget()
}

// maxKnown bounds the executions that are remembered for cancel calls.
const maxKnown = 20_000

func (u *Upstream) forget() {
	if len(u.known) <= maxKnown {
		return
	}
	for id, e := range u.known {
		if e.result != "" && time.Since(e.ended) > time.Minute {
			delete(u.known, id)
		}
	}
}
