package admission

import (
	"context"
	"strconv"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/request"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// task is a request on its way through a pool.
type task struct {
	req      *request.Request
	route    string
	arrived  time.Time
	deadline time.Time
	expected estimate
	// index is the position in the queue, or -1.
	index int
	// granted receives the execution that the task may start, or the refusal.
	granted chan grant
	// tried holds the upstreams of earlier attempts.
	tried []*target
	// attempts counts the executions that were bound, for their names.
	attempts int
	// started counts the executions that may have run.
	started int
}

type grant struct {
	execution *execution
	err       error
}

func newTask(req *request.Request, now time.Time) *task {
	deadline := req.Deadline
	if deadline.IsZero() {
		deadline = now.Add(request.DefaultDeadline)
	}
	return &task{req: req, route: req.Route(), arrived: now, deadline: deadline, index: -1, granted: make(chan grant, 1)}
}

func (t *task) executionID() string {
	t.attempts++
	return t.req.Trace + "-" + strconv.Itoa(t.attempts)
}

func (t *task) hasTried(u *target) bool {
	for _, other := range t.tried {
		if other == u {
			return true
		}
	}
	return false
}

// endedBeforeStart returns the refusal of a task whose context ended while it
// was waiting.
func endedBeforeStart(ctx context.Context) error {
	if ctx.Err() == context.DeadlineExceeded {
		return result.New(result.DeadlineBeforeStart, "deadline passed in the queue")
	}
	return result.New(result.CancelledBeforeStart, "cancelled in the queue")
}
