package requestid

import (
	"context"
	"net/url"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/request"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// fixture is a table with a settable clock.
type fixture struct {
	*Table
	now  time.Time
	runs atomic.Int64
}

func newFixture(limits Limits) *fixture {
	f := &fixture{now: time.Unix(0, 0)}
	f.Table = New("entry-1", 7, []byte("a key of thirty-two bytes length"), limits, func() time.Time { return f.now })
	return f
}

func deposit(id string) *request.Request {
	return &request.Request{ID: id, Service: "ledger", Method: "POST", Path: "/deposit", Body: []byte("5")}
}

// send submits a request whose execution answers with a body of size bytes.
func (f *fixture) send(req *request.Request, size int) (*request.Response, error) {
	return f.Do(context.Background(), req, func() (*request.Response, error) {
		f.runs.Add(1)
		return &request.Response{Status: 200, Body: make([]byte, size)}, nil
	})
}

// Guards against identifiers that change in headers or URLs, and against forged
// ones that are accepted.
func TestIdentifierText(t *testing.T) {
	f := newFixture(DefaultLimits)
	text := f.Issue("ledger")
	require.Equal(t, text, url.QueryEscape(text))
	id, err := Parse(text)
	require.NoError(t, err)
	require.Equal(t, "ledger entry-1", id.Service+" "+id.Instance)
	require.Equal(t, text, id.String())
	for i := range text {
		for _, c := range []byte("A9_") {
			forged := text[:i] + string(c) + text[i+1:]
			if forged == text {
				continue
			}
			_, err := f.send(deposit(forged), 1)
			require.Error(t, err, "byte %d", i)
		}
	}
	require.Zero(t, f.runs.Load())
	id.Service = "other"
	_, err = f.send(deposit(id.String()), 1)
	require.Equal(t, result.RequestIDMalformed, result.CodeOf(err), "the hash covers the service")
	other := newFixture(DefaultLimits)
	other.incarnation = 8
	_, err = other.send(deposit(text), 1)
	require.Equal(t, result.RequestIDOwnerGone, result.CodeOf(err))
}

// Guards against more than one execution when many submissions of one
// identifier arrive together.
func TestConcurrentSubmissionsRunOnce(t *testing.T) {
	f := newFixture(DefaultLimits)
	for range 50 {
		id := f.Issue("ledger")
		var wait sync.WaitGroup
		for range 16 {
			wait.Add(1)
			go func() {
				defer wait.Done()
				resp, err := f.send(deposit(id), 3)
				require.NoError(t, err)
				require.Len(t, resp.Body, 3)
			}()
		}
		wait.Wait()
	}
	require.EqualValues(t, 50, f.runs.Load())
}

// Guards against an identifier that admits another request.
func TestIdentifierBelongsToOneRequest(t *testing.T) {
	f := newFixture(DefaultLimits)
	id := f.Issue("ledger")
	_, err := f.send(deposit(id), 1)
	require.NoError(t, err)
	changes := []func(*request.Request){
		func(r *request.Request) { r.Body = []byte("6") },
		func(r *request.Request) { r.Path = "/deposit?x" },
		func(r *request.Request) { r.Method = "PUT" },
		func(r *request.Request) { r.Path, r.Body = "/deposit5", nil },
		func(r *request.Request) { r.Service = "other" },
	}
	for i, change := range changes {
		req := deposit(id)
		change(req)
		_, err := f.send(req, 1)
		require.Equal(t, result.RequestIDMismatch, result.CodeOf(err), "change %d", i)
	}
	require.EqualValues(t, 1, f.runs.Load())
}

// Guards against memory that grows with kept answers, and against a second
// execution once an answer is dropped.
func TestKeptAnswersAreBounded(t *testing.T) {
	f := newFixture(Limits{Records: 100, AnswerBytes: 1000})
	first, last := f.Issue("ledger"), ""
	_, err := f.send(deposit(first), 400)
	require.NoError(t, err)
	for range 5 {
		last = f.Issue("ledger")
		_, err = f.send(deposit(last), 400)
		require.NoError(t, err)
		require.LessOrEqual(t, f.Stats().AnswerBytes, 1000)
	}
	_, err = f.send(deposit(first), 400)
	require.Equal(t, result.RequestIDConsumed, result.CodeOf(err))
	resp, err := f.send(deposit(last), 0)
	require.NoError(t, err)
	require.Len(t, resp.Body, 400)
	huge := f.Issue("ledger")
	_, err = f.send(deposit(huge), 1001)
	require.NoError(t, err)
	_, err = f.send(deposit(huge), 1)
	require.Equal(t, result.RequestIDConsumed, result.CodeOf(err))
	require.EqualValues(t, 7, f.runs.Load())
}

// Guards against a record that is forgotten while its identifier is accepted,
// and against a table that never shrinks.
func TestExpiry(t *testing.T) {
	f := newFixture(Limits{Records: 3, AnswerBytes: 1000})
	var ids []string
	for range 4 {
		ids = append(ids, f.Issue("ledger"))
	}
	for _, id := range ids[:3] {
		_, err := f.send(deposit(id), 10)
		require.NoError(t, err)
	}
	_, err := f.send(deposit(ids[3]), 10)
	require.Equal(t, result.RequestIDTableFull, result.CodeOf(err))
	f.now = f.now.Add(Lifetime)
	_, err = f.send(deposit(ids[0]), 10)
	require.NoError(t, err, "an identifier of exactly its lifetime is accepted and recorded")
	require.EqualValues(t, 3, f.runs.Load())
	f.now = f.now.Add(1)
	_, err = f.send(deposit(ids[0]), 10)
	require.Equal(t, result.RequestIDExpired, result.CodeOf(err))
	_, err = f.send(deposit(f.Issue("ledger")), 10)
	require.NoError(t, err)
	require.Equal(t, Stats{Issued: 5, Records: 1, AnswerBytes: 10}, f.Stats())
	require.Len(t, f.kept, 1)
	require.Len(t, f.expiry, 1)
}

// Guards against resends that wait for ever after an execution that panicked.
func TestPanicLeavesTheOutcomeUnknown(t *testing.T) {
	f := newFixture(DefaultLimits)
	req := deposit(f.Issue("ledger"))
	require.Panics(t, func() {
		_, _ = f.Do(context.Background(), req, func() (*request.Response, error) { panic("test") })
	})
	_, err := f.send(req, 1)
	require.Equal(t, result.Unknown, result.OutcomeOf(err))
	require.Zero(t, f.runs.Load())
}

// Guards against a delayed first submission that runs after its resend was
// answered "not run" and the caller has repeated the request under a new
// identifier.
func TestNotRunIsFinalForAnIdentifier(t *testing.T) {
	f := newFixture(DefaultLimits)
	req := deposit(f.Issue("ledger"))
	_, err := f.Do(context.Background(), req, func() (*request.Response, error) {
		return nil, result.New(result.QueueFull, "full")
	})
	require.Equal(t, result.QueueFull, result.CodeOf(err))
	_, err = f.send(req, 1)
	require.Equal(t, result.QueueFull, result.CodeOf(err), "a resend gets the recorded outcome")
	require.Zero(t, f.runs.Load())
}

// FuzzParse checks that an accepted text is the only text of its identifier, so
// that one identifier cannot be sent in two forms.
func FuzzParse(f *testing.F) {
	f.Add(newFixture(DefaultLimits).Issue("ledger"))
	f.Add("")
	f.Add("AQE")
	f.Fuzz(func(t *testing.T, text string) {
		id, err := Parse(text)
		if err != nil {
			require.Equal(t, result.RequestIDMalformed, result.CodeOf(err))
			return
		}
		require.Equal(t, text, id.String())
	})
}
