// Package wait lets a caller wait for a time that a context can end.
package wait

import (
	"context"
	"time"
)

// For waits for d or until ctx ends, and then returns its error.
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
