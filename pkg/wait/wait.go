// Package wait provides a delay that a context can cancel.
package wait

import (
	"context"
	"time"
)

// For blocks for d or until ctx is done. It returns ctx.Err() if ctx ends
// first.
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
