package instance

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/catalog"
	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/slowdown"
)

const testTimeout = 10 * time.Second

// Guards against requests altered on the way to the upstream, responses that
// belong to another request, and requests served without a matching route.
func TestRequestReachesUpstreamUnchanged(t *testing.T) {
	env := newTestEnv(t)
	u := env.startUpstream("u1")
	u.setHandler(func(r *http.Request, _ net.Conn) string {
		body, err := io.ReadAll(r.Body)
		require.NoError(t, err)
		return okResponse(r, strings.Join([]string{r.Method, r.RequestURI, r.Host, r.Header.Get("X-Target"), r.Header.Get("X-Other"), string(body)}, "|"))
	})
	inst := env.start("i1")
	env.awaitReady(inst, 1)
	c := env.dialCaller(inst)
	c.send("POST /unsafe/a%20b?q=1 HTTP/1.1\r\nHost: h.example\r\nX-Id: 1\r\nX-Other: v\r\nX-Deadline: 3000\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
	r, body := c.receive()
	require.Equal(t, 200, r.StatusCode)
	require.Equal(t, "POST|/unsafe/a%20b?q=1|h.example|u1|v|abcde", body)
	require.Equal(t, "s", r.Header.Get("X-Signature"))
	r, _ = c.do("GET", "/other/", "2", "")
	require.Equal(t, 404, r.StatusCode)
	r, _ = c.do("GET", "/safe/x", "3", "")
	require.Equal(t, 200, r.StatusCode, "the connection was not kept open after a 404")
}

// Guards against an instance that reports ready, or responds with 404 for an
// unknown route, before it has a configuration.
func TestRequestsAreRefusedWithoutConfiguration(t *testing.T) {
	env := newTestEnv(t)
	env.store.setDown(true)
	inst := env.start("i1")
	require.Eventually(t, func() bool { status, _ := env.httpGet(inst.settings.ReadinessAddress, "/ready"); return status == 503 }, testTimeout, 5*time.Millisecond)
	r, _ := env.dialCaller(inst).do("GET", "/safe/x", "1", "")
	require.Equal(t, 503, r.StatusCode)
	require.NotEmpty(t, r.Header.Get("Retry-After"))
	status, _ := env.httpGet(inst.settings.LookupAddress, "/lookup?region=n")
	require.Equal(t, 503, status)
}

// Guards against an instance that has just started and sends requests to upstreams that
// operators drained, or beyond their limits, because it has not read the description yet.
func TestRequestsAreRefusedBeforeDescriptionIsKnown(t *testing.T) {
	env := newTestEnv(t)
	u := env.startUpstream("u1")
	peer := env.start("i1")
	env.awaitReady(peer, 1)
	// Of the second instance only the ingress and the mesh run, and it has no peer. It knows
	// the upstream, not the description.
	inst := env.newInstance("n", "i2")
	l, err := inst.listen()
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	inst.startMesh(ctx, l)
	go func() { _ = inst.ingress.Serve(l.callers) }()
	t.Cleanup(func() { _ = l.callers.Close() })
	require.NoError(t, inst.catalog.Merge(peer.catalog.Snapshot(at(0), at(0), catalog.RowRevision{}), "i1", time.Now()))
	caller := env.dialCaller(inst)
	r, _ := caller.do("GET", "/safe/x", "early", "")
	require.Equal(t, http.StatusServiceUnavailable, r.StatusCode)
	require.NotEmpty(t, r.Header.Get("Retry-After"))
	require.Zero(t, u.requestCount.Load())
	// An instance that can ask nobody serves without a description in the end.
	inst.clockOffset.Add(int64(descriptionTimeout))
	r, _ = caller.do("GET", "/safe/x", "late", "")
	require.Equal(t, http.StatusOK, r.StatusCode)
}

// Guards against retrying a non-idempotent request after its response was lost,
// and against failing an idempotent one that could have been retried.
func TestLostResponse(t *testing.T) {
	env := newTestEnv(t)
	a, b := env.startUpstream("u1"), env.startUpstream("u2")
	closeConnection := func(*http.Request, net.Conn) string { return "" }
	inst := env.start("i1")
	env.awaitReady(inst, 2)
	a.setHandler(closeConnection)
	b.setHandler(closeConnection)
	r, _ := env.dialCaller(inst).do("POST", "/unsafe/x", "1", "body")
	require.Equal(t, 502, r.StatusCode)
	require.Equal(t, 1, a.requestsWithID("1")+b.requestsWithID("1"))
	for i := range 8 {
		id := fmt.Sprint("s", i)
		a.setHandler(closeConnection)
		b.setHandler(func(r *http.Request, _ net.Conn) string { return okResponse(r, "b") })
		r, body := env.dialCaller(inst).do("GET", "/safe/x", id, "")
		require.Equal(t, 200, r.StatusCode)
		require.Equal(t, "b", body)
	}
}

// Guards against a 503 for a request that an earlier attempt may have executed: a
// 503 tells the caller that the request did not run.
func TestRefusalAfterUnknownOutcome(t *testing.T) {
	env := newTestEnv(t)
	a, b := env.startUpstream("u1"), env.startUpstream("u2")
	inst := env.start("i1")
	env.awaitReady(inst, 2)
	for i := range 6 {
		id := fmt.Sprint(i)
		refusals := 0
		handler := func(r *http.Request, _ net.Conn) string {
			if a.requestsWithID(id)+b.requestsWithID(id) == 1 {
				return ""
			}
			refusals++
			return notRunResponse(r)
		}
		a.setHandler(handler)
		b.setHandler(handler)
		r, _ := env.dialCaller(inst).do("GET", "/safe/x", id, "")
		if refusals > 0 {
			require.Equal(t, 502, r.StatusCode)
		}
	}
}

// Guards against failing or refusing a request that one upstream did not run
// while another upstream has capacity.
func TestNotRunRequestIsRetriedElsewhere(t *testing.T) {
	env := newTestEnv(t)
	a, b := env.startUpstream("u1"), env.startUpstream("u2")
	inst := env.start("i1")
	env.awaitReady(inst, 2)
	a.setHandler(func(r *http.Request, _ net.Conn) string { return notRunResponse(r) })
	for i := range 5 {
		r, _ := env.dialCaller(inst).do("POST", "/unsafe/x", fmt.Sprint(i), "x")
		require.Equal(t, 200, r.StatusCode)
	}
	b.setHandler(func(r *http.Request, _ net.Conn) string { return notRunResponse(r) })
	r, _ := env.dialCaller(inst).do("POST", "/unsafe/x", "last", "x")
	require.Equal(t, 503, r.StatusCode)
	require.NotEmpty(t, r.Header.Get("Retry-After"))
}

// Guards against callers that state no timeout and are told to come back after a
// millisecond: an overloaded instance would get the same requests again at once.
func TestRefusalTellsCallersWithoutTimeoutWhenToComeBack(t *testing.T) {
	env := newTestEnv(t)
	u := env.startUpstream("u1")
	inst := env.start("i1")
	env.awaitReady(inst, 1)
	u.setHandler(func(r *http.Request, _ net.Conn) string { return notRunResponse(r) })
	caller := env.dialCaller(inst)
	caller.send("POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nX-Id: 1\r\nContent-Length: 1\r\n\r\nx")
	r, _ := caller.receive()
	require.Equal(t, 503, r.StatusCode)
	seconds, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.GreaterOrEqual(t, seconds, retryAfterBase.Seconds())
}

// Guards against a request that two upstreams refused being reported as if it
// might have run.
func TestRequestRefusedTwiceIsNotReportedAsRun(t *testing.T) {
	env := newTestEnv(t)
	a, b := env.startUpstream("u1"), env.startUpstream("u2")
	notRun := func(r *http.Request, _ net.Conn) string { return notRunResponse(r) }
	a.setHandler(notRun)
	b.setHandler(notRun)
	inst := env.start("i1")
	env.awaitReady(inst, 2)
	r, _ := env.dialCaller(inst).do("POST", "/unsafe/x", "1", "b")
	require.Equal(t, 503, r.StatusCode)
	require.Equal(t, 2, a.requestsWithID("1")+b.requestsWithID("1"), "the request was not tried on both upstreams")
}

// Guards against responses to pipelined requests in the wrong order, and against
// pipelined requests that are not executed concurrently.
func TestPipelinedRequests(t *testing.T) {
	env := newTestEnv(t)
	u := env.startUpstream("u1")
	// The response to the first request waits until all three have arrived, in
	// any order.
	var arrivals sync.WaitGroup
	arrivals.Add(3)
	u.setHandler(func(r *http.Request, _ net.Conn) string {
		arrivals.Done()
		if r.Header.Get("X-Id") == "1" {
			arrivals.Wait()
		}
		return okResponse(r, r.Header.Get("X-Id"))
	})
	inst := env.start("i1")
	env.awaitReady(inst, 1)
	c := env.dialCaller(inst)
	c.send(requestText("GET", "/safe/1", "1", "") + requestText("GET", "/safe/2", "2", "") + requestText("GET", "/safe/3", "3", ""))
	for _, id := range []string{"1", "2", "3"} {
		_, body := c.receive()
		require.Equal(t, id, body)
	}
}

// Guards against an upstream that keeps working for a disconnected caller.
func TestCallerDisconnectCancelsRequest(t *testing.T) {
	env := newTestEnv(t)
	u := env.startUpstream("u1")
	started, ended := make(chan struct{}), make(chan struct{})
	u.setHandler(func(_ *http.Request, c net.Conn) string {
		close(started)
		var b [1]byte
		_, _ = c.Read(b[:])
		close(ended)
		return ""
	})
	inst := env.start("i1")
	env.awaitReady(inst, 1)
	c := env.dialCaller(inst)
	c.send(requestText("GET", "/safe/x", "1", ""))
	<-started
	require.NoError(t, c.conn.Close())
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Fatal("the upstream connection was not closed after the caller disconnected")
	}
}

// Guards against a request that is kept waiting beyond its route's timeout.
func TestRouteTimeout(t *testing.T) {
	env := newTestEnv(t)
	slow := route("slow", "/slow/", false)
	slow.Timeout = 150 * time.Millisecond
	env.writeConfig(2, slow)
	u := env.startUpstream("u1")
	block := make(chan struct{})
	defer close(block)
	u.setHandler(func(*http.Request, net.Conn) string { <-block; return "" })
	inst := env.start("i1")
	env.awaitReady(inst, 1)
	meter := slowdown.Start()
	r := env.doUntilSent(inst, u, "POST", "/slow/x")
	require.Equal(t, 504, r.StatusCode)
	require.Less(t, r.took, meter.Scale(slow.Timeout+500*time.Millisecond))
}

// Guards against work that nobody receives: a request that leaves an upstream less than
// half of the route's usual time is refused at once as not run, and is not sent.
func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	env := newTestEnv(t)
	u := env.startUpstream("u1")
	u.setHandler(func(r *http.Request, _ net.Conn) string {
		time.Sleep(400 * time.Millisecond)
		return okResponse(r, "done")
	})
	inst := env.start("i1")
	env.awaitReady(inst, 1)
	caller := env.dialCaller(inst)
	for i := range 4 {
		r, _ := caller.do("POST", "/unsafe/x", fmt.Sprintf("usual-%d", i), "b")
		require.Equal(t, 200, r.StatusCode)
	}
	caller.send(strings.Replace(requestText("POST", "/unsafe/x", "hopeless", "b"), "X-Deadline: 5000", "X-Deadline: 120", 1))
	start := time.Now()
	r, _ := caller.receive()
	require.Equal(t, 503, r.StatusCode)
	require.Less(t, time.Since(start), 80*time.Millisecond)
	require.Zero(t, u.requestsWithID("hopeless"))
}

// Guards against a graceful stop that aborts a request in flight, does not remove
// the instance from lookups, or closes connections without "Connection: close".
// Guards against an instance that cannot start while the store is down although
// its peers have the configuration and the upstreams.
// Guards against a new configuration or an upstream's removal that does not
// reach the instances that do not watch the store.
// Guards against a secondary watcher that misses changes until its watch times out
// because its connection to the store went silent.
// Guards against an instance that stays behind because a member announces
// changes but cannot serve them.
// Guards against failed requests while an upstream that is down is still
// registered.
func TestDeadUpstreamDoesNotFailRequests(t *testing.T) {
	env := newTestEnv(t)
	env.startUpstream("u1")
	dead := freeAddress()
	env.store.write(catalog.Upstreams, "u2", "shop "+dead+" n-a ready", false)
	inst := env.start("i1")
	env.awaitReady(inst, 2)
	for i := range 30 {
		r, _ := env.dialCaller(inst).do("POST", "/unsafe/x", fmt.Sprint(i), "b")
		require.Equal(t, 200, r.StatusCode)
	}
}

// Guards against a request without a log line that states its outcome.
func TestEveryRequestIsLogged(t *testing.T) {
	env := newTestEnv(t)
	u := env.startUpstream("u1")
	inst := env.start("i1")
	env.awaitReady(inst, 1)
	env.dialCaller(inst).do("GET", "/safe/x", "answered", "")
	u.setHandler(func(*http.Request, net.Conn) string { return "" })
	env.dialCaller(inst).do("POST", "/unsafe/x", "failed", "b")
	u.setHandler(func(r *http.Request, _ net.Conn) string { return notRunResponse(r) })
	env.dialCaller(inst).do("POST", "/unsafe/x", "refused", "b")
	want := map[string]event.ID{"answered": event.RequestAnswered, "refused": event.RequestRejected, "failed": event.RequestFailed}
	for id, number := range want {
		var last map[string]any
		for _, line := range strings.Split(inst.log.String(), "\n") {
			var fields map[string]any
			if json.Unmarshal([]byte(line), &fields) == nil && fields["request"] == id {
				last = fields
			}
		}
		require.NotNil(t, last, id)
		require.EqualValues(t, number, last["event"], id)
		for _, field := range []string{"route", "service", "version", "status", "reason", "took_ms", "attempts"} {
			require.Contains(t, last, field, id)
		}
	}
}

// Guards against request smuggling: bytes of one request that are executed as
// another.
func TestRequestSmugglingIsRejected(t *testing.T) {
	env := newTestEnv(t)
	u := env.startUpstream("u1")
	inst := env.start("i1")
	env.awaitReady(inst, 1)
	hidden := requestText("GET", "/safe/hidden", "hidden", "")
	for _, head := range []string{
		"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
		"Content-Length: 4\r\nContent-Length: 40\r\n\r\nabcd",
		"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		"Content-Length: +4\r\n\r\nabcd",
		"Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
	} {
		c := env.dialCaller(inst)
		c.send("POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nX-Id: outer\r\n" + head + hidden)
		r, err := http.ReadResponse(c.reader, nil)
		if err == nil {
			require.Equal(t, 400, r.StatusCode, "%q", head)
			_, err = io.ReadAll(c.reader)
		}
		require.True(t, err == nil || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF), "%q: %v", head, err)
		require.Zero(t, u.requestsWithID("hidden"), "%q", head)
		require.Zero(t, u.requestsWithID("outer"), "%q", head)
	}
}

// Guards against a stalled log reader that delays requests, and against log
// lines that are dropped without being counted.
func TestBlockedLogOutputDropsLinesWithoutBlocking(t *testing.T) {
	r, out := io.Pipe()
	defer func() { _ = r.Close() }()
	w := newLogWriter(out)
	line := []byte(strings.Repeat("x", 1000) + "\n")
	start := time.Now()
	for range 2000 {
		_, err := w.Write(line)
		require.NoError(t, err)
	}
	require.Less(t, time.Since(start), time.Second)
	dropped, total := w.LineCounts()
	require.EqualValues(t, 2000, total)
	require.Positive(t, dropped)
	w.Close(10 * time.Millisecond)
}

// Guards against a stop that waits for idle connections until the grace period
// ends.
// Guards against metrics that collectors cannot parse or that miss requests.
func TestMetricsReportOutcomes(t *testing.T) {
	env := newTestEnv(t)
	u := env.startUpstream("u1")
	inst := env.start("i1")
	env.awaitReady(inst, 1)
	env.dialCaller(inst).do("GET", "/safe/x", "1", "")
	u.setHandler(func(*http.Request, net.Conn) string { return "" })
	env.dialCaller(inst).do("POST", "/unsafe/x", "2", "b")
	status, body := env.httpGet(inst.settings.AdminAddress, "/metrics")
	require.Equal(t, 200, status)
	for _, line := range []string{
		`sequoiacove_requests{outcome="answered",status="200",reason="answered"} 1`,
		`sequoiacove_requests{outcome="failed",status="502",reason="lost"} 1`,
		`sequoiacove_request_time_us_count{service="shop",kind="idempotent"} 1`,
		`sequoiacove_configuration_version 1`,
		`sequoiacove_store_down 0`,
	} {
		require.Contains(t, body, line+"\n")
	}
	require.Contains(t, body, `sequoiacove_request_time_us{service="shop",kind="idempotent",quantile="0.99"} `)
	status, body = env.httpGet(inst.settings.AdminAddress, "/state")
	require.Equal(t, 200, status)
	require.Contains(t, body, `"instance":"i1"`)
}

// Guards against a wall-clock jump during a stop that makes the instance refuse
// requests at once or admit them until it is killed.
