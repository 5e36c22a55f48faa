package configstore

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/pkg/table"
	"github.com/sequoiacove/sequoiacove/pkg/table/tabletest"
)

// faultyTable drops requests, loses responses and delays transactions. A delayed
// transaction takes effect after Transact has returned a StoreNoAnswer error.
type faultyTable struct {
	table.Table
	mu      sync.Mutex
	random  *rand.Rand
	delayed sync.WaitGroup
	// neverLate drops the transactions that would be delayed.
	neverLate bool
}

func (f *faultyTable) randomInt(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

func (f *faultyTable) Get(ctx context.Context, key string) (table.Row, error) {
	time.Sleep(time.Duration(f.randomInt(20)) * time.Millisecond)
	if f.randomInt(100) < 10 {
		return table.Row{}, result.New(result.StoreUnavailable, "request dropped")
	}
	row, err := f.Table.Get(ctx, key)
	time.Sleep(time.Duration(f.randomInt(20)) * time.Millisecond)
	return row, err
}

func (f *faultyTable) Transact(ctx context.Context, tx table.Transaction) (uint64, error) {
	time.Sleep(time.Duration(f.randomInt(20)) * time.Millisecond)
	switch percent := f.randomInt(100); {
	case percent < 10:
		return 0, result.New(result.StoreUnavailable, "request dropped")
	case percent < 20:
		return 0, result.New(result.StoreNoAnswer, "request dropped")
	case percent < 40:
		_, _ = f.Table.Transact(ctx, tx)
		return 0, result.New(result.StoreNoAnswer, "response lost")
	case percent < 60 && f.neverLate:
		return 0, result.New(result.StoreNoAnswer, "request dropped")
	case percent < 60:
		delay := time.Duration(f.randomInt(800)) * time.Millisecond
		f.delayed.Go(func() {
			time.Sleep(delay)
			_, _ = f.Table.Transact(context.Background(), tx)
		})
		return 0, result.New(result.StoreNoAnswer, "transaction delayed")
	default:
		return f.Table.Transact(ctx, tx)
	}
}

// historyInput is one operation: the submission of a patch with this id and base
// version, or a read of the head if ID is empty.
type historyInput struct {
	ID   string
	Base uint64
}

// historyOutput holds the result code and the number and patch id of the
// version returned.
type historyOutput struct {
	Code   result.Code
	Number uint64
	ID     string
}

// historyModel is the sequential specification. The state is the
// space-separated list of accepted patch ids; the patch of version n is the n-th.
var historyModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		return stepHistory(state.(string), input.(historyInput), output.(historyOutput))
	},
	Equal: func(a, b any) bool { return a == b },
}

// stepHistory returns the possible states after an operation with input in and
// output out, or none if the specification does not allow that output in state.
func stepHistory(state string, in historyInput, out historyOutput) []any {
	ids := strings.Fields(state)
	acceptedVersion := 0
	for i, id := range ids {
		if id == in.ID {
			acceptedVersion = i + 1
		}
	}
	applies := acceptedVersion == 0 && uint64(len(ids)) == in.Base
	appended := strings.TrimSpace(state + " " + in.ID)
	switch {
	case in.ID == "" && out.Code == result.OK:
		if uint64(len(ids)) == out.Number && (len(ids) == 0 || ids[len(ids)-1] == out.ID) {
			return []any{state}
		}
	case out.Code == result.OK && acceptedVersion > 0 && out.Number == uint64(acceptedVersion):
		return []any{state}
	case out.Code == result.OK && applies && out.Number == in.Base+1:
		return []any{appended}
	case out.Code == result.VersionConflict && acceptedVersion == 0 && uint64(len(ids)) != in.Base:
		return []any{state}
	case out.Code == result.StoreUnavailable:
		return []any{state}
	case out.Code == result.PatchOutcomeUnknown && applies:
		return []any{state, appended}
	case out.Code == result.PatchOutcomeUnknown:
		return []any{state}
	}
	return nil
}

// history records operations with their call and return times on a logical clock.
type history struct {
	clock atomic.Int64
	mu    sync.Mutex
	ops   []porcupine.Operation
}

func (h *history) record(operator int, in historyInput, operation func() historyOutput) historyOutput {
	call := h.clock.Add(1)
	out := operation()
	end := h.clock.Add(1)
	if out.Code == result.PatchOutcomeUnknown {
		// A transaction whose response is lost may take effect at any later time,
		// so the operation stays open until after the end of the test.
		end = 1 << 40
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: operator, Input: in, Output: out, Call: call, Return: end})
	return out
}

// runOperator alternates between reading the head and submitting a patch to the
// version read. After an unknown outcome it usually submits the same patch again.
func (h *history) runOperator(operator int, s *Store, random *rand.Rand) {
	in := historyInput{}
	for i := range 8 {
		head := h.record(operator, historyInput{}, func() historyOutput { return readHead(s) })
		if in.ID == "" {
			in = historyInput{ID: patchIDOf(operator, i), Base: head.Number}
		}
		out := h.record(operator, in, func() historyOutput { return submitPatch(s, in) })
		if out.Code != result.PatchOutcomeUnknown || random.IntN(4) == 0 {
			in = historyInput{}
		}
	}
}

// patchIDOf returns the id of the i-th patch of an operator.
func patchIDOf(operator, i int) string { return fmt.Sprintf("c%d-%d", operator, i) }

func readHead(s *Store) historyOutput {
	v, err := s.Head(context.Background())
	return historyOutput{Code: result.CodeOf(err), Number: v.Number, ID: v.PatchID}
}

func submitPatch(s *Store, in historyInput) historyOutput {
	p := ttlProposal(in.Base, in.ID, 1000+int(in.Base))
	if in.Base == 0 {
		p.Patch = []byte(firstPatch)
	}
	got, err := s.Accept(context.Background(), p)
	if err != nil {
		return historyOutput{Code: result.CodeOf(err)}
	}
	return historyOutput{Code: result.OK, Number: got.Version.Number, ID: got.Version.PatchID}
}

// Checks that the version history is linearizable when several operators submit
// patches concurrently while requests and responses are lost and transactions are
// delayed. Guards against lost or duplicated patches, an error that reports a
// committed patch as not applied, and a head that returns to an older version.
func TestHistoryIsLinearizable(t *testing.T) {
	outcomes := map[result.Code]int{}
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			store := tabletest.New()
			faulty := &faultyTable{Table: store, random: rand.New(rand.NewPCG(seed, 0))}
			var h history
			var group sync.WaitGroup
			for operator := range 4 {
				s := New(faulty, store.Objects(), time.Now)
				random := rand.New(rand.NewPCG(seed, uint64(operator)+1))
				group.Go(func() { h.runOperator(operator, s, random) })
			}
			group.Wait()
			faulty.delayed.Wait()
			for _, op := range h.ops {
				outcomes[op.Output.(historyOutput).Code]++
			}
			checkResult := porcupine.CheckOperationsTimeout(historyModel.ToModel(), h.ops, 20*time.Second)
			require.Equal(t, porcupine.Ok, checkResult, "seed %d: %v", seed, h.ops)
		})
	}
	t.Log("outcomes:", outcomes)
	for _, code := range []result.Code{result.OK, result.VersionConflict, result.PatchOutcomeUnknown, result.StoreUnavailable} {
		require.Greater(t, outcomes[code], 20, "outcome %s occurred too rarely to be covered", result.Lookup(code).Name)
	}
}
