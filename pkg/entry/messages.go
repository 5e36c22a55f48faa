package entry

import (
	"context"

	"github.com/sequoiacove/sequoiacove/pkg/peer"
)

// messages is the part of peer.Server that takes handlers.
type messages interface {
	Handle(typ peer.MessageType, h peer.Handler)
}

// Register sets the handlers of all messages that an entry answers.
func (e *Entry) Register(m messages) {
	m.Handle(peer.PushSnapshot, func(_ context.Context, body []byte) (any, error) {
		return e.HandleSnapshot(body)
	})
	m.Handle(peer.Forward, func(ctx context.Context, body []byte) (any, error) {
		return e.HandleForward(ctx, body)
	})
	m.Handle(peer.Submit, func(ctx context.Context, body []byte) (any, error) {
		return e.HandleSubmit(ctx, body)
	})
	m.Handle(peer.Explain, func(_ context.Context, body []byte) (any, error) {
		var q ExplainRequest
		if err := peer.Decode(body, &q); err != nil {
			return nil, err
		}
		return e.Explain(q)
	})
	m.Handle(peer.Control, func(_ context.Context, body []byte) (any, error) {
		var q ControlRequest
		if err := peer.Decode(body, &q); err != nil {
			return nil, err
		}
		return e.Control(q)
	})
	m.Handle(peer.DumpState, func(context.Context, []byte) (any, error) {
		return e.State()
	})
}
