package entry

import (
	"context"

	"github.com/valyala/fasthttp"

	"github.com/sequoiacove/sequoiacove/pkg/peer"
	"github.com/sequoiacove/sequoiacove/pkg/request"
	"github.com/sequoiacove/sequoiacove/pkg/requestid"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// submit runs a request with an identifier at the instance that issued it.
func (e *Entry) submit(ctx context.Context, req *request.Request) (*request.Response, error) {
	id, err := requestid.Parse(req.ID)
	if err != nil {
		return nil, err
	}
	if id.Instance == e.opt.Instance {
		return e.runOnce(ctx, req)
	}
	v, err := e.admit()
	if err != nil {
		return nil, undelivered(err)
	}
	m, ok := v.byID[id.Instance]
	if !ok || m.EntryIncarnation != id.Incarnation {
		return nil, result.New(result.RequestIDOwnerGone, "incarnation %d of %s is not live", id.Incarnation, id.Instance)
	}
	reply, err := e.exchange(ctx, m, peer.Submit, &peer.ForwardRequest{Request: *req, Domain: m.Domain})
	if err != nil {
		return nil, undelivered(err)
	}
	return reply.Result()
}

// undelivered replaces a refusal that came before the issuer's table. "Not run"
// would hold for this submission only: an earlier one with the same identifier
// may have run, and the caller would repeat it under a new identifier.
func undelivered(err error) error {
	if result.OutcomeOf(err) != result.NotRun {
		return err
	}
	return result.New(result.RequestIDNotDelivered, "%s: %s", result.Lookup(result.CodeOf(err)).Name, result.Detail(err))
}

// hasIdentifier tells whether a caller's request carries an identifier.
func hasIdentifier(ctx *fasthttp.RequestCtx) bool {
	return len(ctx.Request.Header.Peek(request.HeaderRequestID)) > 0
}

// beforeTable adapts a refusal that came before the issuer's table: for a
// request with an identifier it says nothing about earlier submissions.
func beforeTable(ctx *fasthttp.RequestCtx, err error) error {
	if hasIdentifier(ctx) && !aboutThisMessage(err) {
		return undelivered(err)
	}
	return err
}

// aboutThisMessage tells whether a refusal would meet every message like this
// one, so that an earlier submission of it cannot have run either.
func aboutThisMessage(err error) bool {
	switch result.CodeOf(err) {
	case result.BadRequest, result.BodyTooLarge, result.RequestIDMalformed,
		result.RequestIDNotRequired, result.RequestIDMismatch:
		return true
	}
	return false
}

// runOnce runs a request under an identifier that this instance issued. The
// execution does not end with the connection of the submission that started
// it, so that a resend can learn its outcome.
func (e *Entry) runOnce(ctx context.Context, req *request.Request) (*request.Response, error) {
	return e.ids.Do(ctx, req, func() (*request.Response, error) {
		run, cancel := context.WithDeadline(context.WithoutCancel(ctx), req.Deadline)
		defer cancel()
		v, err := e.admit()
		if err != nil {
			return nil, err
		}
		return e.route(run, v, req)
	})
}

// HandleSubmit runs a request whose identifier this instance issued.
func (e *Entry) HandleSubmit(ctx context.Context, body []byte) (*request.Reply, error) {
	return e.handleRequest(ctx, body, e.serveSubmit)
}

// serveSubmit admits a submission of another instance and runs it at most once.
func (e *Entry) serveSubmit(ctx context.Context, msg *peer.ForwardRequest) (*request.Response, error) {
	if msg.Request.ID == "" || msg.Request.Idempotent {
		return nil, result.New(result.BadRequest, "a submission needs an identifier")
	}
	if !e.enter() {
		return nil, undelivered(e.atLimit())
	}
	defer e.leave()
	return e.runOnce(ctx, &msg.Request)
}
