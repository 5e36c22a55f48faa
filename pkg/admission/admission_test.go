package admission

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/request"
	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/pkg/settings"
	"github.com/sequoiacove/sequoiacove/pkg/standin"
	"github.com/sequoiacove/sequoiacove/pkg/upstream"
)

// rig is a Set with stand-in upstreams.
type rig struct {
	*Set
	t         *testing.T
	client    *upstream.Client
	dialer    *standin.SilentDialer
	upstreams []*standin.Upstream
	records   []cluster.UpstreamRecord
	serial    int
}

func testSettings() settings.Admission {
	return settings.Admission{
		Policy: ownerQueue, QueueLength: 256, ExtraExecutions: 0.05,
		HedgeQuantile: 0.97, LongRouteSlots: 0.75, MaxEjected: 0.33,
	}
}

func newRig(t *testing.T, upstreams, slots int, s settings.Admission) *rig {
	r := &rig{t: t, dialer: &standin.SilentDialer{}}
	r.client = upstream.NewClient(upstream.Config{Dial: r.dialer.Dial})
	for i := range upstreams {
		u, err := standin.StartUpstream(standin.UpstreamConfig{
			ID: fmt.Sprintf("u%d", i), Slots: slots, ServiceTime: 5 * time.Millisecond, Seed: uint64(i)})
		require.NoError(t, err)
		t.Cleanup(u.Close)
		r.upstreams = append(r.upstreams, u)
		r.records = append(r.records, cluster.UpstreamRecord{
			ID: u.ID(), Service: "shop", Address: u.Address(), State: cluster.Serving, Slots: slots})
	}
	r.Set = New(Config{Domain: "a", Settings: s, Exchange: r.client, Seed: 1})
	t.Cleanup(func() { r.Close(); r.client.Close() })
	r.update(0)
	return r
}

func (r *rig) update(limit int) {
	r.Update([]PoolConfig{{Service: "shop", Limit: limit, Upstreams: r.records}})
}

func (r *rig) request(method, path string, deadline time.Duration) *request.Request {
	r.serial++
	return &request.Request{
		Service: "shop", Method: method, Path: path, Idempotent: method == "GET",
		Deadline: time.Now().Add(deadline), Trace: fmt.Sprintf("t%d", r.serial)}
}

func (r *rig) do(method, path string, deadline time.Duration) (*request.Response, error) {
	return r.Do(context.Background(), r.request(method, path, deadline))
}

// start sends n requests at the same time and returns a function that waits for
// their errors.
func (r *rig) start(n int, method, path string, deadline time.Duration) func() []error {
	errs := make([]error, n)
	var group sync.WaitGroup
	for i := range n {
		req := r.request(method, path, deadline)
		group.Go(func() { _, errs[i] = r.Do(context.Background(), req) })
	}
	return func() []error { group.Wait(); return errs }
}

func (r *rig) logs() (executions []standin.UpstreamRecord, maxInFlight int, shed uint64) {
	for _, u := range r.upstreams {
		log := u.Log()
		executions = append(executions, log.Executions...)
		maxInFlight = max(maxInFlight, log.MaxInFlight)
		shed += log.Shed
	}
	return executions, maxInFlight, shed
}

func (r *rig) idle(limit time.Duration) {
	require.Eventually(r.t, func() bool { return r.Reports()[0].InUse == 0 }, limit, time.Millisecond)
}

// sendAll sends n requests at the same time and checks that all are answered.
func (r *rig) sendAll(n int, method, path string, deadline time.Duration) {
	r.t.Helper()
	errs := r.start(n, method, path, deadline)()
	require.Equal(r.t, map[result.Code]int{result.OK: n}, codes(errs))
}

// learn sends short requests until the costs of their route are known.
func (r *rig) learn() {
	r.sendAll(4*enoughSamples, "GET", "/a?work_ms=5", 10*time.Second)
	r.idle(5 * time.Second)
}

func codes(errs []error) map[result.Code]int {
	counts := make(map[result.Code]int)
	for _, err := range errs {
		counts[result.CodeOf(err)]++
	}
	return counts
}

// Guards against requests that are sent before a slot is idle, which makes
// upstreams queue or shed them.
func TestLateBindingKeepsToSlots(t *testing.T) {
	r := newRig(t, 3, 2, testSettings())
	r.sendAll(60, "POST", "/a?work_ms=5", 10*time.Second)
	executions, maxInFlight, shed := r.logs()
	require.Len(t, executions, 60)
	require.LessOrEqual(t, maxInFlight, 2)
	require.Zero(t, shed)
}

// Guards against more executions than the region's limit allows.
func TestRegionLimitBoundsExecutions(t *testing.T) {
	r := newRig(t, 3, 2, testSettings())
	r.update(1)
	r.sendAll(10, "POST", "/a?work_ms=3", 10*time.Second)
	executions, _, _ := r.logs()
	for i, a := range executions {
		for _, b := range executions[:i] {
			overlap := min(a.EndUnixUS, b.EndUnixUS) - max(a.StartUnixUS, b.StartUnixUS)
			require.LessOrEqual(t, overlap, int64(0), "%s and %s ran at the same time", a.ID, b.ID)
		}
	}
}

// Guards against a service without a pool that is not refused as not run.
func TestUnownedServiceIsRefused(t *testing.T) {
	r := newRig(t, 1, 1, testSettings())
	wait := r.start(3, "POST", "/a?work_ms=50", 10*time.Second)
	require.Eventually(t, func() bool { return r.Reports()[0].Queued == 2 }, time.Second, time.Millisecond)
	r.Update(nil)
	require.Equal(t, map[result.Code]int{result.OK: 1, result.NotOwner: 2}, codes(wait()),
		"waiting requests are refused, running ones finish")
	_, err := r.do("GET", "/a", time.Second)
	require.Equal(t, result.NotOwner, result.CodeOf(err))
}
