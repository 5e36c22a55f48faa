package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/request"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// fakeEntry answers the caller API; serve decides about each request.
type fakeEntry struct {
	*httptest.Server
	mu      sync.Mutex
	lookups int
	ids     []string
	others  []*fakeEntry
	serve   func(w http.ResponseWriter, r *http.Request)
}

func newFakeEntry(t *testing.T, serve func(w http.ResponseWriter, r *http.Request)) *fakeEntry {
	f := &fakeEntry{serve: serve}
	f.Server = httptest.NewServer(http.HandlerFunc(f.handle))
	t.Cleanup(f.Close)
	return f
}

func (f *fakeEntry) address() string { return strings.TrimPrefix(f.URL, "http://") }

func (f *fakeEntry) handle(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/lookup":
		f.mu.Lock()
		f.lookups++
		f.mu.Unlock()
		targets := fmt.Sprintf(`{"id":"first","address":%q}`, f.address())
		for i, other := range f.others {
			targets += fmt.Sprintf(`,{"id":"other-%d","address":%q}`, i, other.address())
		}
		fmt.Fprintf(w, `{"ttl_ms":60000,"version":1,"instances":[%s]}`, targets)
	case "/v1/request-ids":
		fmt.Fprintf(w, `{"expires_ms":600000,"ids":["%d"]}`, time.Now().UnixNano())
	default:
		f.mu.Lock()
		f.ids = append(f.ids, r.Header.Get(request.HeaderRequestID))
		f.mu.Unlock()
		f.serve(w, r)
	}
}

func reply(w http.ResponseWriter, code result.Code, body string) {
	w.Header().Set(request.HeaderCode, fmt.Sprint(code))
	w.Header().Set(request.HeaderOutcome, result.Lookup(code).Outcome.String())
	w.WriteHeader(result.Lookup(code).HTTPStatus)
	_, _ = io.WriteString(w, body)
}

func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	path := strings.TrimPrefix(r.RequestURI, "/v1/services/shop")
	reply(w, result.OK, fmt.Sprintf(`{"path":%q,"body_bytes":%d}`, path, len(body)))
}

func runOne(f *fakeEntry, cfg Config) Record {
	cfg.Entries, cfg.Service = []string{f.address()}, "shop"
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
	f := newFakeEntry(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(300 * time.Millisecond)
		echo(w, r)
	})
	report := Run(context.Background(), Config{
		Entries: []string{f.address()}, Service: "shop", Rate: 100, Duration: 400 * time.Millisecond, Even: true})
	require.Len(t, report.Records, 39)
	require.Less(t, report.Elapsed, 2*time.Second, "39 answers of 300 ms in sequence would take 12 s")
	for _, r := range report.Records {
		require.GreaterOrEqual(t, r.LatencyUS, int64(300_000))
	}
	require.Equal(t, 1, f.lookups, "the look-up answer must be cached")
}

// Guards against an answer of another request that passes as the own one.
func TestForeignAnswerIsFound(t *testing.T) {
	f := newFakeEntry(t, func(w http.ResponseWriter, _ *http.Request) { reply(w, result.OK, `{"path":"/read/someone-else"}`) })
	require.Equal(t, FaultForeign, runOne(f, Config{}).Fault)
}

// Guards against a request body that was cut or mixed up on its way.
func TestShortBodyIsFound(t *testing.T) {
	f := newFakeEntry(t, func(w http.ResponseWriter, r *http.Request) {
		r.Body = io.NopCloser(strings.NewReader("short"))
		echo(w, r)
	})
	require.Equal(t, FaultBody, runOne(f, Config{NonIdempotent: 1, BodyBytes: 1000}).Fault)
}

// Guards against a truncated answer that counts as complete.
func TestTruncatedAnswerIsUnknown(t *testing.T) {
	f := newFakeEntry(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "1000")
		echo(w, r)
		panic(http.ErrAbortHandler)
	})
	f.Config.ErrorLog = nil
	record := runOne(f, Config{NonIdempotent: 1, SettleFor: time.Millisecond})
	require.Equal(t, result.Unknown.String(), record.Outcome)
}

// afterUnknown answers the first request with an unknown outcome and the others
// as next does.
func afterUnknown(next http.HandlerFunc) http.HandlerFunc {
	calls := 0
	return func(w http.ResponseWriter, r *http.Request) {
		if calls++; calls == 1 {
			reply(w, result.UpstreamNoAnswer, "{}")
			return
		}
		next(w, r)
	}
}

// Guards against a repeat with a new identifier, which could run twice.
func TestUnknownIsRepeatedWithTheSameIdentifier(t *testing.T) {
	f := newFakeEntry(t, afterUnknown(echo))
	record := runOne(f, Config{NonIdempotent: 1})
	require.Equal(t, result.Complete.String(), record.Outcome)
	require.True(t, record.Settled)
	require.Equal(t, 2, record.Sends)
	require.NotEmpty(t, f.ids[0])
	require.Equal(t, f.ids[0], f.ids[1])
}

// Guards against "not run" of a repeat that passes for the outcome of the request.
func TestRefusedRepeatLeavesTheOutcomeUnknown(t *testing.T) {
	f := newFakeEntry(t, afterUnknown(func(w http.ResponseWriter, _ *http.Request) { reply(w, result.PeerUnreachable, "{}") }))
	record := runOne(f, Config{NonIdempotent: 1, SettleFor: 300 * time.Millisecond})
	require.Equal(t, result.Unknown.String(), record.Outcome)
}

// Guards against a caller that gives up after the first refusal or ignores the
// order of preference.
func TestNotRunGoesToTheNextInstance(t *testing.T) {
	second := newFakeEntry(t, echo)
	f := newFakeEntry(t, func(w http.ResponseWriter, _ *http.Request) { reply(w, result.Stopping, "{}") })
	f.others = []*fakeEntry{second}
	record := runOne(f, Config{})
	require.Equal(t, result.Complete.String(), record.Outcome)
	require.Equal(t, "other-0", record.Entry)
	require.Len(t, f.ids, 1)
}

// Guards against an audit that misses a broken guarantee or invents one.
func TestAudit(t *testing.T) {
	executions := []Execution{
		{Upstream: "u1", Path: "/write/twice", Result: "done"}, {Upstream: "u2", Path: "/write/twice", Result: "cancelled"},
		{Upstream: "u1", Path: "/write/shed-once", Result: ResultShed}, {Upstream: "u2", Path: "/write/shed-once?work_ms=1", Result: "done"},
		{Upstream: "u1", Path: "/read/ran", Result: "done"}, {Upstream: "u1", Path: "/read/fine?x=/a/b/c", Result: "done"},
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
