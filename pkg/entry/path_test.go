package entry

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/request"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

var twoRegions = map[string]string{"a1": "north-a", "a2": "north-a", "b1": "north-b", "s1": "south-a", "s2": "south-a"}

// Guards against a request path that loses the answer, its headers or the
// counts of the shares between the caller API and a pool in another domain.
func TestRequestPath(t *testing.T) {
	w := newWorld(t, twoRegions)
	base := serve(t, w.entries["a1"])
	ran := make(map[string]int)
	for range 40 {
		resp := call(t, "GET", base+"/v1/services/calls/p/q?x=1", "")
		require.Equal(t, 200, resp.StatusCode(), string(resp.Body()))
		require.Equal(t, "echo /p/q?x=1", string(resp.Body()))
		require.Equal(t, "complete", string(resp.Header.Peek(request.HeaderOutcome)))
		require.Equal(t, "1000", string(resp.Header.Peek(request.HeaderCode)))
		ran[string(resp.Header.Peek(request.HeaderDomain))]++
	}
	require.Equal(t, map[string]int{"north-a": 10, "north-b": 10, "south-a": 20}, ran)
}

// Guards against refusals without code and outcome.
func TestRefusalsCarryCodes(t *testing.T) {
	w := newWorld(t, twoRegions)
	base := serve(t, w.entries["a1"])
	cases := []struct {
		url    string
		header []string
		code   result.Code
	}{
		{"/v1/services/none/x", nil, result.UnknownService},
		{"/v1/services/?x", nil, result.BadRequest},
		{"/nothing", nil, result.BadRequest},
		{"/v1/services/calls/x", []string{request.HeaderDeadline, "0"}, result.BadRequest},
		{"/v1/services/calls/x", []string{request.HeaderDeadline, "2001"}, result.BadRequest},
		{"/v1/services/calls/x", []string{request.HeaderIdempotent, "maybe"}, result.BadRequest},
		{"/v1/services/calls/x", []string{request.HeaderRequestID, "abc"}, result.RequestIDMalformed},
		{"/v1/services/calls/x", []string{request.HeaderRequestID, "abc", request.HeaderIdempotent, "true"}, result.RequestIDNotRequired},
		{"/v1/lookup?service=none", nil, result.UnknownService},
		{"/v1/lookup?service=calls&block=x", nil, result.BadRequest},
	}
	for _, c := range cases {
		resp := call(t, "GET", base+c.url, "", c.header...)
		got := decode[refusal](t, resp.Body())
		info := result.Lookup(c.code)
		require.Equal(t, c.code, got.Code, c.url)
		require.Equal(t, info.HTTPStatus, resp.StatusCode(), c.url)
		require.Equal(t, info.Outcome.String(), string(resp.Header.Peek(request.HeaderOutcome)), c.url)
	}
}

// Guards against look-ups that list the wrong region first, omit the owner or
// name instances that leave.
func TestLookup(t *testing.T) {
	w := newWorld(t, twoRegions)
	base := serve(t, w.entries["a1"])
	south := decode[lookupAnswer](t, call(t, "GET", base+"/v1/lookup?service=calls&block=10.1.2.3", "").Body())
	require.Equal(t, 100, south.TTLMS)
	require.EqualValues(t, 1, south.Version)
	require.Len(t, south.Instances, 4)
	owner := w.entries["a1"].view.Load().ranked("calls", "south-a")[0]
	require.Equal(t, owner.ID, south.Instances[0].ID)
	require.Equal(t, "caller-"+owner.ID, south.Instances[0].Address)
	require.Equal(t, "south", south.Instances[1].Region)
	require.Equal(t, "north", south.Instances[2].Region)

	w.entries[owner.ID].Leave()
	w.push()
	again := decode[lookupAnswer](t, call(t, "GET", base+"/v1/lookup?service=calls&block=10.1.2.3", "").Body())
	for _, m := range again.Instances {
		require.NotEqual(t, owner.ID, m.ID, "an instance that leaves is listed")
	}
}

// Guards against a second execution of a request with an identifier, sent
// through different instances.
func TestIdentifierRunsOnce(t *testing.T) {
	w := newWorld(t, twoRegions)
	a, s := serve(t, w.entries["a1"]), serve(t, w.entries["s1"])
	ids := decode[issuedIDs](t, call(t, "POST", a+"/v1/request-ids?service=calls&count=2", "").Body())
	require.Len(t, ids.IDs, 2)
	for _, base := range []string{s, a, s} {
		resp := call(t, "POST", base+"/v1/services/calls/pay", "5", request.HeaderRequestID, ids.IDs[0])
		require.Equal(t, 200, resp.StatusCode(), string(resp.Body()))
	}
	resp := call(t, "POST", s+"/v1/services/calls/pay", "6", request.HeaderRequestID, ids.IDs[0])
	require.Equal(t, result.RequestIDMismatch, decode[refusal](t, resp.Body()).Code)
	require.Equal(t, 1, w.executions())
}

// Guards against "not run" for an idempotent request that ran in one domain,
// whose answer was lost, and that another domain then refused.
func TestRefusalAfterALostAnswerIsUnknown(t *testing.T) {
	w := newWorld(t, twoRegions)
	base := serve(t, w.entries["a1"])
	w.net.setLose(func(string) bool { return true })
	for _, id := range []string{"a1", "a2", "b1"} {
		w.adm[id].set(queueFull)
	}
	ran := func() int { return w.adm["s1"].count() + w.adm["s2"].count() }
	for range 8 {
		before := ran()
		resp := call(t, "GET", base+"/v1/services/calls/p", "")
		if ran() > before {
			require.Equal(t, "unknown", string(resp.Header.Peek(request.HeaderOutcome)), string(resp.Body()))
		}
	}
	require.Positive(t, ran())
}

// Guards against a link that carries more than the instance's part, on the way
// there and back.
func TestLinkBudget(t *testing.T) {
	w := newWorld(t, map[string]string{"a1": "north-a", "b1": "north-b", "s1": "south-a"})
	// 280 Mbit/s over two instances in 100 ms are 1.75 MB.
	big := func(req *request.Request) { post(req); req.Body = make([]byte, 4<<20) }
	exhausted := 0
	for range 12 {
		if _, err := w.do("a1", big); err != nil {
			require.Equal(t, result.LinkBudgetExhausted, result.CodeOf(err))
			exhausted++
		}
	}
	require.Equal(t, 1, w.adm["s1"].count(), "one request puts the link into debt")
	require.Positive(t, exhausted)
	w.clock.Add(500 * time.Millisecond)
	for _, e := range w.entries {
		e.Tick(w.clock.Now())
	}
	w.adm["s1"].set(func(context.Context, *request.Request) (*request.Response, error) {
		return &request.Response{Status: 200, Body: make([]byte, 16<<20), Domain: "south-a"}, nil
	})
	ran := w.adm["s1"].count()
	for range 12 {
		_, _ = w.do("a1", post)
	}
	require.Equal(t, 1, w.adm["s1"].count()-ran, "one answer puts the link back into debt")
}
