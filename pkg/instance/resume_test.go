package instance

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an instance that serves with what it knew before its process
// stood still although a peer knows more: it would send to drained upstreams.
func TestResumedInstanceAsksAPeerBeforeItServes(t *testing.T) {
	w := newWorld(t)
	w.upstreamIn("ua", "n-a")
	drained := w.upstreamIn("ub", "n-a")
	peer := w.start("i1")
	w.awaitReady(peer, 2)
	w.patch(peer, 0, described(1, ""))

	// Of the second instance only the mesh and the service run, as if its other
	// work stood still. It learns the first version and misses the second.
	x := w.prepare("n", "i2", peer.settings.MeshAddress)
	l, err := x.listen()
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	x.startMesh(ctx, l)
	go func() { _ = x.ingress.Serve(l.callers) }()
	t.Cleanup(func() { _ = l.callers.Close() })
	require.Eventually(t, func() bool { return len(x.mesh.Live()) == 1 && x.mesh.Live()[0].Version == 1 }, patience, 5*time.Millisecond)
	x.fetch(ctx, x.mesh.Live()[0])
	x.stillness.tick()
	require.Equal(t, uint64(1), x.policy.Current().Number)
	require.True(t, x.ready())
	w.patch(peer, 1, described(1, `"drained_upstreams": ["ub"],`))
	before, c := drained.runs.Load(), w.caller(x)

	x.ahead.Add(int64(stillThreshold + time.Second))
	c.do("GET", "/safe/x", "first", "")
	require.Equal(t, uint64(2), x.policy.Current().Number, "a request was served with the old version")
	w.send(x, 20, "r")
	require.Equal(t, before, drained.runs.Load(), "requests were sent to the drained upstream")
	require.True(t, x.ready())

	w.patch(peer, 2, described(1, `"drained_upstreams": [],`))
	x.ahead.Add(int64(stillThreshold + time.Second))
	require.Eventually(t, x.ready, patience, time.Millisecond)
	require.Equal(t, uint64(3), x.policy.Current().Number, "the instance is ready with the old version")
}

// Guards against an instance that serves nobody after it stood still because no
// peer answers, and against one that asks again for each request.
func TestResumedInstanceServesWhenNoPeerAnswers(t *testing.T) {
	clock, asked := time.Unix(100, 0), make(chan struct{}, 10)
	s := newStillness(func() time.Time { return clock }, func() time.Time { return clock }, func(ctx context.Context) {
		asked <- struct{}{}
		<-ctx.Done()
	})
	s.wait(context.Background())
	s.tick()
	clock = clock.Add(stillThreshold)
	s.wait(context.Background())
	require.Empty(t, asked, "asked without having stood still")
	clock = clock.Add(time.Millisecond)
	require.True(t, s.resuming())
	for range 3 {
		s.wait(context.Background())
	}
	require.Len(t, asked, 1)
	require.False(t, s.resuming())
}

// Guards against a suspended machine, whose monotonic clock stood still too,
// and against a clock that was set back.
func TestResumeAfterTheMachineWasSuspended(t *testing.T) {
	steady, day, asked := time.Unix(100, 0), time.Unix(500, 0), make(chan struct{}, 10)
	s := newStillness(func() time.Time { return steady }, func() time.Time { return day }, func(context.Context) { asked <- struct{}{} })
	s.tick()
	day = day.Add(-time.Hour)
	s.wait(context.Background())
	s.tick()
	require.Empty(t, asked, "asked after the clock was set back")
	steady, day = steady.Add(time.Millisecond), day.Add(10*time.Second)
	s.wait(context.Background())
	require.Len(t, asked, 1)
}

// Guards against a request that is held although its caller has left.
func TestCallerLeavesDuringTheResume(t *testing.T) {
	clock, answered := time.Unix(100, 0), make(chan struct{})
	s := newStillness(func() time.Time { return clock }, func() time.Time { return clock }, func(context.Context) { <-answered })
	s.tick()
	clock = clock.Add(2 * stillThreshold)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s.wait(ctx)
	require.True(t, s.resuming())
	close(answered)
	s.wait(context.Background())
	require.False(t, s.resuming())
}
