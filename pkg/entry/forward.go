package entry

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/peer"
	"github.com/sequoiacove/sequoiacove/pkg/request"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// forwardDecoder bounds what a forwarded request may make the decoder allocate.
var forwardDecoder = mustDecoder(cbor.DecOptions{
	MaxArrayElements: request.MaxHeaderFields,
	MaxMapPairs:      64,
	MaxNestedLevels:  8,
})

// forward runs a request at another instance.
func (e *Entry) forward(ctx context.Context, m cluster.Member, msg *peer.ForwardRequest) (*request.Response, error) {
	reply, err := e.exchange(ctx, m, peer.Forward, msg)
	if err != nil {
		return nil, err
	}
	return reply.Result()
}

// exchange sends a message with a request to another instance and returns its
// reply; an error means that there is none.
func (e *Entry) exchange(ctx context.Context, m cluster.Member, typ peer.MessageType, msg *peer.ForwardRequest) (*request.Reply, error) {
	now := e.opt.Now()
	msg.RemainingMS = remaining(msg.Request.Deadline, now)
	if msg.RemainingMS <= 0 {
		return nil, result.New(result.DeadlineBeforeStart, "no time is left to forward the request")
	}
	msg.Region = e.opt.Region
	if m.Region != e.opt.Region && !e.budgets.Take(m.Region, requestBytes(&msg.Request), now) {
		return nil, result.New(result.LinkBudgetExhausted, "link from %s to %s", e.opt.Region, m.Region)
	}
	e.metrics.forwards.Inc(1)
	reply := new(request.Reply)
	if err := e.opt.Peers.Call(ctx, m.EntryAddress, typ, msg, reply); err != nil {
		return nil, e.callFailed(ctx, m, err)
	}
	if reply.Trace != msg.Request.Trace {
		// An answer to another request must never reach the caller.
		return nil, result.New(result.PeerProtocol, "answer to request %q instead of %q", reply.Trace, msg.Request.Trace)
	}
	return reply, nil
}

// callFailed turns the failure of a call into a coded error. A call that ended
// with its context may have been carried out.
func (e *Entry) callFailed(ctx context.Context, m cluster.Member, err error) error {
	if result.CodeOf(err) == result.PeerUnreachable && ctx.Err() == nil {
		e.avoidPeer(m)
	}
	if ctx.Err() == nil || result.OutcomeOf(err) == result.NotRun {
		return err
	}
	if ctx.Err() == context.DeadlineExceeded {
		return result.New(result.DeadlineAfterStart, "the deadline passed while %s had the request", m.ID)
	}
	return result.New(result.CancelledAfterStart, "cancelled while %s had the request", m.ID)
}

// decodeForward decodes and checks a message with a request.
func decodeForward(body []byte, now time.Time) (*peer.ForwardRequest, error) {
	var msg peer.ForwardRequest
	if err := forwardDecoder.Unmarshal(body, &msg); err != nil {
		return nil, result.New(result.PeerProtocol, "forwarded request: %v", err)
	}
	if err := checkRequest(&msg.Request); err != nil {
		return nil, err
	}
	limit := request.MaxDeadline.Milliseconds()
	if msg.RemainingMS <= 0 {
		return nil, result.New(result.DeadlineBeforeStart, "the deadline passed on the way")
	}
	msg.Request.Deadline = now.Add(time.Duration(min(msg.RemainingMS, limit)) * time.Millisecond)
	return &msg, nil
}

// checkRequest applies the limits of the caller API to a forwarded request.
func checkRequest(r *request.Request) error {
	switch {
	case len(r.Body) > request.MaxBodyBytes:
		return result.New(result.BodyTooLarge, "body of %d bytes", len(r.Body))
	case len(r.Path) == 0 || len(r.Path) > request.MaxPathBytes || r.Path[0] != '/':
		return result.New(result.BadRequest, "path of %d bytes", len(r.Path))
	case request.IsControlPath(r.Path):
		return result.New(result.BadRequest, "the path is reserved for the control of upstreams")
	case len(r.Service) == 0 || len(r.Service) > request.MaxServiceBytes:
		return result.New(result.BadRequest, "service name of %d bytes", len(r.Service))
	case len(r.Trace) > maxTraceBytes:
		return result.New(result.BadRequest, "trace of %d bytes", len(r.Trace))
	case !validMethod(r.Method):
		return result.New(result.BadRequest, "method %q", r.Method)
	}
	return checkFields(r.Header)
}

// HandleForward runs a request that another instance forwarded to this domain.
func (e *Entry) HandleForward(ctx context.Context, body []byte) (*request.Reply, error) {
	return e.handleRequest(ctx, body, e.serveForward)
}

// handleRequest decodes a message with a request, serves it until its deadline
// and charges the reply to the link back to the sender.
func (e *Entry) handleRequest(ctx context.Context, body []byte,
	serve func(context.Context, *peer.ForwardRequest) (*request.Response, error)) (*request.Reply, error) {
	msg, err := decodeForward(body, e.opt.Now())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, msg.Request.Deadline)
	defer cancel()
	resp, err := serve(ctx, msg)
	reply := request.NewReply(msg.Request.Trace, resp, err)
	e.chargeReply(msg.Region, reply)
	return reply, nil
}

// serveForward admits a forwarded request and runs it in the own domain.
func (e *Entry) serveForward(ctx context.Context, msg *peer.ForwardRequest) (*request.Response, error) {
	v, err := e.admit()
	if err != nil {
		return nil, err
	}
	if !e.enter() {
		return nil, e.atLimit()
	}
	defer e.leave()
	if msg.Domain != e.opt.Domain {
		return nil, result.New(result.NotOwner, "instance %s is in domain %s", e.opt.Instance, e.opt.Domain)
	}
	if msg.Region != e.opt.Region && !e.budgets.Take(msg.Region, 0, e.opt.Now()) {
		return nil, result.New(result.LinkBudgetExhausted, "link from %s to %s", e.opt.Region, msg.Region)
	}
	return e.passOn(ctx, v, msg)
}

// passOn sends a request to the owner that this instance sees. A sender whose
// view is older may not know that owner. When the owner gives no answer and
// this instance is next in rank, it takes the pool over and runs the request.
func (e *Entry) passOn(ctx context.Context, v *view, msg *peer.ForwardRequest) (*request.Response, error) {
	service := msg.Request.Service
	ranked := v.ranked(service, e.opt.Domain)
	if len(ranked) > 0 && ranked[0].ID == msg.Failed && !v.owns(service) {
		e.avoidPeer(ranked[0])
		v = e.view.Load()
		ranked = v.ranked(service, e.opt.Domain)
	}
	if v.owns(service) {
		return e.opt.Admission.Do(ctx, &msg.Request)
	}
	if msg.Hops >= maxHops || len(ranked) == 0 {
		return nil, result.New(result.NotOwner, "instance %s does not own the pool", e.opt.Instance)
	}
	next := &peer.ForwardRequest{Request: msg.Request, Domain: msg.Domain, Failed: msg.Failed, Hops: msg.Hops + 1}
	resp, err := e.forward(ctx, ranked[0], next)
	if result.CodeOf(err) != result.PeerUnreachable || !e.view.Load().owns(service) {
		return resp, err
	}
	return e.opt.Admission.Do(ctx, &msg.Request)
}

// chargeReply charges the bytes of an answer to the link back to the sender.
func (e *Entry) chargeReply(region string, reply *request.Reply) {
	if region != "" && region != e.opt.Region {
		e.budgets.Charge(region, replyBytes(reply), e.opt.Now())
	}
}

const (
	// frameBytes approximates the size of a message besides the counted parts.
	frameBytes = 128
	// fieldFrameBytes approximates the size of the encoding of one header field besides
	// its name and value.
	fieldFrameBytes = 8
)

func requestBytes(r *request.Request) int {
	return frameBytes + len(r.Path) + len(r.Body) + fieldBytes(r.Header)
}

func replyBytes(r *request.Reply) int {
	n := frameBytes + len(r.Detail)
	if r.Response != nil {
		n += len(r.Response.Body) + fieldBytes(r.Response.Header)
	}
	return n
}

func fieldBytes(fields []request.Field) int {
	n := 0
	for _, f := range fields {
		n += len(f.Name) + len(f.Value) + fieldFrameBytes
	}
	return n
}
