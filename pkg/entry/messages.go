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
	m.Handle(peer.Explain, decoded(e.Explain))
	m.Handle(peer.Control, decoded(e.Control))
	m.Handle(peer.DumpState, func(context.Context, []byte) (any, error) {
		return e.State()
	})
}

// decoded returns a handler that decodes its message for answer.
func decoded[Q, R any](answer func(Q) (R, error)) peer.Handler {
	return func(_ context.Context, body []byte) (any, error) {
		var q Q
		if err := peer.Decode(body, &q); err != nil {
			return nil, err
		}
		return answer(q)
	}
}
