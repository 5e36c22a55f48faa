package entry

import (
	"bufio"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/description"
	"github.com/sequoiacove/sequoiacove/pkg/request"
	"github.com/sequoiacove/sequoiacove/pkg/requestid"
)

// FuzzRequest checks that a request that the caller API accepts keeps all
// limits and has nothing that could become another header or request line.
func FuzzRequest(f *testing.F) {
	d, err := description.Parse([]byte(testDescription))
	require.NoError(f, err)
	now := time.Now()
	f.Add("GET /v1/services/calls/a?b=c HTTP/1.1\r\nHost: x\r\nSequoia-Deadline-Ms: 5\r\nSequoia-Idempotent: true\r\n\r\n")
	f.Add("POST /v1/services/calls HTTP/1.1\r\nHost: x\r\nSequoia-Request-Id: abc\r\nContent-Length: 2\r\n\r\nhi")
	f.Add("PUT /v1/services/calls/%0d%0a/../x#y HTTP/1.1\r\nConnection: close, X-A\r\nX-A: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		var ctx fasthttp.RequestCtx
		if ctx.Request.Read(bufio.NewReader(strings.NewReader(text))) != nil {
			return
		}
		req, err := parseRequest(&ctx, d, now)
		if err != nil {
			return
		}
		require.NoError(t, checkRequest(req))
		require.False(t, strings.ContainsAny(req.Path, " \r\n\x00"), "%q", req.Path)
		wait := req.Deadline.Sub(now)
		require.True(t, wait > 0 && wait <= 2*time.Second, "%v", wait)
		require.False(t, req.Idempotent && req.ID != "")
		require.LessOrEqual(t, len(req.ID), requestid.MaxTextBytes)
		for _, field := range req.Header {
			name := strings.ToLower(field.Name)
			require.False(t, hopByHop[name] || strings.HasPrefix(name, systemPrefix), "%q", name)
		}
	})
}

// FuzzLookup checks that look-up parameters give a short answer or a refusal
// with a code.
func FuzzLookup(f *testing.F) {
	w := newWorld(f, twoRegions)
	f.Add("calls", "10.1.2.3", "5")
	f.Add("calls", "::ffff:10.1.2.3", "")
	f.Add("", "fe80::1%eth0", "-1")
	f.Fuzz(func(t *testing.T, service, block, count string) {
		body, err := w.entries["a1"].lookup([]byte(service), []byte(block), "127.0.0.1")
		if err == nil {
			answer := decode[lookupAnswer](t, body)
			require.Len(t, answer.Instances, maxListed)
		}
		ids, err := w.entries["a1"].issue(service, count)
		if err == nil {
			require.NotEmpty(t, ids.IDs)
			require.LessOrEqual(t, len(ids.IDs), maxIDsPerCall)
		}
	})
}

// FuzzForward checks that a forwarded message that is accepted keeps all
// limits.
func FuzzForward(f *testing.F) {
	f.Add(forwardBody(f, "north-a", ""))
	now := time.Now()
	f.Fuzz(func(t *testing.T, body []byte) {
		msg, err := decodeForward(body, now)
		if err != nil {
			return
		}
		require.NoError(t, checkRequest(&msg.Request))
		wait := msg.Request.Deadline.Sub(now)
		require.True(t, wait > 0 && wait <= request.MaxDeadline, "%v", wait)
	})
}

// FuzzSnapshot checks that no snapshot stops an entry or lowers its version.
func FuzzSnapshot(f *testing.F) {
	body := []byte(testDescription)
	for _, s := range []cluster.Snapshot{
		{AgentIncarnation: 2, Sequence: 1},
		{AgentIncarnation: 1, Sequence: 9, Base: 1, Removed: []string{"b1", "b1", "?"},
			Members: []cluster.Member{{ID: "a1"}, {ID: "z", Domain: "south-a", EntryIncarnation: 1}, {ID: "z"}}},
		{AgentIncarnation: 2, Sequence: 2, Version: cluster.Version{Number: 3, Hash: description.Hash(body), Body: body, PreviousBody: []byte("{")},
			Members:    []cluster.Member{{ID: "z", Domain: "south-a", Region: "south", EntryIncarnation: 1, Shares: cluster.Shares{"calls": {"south-a": -1}}}},
			Upstreams:  []cluster.UpstreamRecord{{ID: "u", Service: "calls", Domain: "north-a", Slots: -1}},
			PeerShares: cluster.Shares{"calls": {"x": 1e308, "y": 1e308}}},
	} {
		seed, err := cbor.Marshal(s)
		require.NoError(f, err)
		f.Add(seed)
	}
	w := newWorld(f, twoRegions)
	e := w.entries["a1"]
	f.Fuzz(func(t *testing.T, body []byte) {
		before := e.view.Load().version.Number
		report, err := e.HandleSnapshot(body)
		if err == nil {
			require.GreaterOrEqual(t, report.Version.Number, before)
		}
		require.GreaterOrEqual(t, e.view.Load().version.Number, before)
		for service, shares := range e.routes.Shares() {
			sum := 0.0
			for _, share := range shares {
				require.True(t, share >= 0 && share <= 1+1e-9, "%s %v", service, shares)
				sum += share
			}
			require.InDelta(t, 1, sum, 1e-6, "%s %v", service, shares)
		}
		w.clock.Add(tickInterval)
		e.Tick(w.clock.Now())
		_, _ = e.routes.Choose("calls")
	})
}
