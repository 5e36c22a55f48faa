package platform

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// countingStore stands behind the transport of many clients and counts the
// calls of each tenth of a second.
type countingStore struct {
	mu     sync.Mutex
	start  time.Time
	down   bool
	reads  []int
	writes []int
}

func (s *countingStore) send(write bool, timeout time.Duration, _ func(*fasthttp.Request)) (answer, error) {
	s.mu.Lock()
	slot := int(time.Since(s.start) / (100 * time.Millisecond))
	if write {
		s.writes[slot]++
	} else {
		s.reads[slot]++
	}
	down := s.down
	s.mu.Unlock()
	if down {
		time.Sleep(timeout)
		return answer{}, fasthttp.ErrTimeout
	}
	time.Sleep(3 * time.Millisecond)
	return answer{status: 200, body: []byte(`{"key":"k","revision":1}`)}, nil
}

// peak returns the highest count in one second from the given slot on.
func peak(counts []int, from int) int {
	highest := 0
	for i := from; i+10 <= len(counts); i++ {
		sum := 0
		for _, c := range counts[i : i+10] {
			sum += c
		}
		highest = max(highest, sum)
	}
	return highest
}

// Guards against a surge of calls on a store that returns after an outage,
// even if every client calls it without a pause.
func TestNoSurgeWhenStoreReturns(t *testing.T) {
	const outage, after = 60 * time.Second, 40 * time.Second
	for _, n := range []int{12, 100} {
		synctest.Test(t, func(t *testing.T) {
			slots := int((10*time.Second+outage+after)/(100*time.Millisecond)) + 100
			store := &countingStore{start: time.Now(), reads: make([]int, slots), writes: make([]int, slots)}
			ctx, cancel := context.WithCancel(context.Background())
			var group sync.WaitGroup
			for i := range n {
				random := rand.New(rand.NewPCG(1, uint64(i)))
				client := NewClient(ClientConfig{Random: random.Float64})
				client.table.transport = store.send
				client.SetLive(n)
				group.Go(func() { repeat(ctx, i, func() { _, _ = client.Get(ctx, "k") }) })
				group.Go(func() { repeat(ctx, i, func() { _, _ = client.Transact(ctx, oneWrite) }) })
			}
			setDown := func(down bool) {
				store.mu.Lock()
				defer store.mu.Unlock()
				store.down = down
			}
			time.Sleep(10 * time.Second)
			setDown(true)
			time.Sleep(outage)
			returned := int(time.Since(store.start) / (100 * time.Millisecond))
			setDown(false)
			time.Sleep(after)
			cancel()
			group.Wait()
			reads, writes := peak(store.reads, returned-10), peak(store.writes, returned-10)
			t.Logf("n=%d: at most %d reads and %d writes in a second after the return", n, reads, writes)
			require.Less(t, reads, 2000)
			require.Less(t, writes, 300)
			require.Greater(t, reads, n, "the clients came back")
		})
	}
}

// repeat calls four times a second.
func repeat(ctx context.Context, i int, call func()) {
	_ = Sleep(ctx, time.Duration(i%250)*time.Millisecond)
	for ctx.Err() == nil {
		call()
		_ = Sleep(ctx, 250*time.Millisecond)
	}
}
