package instance

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/catalog"
	"github.com/sequoiacove/sequoiacove/pkg/description"
	"github.com/sequoiacove/sequoiacove/pkg/mesh"
	"github.com/sequoiacove/sequoiacove/pkg/operator"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// described sends the given part of a service to the domain n-a, the rest to
// n-b; more holds further fields of the document.
func described(share float64, more string) string {
	return fmt.Sprintf(`{"regions": {"n": {"domains": ["n-a", "n-b"]}}, "lookup": {"ttl_ms": 500}, %s
 "services": {"shop": {"regions": {"n": {"share": 1, "domains": {"n-a": %g, "n-b": %g}}},
  "caps": {"region_share_per_second": 0, "domain_share_per_second": 0, "failover_share_per_second": 0}, "max_request_ms": 5000}}}`, more, share, 1-share)
}

func (x *testInstance) operator() *operator.Client {
	return operator.NewClient(operator.ClientConfig{Addresses: []string{x.settings.AdminAddress}, Token: token})
}

func (w *world) patch(x *testInstance, base uint64, body string) operator.PatchReply {
	reply, err := x.operator().Patch(context.Background(), operator.PatchRequest{BaseVersion: base, PatchID: fmt.Sprint("p", base), Kind: description.MergePatch, Patch: json.RawMessage(body)})
	require.NoError(w.t, err)
	return reply
}

// upstreamIn starts an upstream in a failure domain.
func (w *world) upstreamIn(id, domain string) *fakeUpstream {
	u := newFakeUpstream(w.t, id)
	w.store.write(catalog.Upstreams, id, "shop "+u.address+" "+domain+" ready", false)
	return u
}

func (w *world) awaitVersion(n uint64, list ...*testInstance) {
	for _, x := range list {
		require.Eventually(w.t, func() bool { return x.policy.Current().Number == n }, patience, 5*time.Millisecond)
	}
}

// send sends idempotent requests one after the other.
func (w *world) send(x *testInstance, n int, prefix string) {
	c := w.caller(x)
	for i := range n {
		r, _ := c.do("GET", "/safe/x", fmt.Sprint(prefix, i), "")
		require.Equal(w.t, 200, r.StatusCode)
	}
}

// Guards against a patch that is accepted and in force on one instance only,
// shares that requests do not follow, and an upstream that operators drain and
// that keeps getting requests.
func TestPatchedDescriptionIsInForce(t *testing.T) {
	w := newWorld(t)
	a, b := w.upstreamIn("ua", "n-a"), w.upstreamIn("ub", "n-b")
	first := w.start("i1")
	second := w.start("i2", first.settings.MeshAddress)
	for _, x := range []*testInstance{first, second} {
		w.awaitReady(x, 2)
	}
	reply := w.patch(first, 0, described(0.25, ""))
	require.EqualValues(t, 1, reply.Version)
	w.awaitVersion(1, first, second)
	for _, x := range []*testInstance{first, second} {
		require.Eventually(t, func() bool { return x.policy.Shares()["shop"]["n-a"] == 0.25 }, patience, 5*time.Millisecond)
		before := a.runs.Load()
		w.send(x, 40, x.settings.ID)
		require.InDelta(t, 10, a.runs.Load()-before, 1)
	}
	w.patch(second, 1, `{"drained_upstreams": ["ub"]}`)
	w.awaitVersion(2, first, second)
	drained := func() bool {
		d, err := first.operator().Drain(context.Background(), "ub")
		return err == nil && d.State == operator.DrainDrained
	}
	require.Eventually(t, drained, patience, 20*time.Millisecond)
	before := b.runs.Load()
	require.Eventually(t, func() bool { return first.policy.Shares()["shop"]["n-a"] == 1 }, patience, 5*time.Millisecond)
	w.send(first, 10, "late")
	require.Equal(t, before, b.runs.Load())
}

// Guards against an instance that starts while the store is away and serves
// without the description that its peers know.
func TestDescriptionIsLearnedFromPeers(t *testing.T) {
	w := newWorld(t)
	w.upstreamIn("ua", "n-a")
	first := w.start("i1")
	w.awaitReady(first, 1)
	w.patch(first, 0, described(1, ""))
	w.store.setDown(true)
	second := w.start("i2", first.settings.MeshAddress)
	w.awaitVersion(1, second)
	w.awaitReady(second, 1)
	require.Equal(t, first.policy.Current().Hash, second.policy.Current().Hash)
}

// Guards against a drained instance that look-ups still name, and against an
// instance that stops serving the callers it has.
func TestDrainedInstanceLeavesTheLookups(t *testing.T) {
	w := newWorld(t)
	w.upstreamIn("ua", "n-a")
	first := w.start("i1")
	second := w.start("i2", first.settings.MeshAddress)
	for _, x := range []*testInstance{first, second} {
		w.awaitReady(x, 1)
	}
	w.patch(first, 0, described(1, `"drained_instances": ["i2"],`))
	for _, x := range []*testInstance{first, second} {
		require.Eventually(t, func() bool {
			status, body := w.get(x.settings.LookupAddress, "/lookup?region=n")
			return status == http.StatusOK && body == first.settings.CallerAddress
		}, patience, 10*time.Millisecond)
	}
	w.send(second, 3, "kept")
}

// Guards against calls of the operator API that fail on an instance, and
// against one that is served without a token.
func TestOperatorCalls(t *testing.T) {
	w := newWorld(t)
	w.upstreamIn("ua", "n-a")
	x := w.start("i1")
	w.awaitReady(x, 1)
	ctx, c := context.Background(), x.operator()
	w.patch(x, 0, described(1, ""))
	require.Eventually(t, func() bool { return len(x.policy.Shares()) == 1 }, patience, 5*time.Millisecond)
	members, err := c.Members(ctx)
	require.NoError(t, err)
	require.Len(t, members.Members, 1)
	require.EqualValues(t, 1, members.Members[0].Version)
	move, err := c.Move(ctx, "shop")
	require.NoError(t, err)
	require.True(t, move.Finished)
	explained, err := c.Explain(ctx, "shop")
	require.NoError(t, err)
	require.Contains(t, string(explained), `"id":"ua"`)
	require.Contains(t, string(explained), `"share":1`)
	state, err := c.State(ctx)
	require.NoError(t, err)
	require.Contains(t, string(state), `"description":1`)
	_, err = c.Drain(ctx, "none")
	require.Equal(t, result.NotFound, result.CodeOf(err))
	_, err = c.Explain(ctx, "none")
	require.Equal(t, result.UnknownService, result.CodeOf(err))
	stranger := operator.NewClient(operator.ClientConfig{Addresses: []string{x.settings.AdminAddress}, Token: "another-token-of-length"})
	_, err = stranger.Members(ctx)
	require.Equal(t, result.Unauthorized, result.CodeOf(err))
	status, body := w.get(x.settings.AdminAddress, "/metrics")
	require.Equal(t, http.StatusOK, status)
	require.True(t, strings.Contains(body, "sequoiacove_"))
}

// Guards against a request that the description cannot place and that is sent
// anyway or reported as if it might have run.
func TestRequestWithoutPlaceIsRefused(t *testing.T) {
	w := newWorld(t)
	u := w.upstreamIn("ua", "n-a")
	x := w.start("i1")
	w.awaitReady(x, 1)
	w.patch(x, 0, described(0, ""))
	require.Eventually(t, func() bool { return len(x.policy.Shares()) == 1 }, patience, 5*time.Millisecond)
	r, _ := w.caller(x).do("POST", "/unsafe/x", "1", "b")
	require.Equal(t, 503, r.StatusCode)
	require.Zero(t, u.ran("1"))
	require.Contains(t, x.log.String(), `"reason":"no_destination"`)
	report, err := x.operator().Request(context.Background(), "1")
	require.NoError(t, err)
	require.Contains(t, string(report), `"outcome":"refused"`)
	require.Contains(t, string(report), `"reason":"no_destination"`)
	_, err = x.operator().Request(context.Background(), "other")
	require.Equal(t, result.NotFound, result.CodeOf(err))
}

// Guards against ends of requests that fill the memory, and against a recent
// one that is forgotten.
func TestRecentRequestsAreBounded(t *testing.T) {
	r := newRecentRequests()
	for i := range 3 * keptRequests {
		r.add(&endedRequest{request: fmt.Sprint(i), lines: [][]any{{"reason", i}}})
	}
	require.Len(t, r.byID, keptRequests)
	_, ok := r.get(fmt.Sprint(2*keptRequests - 1))
	require.False(t, ok)
	last, ok := r.get(fmt.Sprint(3*keptRequests - 1))
	require.True(t, ok)
	require.Equal(t, []map[string]any{{"reason": 3*keptRequests - 1}}, last.Lines)
}

// Guards against a request that is kept for longer than the description allows.
func TestDescriptionBoundsRequests(t *testing.T) {
	w := newWorld(t)
	x := w.start("a")
	u := w.upstream("ua")
	w.awaitReady(x, 1)
	u.set(func(*http.Request, net.Conn) string { time.Sleep(time.Second); return "" })
	w.patch(x, 0, strings.Replace(described(1, ""), `"max_request_ms": 5000`, `"max_request_ms": 300`, 1))
	start := time.Now()
	r, _ := w.caller(x).do("GET", "/safe/1", "r1", "")
	require.Equal(t, http.StatusGatewayTimeout, r.StatusCode)
	require.Less(t, time.Since(start), 900*time.Millisecond)
}

// Guards against members that are shown and used with the version and the
// shares that they had when they joined.
func TestMembersAreShownAsTheyAre(t *testing.T) {
	w := newWorld(t)
	a := w.start("a")
	near, far := w.start("b", a.settings.MeshAddress), w.startIn("s", "c", a.settings.MeshAddress)
	w.upstream("ua")
	for _, x := range []*testInstance{a, near, far} {
		w.awaitReady(x, 1)
	}
	for _, x := range []*testInstance{a, near, far} {
		acquainted := func() bool {
			list := x.mesh.Live()
			return len(list) == 2 && list[0].State == mesh.Serving && list[1].State == mesh.Serving
		}
		require.Eventually(t, acquainted, patience, 10*time.Millisecond, x.settings.ID)
	}
	w.patch(a, 0, described(1, ""))
	w.patch(a, 1, `{"lookup": {"ttl_ms": 700}}`)
	for _, x := range []*testInstance{a, near, far} {
		shown := func() bool {
			move, err := x.operator().Move(context.Background(), "shop")
			return err == nil && len(move.Instances) == 3 && move.Finished
		}
		require.Eventually(t, shown, patience, 100*time.Millisecond, x.settings.ID)
	}
}
