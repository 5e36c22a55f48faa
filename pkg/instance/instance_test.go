package instance

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/catalog"
	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/mesh"
)

const patience = 10 * time.Second

// Guards against a request that is changed on its way, an answer that is not
// its own, and a route that no configuration has.
func TestRequestReachesUpstreamUnchanged(t *testing.T) {
	w := newWorld(t)
	u := w.upstream("u1")
	u.set(func(r *http.Request, _ net.Conn) string {
		body, err := io.ReadAll(r.Body)
		require.NoError(t, err)
		return ok(r, strings.Join([]string{r.Method, r.RequestURI, r.Host, r.Header.Get("X-Target"), r.Header.Get("X-Other"), string(body)}, "|"))
	})
	x := w.start("i1")
	w.awaitReady(x, 1)
	c := w.caller(x)
	c.send("POST /unsafe/a%20b?q=1 HTTP/1.1\r\nHost: h.example\r\nX-Id: 1\r\nX-Other: v\r\nX-Deadline: 3000\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
	r, body := c.receive()
	require.Equal(t, 200, r.StatusCode)
	require.Equal(t, "POST|/unsafe/a%20b?q=1|h.example|u1|v|abcde", body)
	require.Equal(t, "s", r.Header.Get("X-Signature"))
	r, _ = c.do("GET", "/other/", "2", "")
	require.Equal(t, 404, r.StatusCode)
	r, _ = c.do("GET", "/safe/x", "3", "")
	require.Equal(t, 200, r.StatusCode, "the connection stays in use")
}

// Guards against an instance that claims to be ready, or answers with a
// verdict on the route, before it knows a configuration.
func TestNothingIsServedWithoutConfiguration(t *testing.T) {
	w := newWorld(t)
	w.store.setDown(true)
	x := w.start("i1")
	require.Eventually(t, func() bool { status, _ := w.get(x.settings.ReadyAddress, "/ready"); return status == 503 }, patience, 5*time.Millisecond)
	r, _ := w.caller(x).do("GET", "/safe/x", "1", "")
	require.Equal(t, 503, r.StatusCode)
	require.NotEmpty(t, r.Header.Get("Retry-After"))
	status, _ := w.get(x.settings.LookupAddress, "/lookup?region=n")
	require.Equal(t, 503, status)
}

// Guards against a doubled request that must not be repeated, and against one
// that is lost although it may be.
func TestLostAnswer(t *testing.T) {
	w := newWorld(t)
	a, b := w.upstream("u1"), w.upstream("u2")
	lose := func(*http.Request, net.Conn) string { return "" }
	x := w.start("i1")
	w.awaitReady(x, 2)
	a.set(lose)
	b.set(lose)
	r, _ := w.caller(x).do("POST", "/unsafe/x", "1", "body")
	require.Equal(t, 502, r.StatusCode)
	require.Equal(t, 1, a.ran("1")+b.ran("1"))
	for i := range 8 {
		id := fmt.Sprint("s", i)
		a.set(lose)
		b.set(func(r *http.Request, _ net.Conn) string { return ok(r, "b") })
		r, body := w.caller(x).do("GET", "/safe/x", id, "")
		require.Equal(t, 200, r.StatusCode)
		require.Equal(t, "b", body)
	}
}

// Guards against a refusal that hides that the request may have run.
func TestRefusalAfterUnknownOutcome(t *testing.T) {
	w := newWorld(t)
	a, b := w.upstream("u1"), w.upstream("u2")
	x := w.start("i1")
	w.awaitReady(x, 2)
	for i := range 6 {
		id := fmt.Sprint(i)
		seen := 0
		first := func(r *http.Request, _ net.Conn) string {
			if a.ran(id)+b.ran(id) == 1 {
				return ""
			}
			seen++
			return shed(r)
		}
		a.set(first)
		b.set(first)
		r, _ := w.caller(x).do("GET", "/safe/x", id, "")
		if seen > 0 {
			require.Equal(t, 502, r.StatusCode)
		}
	}
}

// Guards against a shed request that is answered as failed, or refused while
// another upstream has room.
func TestShedRequestGoesElsewhere(t *testing.T) {
	w := newWorld(t)
	a, b := w.upstream("u1"), w.upstream("u2")
	x := w.start("i1")
	w.awaitReady(x, 2)
	a.set(func(r *http.Request, _ net.Conn) string { return shed(r) })
	for i := range 5 {
		r, _ := w.caller(x).do("POST", "/unsafe/x", fmt.Sprint(i), "x")
		require.Equal(t, 200, r.StatusCode)
	}
	b.set(func(r *http.Request, _ net.Conn) string { return shed(r) })
	r, _ := w.caller(x).do("POST", "/unsafe/x", "last", "x")
	require.Equal(t, 503, r.StatusCode)
	require.NotEmpty(t, r.Header.Get("Retry-After"))
}

// Guards against a request that two upstreams refused and that is answered as
// if it might have run.
func TestTwoRefusalsAreNotRun(t *testing.T) {
	w := newWorld(t)
	a, b := w.upstream("u1"), w.upstream("u2")
	refuse := func(r *http.Request, _ net.Conn) string { return shed(r) }
	a.set(refuse)
	b.set(refuse)
	x := w.start("i1")
	w.awaitReady(x, 2)
	r, _ := w.caller(x).do("POST", "/unsafe/x", "1", "b")
	require.Equal(t, 503, r.StatusCode)
	require.Equal(t, 2, a.ran("1")+b.ran("1"), "both were asked")
}

// Guards against requests sent behind one another whose answers change places
// or that wait for each other.
func TestPipelinedRequests(t *testing.T) {
	w := newWorld(t)
	u := w.upstream("u1")
	// The first is answered only after all have arrived, in whatever order.
	var arrivals sync.WaitGroup
	arrivals.Add(3)
	u.set(func(r *http.Request, _ net.Conn) string {
		arrivals.Done()
		if r.Header.Get("X-Id") == "1" {
			arrivals.Wait()
		}
		return ok(r, r.Header.Get("X-Id"))
	})
	x := w.start("i1")
	w.awaitReady(x, 1)
	c := w.caller(x)
	c.send(text("GET", "/safe/1", "1", "") + text("GET", "/safe/2", "2", "") + text("GET", "/safe/3", "3", ""))
	for _, id := range []string{"1", "2", "3"} {
		_, body := c.receive()
		require.Equal(t, id, body)
	}
}

// Guards against work for a caller that has left.
func TestCallerLeaves(t *testing.T) {
	w := newWorld(t)
	u := w.upstream("u1")
	started, ended := make(chan struct{}), make(chan struct{})
	u.set(func(_ *http.Request, c net.Conn) string {
		close(started)
		var b [1]byte
		_, _ = c.Read(b[:])
		close(ended)
		return ""
	})
	x := w.start("i1")
	w.awaitReady(x, 1)
	c := w.caller(x)
	c.send(text("GET", "/safe/x", "1", ""))
	<-started
	require.NoError(t, c.c.Close())
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Fatal("the upstream still works")
	}
}

// Guards against a request that is held beyond its route's time-out.
func TestRouteTimeout(t *testing.T) {
	w := newWorld(t)
	slow := route("slow", "/slow/", false)
	slow.Timeout = 150 * time.Millisecond
	w.configure(2, slow)
	u := w.upstream("u1")
	block := make(chan struct{})
	defer close(block)
	u.set(func(*http.Request, net.Conn) string { <-block; return "" })
	x := w.start("i1")
	w.awaitReady(x, 1)
	start := time.Now()
	r, _ := w.caller(x).do("POST", "/slow/x", "1", "b")
	require.Equal(t, 504, r.StatusCode)
	require.Less(t, time.Since(start), slow.Timeout+500*time.Millisecond)
}

// Guards against a planned stop that cuts a request, keeps the instance in
// look-ups, or ends connections without notice.
func TestGracefulStop(t *testing.T) {
	w := newWorld(t)
	u := w.upstream("u1")
	a := w.start("i1")
	b := w.start("i2", a.settings.MeshAddress)
	w.awaitReady(a, 1)
	w.awaitReady(b, 1)
	named := func() string { _, body := w.get(b.settings.LookupAddress, "/lookup?region=n"); return body }
	require.Eventually(t, func() bool { return strings.Contains(named(), a.settings.CallerAddress) }, patience, 10*time.Millisecond)
	started, finish := make(chan struct{}), make(chan struct{})
	u.set(func(r *http.Request, _ net.Conn) string { close(started); <-finish; return ok(r, "done") })
	c := w.caller(a)
	c.send(text("POST", "/unsafe/x", "1", "b"))
	<-started
	a.stop()
	require.Eventually(t, func() bool { return !strings.Contains(named(), a.settings.CallerAddress) }, patience, time.Millisecond)
	status, _ := w.get(a.settings.ReadyAddress, "/ready")
	require.Equal(t, 503, status)
	close(finish)
	r, body := c.receive()
	require.Equal(t, 200, r.StatusCode)
	require.Equal(t, "done", body)
	require.True(t, r.Close, "the caller is told to connect elsewhere")
	select {
	case <-a.done:
	case <-time.After(patience):
		t.Fatal("the instance did not end")
	}
}

// Guards against an instance that cannot start while the store is away although
// its peers know everything.
func TestInstanceLearnsFromPeers(t *testing.T) {
	w := newWorld(t)
	w.upstream("u1")
	a := w.start("i1")
	w.awaitReady(a, 1)
	w.store.setDown(true)
	b := w.start("i2", a.settings.MeshAddress)
	w.awaitReady(b, 1)
	r, _ := w.caller(b).do("GET", "/safe/x", "1", "")
	require.Equal(t, 200, r.StatusCode)
}

// Guards against a configuration or a leaving upstream that does not reach the
// instances that leave the watching to others.
func TestChangesReachInstancesThatDoNotWatch(t *testing.T) {
	w := newWorld(t)
	w.upstream("u1")
	first := w.start("i1")
	for i := 2; i <= 4; i++ {
		w.start(fmt.Sprint("i", i), first.settings.MeshAddress)
	}
	for _, x := range w.instances {
		w.awaitReady(x, 1)
	}
	watching := func() int {
		n := 0
		for _, x := range w.instances {
			if x.watches() {
				n++
			}
		}
		return n
	}
	require.Eventually(t, func() bool { return watching() == watchers }, patience, 10*time.Millisecond)
	w.configure(2, route("new", "/new/", true))
	w.store.write(catalog.Upstreams, "u1", "", true)
	start := time.Now()
	for _, x := range w.instances {
		require.Eventually(t, func() bool {
			v := x.catalog.View()
			return v.Config.Version == 2 && len(v.Upstreams) == 0
		}, patience, time.Millisecond)
	}
	require.Less(t, time.Since(start), 2500*time.Millisecond)
}

// Guards against a backup watcher that misses changes for as long as its watch
// waits because its connection to the store fell silent.
func TestSilentBackupIsToldByTheFirstWatcher(t *testing.T) {
	w := newWorld(t)
	w.store.silent = true
	a := w.start("i1")
	b := w.start("i2", a.settings.MeshAddress)
	w.awaitReady(a, 0)
	w.awaitReady(b, 0)
	settled := func() bool {
		return len(a.mesh.Live()) == 1 && len(b.mesh.Live()) == 1 && a.duty().Primary != b.duty().Primary && a.watches() && b.watches()
	}
	require.Eventually(t, settled, patience, 5*time.Millisecond)
	w.store.awaitPatientWatches(t, 2)
	w.configure(2, route("safe", "/safe/", true))
	for _, x := range []*testInstance{a, b} {
		require.Eventually(t, func() bool { c := x.catalog.View().Config; return c != nil && c.Version == 2 }, 3*time.Second, 5*time.Millisecond)
	}
}

// Guards against an instance that lags because a member announces changes and
// does not pass them on.
func TestInstanceAsksTheStoreWhenAMemberFails(t *testing.T) {
	w := newWorld(t)
	first := w.start("i1")
	for i := 2; i <= 4; i++ {
		w.start(fmt.Sprint("i", i), first.settings.MeshAddress)
	}
	for _, x := range w.instances {
		w.awaitReady(x, 0)
	}
	var idle *testInstance
	require.Eventually(t, func() bool {
		for _, x := range w.instances {
			if !x.watches() {
				idle = x
			}
		}
		return idle != nil
	}, patience, 10*time.Millisecond)
	idle.fetch(context.Background(), mesh.Member{ID: "dead", Address: freeAddress(), Status: mesh.Status{Directives: 1 << 40, Upstreams: 1 << 40}})
	yes := idle.watches()
	require.True(t, yes)
}

// Guards against a killed upstream that costs more than a few requests.
func TestDeadUpstreamIsLeftOut(t *testing.T) {
	w := newWorld(t)
	w.upstream("u1")
	dead := freeAddress()
	w.store.write(catalog.Upstreams, "u2", "shop "+dead+" n-a ready", false)
	x := w.start("i1")
	w.awaitReady(x, 2)
	for i := range 30 {
		r, _ := w.caller(x).do("POST", "/unsafe/x", fmt.Sprint(i), "b")
		require.Equal(t, 200, r.StatusCode)
	}
}

// Guards against a request that no log line explains.
func TestEveryRequestHasItsLine(t *testing.T) {
	w := newWorld(t)
	u := w.upstream("u1")
	x := w.start("i1")
	w.awaitReady(x, 1)
	w.caller(x).do("GET", "/safe/x", "answered", "")
	u.set(func(*http.Request, net.Conn) string { return "" })
	w.caller(x).do("POST", "/unsafe/x", "failed", "b")
	u.set(func(r *http.Request, _ net.Conn) string { return shed(r) })
	w.caller(x).do("POST", "/unsafe/x", "refused", "b")
	want := map[string]event.ID{"answered": event.RequestAnswered, "refused": event.RequestRefused, "failed": event.RequestFailed}
	for id, number := range want {
		var last map[string]any
		for _, line := range strings.Split(x.log.String(), "\n") {
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

// Guards against bytes of one request that are run as another.
func TestSmugglingIsRefused(t *testing.T) {
	w := newWorld(t)
	u := w.upstream("u1")
	x := w.start("i1")
	w.awaitReady(x, 1)
	hidden := text("GET", "/safe/hidden", "hidden", "")
	for _, head := range []string{
		"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
		"Content-Length: 4\r\nContent-Length: 40\r\n\r\nabcd",
		"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		"Content-Length: +4\r\n\r\nabcd",
		"Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
	} {
		c := w.caller(x)
		c.send("POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nX-Id: outer\r\n" + head + hidden)
		r, err := http.ReadResponse(c.b, nil)
		if err == nil {
			require.Equal(t, 400, r.StatusCode, "%q", head)
			_, err = io.ReadAll(c.b)
		}
		require.True(t, err == nil || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF), "%q: %v", head, err)
		require.Zero(t, u.ran("hidden"), "%q", head)
		require.Zero(t, u.ran("outer"), "%q", head)
	}
}

// Guards against a log reader that stopped and delays requests, and against
// lines that are dropped without a count.
func TestBlockedLogCostsLinesNotTime(t *testing.T) {
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
	dropped, total := w.Dropped()
	require.EqualValues(t, 2000, total)
	require.Positive(t, dropped)
	w.Close(10 * time.Millisecond)
}

// Guards against a stop that waits for callers that never send anything.
func TestIdleConnectionsDoNotDelayTheStop(t *testing.T) {
	w := newWorld(t)
	w.upstream("u1")
	x := w.start("i1")
	w.awaitReady(x, 1)
	for range 20 {
		w.caller(x)
	}
	start := time.Now()
	x.stop()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	select {
	case <-x.done:
	case <-ctx.Done():
		t.Fatal("the instance did not end")
	}
	require.Less(t, time.Since(start), x.settings.Bounds.Grace)
}

// Guards against metrics that collectors cannot read or that miss requests.
func TestMetricsTellOutcomes(t *testing.T) {
	w := newWorld(t)
	u := w.upstream("u1")
	x := w.start("i1")
	w.awaitReady(x, 1)
	w.caller(x).do("GET", "/safe/x", "1", "")
	u.set(func(*http.Request, net.Conn) string { return "" })
	w.caller(x).do("POST", "/unsafe/x", "2", "b")
	status, body := w.get(x.settings.AdminAddress, "/metrics")
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
	status, body = w.get(x.settings.AdminAddress, "/state")
	require.Equal(t, 200, status)
	require.Contains(t, body, `"instance":"i1"`)
}

// Guards against a jump of the time of day during a stop that makes the
// instance refuse requests at once or take them until it is killed.
func TestStopKeepsTheMonotonicClock(t *testing.T) {
	w := newWorld(t)
	w.upstream("u1")
	x := w.start("i1")
	w.awaitReady(x, 1)
	x.stop()
	require.Eventually(t, func() bool { return x.leave.Load() != nil }, patience, time.Millisecond)
	leave := x.leave.Load()
	require.Contains(t, leave.at.String(), "m=", "without the monotonic clock the time of day counts")
	require.Contains(t, leave.end.String(), "m=")
}
