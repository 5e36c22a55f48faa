package load

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/platform"
	"github.com/sequoiacove/sequoiacove/platform/platformtest"
)

// fakeInstance answers look-ups and requests; serve decides about each request.
type fakeInstance struct {
	*httptest.Server
	mu      sync.Mutex
	lookups int
	ids     []string
	others  []*fakeInstance
	serve   func(w http.ResponseWriter, r *http.Request)
}

func newFakeInstance(t *testing.T, serve func(w http.ResponseWriter, r *http.Request)) *fakeInstance {
	f := &fakeInstance{serve: serve}
	f.Server = httptest.NewServer(http.HandlerFunc(f.handle))
	t.Cleanup(f.Close)
	return f
}

func (f *fakeInstance) address() string { return strings.TrimPrefix(f.URL, "http://") }

func (f *fakeInstance) handle(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.URL.Path == platform.Paths().Lookup {
		f.lookups++
		addresses := []string{f.address()}
		for _, other := range f.others {
			addresses = append(addresses, other.address())
		}
		_, _ = w.Write(platform.EncodeLookup(addresses, time.Minute))
		return
	}
	f.ids = append(f.ids, idOf(r))
	f.mu.Unlock()
	defer f.mu.Lock()
	f.serve(w, r)
}

func idOf(r *http.Request) string { return r.Header.Get(platform.Headers().RequestID) }

func sign(w http.ResponseWriter, r *http.Request) { w.Header().Set(signatureHeader, idOf(r)+".u1") }

func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	sign(w, r)
	_, _ = io.WriteString(w, platformtest.ResponseBody(idOf(r), r.RequestURI, string(body)))
}

func refuse(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }
}

func runOne(f *fakeInstance, cfg Config) Record {
	cfg.Directories, cfg.Host = []string{f.address()}, "shop.example"
	cfg.Rate, cfg.Duration, cfg.Even = 10, 150*time.Millisecond, true
	return Run(context.Background(), cfg).Records[0]
}

// Guards against plans that differ between runs with one seed.
func TestPlanRepeats(t *testing.T) {
	cfg := Config{Rate: 500, Duration: time.Second, Seed: 3, NonIdempotent: 0.2, LongPart: 0.1}.withDefaults()
	require.Equal(t, newPlan(cfg), newPlan(cfg))
	other := cfg
	other.Seed = 4
	require.NotEqual(t, newPlan(cfg), newPlan(other))
	require.InDelta(t, 500, len(newPlan(cfg)), 100)
}

// Guards against late answers that delay later requests or leave the latency.
func TestSlowAnswersDoNotDelaySending(t *testing.T) {
	f := newFakeInstance(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(300 * time.Millisecond)
		echo(w, r)
	})
	report := Run(context.Background(), Config{
		Directories: []string{f.address()}, Host: "shop.example", Rate: 100, Duration: 400 * time.Millisecond, Even: true})
	require.Len(t, report.Records, 39)
	require.Less(t, report.Elapsed, 2*time.Second, "39 answers of 300 ms in sequence would take 12 s")
	for _, r := range report.Records {
		require.GreaterOrEqual(t, r.LatencyUS, int64(300_000))
		require.Equal(t, "u1", r.Upstream)
	}
	require.Equal(t, 1, f.lookups, "the look-up answer must be cached")
}

// Guards against an answer of another request that passes as the own one.
func TestForeignAnswerIsFound(t *testing.T) {
	f := newFakeInstance(t, func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		_, _ = io.WriteString(w, platformtest.ResponseBody("another", r.RequestURI, ""))
	})
	require.Equal(t, FaultForeign, runOne(f, Config{}).Fault)
}

// Guards against a success that no upstream signed and that passes as complete.
func TestUnsignedSuccessIsFound(t *testing.T) {
	f := newFakeInstance(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, platformtest.ResponseBody(idOf(r), r.RequestURI, ""))
	})
	require.Equal(t, FaultUnsigned, runOne(f, Config{}).Fault)
}

// Guards against a request body that was cut or mixed up on its way.
func TestShortBodyIsFound(t *testing.T) {
	f := newFakeInstance(t, func(w http.ResponseWriter, r *http.Request) {
		r.Body = io.NopCloser(strings.NewReader("short"))
		echo(w, r)
	})
	require.Equal(t, FaultBody, runOne(f, Config{NonIdempotent: 1, BodyBytes: 1000}).Fault)
}

// Guards against a truncated answer that counts as complete.
func TestTruncatedAnswerIsUnknown(t *testing.T) {
	f := newFakeInstance(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "1000")
		echo(w, r)
		panic(http.ErrAbortHandler)
	})
	require.Equal(t, result.Unknown.String(), runOne(f, Config{NonIdempotent: 1}).Outcome)
}

// afterFirst answers the first request with a status and the others as next
// does.
func afterFirst(status int, next http.HandlerFunc) http.HandlerFunc {
	calls := 0
	return func(w http.ResponseWriter, r *http.Request) {
		if calls++; calls == 1 {
			w.WriteHeader(status)
			return
		}
		next(w, r)
	}
}

// Guards against repeats that share an identifier, and against a repeat of a
// request that may have run and must not run twice.
func TestRepeats(t *testing.T) {
	for _, c := range []struct {
		status int
		writes float64
		sends  int
	}{
		{http.StatusBadGateway, 0, 2}, {http.StatusServiceUnavailable, 1, 2}, {http.StatusBadGateway, 1, 1}, {http.StatusNotFound, 0, 1},
	} {
		f := newFakeInstance(t, afterFirst(c.status, echo))
		record := runOne(f, Config{NonIdempotent: c.writes})
		require.Equal(t, c.sends, record.Sends, "%+v", c)
		require.Len(t, f.ids, c.sends)
		if c.sends == 2 {
			require.Equal(t, result.Complete.String(), record.Outcome)
			require.NotEqual(t, f.ids[0], f.ids[1])
		}
	}
}

// Guards against "not run" of a repeat that passes for the outcome of the request.
func TestRefusedRepeatLeavesTheOutcomeUnknown(t *testing.T) {
	f := newFakeInstance(t, afterFirst(http.StatusBadGateway, refuse(http.StatusServiceUnavailable)))
	require.Equal(t, result.Unknown.String(), runOne(f, Config{}).Outcome)
}

// Guards against a caller that gives up after the first refusal.
func TestNotRunGoesToTheNextInstance(t *testing.T) {
	second := newFakeInstance(t, echo)
	f := newFakeInstance(t, refuse(http.StatusServiceUnavailable))
	f.others = []*fakeInstance{second}
	record := runOne(f, Config{})
	require.Equal(t, result.Complete.String(), record.Outcome)
	require.Equal(t, second.address(), record.Instance)
	require.Len(t, f.ids, 1)
}

// Guards against an audit that misses a broken guarantee or invents one.
func TestAudit(t *testing.T) {
	executions := []Execution{
		{Upstream: "u1", Path: "/write/twice", Result: platformtest.Done}, {Upstream: "u2", Path: "/write/twice", Result: platformtest.Cancelled},
		{Upstream: "u1", Path: "/write/shed-once", Result: platformtest.Shed}, {Upstream: "u2", Path: "/write/shed-once?work_ms=1", Result: platformtest.Done},
		{Upstream: "u1", Path: "/read/ran", Result: platformtest.Done}, {Upstream: "u1", Path: "/read/fine?x=/a/b/c", Result: platformtest.Done},
	}
	complete, notRun := result.Complete.String(), result.NotRun.String()
	audit := NewAuditor(executions).Check([]Record{
		{Token: "twice", Outcome: complete, Upstream: "u1"},
		{Token: "shed-once", Outcome: complete, Upstream: "u2"},
		{Token: "ran", Outcome: notRun, Idempotent: true},
		{Token: "fine", Outcome: complete, Upstream: "u1", Idempotent: true},
		{Token: "invented", Outcome: complete, Upstream: "u1", Idempotent: true},
		{Token: "foreign", Outcome: result.Unknown.String(), Fault: FaultForeign},
	})
	require.Equal(t, 4, audit.Broken, "%v", audit.Violations)
	require.Equal(t, map[int]int{0: 1, 1: 1, 2: 1}, audit.PerWrite)
}
