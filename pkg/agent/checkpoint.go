package agent

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/platform"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

const (
	checkpointKey      = "shares/checkpoint"
	checkpointInterval = 10 * time.Second
	// checkpointChange is the smallest change of a share that is written.
	checkpointChange = 1e-4
	// readInterval is the interval of reads after the first; all agents
	// together stay under readsPerSecond.
	readInterval   = time.Minute
	readsPerSecond = 20
	// retryInterval follows a failed read: a starting instance may wait for it.
	retryInterval = 2 * time.Second
)

// fencedWriter is the part of lease.Lease that checkpoints use.
type fencedWriter interface {
	Held() bool
	Write(ctx context.Context, tx platform.Transaction) (uint64, error)
}

// checkpoint is the value of the checkpoint row.
type checkpoint struct {
	Shares cluster.Shares `json:"shares"`
	// Writer and UnixMS tell operators who wrote the row and when.
	Writer string `json:"writer"`
	UnixMS int64  `json:"unix_ms"`
}

// checkpoints reads the shared checkpoint and writes it while the lease is held.
type checkpoints struct {
	id      string
	table   platform.Table
	lease   fencedWriter
	members func() []cluster.Member
	now     func() time.Time

	mu   sync.Mutex
	last cluster.Shares
}

// current returns the shares of the last checkpoint that was read or written.
func (c *checkpoints) current() cluster.Shares {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

func (c *checkpoints) set(shares cluster.Shares) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = shares
}

// runReads reads the checkpoint until ctx ends. An instance needs it when it
// starts without peers.
func (c *checkpoints) runReads(ctx context.Context) {
	for {
		delay := retryInterval
		if c.read(ctx) == nil {
			delay = max(readInterval, time.Duration(len(c.members()))*time.Second/readsPerSecond)
		}
		if platform.Sleep(ctx, jittered(delay)) != nil {
			return
		}
	}
}

// jittered returns half to one and a half of d.
func jittered(d time.Duration) time.Duration {
	return time.Duration((0.5 + rand.Float64()) * float64(d))
}

func (c *checkpoints) read(ctx context.Context) error {
	row, err := c.table.Get(ctx, checkpointKey)
	if err != nil || row.Revision == 0 {
		return err
	}
	shares, err := decodeCheckpoint(row.Value)
	if err != nil {
		return err
	}
	c.set(shares)
	return nil
}

func decodeCheckpoint(value []byte) (cluster.Shares, error) {
	var v checkpoint
	if err := json.Unmarshal(value, &v); err != nil {
		return nil, result.New(result.StoreProtocol, "row %q: %v", checkpointKey, err)
	}
	for service, shares := range v.Shares {
		if !cluster.Proper(shares) {
			delete(v.Shares, service)
		}
	}
	return v.Shares, nil
}

// runWrites writes the checkpoint every checkpointInterval until ctx ends.
func (c *checkpoints) runWrites(ctx context.Context) {
	for platform.Sleep(ctx, checkpointInterval) == nil {
		_ = c.write(ctx)
	}
}

// write stores the mean shares of all live members if the lease is held and
// they have changed. The lease's fencing token refuses a former holder.
func (c *checkpoints) write(ctx context.Context) error {
	if !c.lease.Held() {
		return nil
	}
	shares := cluster.MeanShares(c.members(), "")
	if len(shares) == 0 || unchanged(shares, c.current()) {
		return nil
	}
	value, err := json.Marshal(checkpoint{Shares: shares, Writer: c.id, UnixMS: c.now().UnixMilli()})
	if err != nil {
		return result.New(result.Internal, "checkpoint: %v", err)
	}
	tx := platform.Transaction{Writes: []platform.Write{{Key: checkpointKey, Value: value}}}
	if _, err := c.lease.Write(ctx, tx); err != nil {
		return err
	}
	c.set(shares)
	return nil
}

func unchanged(a, b cluster.Shares) bool {
	if len(a) != len(b) {
		return false
	}
	for service, shares := range a {
		other, ok := b[service]
		if !ok || !cluster.SameShares(shares, other, checkpointChange) {
			return false
		}
	}
	return true
}
