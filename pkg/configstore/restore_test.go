package configstore

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/pkg/table"
	"github.com/sequoiacove/sequoiacove/pkg/table/tabletest"
)

// newLossyStore returns a store that came back from a copy with version 1 after the versions 2
// to 4 had been accepted, by the patches p1 to p3, and version 4.
func newLossyStore(t *testing.T) (s *Store, store *tabletest.Store, newest cluster.Version) {
	t.Helper()
	s, store = newSeededStore(t)
	older := store.Copy()
	for n := uint64(1); n < 4; n++ {
		newest = mustAccept(t, s, ttlProposal(n, fmt.Sprint("p", n), 1000+int(n))).Version
	}
	store.Restore(older)
	return s, store, newest
}

// newPeer returns a store of another instance that has learned v from s.
func newPeer(s *Store, store *tabletest.Store, v cluster.Version) *Store {
	peer := newStore(store, store.Objects())
	v.Earlier = s.Earlier(v.Number)
	peer.Remember(v)
	return peer
}

// Guards against a patch that is accepted on an older head, whose number another version has
// already, and against versions that come back without their bodies, records or patches.
func TestLostVersionsAreWrittenBackBeforeTheNextPatch(t *testing.T) {
	s, _, newest := newLossyStore(t)
	accepted := mustAccept(t, s, ttlProposal(4, "p4", 1004))
	require.EqualValues(t, 5, accepted.Version.Number)
	require.Equal(t, []uint64{5, 4, 3, 2, 1}, historyNumbers(t, s, 0, 10))
	fresh := newStore(s.table, s.objects)
	loaded, err := fresh.Load(context.Background(), 4)
	require.NoError(t, err)
	require.Equal(t, newest, loaded)
	for n := uint64(1); n < 4; n++ {
		replayed := mustAccept(t, fresh, ttlProposal(n, fmt.Sprint("p", n), 1000+int(n)))
		require.True(t, replayed.Replayed)
		require.Equal(t, n+1, replayed.Version.Number)
	}
}

// Guards against a patch that is repeated after the store has lost it and is applied twice, or
// is said never to have been accepted, by an instance that learned it from a peer.
func TestLostPatchIsReplayedByAPeer(t *testing.T) {
	for n := uint64(1); n < 4; n++ {
		s, store, newest := newLossyStore(t)
		peer := newPeer(s, store, newest)
		ctx := context.Background()
		_, err := peer.Accept(ctx, ttlProposal(n, fmt.Sprint("p", n), 9999))
		require.Equal(t, result.PatchIDReused, result.CodeOf(err))
		_, err = peer.Accept(ctx, ttlProposal(n, fmt.Sprint("p", n), 1000+int(n)))
		if n < 3 {
			// Only the instance that accepted the patch has its body.
			require.Equal(t, result.PatchOutcomeUnknown, result.CodeOf(err))
			require.NoError(t, s.storeBodies(ctx, s.recent.after(0)))
		}
		replayed := mustAccept(t, peer, ttlProposal(n, fmt.Sprint("p", n), 1000+int(n)))
		require.True(t, replayed.Replayed)
		require.Equal(t, n+1, replayed.Version.Number)
		require.Equal(t, []uint64{4, 3, 2, 1}, historyNumbers(t, peer, 0, 10))
	}
}

// Guards against versions that are written twice, or not at all, by instances that write them
// back at once while answers are lost.
func TestSeveralInstancesWriteLostVersionsBack(t *testing.T) {
	s, store, newest := newLossyStore(t)
	store.SetFaults(tabletest.Faults{LoseResponses: true})
	var group sync.WaitGroup
	for _, writer := range []*Store{s, newPeer(s, store, newest), newPeer(s, store, newest)} {
		writer.objects = reliableObjects{writer.objects, store}
		group.Go(func() { _, _ = writer.Restore(context.Background()) })
	}
	group.Wait()
	store.SetFaults(tabletest.Faults{})
	require.Equal(t, []uint64{4, 3, 2, 1}, historyNumbers(t, s, 0, 10))
	written, err := s.Restore(context.Background())
	require.NoError(t, err)
	require.Empty(t, written)
}

// reliableObjects is an object store whose responses are not lost.
type reliableObjects struct {
	table.ObjectStore
	store *tabletest.Store
}

func (o reliableObjects) Put(ctx context.Context, hash string, body []byte) error {
	if err := o.ObjectStore.Put(ctx, hash, body); result.CodeOf(err) != result.StoreNoAnswer {
		return err
	}
	return nil
}

// lateTable keeps the first transaction for later and rejects it.
type lateTable struct {
	table.Table
	late *table.Transaction
}

func (l *lateTable) Transact(_ context.Context, tx table.Transaction) (uint64, error) {
	l.late = &tx
	return 0, result.New(result.StoreUnavailable, "held up")
}

// Guards against a write of an earlier era that the store performs late, when the head has by
// chance the same revision again: the head would return to an older version.
func TestLateWriteOfAnEarlierEraIsRejected(t *testing.T) {
	s, store := newSeededStore(t)
	older := store.Copy()
	mustAccept(t, s, ttlProposal(1, "p1", 1001))
	held := &lateTable{Table: store}
	_, err := newStore(held, store.Objects()).Accept(context.Background(), ttlProposal(2, "late", 5000))
	require.Error(t, err)
	mustAccept(t, s, ttlProposal(2, "p2", 1002))
	mustAccept(t, s, ttlProposal(3, "p3", 1003))
	store.Restore(older)
	_, err = s.Restore(context.Background())
	require.NoError(t, err)

	row, err := store.Get(context.Background(), headKey)
	require.NoError(t, err)
	require.Equal(t, held.late.Conditions[0].Revision, row.Revision, "the test needs the same revision")
	_, err = store.Transact(context.Background(), *held.late)
	require.Equal(t, result.StoreConflict, result.CodeOf(err))
	require.Equal(t, []uint64{4, 3, 2, 1}, historyNumbers(t, s, 0, 10))
}

// Guards against a late write of the earlier era that takes the number of a lost version,
// because its base is the head of the copy and the lost versions have not been written back yet.
func TestLateWriteBeforeLostVersionsAreWrittenBack(t *testing.T) {
	s, store := newSeededStore(t)
	older := store.Copy()
	held := &lateTable{Table: store}
	_, err := newStore(held, store.Objects()).Accept(context.Background(), ttlProposal(1, "late", 5000))
	require.Error(t, err)
	accepted := mustAccept(t, s, ttlProposal(1, "p1", 1001)).Version
	store.Restore(older)
	_, _ = store.Transact(context.Background(), *held.late)
	_, err = s.Restore(context.Background())
	require.NoError(t, err)
	loaded, err := s.Load(context.Background(), 2)
	require.NoError(t, err)
	require.Equal(t, accepted, loaded)
}

// Guards against a head without its body: the store loses the body and performs the transaction
// of the earlier era afterwards.
func TestBodyOfALateWriteIsStoredAgain(t *testing.T) {
	_, store := newSeededStore(t)
	older := store.Copy()
	held := &lateTable{Table: store}
	s := newStore(held, store.Objects())
	_, err := s.Accept(context.Background(), ttlProposal(1, "late", 5000))
	require.Error(t, err)
	store.Restore(older)
	_, err = store.Transact(context.Background(), *held.late)
	require.NoError(t, err)
	_, err = s.Restore(context.Background())
	require.NoError(t, err)
	current, err := s.Current(context.Background())
	require.NoError(t, err)
	require.EqualValues(t, 2, current.Number)
}

// Guards against a wrong answer about versions that nobody remembers.
func TestForgottenVersionsLeaveAGap(t *testing.T) {
	_, store, newest := newLossyStore(t)
	peer := newStore(store, store.Objects())
	peer.Remember(newest)
	accepted := mustAccept(t, peer, ttlProposal(4, "p4", 1004))
	require.EqualValues(t, 5, accepted.Version.Number)
	ctx := context.Background()
	_, err := peer.History(ctx, 0, 10)
	require.Equal(t, result.StoreProtocol, result.CodeOf(err))
	_, err = peer.Load(ctx, 3)
	require.Equal(t, result.VersionNotFound, result.CodeOf(err))
	require.Equal(t, []uint64{5, 4}, historyNumbers(t, peer, 0, 2))
}

// Guards against versions that are written back on top of a version that they are not based
// on, whether this instance remembers the other version or only a later one.
func TestDivergedHistoryIsReported(t *testing.T) {
	s, store, newest := newLossyStore(t)
	later := newStore(store, store.Objects())
	for _, v := range append(s.Earlier(4), newest) {
		if v.Number > 2 {
			later.Remember(v)
		}
	}
	mustAccept(t, newStore(store, store.Objects()), ttlProposal(1, "other", 7000))
	for _, writer := range []*Store{s, later} {
		_, err := writer.Restore(context.Background())
		require.Equal(t, result.HistoryDiverged, result.CodeOf(err))
	}
}

// readOnlyTable is a table that takes no transactions.
type readOnlyTable struct{ table.Table }

func (readOnlyTable) Transact(context.Context, table.Transaction) (uint64, error) {
	return 0, result.New(result.StoreUnavailable, "read only")
}

// Guards against an accepted patch that is said not to have been applied while the versions
// that the store has lost cannot be written back.
func TestLostPatchIsNotDeniedWhileTheStoreTakesNoWrites(t *testing.T) {
	s, store, newest := newLossyStore(t)
	peer := newPeer(s, store, newest)
	peer.table = readOnlyTable{peer.table}
	_, err := peer.Accept(context.Background(), ttlProposal(1, "p1", 1001))
	require.Equal(t, result.PatchOutcomeUnknown, result.CodeOf(err))
}

// Guards against memory that grows with the number of versions.
func TestRememberedVersionsAreBounded(t *testing.T) {
	s, _ := newSeededStore(t)
	for n := range uint64(2 * maxRecent) {
		mustAccept(t, s, ttlProposal(n+1, fmt.Sprint("p", n), 1000+int(n)))
	}
	require.Len(t, s.recent.after(0), maxRecent)
	require.Len(t, s.Earlier(2*maxRecent+1), maxRecent-1)
}

// measuredTable calls before ahead of the first transaction, and records the largest one.
type measuredTable struct {
	table.Table
	before     func()
	maxEntries int
}

func (h *measuredTable) Transact(ctx context.Context, tx table.Transaction) (uint64, error) {
	if before := h.before; before != nil {
		h.before = nil
		before()
	}
	h.maxEntries = max(h.maxEntries, len(tx.Conditions)+len(tx.Writes))
	return h.Table.Transact(ctx, tx)
}

// newDivergedStore returns a store that has given the number of a lost version, created by
// patch p1, to another one, and which the returned instance does not know yet.
func newDivergedStore(t *testing.T) *Store {
	t.Helper()
	s, store := newSeededStore(t)
	older := store.Copy()
	mustAccept(t, s, ttlProposal(1, "p1", 1001))
	store.Restore(older)
	mustAccept(t, newStore(store, store.Objects()), ttlProposal(1, "other", 7000))
	return s
}

// Guards against another operator's version that is lost because a patch is committed on a
// head that has the same number and revision in another era.
func TestPatchOnAHeadOfAnotherEraIsNotCommitted(t *testing.T) {
	s, store := newSeededStore(t)
	older := store.Copy()
	mustAccept(t, s, ttlProposal(1, "p1", 1001))
	s.table = &measuredTable{Table: store, before: func() {
		store.Restore(older)
		mustAccept(t, newStore(store, store.Objects()), ttlProposal(1, "other", 7000))
	}}
	_, err := s.Accept(context.Background(), ttlProposal(2, "p2", 1002))
	require.Error(t, err)
	v, err := newStore(store, store.Objects()).Current(context.Background())
	require.NoError(t, err)
	require.Equal(t, "other", v.PatchID)
}

// Guards against a patch that is told the version of another patch, or that it never was,
// because the store has given its number away.
func TestRepeatedPatchWhoseNumberWasGivenAway(t *testing.T) {
	s := newDivergedStore(t)
	_, err := s.Accept(context.Background(), ttlProposal(1, "p1", 1001))
	require.Equal(t, result.PatchOutcomeUnknown, result.CodeOf(err), "%v", err)
	mustAccept(t, newStore(s.table, s.objects), ttlProposal(2, "further", 8000))
	_, err = s.Accept(context.Background(), ttlProposal(1, "p1", 1001))
	require.Equal(t, result.PatchOutcomeUnknown, result.CodeOf(err), "%v", err)
}

// Guards against a patch that is applied to another version of the number that it names, and
// against operators who can't submit patches any more.
func TestPatchForAnotherVersionOfTheSameNumber(t *testing.T) {
	s := newDivergedStore(t)
	_, err := s.Accept(context.Background(), ttlProposal(2, "p2", 1002))
	require.Equal(t, result.HistoryDiverged, result.CodeOf(err))
	accepted := mustAccept(t, s, ttlProposal(2, "p3", 1003))
	require.EqualValues(t, 3, accepted.Version.Number)
}

// Guards against lost versions that never come back, because their rows exceed what one
// transaction of the store may hold.
func TestManyLostVersionsAreWrittenBack(t *testing.T) {
	const maxStoreEntries = 100
	s, store := newSeededStore(t)
	older := store.Copy()
	for n := range uint64(maxRecent) {
		mustAccept(t, s, ttlProposal(n+1, fmt.Sprint("p", n), 1000+int(n)))
	}
	store.Restore(older)
	hooked := &measuredTable{Table: store}
	s.table = hooked
	written, err := s.Restore(context.Background())
	require.NoError(t, err)
	require.Len(t, written, maxRecent)
	require.LessOrEqual(t, hooked.maxEntries, maxStoreEntries)
	require.Len(t, historyNumbers(t, s, 0, 2*maxRecent), maxRecent+1)
}

// Guards against a history whose versions are not based on each other, after an instance has
// learned versions of two eras.
func TestVersionsWrittenBackFormAChain(t *testing.T) {
	s := newDivergedStore(t)
	store := s.table.(*tabletest.Store)
	other := newStore(store, store.Objects())
	newest := mustAccept(t, other, ttlProposal(2, "p2", 1002)).Version
	s.Remember(newest)
	require.Len(t, s.recent.after(0), 1, "version 2 is not the one that version 3 is based on")
}
