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

// fakeInstance responds to lookups with its own address and those of its peers,
// and passes requests to serve.
type fakeInstance struct {
	*httptest.Server
	mu          sync.Mutex
	lookupCount int
	requestIDs  []string
	peers       []*fakeInstance
	serve       func(w http.ResponseWriter, r *http.Request)
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
		f.lookupCount++
		addresses := []string{f.address()}
		for _, peer := range f.peers {
			addresses = append(addresses, peer.address())
		}
		_, _ = w.Write(platform.EncodeLookup(addresses, time.Minute))
		return
	}
	f.requestIDs = append(f.requestIDs, requestID(r))
	f.mu.Unlock()
	defer f.mu.Lock()
	f.serve(w, r)
}

func requestID(r *http.Request) string { return r.Header.Get(platform.Headers().RequestID) }

func setSignature(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(signatureHeader, requestID(r)+".u1")
}

func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	setSignature(w, r)
	_, _ = io.WriteString(w, platformtest.ResponseBody(requestID(r), r.RequestURI, string(body)))
}

func respondWithStatus(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }
}

func sendFirstRequest(f *fakeInstance, cfg Config) Record {
	cfg.LookupAddresses, cfg.Host = []string{f.address()}, "shop.example"
	cfg.Rate, cfg.Duration, cfg.EvenSpacing = 10, 150*time.Millisecond, true
	return Run(context.Background(), cfg).Records[0]
}

// Guards against plans that differ between runs with the same seed.
func TestPlanIsDeterministic(t *testing.T) {
	cfg := Config{Rate: 500, Duration: time.Second, Seed: 3, NonIdempotentFraction: 0.2, LongFraction: 0.1}.withDefaults()
	require.Equal(t, newPlan(cfg), newPlan(cfg))
	other := cfg
	other.Seed = 4
	require.NotEqual(t, newPlan(cfg), newPlan(other))
	require.InDelta(t, 500, len(newPlan(cfg)), 100)
}

// Guards against slow responses that delay the sending of later requests, and against
// latencies that omit the response time.
func TestSlowResponsesDoNotDelaySending(t *testing.T) {
	f := newFakeInstance(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(300 * time.Millisecond)
		echo(w, r)
	})
	report := Run(context.Background(), Config{
		LookupAddresses: []string{f.address()}, Host: "shop.example", Rate: 100, Duration: 400 * time.Millisecond, EvenSpacing: true})
	require.Len(t, report.Records, 39)
	require.Less(t, report.Elapsed, 2*time.Second, "39 sequential responses of 300 ms would take 12 s")
	for _, r := range report.Records {
		require.GreaterOrEqual(t, r.LatencyUS, int64(300_000))
		require.Equal(t, "u1", r.Upstream)
	}
	require.Equal(t, 1, f.lookupCount, "the lookup response must be cached")
}

// Guards against accepting a response that belongs to another request.
func TestResponseToAnotherRequestIsDetected(t *testing.T) {
	f := newFakeInstance(t, func(w http.ResponseWriter, r *http.Request) {
		setSignature(w, r)
		_, _ = io.WriteString(w, platformtest.ResponseBody("another", r.RequestURI, ""))
	})
	require.Equal(t, FaultWrongResponse, sendFirstRequest(f, Config{}).Fault)
}

// Guards against accepting a success response that no upstream signed.
func TestUnsignedSuccessIsDetected(t *testing.T) {
	f := newFakeInstance(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, platformtest.ResponseBody(requestID(r), r.RequestURI, ""))
	})
	require.Equal(t, FaultUnsigned, sendFirstRequest(f, Config{}).Fault)
}

// Guards against accepting a success response although the request body was
// truncated or corrupted in transit.
func TestBodyMismatchIsDetected(t *testing.T) {
	f := newFakeInstance(t, func(w http.ResponseWriter, r *http.Request) {
		r.Body = io.NopCloser(strings.NewReader("short"))
		echo(w, r)
	})
	require.Equal(t, FaultBodyMismatch, sendFirstRequest(f, Config{NonIdempotentFraction: 1, BodyBytes: 1000}).Fault)
}

// Guards against counting a truncated response as complete.
func TestTruncatedResponseIsUnknown(t *testing.T) {
	f := newFakeInstance(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "1000")
		echo(w, r)
		panic(http.ErrAbortHandler)
	})
	require.Equal(t, result.Unknown.String(), sendFirstRequest(f, Config{NonIdempotentFraction: 1}).Outcome)
}

// failFirst responds to the first request with status and passes later ones to
// next.
func failFirst(status int, next http.HandlerFunc) http.HandlerFunc {
	calls := 0
	return func(w http.ResponseWriter, r *http.Request) {
		if calls++; calls == 1 {
			w.WriteHeader(status)
			return
		}
		next(w, r)
	}
}

// Guards against retries that reuse a request ID, and against retrying a
// non-idempotent request that may already have run.
func TestRetries(t *testing.T) {
	for _, c := range []struct {
		status        int
		writeFraction float64
		attempts      int
	}{
		{http.StatusBadGateway, 0, 2}, {http.StatusServiceUnavailable, 1, 2}, {http.StatusBadGateway, 1, 1}, {http.StatusNotFound, 0, 1},
	} {
		f := newFakeInstance(t, failFirst(c.status, echo))
		record := sendFirstRequest(f, Config{NonIdempotentFraction: c.writeFraction})
		require.Equal(t, c.attempts, record.Attempts, "%+v", c)
		require.Len(t, f.requestIDs, c.attempts)
		if c.attempts == 2 {
			require.Equal(t, result.Complete.String(), record.Outcome)
			require.NotEqual(t, f.requestIDs[0], f.requestIDs[1])
		}
	}
}

// Guards against reporting a request as "not run" because its retry was refused,
// although its first attempt may have run.
func TestRefusedRetryLeavesOutcomeUnknown(t *testing.T) {
	f := newFakeInstance(t, failFirst(http.StatusBadGateway, respondWithStatus(http.StatusServiceUnavailable)))
	require.Equal(t, result.Unknown.String(), sendFirstRequest(f, Config{}).Outcome)
}

// Guards against callers that do not try the next instance after a refusal.
func TestNotRunIsRetriedOnNextInstance(t *testing.T) {
	second := newFakeInstance(t, echo)
	f := newFakeInstance(t, respondWithStatus(http.StatusServiceUnavailable))
	f.peers = []*fakeInstance{second}
	record := sendFirstRequest(f, Config{})
	require.Equal(t, result.Complete.String(), record.Outcome)
	require.Equal(t, second.address(), record.InstanceAddress)
	require.Len(t, f.requestIDs, 1)
}

// Guards against an audit that misses a violated guarantee or reports a false one.
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
		{Token: "never-executed", Outcome: complete, Upstream: "u1", Idempotent: true},
		{Token: "wrong-request", Outcome: result.Unknown.String(), Fault: FaultWrongResponse},
	})
	require.Equal(t, 4, audit.ViolationCount, "%v", audit.Violations)
	require.Equal(t, map[int]int{0: 1, 1: 1, 2: 1}, audit.NonIdempotentByExecutionCount)
}
