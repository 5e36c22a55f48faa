package admission

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/pkg/standin"
	"github.com/sequoiacove/sequoiacove/pkg/upstream"
)

// Guards against slots that stay occupied until the deadline by executions on
// connections that went silent: full service returns within 2 s, also when all
// requests in flight may not be repeated.
func TestServiceReturnsAfterAllConnectionsGoSilent(t *testing.T) {
	t.Run("mixed", func(t *testing.T) { goSilent(t, 4, 2) })
	t.Run("nothing idempotent", func(t *testing.T) { goSilent(t, 6, 0) })
}

func goSilent(t *testing.T, posts, gets int) {
	r := newRig(t, 2, 3, testSettings())
	r.learn()
	wait := r.start(posts, "POST", "/post?work_ms=100", 20*time.Second)
	r.start(gets, "GET", "/a?work_ms=100", 20*time.Second)
	require.Eventually(t, func() bool { return r.Reports()[0].InUse == 6 }, time.Second, time.Millisecond)
	cut := time.Now()
	r.dialer.Silence(cut)
	r.start(20, "GET", "/a?work_ms=1", 20*time.Second)
	r.idle(2*time.Second - time.Since(cut))
	r.sendAll(20, "GET", "/a?work_ms=1", 500*time.Millisecond)
	wait()
	executions, _, _ := r.logs()
	runs := make(map[string]int)
	for _, e := range executions {
		if e.Result != standin.UpstreamShed && e.Path == "/post?work_ms=100" {
			runs[e.Trace]++
		}
	}
	for trace, n := range runs {
		require.Equal(t, 1, n, "%s is not idempotent and ran %d times", trace, n)
	}
}

// Guards against a request that is lost although its upstream only refuses
// connections or sheds, and against a second run of one that may have run.
func TestRetriesFollowTheOutcome(t *testing.T) {
	cases := []struct {
		fail  string
		codes map[result.Code]int
		runs  int
	}{
		{standin.UpstreamFailRefuse, map[result.Code]int{result.UpstreamRefused: 1}, 0},
		{standin.UpstreamFailCloseAfterRead, map[result.Code]int{result.UpstreamNoAnswer: 1}, 1},
		{standin.UpstreamFailHalfAnswer, map[result.Code]int{result.UpstreamTruncated: 1}, 1},
	}
	for _, c := range cases {
		r := newRig(t, 1, 1, testSettings())
		r.upstreams[0].SetFault(standin.UpstreamFault{Fail: c.fail})
		require.Equal(t, c.codes, codes(r.start(1, "POST", "/a?work_ms=1", 2*time.Second)()), c.fail)
		require.EqualValues(t, c.runs, r.upstreams[0].Log().Started, c.fail)
	}
	r := newRig(t, 2, 1, testSettings())
	r.upstreams[0].SetFault(standin.UpstreamFault{Fail: standin.UpstreamFailRefuse})
	r.sendAll(20, "POST", "/a?work_ms=1", 5*time.Second)
}

// Guards against a slot that is given away while the execution of a caller who
// cancelled may still run.
func TestCancelledExecutionHoldsItsSlot(t *testing.T) {
	r := newRig(t, 1, 1, testSettings())
	block := make(chan struct{})
	slow := &cancelGate{Exchanger: r.client, open: block}
	r.pools["shop"].config.Exchange = slow
	ctx, cancel := context.WithCancel(context.Background())
	failed := make(chan error, 1)
	go func() {
		_, err := r.Do(ctx, r.request("POST", "/a?work_ms=5000", 20*time.Second))
		failed <- err
	}()
	require.Eventually(t, func() bool { return r.upstreams[0].Log().MaxInFlight == 1 }, time.Second, time.Millisecond)
	cancel()
	require.Equal(t, result.CancelledAfterStart, result.CodeOf(<-failed))
	_, err := r.do("POST", "/a?work_ms=1", 50*time.Millisecond)
	require.Equal(t, result.DeadlineBeforeStart, result.CodeOf(err))
	require.Equal(t, 1, r.InFlight("u0"), "not confirmed yet")
	close(block)
	_, err = r.do("POST", "/a?work_ms=1", 5*time.Second)
	require.NoError(t, err)
}

// cancelGate holds back cancel calls until open is closed.
type cancelGate struct {
	Exchanger
	open chan struct{}
}

func (g *cancelGate) Cancel(ctx context.Context, address, execution string) (string, error) {
	<-g.open
	return g.Exchanger.Cancel(ctx, address, execution)
}

// Guards against new work for an upstream that leaves while the list and its
// status still show it as serving.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	r := newRig(t, 2, 2, testSettings())
	r.learn()
	r.upstreams[0].SetFault(standin.UpstreamFault{Leaving: true, StatusLeavingLagMS: 60_000})
	r.sendAll(40, "POST", "/a?work_ms=1", 5*time.Second)
	shed := r.upstreams[0].Log().Shed
	require.NotZero(t, shed, "the upstream must have said that it leaves")
	r.sendAll(40, "POST", "/a?work_ms=1", 5*time.Second)
	require.Equal(t, shed, r.upstreams[0].Log().Shed)
}

// Guards against a status poll that misses a leaving upstream without traffic.
func TestStatusPollFindsLeavingUpstream(t *testing.T) {
	r := newRig(t, 1, 1, testSettings())
	r.upstreams[0].SetFault(standin.UpstreamFault{Leaving: true})
	require.Eventually(t, func() bool {
		_, err := r.do("POST", "/a", time.Second)
		return result.CodeOf(err) == result.NoUpstream
	}, 3*time.Second, 50*time.Millisecond)
}

// Guards against connections to upstreams that left the list staying open.
func TestConnectionsOfRemovedUpstreamAreClosed(t *testing.T) {
	r := newRig(t, 2, 1, testSettings())
	forgotten := &forgetCounter{Exchanger: r.client}
	r.pools["shop"].config.Exchange = forgotten
	r.records = r.records[1:]
	r.update(0)
	require.Equal(t, []string{r.upstreams[0].Address()}, forgotten.addresses)
	require.Equal(t, 1, r.Reports()[0].Slots)
}

type forgetCounter struct {
	Exchanger
	addresses []string
}

func (f *forgetCounter) Forget(address string) { f.addresses = append(f.addresses, address) }

var _ Exchanger = (*upstream.Client)(nil)
