package harness

import (
	"fmt"
	"time"
)

// pollInterval is short compared with every timeout that tests use, but long
// enough to stay within the rate limit of an instance's operator API.
const pollInterval = 60 * time.Millisecond

// Await polls condition until it returns nil and returns how long that took. After
// timeout it fails with the condition's last error; what names the condition in
// that message.
func Await(timeout time.Duration, what string, condition func() error) (time.Duration, error) {
	start := time.Now()
	for {
		err := condition()
		took := time.Since(start)
		if err == nil {
			return took, nil
		}
		if took > timeout {
			return took, fmt.Errorf("%s: timed out after %v: %w", what, timeout, err)
		}
		time.Sleep(pollInterval)
	}
}
