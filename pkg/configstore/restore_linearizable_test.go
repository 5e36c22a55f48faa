package configstore

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/pkg/table/tabletest"
)

// restoringStore is a store that comes back from older copies of itself. It does so between
// the calls of the instances. Before it loses versions, the instances have learned them. With
// writesBack, lost versions are written back at once; delayed transactions of earlier eras may
// then take effect later. Without it, the next call has to do so, and no transaction is late:
// one that takes effect before is TestLateWriteBeforeLostVersionsAreWrittenBack.
type restoringStore struct {
	t          *testing.T
	store      *tabletest.Store
	instances  []*Store
	writesBack bool
	// calls holds a value for each call in progress; restore fills it. A mutex would stop the
	// clock of the test.
	calls chan struct{}
	lost  int
}

// restore makes the store return to a copy and reports how many versions it has lost.
func (r *restoringStore) restore(older tabletest.Copy) {
	for range cap(r.calls) {
		r.calls <- struct{}{}
		defer func() { <-r.calls }()
	}
	reliable := newStore(r.store, r.store.Objects())
	newest, err := reliable.Head(context.Background())
	require.NoError(r.t, err)
	for n := uint64(1); n <= newest.Number; n++ {
		v, err := reliable.Load(context.Background(), n)
		require.NoError(r.t, err)
		for _, s := range r.instances {
			s.Remember(v)
		}
	}
	r.store.Restore(older)
	for _, s := range r.instances {
		require.NoError(r.t, s.storeSubmitted(context.Background()))
	}
	restored, err := reliable.Head(context.Background())
	require.NoError(r.t, err)
	r.lost += int(newest.Number - restored.Number)
	if r.writesBack {
		for _, v := range r.instances[0].recent.after(0) {
			reliable.Remember(v)
		}
		_, err := reliable.Restore(context.Background())
		require.NoError(r.t, err)
	}
}

// runOperator is history.runOperator with a head that the instance has checked, as it does
// before it accepts a patch.
func (r *restoringStore) runOperator(h *history, operator int, random *rand.Rand) {
	s, in := r.instances[operator], historyInput{}
	call := func(in historyInput, operation func() historyOutput) historyOutput {
		r.calls <- struct{}{}
		defer func() { <-r.calls }()
		return h.record(operator, in, operation)
	}
	for i := range 8 {
		head := call(historyInput{}, func() historyOutput {
			v, err := s.currentHead(context.Background())
			return historyOutput{Code: result.CodeOf(err), Number: v.Number, ID: v.PatchID}
		})
		if in.ID == "" {
			in = historyInput{ID: patchIDOf(operator, i), Base: head.Number}
		}
		out := call(in, func() historyOutput { return submitPatch(s, in) })
		if out.Code != result.PatchOutcomeUnknown || random.IntN(4) == 0 {
			in = historyInput{}
		}
	}
}

// Checks that the version history stays linearizable when the store comes back from older
// copies among the faults of TestHistoryIsLinearizable. Guards against a number that is given
// out twice, a patch that is applied twice or denied after the store has lost it, and a late
// write of an earlier era that takes effect.
func TestHistoryIsLinearizableAcrossRestores(t *testing.T) {
	lost := 0
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			store := tabletest.New()
			faulty := &faultyTable{Table: store, random: rand.New(rand.NewPCG(seed, 0)), neverLate: seed%2 == 1}
			r := &restoringStore{t: t, store: store, writesBack: !faulty.neverLate, calls: make(chan struct{}, 4)}
			var h history
			var operators, restores sync.WaitGroup
			for range cap(r.calls) {
				r.instances = append(r.instances, New(faulty, store.Objects(), time.Now))
			}
			done := make(chan struct{})
			restores.Go(func() {
				for older := store.Copy(); ; older = store.Copy() {
					select {
					case <-time.After(200 * time.Millisecond):
					case <-done:
						return
					}
					r.restore(older)
				}
			})
			for operator := range r.instances {
				random := rand.New(rand.NewPCG(seed, uint64(operator)+1))
				operators.Go(func() { r.runOperator(&h, operator, random) })
			}
			operators.Wait()
			close(done)
			restores.Wait()
			faulty.delayed.Wait()
			lost += r.lost
			checkResult := porcupine.CheckOperationsTimeout(historyModel.ToModel(), h.ops, 20*time.Second)
			require.Equal(t, porcupine.Ok, checkResult, "seed %d: %v", seed, h.ops)
		})
	}
	t.Log("versions lost:", lost)
	require.Greater(t, lost, 40, "the store lost too few versions")
}
