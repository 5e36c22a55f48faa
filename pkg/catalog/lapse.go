package catalog

import (
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/steering"
)

// holdLapses tells how long the registrations that vanish in changes are kept.
func (c *Catalog) holdLapses(changes []Row) time.Duration {
	if !c.failedAt.IsZero() && c.opt.Now().Sub(c.failedAt) < outageMemory {
		return c.boundHold(outageHold, outageHoldPart)
	}
	gone, all := make(map[string]int), make(map[string]int)
	for _, u := range c.upstreams {
		all[u.Service]++
	}
	for _, r := range changes {
		if u, ok := c.upstreams[r.Key]; ok && r.Deleted && u.State == steering.Ready {
			gone[u.Service]++
		}
	}
	for service, n := range gone {
		if n >= massLapse && float64(n) > massLapsePart*float64(all[service]) {
			return c.boundHold(massHold, massHoldPart)
		}
	}
	return 0
}

func (c *Catalog) boundHold(hold time.Duration, part float64) time.Duration {
	if c.opt.LeaveTime <= 0 {
		return hold
	}
	return min(hold, time.Duration(part*float64(c.opt.LeaveTime)))
}

// SetLeaveTime installs a new bound on the holds.
func (c *Catalog) SetLeaveTime(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.opt.LeaveTime = d
}

// Expire forgets the lapsed upstreams whose hold has ended.
func (c *Catalog) Expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, changed := c.opt.Now(), false
	for id, end := range c.lapsed {
		if now.After(end) {
			c.forget(id, "did not register again", "clock")
			changed = true
		}
	}
	if changed {
		c.publish()
	}
}
