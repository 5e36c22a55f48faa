package operator

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// fakeAgent answers each request with the next step of a script.
type fakeAgent struct {
	mu     sync.Mutex
	script []any
	bodies []string
	tokens []string
	addr   string
}

type closeConnection struct{}

func newFakeAgent(t *testing.T, script ...any) *fakeAgent {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	a := &fakeAgent{script: script, addr: listener.Addr().String()}
	server := &fasthttp.Server{Handler: a.handle, CloseOnShutdown: true}
	go server.Serve(listener)
	t.Cleanup(func() { listener.Close() })
	return a
}

func (a *fakeAgent) handle(ctx *fasthttp.RequestCtx) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bodies = append(a.bodies, string(ctx.PostBody()))
	a.tokens = append(a.tokens, string(ctx.Request.Header.Peek("Authorization")))
	step := a.script[0]
	if len(a.script) > 1 {
		a.script = a.script[1:]
	}
	switch step := step.(type) {
	case closeConnection:
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { c.Close() })
	case result.Code:
		body, _ := json.Marshal(NewErrorBody(result.New(step, "refused"), 9))
		ctx.SetStatusCode(result.Lookup(step).HTTPStatus)
		ctx.SetBody(body)
	default:
		body, _ := json.Marshal(step)
		ctx.SetBody(body)
	}
}

func (a *fakeAgent) calls() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.bodies)
}

func client(addrs ...string) *Client {
	return NewClient(ClientConfig{
		Addresses: addrs, Token: "secret", Timeout: 5 * time.Second,
		Sleep: func(context.Context, time.Duration) error { return nil },
	})
}

// closedAddress returns an address that refuses connections.
func closedAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

var patch = PatchRequest{BaseVersion: 8, PatchID: "p1", Kind: "merge", Patch: json.RawMessage(`{"a":1}`)}

// Guards against a dead instance keeping operators out.
func TestNextAgentIsTried(t *testing.T) {
	closed := closedAddress(t)
	down := newFakeAgent(t, result.StoreUnavailable)
	up := newFakeAgent(t, Version{Version: 7})
	got, err := client(closed, down.addr, up.addr).Current(context.Background())
	require.NoError(t, err)
	require.EqualValues(t, 7, got.Version)
	require.Equal(t, "Bearer secret", up.tokens[0])
}

// Guards against a refusal for good being tried elsewhere, which would use up
// the rate limits and hide the first answer.
func TestRefusalIsFinal(t *testing.T) {
	a, b := newFakeAgent(t, result.Unauthorized), newFakeAgent(t, Version{Version: 7})
	_, err := client(a.addr, b.addr).Current(context.Background())
	require.Equal(t, result.Unauthorized, result.CodeOf(err))
	require.Zero(t, b.calls())
}

// Guards against a lost answer making an accepted patch look refused, and
// against a repeat under another patch id.
func TestPatchIsRepeatedWithTheSameID(t *testing.T) {
	a := newFakeAgent(t, closeConnection{}, result.StoreUnavailable, PatchReply{Version: 9, Replayed: true})
	got, err := client(a.addr).Patch(context.Background(), patch)
	require.NoError(t, err)
	require.Equal(t, PatchReply{Version: 9, Replayed: true}, got)
	require.Len(t, a.bodies, 3)
	for _, body := range a.bodies {
		require.JSONEq(t, `{"base_version":8,"patch_id":"p1","kind":"merge","patch":{"a":1}}`, body)
	}
}

// Guards against "not run" after an attempt that may have been accepted.
func TestRefusedRepeatDoesNotSettleThePatch(t *testing.T) {
	for _, code := range []result.Code{result.StoreUnavailable, result.RateLimited, result.Unauthorized} {
		a := newFakeAgent(t, closeConnection{}, code)
		_, err := client(a.addr).Patch(context.Background(), patch)
		require.Equal(t, result.PatchOutcomeUnknown, result.CodeOf(err), "after %d", code)
	}
	a := newFakeAgent(t, closeConnection{}, result.VersionConflict)
	_, err := client(a.addr).Patch(context.Background(), patch)
	require.Equal(t, result.VersionConflict, result.CodeOf(err), "a conflict after the look-up of the patch id is final")
	require.Contains(t, err.Error(), "current version 9")
}

// Guards against an unreachable instance being reported as an unknown outcome.
func TestUnreachableAgentsRefuseThePatch(t *testing.T) {
	_, err := client(closedAddress(t)).Patch(context.Background(), patch)
	require.Equal(t, result.PeerUnreachable, result.CodeOf(err))
}
