package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/request"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

var epoch = time.Unix(1_700_000_000, 0)

// manualClock is a clock that a test moves.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

func (c *manualClock) NewTimer(time.Duration) (<-chan time.Time, func() bool) {
	return make(chan time.Time), func() bool { return true }
}

// testPool is a pool without exchanges; its tests bind and finish executions.
type testPool struct {
	*pool
	clock *manualClock
}

func newTestPool(upstreams, slots int) *testPool {
	d := &testPool{clock: &manualClock{now: epoch}}
	config := Config{Clock: d.clock, Logger: event.Discard(), Settings: testSettings()}
	d.pool = newPool(config, "shop", rand.New(rand.NewPCG(1, 1)))
	d.resize(upstreams, slots)
	for range enoughSamples + 1 {
		d.routes.add("GET /a", 20*time.Millisecond)
	}
	return d
}

func (d *testPool) resize(upstreams, slots int) {
	var records []cluster.UpstreamRecord
	for i := range upstreams {
		id := string(rune('a' + i))
		records = append(records, cluster.UpstreamRecord{ID: id, Address: id, State: cluster.Serving, Slots: slots})
	}
	d.update(PoolConfig{Service: "shop", Upstreams: records})
}

func (d *testPool) task(path string, deadline time.Duration) *task {
	req := &request.Request{Service: "shop", Method: "GET", Path: path, Idempotent: true, Deadline: d.clock.now.Add(deadline)}
	t := newTask(req, d.clock.now)
	t.expected = d.routes.estimate(t.route)
	return t
}

// submitAll submits n tasks and returns how many were started and refused.
func (d *testPool) submitAll(n int, path string, deadline time.Duration) (started, refused int) {
	for range n {
		t := d.task(path, deadline)
		if d.submit(t) != nil {
			refused++
		} else if len(t.granted) > 0 && (<-t.granted).execution != nil {
			started++
		}
	}
	return started, refused
}

func (d *testPool) observe(u *target, ratios ...float64) {
	for _, r := range ratios {
		u.health.observe(r, d.clock.now)
	}
}

// Guards against long requests of an unknown route that make a healthy upstream
// look slow; the p99 of short requests was 2.5 times that of the ideal queue.
func TestLongRequestsDoNotMakeAnUpstreamSuspect(t *testing.T) {
	d := newTestPool(2, 3)
	u := d.targets[0]
	d.observe(u, 1, 50, 50, 1)
	require.False(t, d.suspect(u, d.clock.now))
	require.Equal(t, 1.0, u.slowness(d.clock.now))
	d.bind(u, d.task("/a", time.Second), d.clock.now.Add(-500*time.Millisecond), false)
	d.bind(u, d.task("/a", time.Second), d.clock.now, false)
	require.False(t, d.suspect(u, d.clock.now), "one of two in flight is overdue")
}

// Guards against a slowed upstream that is used like the others, and against
// one that recovered and stays unused: it must be probed and return.
func TestSlowUpstreamIsProbedAndReturns(t *testing.T) {
	d := newTestPool(2, 3)
	slow, fast := d.targets[0], d.targets[1]
	d.observe(slow, 10, 10, 10)
	slow.probedAt = d.clock.now
	for range 3 {
		require.Same(t, fast, d.choose(d.task("/a", time.Second), d.clock.now, 0))
		d.bind(fast, d.task("/a", time.Second), d.clock.now, false)
	}
	require.Nil(t, d.choose(d.task("/a", time.Second), d.clock.now, 5), "waiting for a fast slot is faster")
	require.Same(t, slow, d.choose(d.task("/a", time.Second), d.clock.now, 100), "a long queue is worth a slow slot")
	d.clock.now = d.clock.now.Add(probePause)
	require.Same(t, slow, d.choose(d.task("/a", time.Second), d.clock.now, 0), "a probe is due")
	d.observe(slow, 1, 1)
	require.False(t, d.suspect(slow, d.clock.now), "two fast answers suffice")
}

// Guards against slow start that leaves requests waiting while cold slots are
// idle; p99 was 2.4 times that of the ideal queue when a pool doubled.
func TestSlowStartGivesWayToAQueue(t *testing.T) {
	d := newTestPool(1, 2)
	d.resize(2, 2)
	cold := d.targets[1]
	require.True(t, cold.slowStart.active)
	started, _ := d.submitAll(3, "/a", time.Second)
	require.Equal(t, 3, started, "two warm slots and one cold slot")
	require.Equal(t, 1, cold.inUse())
	require.Equal(t, 2, d.targets[0].inUse(), "an idle warm slot comes before the second cold one")
	started, _ = d.submitAll(1, "/a", time.Second)
	require.Equal(t, 1, started, "a cold slot comes before a wait")
	require.Equal(t, 2, cold.inUse())
}

// Guards against executions that start in an overloaded pool and end after
// their deadline; they took 9% of the capacity.
func TestOverloadRefusesWhatCannotFinish(t *testing.T) {
	d := newTestPool(2, 2)
	for range 20 {
		d.routes.add("GET /a", 150*time.Millisecond)
	}
	for range 2 * refreshEvery {
		d.routes.add("GET /a", 20*time.Millisecond)
	}
	started, refused := d.submitAll(300, "/a", 500*time.Millisecond)
	require.Equal(t, 4, started)
	require.Greater(t, refused, 200, "the wait for the last ones exceeds the deadline")
	require.Positive(t, d.queued())
	d.clock.now = d.clock.now.Add(380 * time.Millisecond)
	for e := range d.targets[0].executions {
		d.release(e)
		break
	}
	require.Zero(t, d.queued(), "120 ms are too short for requests that take up to 150 ms")
}

// Guards against a short deadline that is refused although its route is short.
func TestShortDeadlineIsAccepted(t *testing.T) {
	d := newTestPool(1, 1)
	for range 4 {
		d.routes.add("GET /a", 500*time.Millisecond)
	}
	require.NoError(t, d.submit(d.task("/a", time.Second)))
	require.NoError(t, d.submit(d.task("/a", 300*time.Millisecond)))
	require.NoError(t, d.submit(d.task("/a", 300*time.Millisecond)))
	err := d.submit(d.task("/a", 30*time.Millisecond))
	require.Equal(t, result.DeadlineUnreachable, result.CodeOf(err))
}

// Guards against long routes that are recognised late or take all slots.
func TestLongRoutesHoldAPartOfTheSlots(t *testing.T) {
	d := newTestPool(2, 3)
	for range fewSamples {
		d.routes.add("GET /long", time.Second)
	}
	require.True(t, d.routes.estimate("GET /long").long)
	for range 100 {
		d.work.add(time.Second, false, 6)
	}
	started, _ := d.submitAll(10, "/long", 100*time.Second)
	require.LessOrEqual(t, started, 4)
	started, _ = d.submitAll(2, "/a", 100*time.Second)
	require.Equal(t, 2, started, "short requests pass the waiting long ones")
}

// Guards against an ejection of more than a third of a pool.
func TestEjectionKeepsTheFloor(t *testing.T) {
	for upstreams, most := range map[int]int{1: 0, 2: 0, 3: 1, 5: 1, 30: 9} {
		d := newTestPool(upstreams, 1)
		for _, u := range d.targets {
			for range maxErrors {
				u.health.failed(d.clock.now)
			}
			d.ejectIfFaulty(u, d.clock.now)
		}
		require.EqualValues(t, most, d.counts.Ejections, "of %d", upstreams)
	}
}

// Guards against an old load figure that counts as much as a new one.
func TestLoadReportsAreDiscountedByAge(t *testing.T) {
	report := loadReport{foreign: 4, at: epoch}
	require.Equal(t, 4.0, report.weight(epoch))
	require.Equal(t, 0.5, report.weight(epoch.Add(3*time.Second)))
}

// Guards against a refusal of waiting work because the only upstream shed one
// request a moment ago.
func TestShedPauseDoesNotCountAsLostCapacity(t *testing.T) {
	d := newTestPool(1, 4)
	for range 4 {
		d.submitAll(1, "/a", time.Second)
	}
	d.targets[0].health.shedUntil = d.clock.now.Add(shedPause)
	_, refused := d.submitAll(10, "/a", 250*time.Millisecond)
	require.Zero(t, refused)
}

// Guards against more extra executions than the settings allow.
func TestBudgetHoldsFromTheStart(t *testing.T) {
	b := budget{rate: 0.05}
	taken := 0
	for n := 1; n <= 1000; n++ {
		b.earn()
		if b.take() {
			taken++
		}
		require.LessOrEqual(t, taken, n/20)
	}
	require.InDelta(t, 50, taken, 1)
}
