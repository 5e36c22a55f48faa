package agent

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/operator"
	"github.com/sequoiacove/sequoiacove/pkg/platform"
	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/pkg/standin"
)

// send makes one raw request with a token.
func (nd *node) send(t *testing.T, method, path, token, body string) (int, operator.ErrorBody) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + nd.settings.Agent.OperatorAddress + path)
	req.Header.SetMethod(method)
	if token != "" {
		req.Header.Set("Authorization", token)
	}
	req.SetBodyString(body)
	require.NoError(t, fasthttp.DoTimeout(req, resp, 10*time.Second))
	var e operator.ErrorBody
	_ = json.Unmarshal(resp.Body(), &e)
	return resp.StatusCode(), e
}

// Guards against calls of the protocol page that fail, and against answers
// that differ from it.
func TestOperatorCalls(t *testing.T) {
	f := newFleet(t, 2)
	f.settle()
	ctx := context.Background()
	c := f.nodes[0].client
	patch := operator.PatchRequest{PatchID: "first", Kind: "merge", Patch: json.RawMessage(descriptionText)}

	diff, err := c.Validate(ctx, patch)
	require.NoError(t, err)
	require.NotEmpty(t, diff.Diff)
	first, err := c.Patch(ctx, patch)
	require.NoError(t, err)
	require.Equal(t, uint64(1), first.Version)
	again, err := f.nodes[1].client.Patch(ctx, patch)
	require.NoError(t, err)
	require.Equal(t, operator.PatchReply{Version: 1, Hash: first.Hash, Replayed: true}, again)

	current, err := c.Current(ctx)
	require.NoError(t, err)
	require.Equal(t, "ana", current.Operator)
	require.Equal(t, "first", current.PatchID)
	require.Equal(t, first.Hash, current.Hash)
	require.Contains(t, string(current.Description), "shop")
	f.patch(1, "second", `{"lookup": {"ttl_ms": 300}}`)
	history, err := c.Versions(ctx, 0, 10)
	require.NoError(t, err)
	require.Len(t, history.Versions, 2)
	require.EqualValues(t, 2, history.Versions[0].Version)
	require.Empty(t, history.Versions[0].Description)
	old, err := c.Version(ctx, 1)
	require.NoError(t, err)
	require.Equal(t, first.Hash, old.Hash)
	_, err = c.Version(ctx, 99)
	require.Equal(t, result.VersionNotFound, result.CodeOf(err))

	members, err := c.Members(ctx)
	require.NoError(t, err)
	require.Len(t, members.Members, 2)
	explained, err := c.Explain(ctx, "shop", "GET", "/x")
	require.NoError(t, err)
	require.Contains(t, string(explained), `"service":"shop"`)
	state, err := c.State(ctx)
	require.NoError(t, err)
	require.JSONEq(t, `{"entry":1}`, string(state.Entry))
	require.Contains(t, string(state.Agent), `"version":2`)
}

// Guards against a refusal without number, name, outcome or current version.
func TestOperatorErrors(t *testing.T) {
	f := newFleet(t, 1)
	nd := f.nodes[0]
	f.patch(0, "first", descriptionText)
	bearer := "Bearer " + token
	post := func(base int, id, patch string) string {
		return fmt.Sprintf(`{"base_version":%d,"patch_id":%q,"kind":"merge","patch":%s}`, base, id, patch)
	}
	cases := []struct {
		name, method, path, token, body string
		code                            result.Code
	}{
		{"no token", "GET", "/v1/members", "", "", result.Unauthorized},
		{"wrong token", "GET", "/v1/members", "Bearer wrong", "", result.Unauthorized},
		{"other scheme", "GET", "/v1/members", "Basic " + token, "", result.Unauthorized},
		{"unknown path", "GET", "/v1/other", bearer, "", result.NotFound},
		{"unknown method", "PUT", "/v1/members", bearer, "", result.BadRequest},
		{"no JSON", "POST", "/v1/config/patches", bearer, "{", result.PatchMalformed},
		{"no patch", "POST", "/v1/config/patches", bearer, `{"patch_id":"x"}`, result.PatchMalformed},
		{"conflict", "POST", "/v1/config/patches", bearer, post(0, "x", `{}`), result.VersionConflict},
		{"id reused", "POST", "/v1/config/patches", bearer, post(1, "first", `{"lookup":{"ttl_ms":9}}`), result.PatchIDReused},
		{"invalid", "POST", "/v1/config/patches", bearer, post(1, "y", `{"lookup":{"ttl_ms":1}}`), result.DescriptionInvalid},
		{"bad number", "GET", "/v1/config/versions?limit=x", bearer, "", result.BadRequest},
		{"bad version", "GET", "/v1/config/versions/x", bearer, "", result.BadRequest},
		{"unknown service", "GET", "/v1/moves/none", bearer, "", result.UnknownService},
		{"unknown drain", "GET", "/v1/drains/none", bearer, "", result.NotFound},
		{"explain without service", "GET", "/v1/explain", bearer, "", result.BadRequest},
	}
	for _, c := range cases {
		status, e := nd.send(t, c.method, c.path, c.token, c.body)
		info := result.Lookup(c.code)
		require.Equal(t, c.code, e.Code, "%s: %+v", c.name, e)
		require.Equal(t, info.HTTPStatus, status, c.name)
		require.Equal(t, info.Name, e.Name, c.name)
		require.Equal(t, info.Outcome.String(), e.Outcome, c.name)
		if c.code == result.VersionConflict {
			require.EqualValues(t, 1, e.CurrentVersion, c.name)
		}
	}
	requireTooLarge(t, nd)
}

// requireTooLarge announces a body above the bound and expects the refusal
// before any of it is sent.
func requireTooLarge(t *testing.T, nd *node) {
	conn, err := net.Dial("tcp", nd.settings.Agent.OperatorAddress)
	require.NoError(t, err)
	defer conn.Close()
	fmt.Fprintf(conn, "POST /v1/config/patches HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", operator.MaxBodyBytes+1)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	var resp fasthttp.Response
	require.NoError(t, resp.Read(bufio.NewReader(conn)))
	require.Equal(t, 413, resp.StatusCode())
	require.Contains(t, string(resp.Body()), `"name":"body_too_large"`)
}

// Guards against "not run" for a patch whose write may have taken effect, and
// against a repeat that is accepted a second time.
func TestLostStoreAnswer(t *testing.T) {
	f := newFleet(t, 1)
	f.settle()
	f.platform.SetFaults(standin.PlatformFaults{Mode: standin.PlatformLoseAnswers})
	body := fmt.Sprintf(`{"base_version":0,"patch_id":"p","kind":"merge","patch":%s}`, descriptionText)
	_, e := f.nodes[0].send(t, "POST", "/v1/config/patches", "Bearer "+token, body)
	f.platform.SetFaults(standin.PlatformFaults{})
	if e.Code != 0 {
		require.NotEqual(t, "complete", e.Outcome)
	}
	f.eventually("the repeat settles the patch", func() bool {
		reply, err := f.nodes[0].client.Patch(context.Background(), operator.PatchRequest{PatchID: "p", Kind: "merge", Patch: json.RawMessage(descriptionText)})
		return err == nil && reply.Version == 1
	})
}

// Guards against a drain that counts as done with work in flight, and against
// one that never ends.
func TestDrains(t *testing.T) {
	f := newFleet(t, 2)
	f.settle()
	f.platform.PutInstance(platform.Instance{
		ID: "u1", Role: platform.RoleUpstream, Service: "shop", Region: "north", Domain: "north-a",
		Address: "127.0.0.1:1", State: cluster.Serving, Slots: 4,
	})
	f.patch(0, "first", descriptionText)
	ctx, c := context.Background(), f.nodes[1].client
	owner := f.nodes[0].entry
	owner.change(func() { owner.inFlight["u1"] = 2; owner.inFlight["north-a-0"] = 1 })
	f.eventually("the upstream is known", func() bool {
		d, err := c.Drain(ctx, "u1")
		return err == nil && d == operator.Drain{ID: "u1", State: operator.DrainServing, InFlight: 2}
	})
	f.patch(1, "drain", `{"drained_upstreams": ["u1"], "drained_instances": ["north-a-0"]}`)
	f.inForce(2)
	d, err := c.Drain(ctx, "u1")
	require.NoError(t, err)
	require.Equal(t, operator.Drain{ID: "u1", State: operator.DrainDraining, InFlight: 2}, d)
	d, err = c.Drain(ctx, "north-a-0")
	require.NoError(t, err)
	require.Equal(t, operator.Drain{ID: "north-a-0", State: operator.DrainDraining, InFlight: 1}, d)
	owner.change(func() { clear(owner.inFlight) })
	d, err = c.Drain(ctx, "u1")
	require.NoError(t, err)
	require.Equal(t, operator.DrainDraining, d.State, "other instances may not have the version yet")
	f.eventually("both are drained", func() bool {
		u, err1 := c.Drain(ctx, "u1")
		i, err2 := c.Drain(ctx, "north-a-0")
		return err1 == nil && err2 == nil && u.State == operator.DrainDrained && i.State == operator.DrainDrained
	})
}

// Guards against HTTPS settings that leave the operator API in plain text.
func TestOperatorTLS(t *testing.T) {
	f := newFleet(t, 1)
	nd := f.nodes[0]
	nd.kill()
	nd.settings.Agent.OperatorTLS = true
	f.startAgent(nd)
	_, err := nd.client.Members(context.Background())
	require.Error(t, err, "plain HTTP must not be answered")
	_, clientTLS, err := f.authority.TLS("ops")
	require.NoError(t, err)
	clientTLS.Certificates, clientTLS.NextProtos, clientTLS.ServerName = nil, nil, "127.0.0.1"
	secure := operator.NewClient(operator.ClientConfig{
		Addresses: []string{nd.settings.Agent.OperatorAddress}, Token: token, TLS: clientTLS,
	})
	members, err := secure.Members(context.Background())
	require.NoError(t, err)
	require.NotEmpty(t, members.Members)
}
