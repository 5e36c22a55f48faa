package lease

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/platform"
	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/pkg/standin"
)

const term = 3 * time.Second

// clock is a process's own clock; a paused process keeps its old reading.
type clock struct{ now time.Time }

func (c *clock) read() time.Time { return c.now }

func newLease(server *standin.Platform, holder string, c *clock) *Lease {
	return New(Config{Table: server.Direct(), Name: "duty", Holder: holder, Term: term, Now: c.read})
}

func try(t *testing.T, l *Lease) bool {
	t.Helper()
	held, err := l.Try(context.Background())
	require.NoError(t, err)
	return held
}

func duty(value string) platform.Transaction {
	return platform.Transaction{Writes: []platform.Write{{Key: "duty", Value: []byte(value)}}}
}

func dutyValue(t *testing.T, server *standin.Platform) string {
	t.Helper()
	row, err := server.Direct().Get(context.Background(), "duty")
	require.NoError(t, err)
	return string(row.Value)
}

// Guards against a write by a holder that was paused past the end of its lease
// and still believes that it holds it.
func TestPausedHolderWritesNothing(t *testing.T) {
	server := standin.NewPlatform(time.Now)
	paused, other := &clock{time.Unix(0, 0)}, &clock{time.Unix(500, 0)}
	a, b := newLease(server, "a", paused), newLease(server, "b", other)
	require.True(t, try(t, a))
	require.False(t, try(t, b))
	other.now = other.now.Add(term)
	require.False(t, try(t, b), "taken before the margin has passed")
	other.now = other.now.Add(term)
	require.True(t, try(t, b))
	_, err := b.Write(context.Background(), duty("b"))
	require.NoError(t, err)

	require.True(t, a.Held(), "the paused holder believes that it holds the lease")
	_, err = a.Write(context.Background(), duty("a"))
	require.Equal(t, result.LeaseLost, result.CodeOf(err))
	require.Equal(t, "b", dutyValue(t, server))
	require.False(t, a.Held())
	require.False(t, try(t, a))
}

// Guards against a takeover from a holder that renews in time.
func TestRenewalKeepsTheLease(t *testing.T) {
	server := standin.NewPlatform(time.Now)
	c := &clock{time.Unix(0, 0)}
	a, b := newLease(server, "a", c), newLease(server, "b", c)
	require.True(t, try(t, a))
	for range 20 {
		c.now = c.now.Add(term / 2)
		require.True(t, try(t, a))
		require.False(t, try(t, b))
	}
	_, err := b.Write(context.Background(), duty("b"))
	require.Equal(t, result.LeaseLost, result.CodeOf(err))
	require.NoError(t, a.Release(context.Background()))
	require.True(t, try(t, b), "a released lease is free at once")
}

// Guards against a holder that loses its lease to its own renewal when the
// answer to it is lost, and against a refused fenced write after it.
func TestLostRenewalAnswer(t *testing.T) {
	server := standin.NewPlatform(time.Now)
	c := &clock{time.Unix(0, 0)}
	a := newLease(server, "a", c)
	require.True(t, try(t, a))
	server.SetFaults(standin.PlatformFaults{Mode: standin.PlatformLoseAnswers})
	require.True(t, try(t, a), "settled by reading the row")

	server.SetFaults(standin.PlatformFaults{Mode: standin.PlatformLoseAnswers, DropAfterWrites: 1})
	held, err := a.Try(context.Background())
	require.Equal(t, result.StoreNoAnswer, result.CodeOf(err))
	require.True(t, held, "the term has not ended")
	server.SetFaults(standin.PlatformFaults{})
	_, err = a.Write(context.Background(), duty("a"))
	require.NoError(t, err)
	require.True(t, try(t, a))
}

// Guards against a conflict of the caller's own condition that is reported as
// a lost lease.
func TestOwnConditionConflict(t *testing.T) {
	server := standin.NewPlatform(time.Now)
	a := newLease(server, "a", &clock{time.Unix(0, 0)})
	require.True(t, try(t, a))
	tx := duty("a")
	tx.Conditions = []platform.Condition{{Key: "duty", Revision: 99}}
	_, err := a.Write(context.Background(), tx)
	require.Equal(t, result.StoreConflict, result.CodeOf(err))
	require.True(t, a.Held())
}

// Guards against two processes that hold the lease at one time, and against a
// lease that nobody takes after its holder is gone.
func TestOneHolderAtATime(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			server := standin.NewPlatform(time.Now)
			random := rand.New(rand.NewPCG(seed, 1))
			ctx, cancel := context.WithCancel(context.Background())
			leases := make([]*Lease, 4)
			for i := range leases {
				part := rand.New(rand.NewPCG(seed, uint64(i)))
				leases[i] = New(Config{Table: server.Direct(), Name: "duty", Holder: fmt.Sprint(i), Term: term, Random: part.Float64})
				go leases[i].Run(ctx)
			}
			modes := []standin.PlatformMode{standin.PlatformNormal, standin.PlatformDown, standin.PlatformLoseAnswers, standin.PlatformSlow}
			for range 100 {
				server.SetFaults(standin.PlatformFaults{Mode: modes[random.IntN(len(modes))], DelayMS: random.IntN(2000)})
				time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
				require.LessOrEqual(t, holders(leases), 1, "seed %d", seed)
			}
			server.SetFaults(standin.PlatformFaults{})
			time.Sleep(3 * term)
			require.Equal(t, 1, holders(leases), "seed %d", seed)
			cancel()
			synctest.Wait()
			require.Zero(t, holders(leases))
		})
	}
}

// slowTable delays transactions, so that a check of the lease before a write
// is out of date when the write arrives, and checks the fence when they apply.
type slowTable struct {
	standin.PlatformDirect
	t      *testing.T
	holder string
	mu     *sync.Mutex
	random *rand.Rand
	writes *int
}

func (s slowTable) Transact(ctx context.Context, tx platform.Transaction) (uint64, error) {
	s.mu.Lock()
	delay := time.Duration(0)
	if s.random.IntN(4) == 0 {
		delay = time.Duration(s.random.Int64N(int64(4 * term)))
	}
	s.mu.Unlock()
	time.Sleep(delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	before, _ := s.Get(ctx, "lease/duty")
	revision, err := s.PlatformDirect.Transact(ctx, tx)
	if err == nil && tx.Writes[0].Key == "duty" {
		owner, _ := decodeRecord(before.Value)
		assert.Equal(s.t, s.holder, owner.Holder, "a write of a holder that lost the lease took effect")
		*s.writes++
	}
	return revision, err
}

// Guards against a fenced write that takes effect after another process has
// taken the lease, when the writer is paused between its check and its write.
func TestDelayedWritesAreFenced(t *testing.T) {
	writes, lost := 0, 0
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			server := standin.NewPlatform(time.Now)
			var mu sync.Mutex
			var group sync.WaitGroup
			for i := range 3 {
				holder := fmt.Sprint(i)
				l := New(Config{Name: "duty", Holder: holder, Term: term, Table: slowTable{
					server.Direct(), t, holder, &mu, rand.New(rand.NewPCG(seed, uint64(i))), &writes}})
				group.Go(func() {
					for range 60 {
						_, _ = l.Try(context.Background())
						time.Sleep(term / 6)
						if !l.Held() {
							continue
						}
						if _, err := l.Write(context.Background(), duty(holder)); result.CodeOf(err) == result.LeaseLost {
							mu.Lock()
							lost++
							mu.Unlock()
						}
					}
				})
			}
			group.Wait()
		})
	}
	t.Log("writes", writes, "refused by the fence", lost)
	require.Greater(t, writes, 100)
	require.Greater(t, lost, 10)
}

func holders(leases []*Lease) int {
	count := 0
	for _, l := range leases {
		if l.Held() {
			count++
		}
	}
	return count
}

// Guards against a lease row from outside that crashes the challenger or makes
// it wait without end.
func FuzzLeaseRow(f *testing.F) {
	valid, _ := json.Marshal(record{Holder: "b", Count: 1, TermMS: 1000})
	f.Add(valid)
	f.Add([]byte(`{"holder":"a","term_ms":9223372036854775807}`))
	f.Add([]byte(`{"released":true}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, value []byte) {
		server := standin.NewPlatform(time.Now)
		_, err := server.Direct().Transact(context.Background(), platform.Transaction{Writes: []platform.Write{{Key: "lease/duty", Value: value}}})
		require.NoError(t, err)
		c := &clock{time.Unix(0, 0)}
		l := newLease(server, "a", c)
		try(t, l)
		c.now = c.now.Add(2 * time.Hour)
		require.True(t, try(t, l), "a row that stays unchanged is free after its longest term")
	})
}
