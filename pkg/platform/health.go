package platform

import (
	"sync"
	"time"
)

const (
	// failuresUntilDown keeps one lost answer from refusing the re-read that
	// settles it.
	failuresUntilDown = 3
	backoffBase       = 250 * time.Millisecond
	backoffMax        = 30 * time.Second
	// maxDoublings take backoffBase past backoffMax; further shifts could
	// overflow.
	maxDoublings = 7
)

// health is the up/down state of one platform service. While it is down, one
// call at a time is let through after each backoff; all others fail at once.
type health struct {
	mu       sync.Mutex
	random   func() float64
	failures int
	down     bool
	attempts int
	next     time.Time
	probing  bool
}

// admit tells whether a call may be sent, and whether it is the probe that
// decides about a service that is down.
func (h *health) admit(now time.Time) (ok, probe bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.down {
		return true, false
	}
	if h.probing || now.Before(h.next) {
		return false, false
	}
	h.probing = true
	return true, true
}

// abandon ends a probe that was not sent.
func (h *health) abandon(probe bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if probe {
		h.probing = false
	}
}

// succeeded records an answer and reports whether the service came back up.
func (h *health) succeeded(probe bool) (cameUp bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if probe {
		h.probing = false
	}
	// An answer to a call from before the outage proves nothing about now.
	if h.down && !probe {
		return false
	}
	cameUp = h.down
	h.down, h.failures, h.attempts = false, 0, 0
	return cameUp
}

// failed records a call without an answer and reports whether the service
// went down with it, and the backoff that follows.
func (h *health) failed(now time.Time, probe bool) (wentDown bool, backoff time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if probe {
		h.probing = false
	}
	h.failures++
	if h.down && !probe {
		return false, 0
	}
	if !h.down && h.failures < failuresUntilDown {
		return false, 0
	}
	wentDown = !h.down
	h.down = true
	backoff = fullJitter(h.attempts, h.random())
	h.attempts++
	h.next = now.Add(backoff)
	return wentDown, backoff
}

func (h *health) isDown() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.down
}

// fullJitter returns a uniform part of the exponential backoff, so that
// clients that failed together do not return together.
func fullJitter(attempt int, random float64) time.Duration {
	limit := backoffMax
	if attempt < maxDoublings {
		limit = min(backoffMax, backoffBase<<attempt)
	}
	return time.Duration(random * float64(limit))
}
