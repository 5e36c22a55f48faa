package instance

import (
	"context"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/mesh"
)

const (
	// restoreSpread is the time over which the first instances of the regions write lost
	// versions of the description back.
	restoreSpread = 200 * time.Millisecond
	// takeoverDelay is the time after which the other instances check whether the versions
	// have been written back, one after the other.
	takeoverDelay    = 2 * time.Second
	takeoverInterval = 100 * time.Millisecond
	maxTakeoverRank  = 100
	// restoreRetryDelay is the delay before a failed restoration is retried, and
	// maxRestoreTries the maximum number of tries. The poll of the description tries again
	// later.
	restoreRetryDelay = 2 * time.Second
	maxRestoreTries   = 10
)

// onStoreEraChange starts to write again what the store has lost when it came back from an
// older copy.
func (i *Instance) onStoreEraChange(int64) {
	for _, c := range []chan struct{}{i.restoreVersions, i.registerAgain} {
		select {
		case c <- struct{}{}:
		default:
			// It is already due.
		}
	}
}

// restoreLostVersions writes back the versions of the description after each return of the
// store, until ctx ends.
func (i *Instance) restoreLostVersions(ctx context.Context) {
	for {
		select {
		case <-i.restoreVersions:
		case <-ctx.Done():
			return
		}
		sleep(ctx, i.restoreDelay())
		for n := 0; n < maxRestoreTries && ctx.Err() == nil && i.policy.RestoreStore(ctx) != nil; n++ {
			sleep(ctx, restoreRetryDelay)
		}
	}
}

// restoreDelay returns the delay before this instance writes versions back. The first instance
// of each region starts at once; the others take over in turn.
func (i *Instance) restoreDelay() time.Duration {
	spread := time.Duration(i.opt.Random() * float64(restoreSpread))
	rank := i.mesh.Rank(func(m mesh.Member) bool { return m.State != mesh.Leaving })
	if rank == 0 && !i.leaving() {
		return spread
	}
	return takeoverDelay + time.Duration(min(rank, maxTakeoverRank))*takeoverInterval + spread
}
