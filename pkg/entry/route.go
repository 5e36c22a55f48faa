package entry

import (
	"context"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/peer"
	"github.com/sequoiacove/sequoiacove/pkg/request"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

const (
	// maxDomains bounds the domains that one request may try, because each try
	// adds load while all domains are full.
	maxDomains = 3
	// maxInstances bounds the instances of one domain that a request tries.
	maxInstances = 3
	// maxHops bounds forwards inside a domain whose instances disagree about
	// the owner of a pool.
	maxHops = 1
)

// attempt is the state of one request on its way through domains.
type attempt struct {
	entry *Entry
	view  *view
	req   *request.Request
	tried map[string]bool
	// mayHaveRun is the first failure after which the request may have run. A
	// later refusal must not hide it: "not run" would be untrue.
	mayHaveRun error
	// failed is the last instance that gave no answer.
	failed string
}

// failure returns the error for the caller when the last submission failed.
func (a *attempt) failure(err error) error {
	if a.mayHaveRun != nil && result.OutcomeOf(err) == result.NotRun {
		return a.mayHaveRun
	}
	return err
}

// note remembers a failure after which the request may have run.
func (a *attempt) note(err error) {
	if a.mayHaveRun == nil && result.OutcomeOf(err) == result.Unknown {
		a.mayHaveRun = err
	}
}

// route runs a request in the domain that its service's shares choose. After a
// refusal that certainly ran nothing it may go to another domain with credit.
func (e *Entry) route(ctx context.Context, v *view, req *request.Request) (*request.Response, error) {
	domain, err := e.routes.Choose(req.Service)
	if err != nil {
		return nil, err
	}
	a := &attempt{entry: e, view: v, req: req}
	for {
		resp, err := a.inDomain(ctx, domain)
		if err == nil {
			return resp, nil
		}
		if !a.mayMove(ctx, err) {
			return nil, a.failure(err)
		}
		next, ok := a.next(domain)
		if !ok {
			return nil, a.failure(err)
		}
		e.metrics.transfers.Inc(1)
		domain = next
	}
}

// mayMove tells whether a failure allows another domain: the request did not
// run, or it is idempotent and the instance it was sent to stopped answering.
func (a *attempt) mayMove(ctx context.Context, err error) bool {
	if a.mayTryNext(ctx, err) {
		return true
	}
	switch result.CodeOf(err) {
	case result.QueueFull, result.DeadlineUnreachable, result.NoUpstream,
		result.RegionLimit, result.UpstreamRefused, result.UpstreamConnect,
		result.LinkBudgetExhausted, result.NoDestination, result.TooManyRequests:
		return ctx.Err() == nil
	}
	return false
}

// next transfers the request to another domain with credit.
func (a *attempt) next(domain string) (string, bool) {
	if a.tried == nil {
		a.tried = make(map[string]bool, maxDomains)
	}
	a.tried[domain] = true
	if len(a.tried) >= maxDomains {
		return "", false
	}
	return a.entry.routes.Transfer(a.req.Service, domain, a.view.self.Domain, a.tried)
}

// inDomain runs the request in one domain: at the owner of the pool or, when
// the owner cannot be used, at the next instance in rank.
func (a *attempt) inDomain(ctx context.Context, domain string) (*request.Response, error) {
	ranked := a.view.ranked(a.req.Service, domain)
	if len(ranked) == 0 {
		return nil, result.New(result.NoDestination, "no entry instance in domain %s", domain)
	}
	var last error
	for i, m := range a.entry.avoid.order(ranked, a.entry.opt.Now()) {
		if i >= maxInstances {
			break
		}
		resp, err := a.atInstance(ctx, m, domain)
		if err == nil {
			return resp, nil
		}
		a.note(err)
		if noAnswer(err) {
			a.failed = m.ID
		}
		if !a.mayTryNext(ctx, err) {
			return nil, err
		}
		last = err
	}
	if last == nil {
		last = result.New(result.PeerUnreachable, "no entry instance of domain %s could be reached", domain)
	}
	return nil, last
}

// noAnswer tells whether a peer did not answer at all.
func noAnswer(err error) bool {
	code := result.CodeOf(err)
	return code == result.PeerUnreachable || code == result.PeerNoAnswer
}

// mayTryNext tells whether a failure concerns the instance and not the pool.
func (a *attempt) mayTryNext(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	switch result.CodeOf(err) {
	case result.NotOwner, result.PeerUnreachable, result.PeerRefused,
		result.StaleSnapshot, result.Stopping, result.NoConfiguration:
		return true
	case result.PeerNoAnswer:
		return a.req.Idempotent
	}
	return false
}

// atInstance runs the request at one instance, which may be this one.
func (a *attempt) atInstance(ctx context.Context, m cluster.Member, domain string) (*request.Response, error) {
	if m.ID == a.view.self.ID {
		return a.entry.opt.Admission.Do(ctx, a.req)
	}
	return a.entry.forward(ctx, m, &peer.ForwardRequest{Request: *a.req, Domain: domain, Failed: a.failed})
}

// remaining returns the whole milliseconds until a deadline.
func remaining(deadline, now time.Time) int64 { return deadline.Sub(now).Milliseconds() }
