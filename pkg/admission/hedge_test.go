package admission

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/pkg/settings"
	"github.com/sequoiacove/sequoiacove/pkg/standin"
)

// Guards against a request that waits for a slowed upstream although it may be
// repeated, and against a hedge of one that may not.
func TestOnlyIdempotentRequestsAreHedged(t *testing.T) {
	r := newRig(t, 2, 1, testSettings())
	r.learn()
	r.awaitHedges()
	r.upstreams[0].SetFault(standin.UpstreamFault{SlowFactor: 100})
	for cancelled := false; !cancelled; {
		started := time.Now()
		_, err := r.do("GET", "/hedged?work_ms=5", 10*time.Second)
		require.NoError(t, err)
		require.Less(t, time.Since(started), 400*time.Millisecond, "the slowed execution takes 500 ms")
		for _, e := range r.upstreams[0].Log().Executions {
			cancelled = cancelled || e.Path == "/hedged?work_ms=5" && e.Result == standin.UpstreamCancelled
		}
	}
	r.upstreams[0].SetFault(standin.UpstreamFault{})
	r.idle(time.Second)

	before, _, _ := r.logs()
	r.sendAll(1, "POST", "/a?work_ms=200", 10*time.Second)
	after, _, _ := r.logs()
	require.Len(t, after, len(before)+1)
}

// awaitHedges sends short requests until the budget allows hedges and no
// upstream looks slow. Learning on a busy machine may spend the budget of six
// hedges; without budget a request rightly waits for a slowed upstream.
func (r *rig) awaitHedges() {
	const hedges = 5
	p := r.pools["shop"]
	ready := func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		now := p.config.Clock.Now()
		for _, u := range p.targets {
			if p.suspect(u, now) {
				return false
			}
		}
		return p.duplicateBudget.tokens >= hedges
	}
	for !ready() {
		r.sendAll(1, "GET", "/a?work_ms=5", 10*time.Second)
	}
	r.idle(5 * time.Second)
}

// Guards against a long request that occupies a second slot for its whole time.
func TestHedgeOfLongRequestIsGivenUp(t *testing.T) {
	r := newRig(t, 2, 1, testSettings())
	r.learn()
	r.sendAll(1, "GET", "/a?work_ms=700", 10*time.Second)
	r.idle(time.Second)
	executions, _, _ := r.logs()
	var hedges []standin.UpstreamRecord
	for _, e := range executions {
		if e.Path == "/a?work_ms=700" && e.Result == standin.UpstreamCancelled {
			hedges = append(hedges, e)
		}
	}
	require.NotEmpty(t, hedges)
	for _, e := range hedges {
		require.Less(t, e.EndUnixUS-e.StartUnixUS, int64(500_000))
	}
}

// Guards against a busy upstream that is taken for a silent one: a probe that
// was given up and answered as cancelled must not retire its connections.
func TestLongRequestOnOnlySlotIsNotCutOff(t *testing.T) {
	r := newRig(t, 1, 1, testSettings())
	r.learn()
	r.sendAll(1, "GET", "/a?work_ms=1500", 10*time.Second)
	require.Positive(t, r.State().([]PoolState)[0].Counts.Hedges, "a silence probe must have been tried")
}

// Guards against hedges and retries beyond the budget when all upstreams slow
// down at the same time.
func TestExtraExecutionsStayWithinBudget(t *testing.T) {
	r := newRig(t, 4, 2, testSettings())
	r.learn()
	for _, u := range r.upstreams {
		u.SetFault(standin.UpstreamFault{SlowFactor: 10})
	}
	r.sendAll(100, "GET", "/a?work_ms=5", 30*time.Second)
	r.idle(5 * time.Second)
	executions, _, _ := r.logs()
	traces := make(map[string]bool)
	for _, e := range executions {
		traces[e.Trace] = true
	}
	require.LessOrEqual(t, len(executions)-len(traces), len(traces)/20)
}

// Guards against a slowed upstream that is not ejected, and against one that
// does not return.
func TestSlowUpstreamIsEjectedAndReturns(t *testing.T) {
	r := newRig(t, 4, 2, testSettings())
	r.learn()
	slow := r.upstreams[0]
	slow.SetFault(standin.UpstreamFault{SlowFactor: 30})
	ejected := func() string { return r.State().([]PoolState)[0].Upstreams[0].Ejected }
	require.Eventually(t, func() bool {
		r.start(8, "POST", "/a?work_ms=5", 10*time.Second)()
		return ejected() == slowReason
	}, 10*time.Second, time.Millisecond)
	slow.SetFault(standin.UpstreamFault{})
	require.Eventually(t, func() bool { return ejected() == "" }, 5*time.Second, 10*time.Millisecond)
	before := slow.Log().Started
	r.start(20, "GET", "/a?work_ms=5", 10*time.Second)()
	require.Greater(t, slow.Log().Started, before)
}

// Guards against a baseline that loses requests or cannot be selected.
func TestBaselinesServe(t *testing.T) {
	for _, policy := range settings.Policies[1:] {
		s := testSettings()
		s.Policy = policy
		r := newRig(t, 3, 4, s)
		errs := r.start(12, "POST", "/a?work_ms=5", 5*time.Second)()
		require.Equal(t, map[result.Code]int{result.OK: 12}, codes(errs), policy)
		executions, _, _ := r.logs()
		require.GreaterOrEqual(t, len(executions), 12, policy)
	}
}

// Guards against a state dump that cannot be encoded or lacks the upstreams.
func TestStateDump(t *testing.T) {
	r := newRig(t, 2, 3, testSettings())
	r.learn()
	body, err := json.Marshal(r.State())
	require.NoError(t, err)
	for _, part := range []string{`"service":"shop"`, `"slots":6`, `"id":"u1"`, `"route":"GET /a"`} {
		require.Contains(t, string(body), part)
	}
	require.Equal(t, 6, r.Reports()[0].Slots)
}
