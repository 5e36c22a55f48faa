package catalog

import (
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/steering"
)

// lapseGracePeriod returns the grace period for the registrations deleted by
// changes, or 0 if the deletions take effect immediately.
func (c *Catalog) lapseGracePeriod(changes []Row) time.Duration {
	if !c.lastStoreFailureAt.IsZero() && c.opt.Now().Sub(c.lastStoreFailureAt) < outageWindow {
		return c.capByDrainTimeout(outageGracePeriod, outageGraceFraction)
	}
	lapsedCounts, upstreamCounts := make(map[string]int), make(map[string]int)
	for _, u := range c.upstreams {
		upstreamCounts[u.Service]++
	}
	for _, r := range changes {
		if u, ok := c.upstreams[r.Key]; ok && r.Deleted && u.State == steering.Ready {
			lapsedCounts[u.Service]++
		}
	}
	for service, n := range lapsedCounts {
		if n >= massLapseMinCount && float64(n) > massLapseFraction*float64(upstreamCounts[service]) {
			return c.capByDrainTimeout(massLapseGracePeriod, massLapseGraceFraction)
		}
	}
	return 0
}

// capByDrainTimeout limits d to the given fraction of Options.DrainTimeout. There is no
// limit if DrainTimeout is 0. The lock must be held.
func (c *Catalog) capByDrainTimeout(d time.Duration, fraction float64) time.Duration {
	if c.opt.DrainTimeout <= 0 {
		return d
	}
	return min(d, time.Duration(fraction*float64(c.opt.DrainTimeout)))
}

// SetDrainTimeout replaces Options.DrainTimeout, which caps the grace periods.
func (c *Catalog) SetDrainTimeout(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.opt.DrainTimeout = d
}

// ExpireGracePeriods removes the upstreams whose grace period has ended.
func (c *Catalog) ExpireGracePeriods() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, changed := c.opt.Now(), false
	for id, end := range c.graceDeadlines {
		if now.After(end) {
			c.removeUpstream(id, "did not register again", "clock")
			changed = true
		}
	}
	if changed {
		c.publish()
	}
}
