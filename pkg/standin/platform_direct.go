package standin

import (
	"context"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/description"
	"github.com/sequoiacove/sequoiacove/pkg/platform"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// PlatformDirect gives in-process access to the stores of a Platform under the
// same faults, for tests that need no HTTP.
type PlatformDirect struct{ platform *Platform }

// Direct returns in-process access; the platform need not be started.
func (p *Platform) Direct() PlatformDirect { return PlatformDirect{p} }

// Objects returns the object store.
func (d PlatformDirect) Objects() platform.Objects { return platformDirectObjects(d) }

// begin applies the delay and the mode; the caller holds the lock afterwards.
func (d PlatformDirect) begin(ctx context.Context, write bool) (lose bool, err error) {
	p := d.platform
	p.mu.Lock()
	if p.faults.Mode == PlatformSlow {
		delay := time.Duration(p.faults.DelayMS) * time.Millisecond
		p.mu.Unlock()
		err := platform.Sleep(ctx, delay)
		p.mu.Lock()
		if err != nil && !write {
			return false, result.New(result.StoreUnavailable, "%v", err)
		}
		// A write whose caller gave up still takes effect.
		lose = err != nil
	}
	switch {
	case p.faults.Mode == PlatformDown && write:
		p.stats.Dropped++
		return false, result.New(result.StoreNoAnswer, "down")
	case p.faults.Mode == PlatformDown:
		p.stats.Dropped++
		return false, result.New(result.StoreUnavailable, "down")
	case write:
		p.stats.Writes++
		return lose || p.faults.Mode == PlatformLoseAnswers, nil
	default:
		p.stats.Reads++
		return false, nil
	}
}

// Get implements platform.Table.
func (d PlatformDirect) Get(ctx context.Context, key string) (platform.Row, error) {
	_, err := d.begin(ctx, false)
	defer d.platform.mu.Unlock()
	if err != nil {
		return platform.Row{}, err
	}
	return d.platform.table.get(key), nil
}

// List implements platform.Table.
func (d PlatformDirect) List(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	_, err := d.begin(ctx, false)
	defer d.platform.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return d.platform.table.scan(prefix, after, limit), nil
}

// Transact implements platform.Table.
func (d PlatformDirect) Transact(ctx context.Context, tx platform.Transaction) (uint64, error) {
	lose, err := d.begin(ctx, true)
	defer d.platform.mu.Unlock()
	if err != nil {
		return 0, err
	}
	revision, failed := d.platform.table.transact(tx)
	if failed == nil {
		d.platform.countDrop()
	}
	switch {
	case lose:
		return 0, result.New(result.StoreNoAnswer, "answer lost")
	case failed != nil:
		return 0, result.New(result.StoreConflict, "row %q has revision %d", failed.Key, failed.Revision)
	default:
		return revision, nil
	}
}

type platformDirectObjects PlatformDirect

// Put implements platform.Objects.
func (o platformDirectObjects) Put(ctx context.Context, hash string, body []byte) error {
	d := PlatformDirect(o)
	lose, err := d.begin(ctx, true)
	defer d.platform.mu.Unlock()
	if err != nil {
		return err
	}
	if description.Hash(body) != hash {
		return result.New(result.BadRequest, "hash mismatch")
	}
	d.platform.objects[hash] = append([]byte{}, body...)
	d.platform.countDrop()
	if lose {
		return result.New(result.StoreNoAnswer, "answer lost")
	}
	return nil
}

// Get implements platform.Objects.
func (o platformDirectObjects) Get(ctx context.Context, hash string) ([]byte, error) {
	d := PlatformDirect(o)
	_, err := d.begin(ctx, false)
	defer d.platform.mu.Unlock()
	if err != nil {
		return nil, err
	}
	body, ok := d.platform.objects[hash]
	if !ok {
		return nil, result.New(result.ObjectNotFound, "object %s", hash)
	}
	return append([]byte{}, body...), nil
}
