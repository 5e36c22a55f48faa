package configstore

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/description"
	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/pkg/table"
	"github.com/sequoiacove/sequoiacove/pkg/table/tabletest"
)

const firstPatch = `{"regions":{"north":{"domains":["north-a"]}},"lookup":{"ttl_ms":1000},
"services":{"shop":{"regions":{"north":{"share":1,"domains":{"north-a":1}}},
"caps":{"region_share_per_second":0.1,"domain_share_per_second":0,"failover_share_per_second":0},"max_request_ms":1000}}}`

func ttlPatch(base uint64, id string, ttl int) Proposal {
	return Proposal{BaseVersion: base, PatchID: id, Kind: description.MergePatch,
		Patch: []byte(fmt.Sprintf(`{"lookup":{"ttl_ms":%d}}`, ttl)), Operator: "ana"}
}

func newStore(table table.Table, objects table.ObjectStore) *Store {
	s := New(table, objects, func() time.Time { return time.UnixMilli(5000) })
	s.sleep = func(ctx context.Context, _ time.Duration) error { return ctx.Err() }
	return s
}

// seeded returns a store with version 1 and its table.
func seeded(t *testing.T) (*Store, *tabletest.Store) {
	t.Helper()
	server := tabletest.New()
	s := newStore(server, server.Objects())
	got := accept(t, s, Proposal{PatchID: "first", Kind: description.MergePatch, Patch: []byte(firstPatch), Operator: "ana"})
	require.EqualValues(t, 1, got.Version.Number)
	return s, server
}

// accept submits a proposal that must become a version.
func accept(t *testing.T, s *Store, p Proposal) AcceptResult {
	t.Helper()
	got, err := s.Accept(context.Background(), p)
	require.NoError(t, err)
	return got
}

// Guards against versions that lose their body, their predecessor or their order.
func TestAcceptLoadHistory(t *testing.T) {
	s, _ := seeded(t)
	ctx := context.Background()
	for n := uint64(1); n < 5; n++ {
		got := accept(t, s, ttlPatch(n, fmt.Sprint("p", n), 1000+int(n)))
		require.Equal(t, n+1, got.Version.Number)
		require.Equal(t, description.Hash(got.Version.Body), got.Version.Hash)
	}
	current, err := s.Current(ctx)
	require.NoError(t, err)
	require.EqualValues(t, 5, current.Number)
	require.Contains(t, string(current.Body), `"ttl_ms":1004`)
	require.Contains(t, string(current.PreviousBody), `"ttl_ms":1003`)
	require.EqualValues(t, 5000, current.AcceptedUnixMS)
	loaded, err := s.Load(ctx, 5)
	require.NoError(t, err)
	require.Equal(t, current, loaded)

	first, err := s.Load(ctx, 1)
	require.NoError(t, err)
	require.Empty(t, first.PreviousBody)
	empty, err := s.Load(ctx, 0)
	require.NoError(t, err)
	require.Equal(t, "{}", string(empty.Body))
	_, err = s.Load(ctx, 9)
	require.Equal(t, result.VersionNotFound, result.CodeOf(err))

	require.Equal(t, []uint64{5, 4, 3}, numbers(t, s, 0, 3))
	require.Equal(t, []uint64{2, 1}, numbers(t, s, 3, 100))
	require.Empty(t, numbers(t, s, 1, 100))
}

func numbers(t *testing.T, s *Store, before uint64, limit int) []uint64 {
	t.Helper()
	versions, err := s.History(context.Background(), before, limit)
	require.NoError(t, err)
	var list []uint64
	for _, v := range versions {
		list = append(list, v.Number)
	}
	return list
}

// Guards against one patch making two versions, and against one id for two patches.
func TestReplayByPatchID(t *testing.T) {
	s, _ := seeded(t)
	ctx := context.Background()
	accepted := accept(t, s, ttlPatch(1, "p", 2000))
	accept(t, s, ttlPatch(2, "q", 3000))
	again := accept(t, s, ttlPatch(1, "p", 2000))
	require.True(t, again.Replayed)
	require.Equal(t, accepted.Version, again.Version)
	_, err := s.Accept(ctx, ttlPatch(3, "p", 4000))
	require.Equal(t, result.PatchIDReused, result.CodeOf(err))
	for _, id := range []string{"", "a/b", "../x", "-a"} {
		_, err = s.Accept(ctx, ttlPatch(3, id, 4000))
		require.Equal(t, result.PatchMalformed, result.CodeOf(err), "id %q", id)
	}
}

// Guards against a validation that writes, or that passes what Accept refuses.
func TestValidateChangesNothing(t *testing.T) {
	s, server := seeded(t)
	ctx := context.Background()
	writes := server.Writes()
	diff, err := s.Validate(ctx, ttlPatch(1, "p", 2000))
	require.NoError(t, err)
	require.Equal(t, []string{"/lookup/ttl_ms: 1000 -> 2000"}, diff)
	_, err = s.Validate(ctx, ttlPatch(0, "p", 2000))
	require.Equal(t, result.VersionConflict, result.CodeOf(err))
	_, err = s.Validate(ctx, ttlPatch(1, "p", -1))
	require.Equal(t, result.DescriptionInvalid, result.CodeOf(err))
	require.Equal(t, writes, server.Writes())
}

// Guards against a lost update: of two patches on one version, one must lose.
func TestOldBaseIsRefused(t *testing.T) {
	s, _ := seeded(t)
	accept(t, s, ttlPatch(1, "p", 2000))
	got, err := s.Accept(context.Background(), ttlPatch(1, "q", 3000))
	require.Equal(t, result.VersionConflict, result.CodeOf(err))
	require.EqualValues(t, 2, got.Version.Number, "the conflict names the current version")
}

// Guards against a lost answer being reported as failed although the object
// and the patch row show that both writes took effect.
func TestLostAnswerIsSettled(t *testing.T) {
	s, server := seeded(t)
	server.SetFaults(tabletest.Faults{LoseResponses: true})
	got := accept(t, s, ttlPatch(1, "p", 2000))
	require.EqualValues(t, 2, got.Version.Number)
	require.False(t, got.Replayed)
	require.Contains(t, string(got.Version.PreviousBody), `"ttl_ms":1000`)
}

// Guards against "not run" for a patch that took effect before the store went
// down, and against a repeat that makes a second version.
func TestLostAnswerThenDownIsUnknown(t *testing.T) {
	s, server := seeded(t)
	ctx := context.Background()
	server.SetFaults(tabletest.Faults{DownAfterWrites: 2})
	s.table = lossyTable{s.table}
	_, err := s.Accept(ctx, ttlPatch(1, "p", 2000))
	require.Equal(t, result.PatchOutcomeUnknown, result.CodeOf(err))
	server.SetFaults(tabletest.Faults{})
	again := accept(t, s, ttlPatch(1, "p", 2000))
	require.True(t, again.Replayed)
	require.EqualValues(t, 2, again.Version.Number)
}

// lossyTable loses the answers of all transactions.
type lossyTable struct{ table.Table }

func (l lossyTable) Transact(ctx context.Context, tx table.Transaction) (uint64, error) {
	_, _ = l.Table.Transact(ctx, tx)
	return 0, result.New(result.StoreNoAnswer, "lost")
}

// Guards against an unknown outcome for a patch that certainly did not run.
func TestStoreDownIsNotRun(t *testing.T) {
	s, server := seeded(t)
	server.SetFaults(tabletest.Faults{Down: true})
	_, err := s.Accept(context.Background(), ttlPatch(1, "p", 2000))
	require.Equal(t, result.StoreUnavailable, result.CodeOf(err))
}

// readHook runs before the first read of the head.
type readHook struct {
	table.Table
	hook func()
}

func (r *readHook) Get(ctx context.Context, key string) (table.Row, error) {
	if hook := r.hook; key == headKey && hook != nil {
		r.hook = nil
		hook()
	}
	return r.Table.Get(ctx, key)
}

// newHooked returns a store that calls hook before its first read of the head.
func newHooked(server *tabletest.Store, hook func()) *Store {
	return newStore(&readHook{Table: server, hook: hook}, server.Objects())
}

// Guards against one patch id for two versions when both patches are in flight
// at once and the second is based on the version of the first.
func TestPatchIDRace(t *testing.T) {
	s, server := seeded(t)
	ctx := context.Background()
	hooked := newHooked(server, func() { accept(t, s, ttlPatch(1, "p", 2000)) })
	_, err := hooked.Accept(ctx, ttlPatch(2, "p", 3000))
	require.Equal(t, result.PatchIDReused, result.CodeOf(err))
	require.Equal(t, []uint64{2, 1}, numbers(t, s, 0, 10))
}

// Guards against a conflict that is reported for a patch that won the race
// against its own second submission.
func TestSamePatchTwiceAtOnce(t *testing.T) {
	s, server := seeded(t)
	hooked := newHooked(server, func() { accept(t, s, ttlPatch(1, "p", 2000)) })
	got := accept(t, hooked, ttlPatch(1, "p", 2000))
	require.True(t, got.Replayed)
	require.EqualValues(t, 2, got.Version.Number)
}

// Guards against rows and objects from the store that crash the instance or pass
// as a version although they are damaged.
func FuzzRows(f *testing.F) {
	f.Add([]byte(`{"version":1,"hash":"44136fa355b3678a1146ad16f7e8649e94fb4fc21fe77e8310c060f61caaff8a"}`), []byte(`{"version":1,"digest":"x"}`))
	f.Add([]byte(`{"version":18446744073709551615,"hash":"","previous_hash":"../x"}`), []byte(`null`))
	f.Add([]byte(`[]`), []byte(`{"version":2,"digest":"44136fa355b3678a1146ad16f7e8649e94fb4fc21fe77e8310c060f61caaff8a"}`))
	f.Fuzz(func(t *testing.T, version, patch []byte) {
		server := tabletest.New()
		ctx := context.Background()
		s := newStore(server, server.Objects())
		require.NoError(t, s.objects.Put(ctx, description.Hash(emptyBody), emptyBody))
		_, err := s.table.Transact(ctx, table.Transaction{Writes: []table.Write{
			{Key: headKey, Value: version}, {Key: versionKey(1), Value: version}, {Key: patchKey("p"), Value: patch}}})
		require.NoError(t, err)
		for _, load := range []func() (uint64, string, []byte, error){
			func() (uint64, string, []byte, error) { v, err := s.Current(ctx); return v.Number, v.Hash, v.Body, err },
			func() (uint64, string, []byte, error) { v, err := s.Load(ctx, 1); return v.Number, v.Hash, v.Body, err },
		} {
			number, hash, body, err := load()
			if err == nil {
				require.NotZero(t, number)
				require.Equal(t, description.Hash(body), hash)
			}
		}
		_, _ = s.History(ctx, 0, 10)
		_, err = s.Accept(ctx, ttlPatch(1, "p", 2000))
		require.Error(t, err)
	})
}
