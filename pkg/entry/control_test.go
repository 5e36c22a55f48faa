package entry

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/peer"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// handlers collects the handlers that an entry registers.
type handlers map[peer.MessageType]peer.Handler

func (h handlers) Handle(typ peer.MessageType, f peer.Handler) { h[typ] = f }

// ask sends a message through the registered handlers and decodes the reply.
func ask[T any](t *testing.T, h handlers, typ peer.MessageType, msg any) (reply T, err error) {
	body, err := peer.Encode(msg)
	require.NoError(t, err)
	got, err := h[typ](context.Background(), body)
	if err != nil {
		return reply, err
	}
	raw, err := peer.Encode(got)
	require.NoError(t, err)
	require.NoError(t, peer.Decode(raw, &reply))
	return reply, nil
}

// Guards against an explanation or a dump that does not show what routing does,
// and against replies that the agent cannot decode.
func TestQuestionsOfTheAgent(t *testing.T) {
	w := newWorld(t, twoRegions)
	h := handlers{}
	w.entries["a1"].Register(h)
	x, err := ask[Explanation](t, h, peer.Explain, ExplainRequest{Service: "calls", Method: "GET"})
	require.NoError(t, err)
	require.True(t, x.Idempotent)
	require.Len(t, x.Destinations, 3)
	owner, other := w.ownerOf("a1", "south-a")
	south := x.Destinations[2]
	require.Equal(t, "south-a", south.Domain)
	require.Equal(t, []string{owner, other}, south.Instances)
	require.InDelta(t, 0.5, south.Share, 1e-9)
	_, err = ask[Explanation](t, h, peer.Explain, ExplainRequest{Service: "none"})
	require.Equal(t, result.UnknownService, result.CodeOf(err))

	require.True(t, w.entries["a1"].enter())
	c, err := ask[ControlReply](t, h, peer.Control, ControlRequest{Action: ControlInFlight, ID: "a1"})
	require.NoError(t, err)
	require.Equal(t, ControlReply{InFlight: 1}, c)
	dump, err := ask[[]byte](t, h, peer.DumpState, nil)
	require.NoError(t, err)
	var state stateDump
	require.NoError(t, json.Unmarshal(dump, &state))
	require.Equal(t, 5, state.Members)
	require.EqualValues(t, 1, state.InFlight)
	c, err = ask[ControlReply](t, h, peer.Control, ControlRequest{Action: ControlLeave})
	require.NoError(t, err)
	require.True(t, c.Leaving)
	_, err = ask[ControlReply](t, h, peer.Control, ControlRequest{Action: "x"})
	require.Equal(t, result.PeerProtocol, result.CodeOf(err))
}
