package agent

import (
	"context"
	"sync"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
)

// contendInterval is the interval in which an agent checks whether it contends
// for the lease.
const contendInterval = 5 * time.Second

// contends reports whether the instance contends for a lease. One instance per
// failure domain does, so that contenders together read the lease row about
// ten times a second at 51 domains instead of 660 times at 3,300 instances, and
// any domain that reaches the platform has one.
func contends(name, id, domain string, members []cluster.Member) bool {
	var candidates []cluster.Member
	for _, m := range members {
		if m.Domain == domain && m.State == cluster.Serving {
			candidates = append(candidates, m)
		}
	}
	owner, ok := cluster.Owner(name, candidates)
	return ok && owner.ID == id
}

// runWhile runs work in the times in which should reports true, until ctx ends.
// It waits for work to end before it returns or starts it again.
func runWhile(ctx context.Context, interval time.Duration, should func() bool, work func(context.Context)) {
	for await(ctx, interval, should) {
		part, cancel := context.WithCancel(ctx)
		var running sync.WaitGroup
		running.Go(func() { work(part) })
		await(ctx, interval, func() bool { return !should() })
		cancel()
		running.Wait()
	}
}

// await waits until condition holds; it returns false when ctx ends first.
func await(ctx context.Context, interval time.Duration, condition func() bool) bool {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if condition() {
			return true
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	return false
}
