package admission

import "time"

// Clock is the source of time of a Set.
type Clock interface {
	Now() time.Time
	// NewTimer returns a channel that receives once after d, and a function
	// that stops the timer.
	NewTimer(d time.Duration) (<-chan time.Time, func() bool)
}

// SystemClock is the Clock of the operating system.
type SystemClock struct{}

// Now implements Clock.
func (SystemClock) Now() time.Time { return time.Now() }

// NewTimer implements Clock.
func (SystemClock) NewTimer(d time.Duration) (<-chan time.Time, func() bool) {
	t := time.NewTimer(d)
	return t.C, t.Stop
}
