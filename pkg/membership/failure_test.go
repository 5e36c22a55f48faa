package membership

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/peer"
)

// split cuts the instances below index k off from the rest.
func (s *sim) split(k int) {
	side := make(map[string]bool)
	for i, n := range s.order {
		side[n.addr] = i < k
	}
	s.blocked = func(from, to string) bool { return side[from] != side[to] }
}

func (s *sim) heal() { s.blocked = func(string, string) bool { return false } }

// Guards against parts that were cut off not finding each other again, also
// after they have forgotten each other.
func TestPartitionAndHeal(t *testing.T) {
	for _, cut := range []time.Duration{10 * time.Second, 2 * time.Minute} {
		s := newSim(t, 12)
		s.advance(5 * time.Second)
		s.split(4)
		s.advance(5 * time.Second)
		for i, n := range s.order {
			live := 0
			for _, state := range n.states() {
				if state == cluster.Serving {
					live++
				}
			}
			want := 8
			if i < 4 {
				want = 4
			}
			require.Equal(t, want, live, "instance %d after the cut", i)
		}
		s.advance(cut)
		s.heal()
		s.advance(5 * time.Second)
		s.requireAll(cluster.Serving, 12, "5 s after the heal")
	}
}

// Guards against lost exchanges making live members suspect for long or dead.
func TestLostExchangesKillNobody(t *testing.T) {
	s := newSim(t, 12)
	s.advance(5 * time.Second)
	s.loss = 0.3
	for range 240 {
		s.advance(defaultInterval)
		s.requireAll(cluster.Dead, 0, "with 30% of exchanges lost")
	}
}

// Guards against a resumed instance taking its own pause for the death of all
// others, or old records for live ones.
func TestPausedInstanceAsksBeforeItDeclaresOthersDead(t *testing.T) {
	s := newSim(t, 12)
	s.advance(5 * time.Second)
	paused := s.order[3]
	paused.paused = true
	s.order[7].down = true
	s.advance(30 * time.Second)
	require.Equal(t, cluster.Dead, s.order[0].states()["i03"])
	paused.paused = false
	for id, state := range paused.states() {
		if id != "i03" {
			require.Equal(t, cluster.Suspect, state, "%s directly after the pause", id)
		}
	}
	require.Equal(t, s.now, paused.table.Resumed())
	require.NoError(t, paused.table.Resync(context.Background()))
	states := paused.states()
	require.Equal(t, cluster.Suspect, states["i07"], "died during the pause")
	delete(states, "i07")
	for id, state := range states {
		require.Equal(t, cluster.Serving, state, "%s after the exchange", id)
	}
	s.advance(1500 * time.Millisecond)
	require.Equal(t, cluster.Dead, paused.states()["i07"])
	require.Equal(t, cluster.Serving, s.order[0].states()["i03"], "peers must see the resumed instance")
}

// Guards against a resumed instance that is cut off holding on to its old view
// beyond the bound.
func TestPausedAndCutOffInstanceStopsWaiting(t *testing.T) {
	s := newSim(t, 6)
	s.advance(5 * time.Second)
	paused := s.order[2]
	paused.paused = true
	s.advance(10 * time.Second)
	s.blocked = func(string, string) bool { return true }
	paused.paused = false
	require.Equal(t, cluster.Suspect, paused.states()["i00"])
	s.now = s.now.Add(900 * time.Millisecond)
	_ = paused.states()
	s.now = s.now.Add(900 * time.Millisecond)
	require.Equal(t, cluster.Suspect, paused.states()["i00"], "1.8 s after the pause, before any exchange")
	require.Error(t, paused.table.Resync(context.Background()))
	s.advance(2500 * time.Millisecond)
	for id, state := range paused.states() {
		want := cluster.Dead
		if id == "i02" {
			want = cluster.Serving
		}
		require.Equal(t, want, state, id)
	}
}

// Guards against an answer that was on its way before a pause counting as
// progress after it.
func TestAnswerFromBeforeAPauseIsDropped(t *testing.T) {
	s := newSim(t, 3)
	s.advance(3 * time.Second)
	late := s.order[0]
	s.order[1].table.beat(0)
	s.blocked = func(from, _ string) bool {
		if from == late.addr {
			s.now = s.now.Add(20 * time.Second)
		}
		return false
	}
	require.Error(t, late.table.exchange(context.Background(), s.order[1].addr))
	require.Equal(t, cluster.Suspect, late.states()["i01"])
}

// Guards against a seed that does not answer holding up the first snapshot
// although others have answered.
func TestResyncDoesNotWaitForASilentPeer(t *testing.T) {
	s := newSim(t, 3)
	n := s.start(9, 1)
	n.table.cfg.Seeds = append(n.table.cfg.Seeds, "silent")
	n.table.cfg.Caller = silentCaller{n}
	start := time.Now()
	require.NoError(t, n.table.Resync(context.Background()))
	require.Less(t, time.Since(start), exchangeTimeout)
	require.GreaterOrEqual(t, len(n.states()), 2)
}

// silentCaller gives no answer from the address "silent".
type silentCaller struct{ *node }

func (c silentCaller) Call(ctx context.Context, addr string, typ peer.MessageType, msg, reply any) error {
	if addr == "silent" {
		<-ctx.Done()
		return ctx.Err()
	}
	return c.node.Call(ctx, addr, typ, msg, reply)
}
