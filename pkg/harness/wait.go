package harness

import (
	"fmt"
	"time"
)

// pollInterval is short compared with every timeout that tests use, but long
// enough to stay within the rate limit of an instance's operator API.
const pollInterval = 60 * time.Millisecond

// Await polls condition until it returns nil, and returns the time that took. If
// condition still fails after timeout, Await returns an error that contains name
// and the last error of condition.
func Await(timeout time.Duration, name string, condition func() error) (time.Duration, error) {
	start := time.Now()
	for {
		err := condition()
		took := time.Since(start)
		if err == nil {
			return took, nil
		}
		if took > timeout {
			return took, fmt.Errorf("%s: timed out after %v: %w", name, timeout, err)
		}
		time.Sleep(pollInterval)
	}
}
