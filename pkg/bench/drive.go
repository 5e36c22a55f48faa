package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/request"
	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/pkg/standin"
)

// observed is the outcome of one request of a plan.
type observed struct {
	planned
	trace   string
	code    result.Code
	latency time.Duration
	// wrong means that the answer belongs to another request.
	wrong bool
}

// sender is what a plan is sent to.
type sender func(ctx context.Context, domain int, req *request.Request) (*request.Response, error)

// send sends the requests of a plan at their times and returns what happened.
// action runs beside the requests and gets the start time.
func send(requests []planned, deadline time.Duration, to sender, action func(start time.Time)) []observed {
	outcomes := make([]observed, len(requests))
	start := time.Now().Add(20 * time.Millisecond)
	var group sync.WaitGroup
	if action != nil {
		group.Go(func() { action(start) })
	}
	for i := range requests {
		at := start.Add(requests[i].at)
		sleepUntil(at)
		group.Go(func() { outcomes[i] = sendOne(requests[i], i, at, deadline, to) })
	}
	group.Wait()
	return outcomes
}

// sleepUntil uses the system call because the timers of the runtime have a
// resolution of 1 ms when the process is idle.
func sleepUntil(at time.Time) {
	for wait := time.Until(at); wait > 0; wait = time.Until(at) {
		t := syscall.NsecToTimespec(int64(wait))
		_ = syscall.Nanosleep(&t, nil)
	}
}

func sendOne(p planned, serial int, at time.Time, deadline time.Duration, to sender) observed {
	o := observed{planned: p, trace: fmt.Sprintf("b%d", serial)}
	req := &request.Request{
		Service: service, Method: "POST", Path: p.path, Idempotent: p.idempotent,
		Deadline: at.Add(deadline), Trace: o.trace}
	if p.idempotent {
		req.Method = "GET"
	}
	resp, err := to(context.Background(), p.domain, req)
	o.latency = time.Since(at)
	o.code = result.CodeOf(err)
	if err == nil && resp.Status == http.StatusGatewayTimeout {
		// The upstream gave up at the deadline before the caller did.
		o.code = result.DeadlineAfterStart
	} else if err == nil {
		o.wrong = !answers(resp, o)
	}
	return o
}

func answers(resp *request.Response, o observed) bool {
	var body standin.UpstreamAnswer
	if resp.Status != http.StatusOK || json.Unmarshal(resp.Body, &body) != nil {
		return false
	}
	return body.Path == o.path && len(body.Execution) > len(o.trace) && body.Execution[:len(o.trace)+1] == o.trace+"-"
}
