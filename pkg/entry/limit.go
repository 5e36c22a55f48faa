package entry

import (
	"net/netip"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxCallerLimits bounds the caller addresses that are tracked at a time,
	// about 20 MB.
	maxCallerLimits = 100_000
	// callerBurst is the time whose requests a caller may send at once.
	callerBurst = time.Second
)

// callerLimits bounds the requests per second of each caller address.
type callerLimits struct {
	perSecond float64

	mu    sync.Mutex
	byIP  map[netip.Addr]*rate.Limiter
	swept time.Time
}

// newCallerLimits returns limits that admit everything when perSecond is 0.
func newCallerLimits(perSecond float64) *callerLimits {
	return &callerLimits{perSecond: perSecond, byIP: make(map[netip.Addr]*rate.Limiter)}
}

// allow takes one request of an address at the time now. Addresses beyond the
// bound are refused until others have been idle for a burst.
func (c *callerLimits) allow(addr netip.Addr, now time.Time) bool {
	if c.perSecond == 0 {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	limiter, ok := c.byIP[addr]
	if !ok {
		c.sweep(now)
		if len(c.byIP) >= maxCallerLimits {
			return false
		}
		limiter = rate.NewLimiter(rate.Limit(c.perSecond), c.burst())
		c.byIP[addr] = limiter
	}
	return limiter.AllowN(now, 1)
}

func (c *callerLimits) burst() int {
	return max(1, int(c.perSecond*callerBurst.Seconds()))
}

// sweep forgets the addresses whose bucket is full again, at most once in a
// burst because it visits all of them.
func (c *callerLimits) sweep(now time.Time) {
	if now.Sub(c.swept) < callerBurst {
		return
	}
	c.swept = now
	for addr, limiter := range c.byIP {
		if limiter.TokensAt(now) >= float64(c.burst()) {
			delete(c.byIP, addr)
		}
	}
}
