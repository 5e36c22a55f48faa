package catalog

import (
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/steering"
)

// gracePeriodEnd returns the time until which a ready upstream stays in use whose
// registration was deleted at madeAt, the earliest time that is possible. mass reports
// whether many registrations lapsed at once. The lock must be held.
func (c *Catalog) gracePeriodEnd(madeAt time.Time, mass bool) time.Time {
	var end time.Time
	if mass {
		end = madeAt.Add(c.capByDrainTimeout(massLapseGracePeriod, massLapseGraceFraction))
	}
	if at := c.tables[Upstreams].outageEndedAt; !at.IsZero() {
		if returned := at.Add(c.capByDrainTimeout(outageGracePeriod, outageGraceFraction)); returned.After(end) {
			end = returned
		}
	}
	return end
}

// graceDeadline is the end of a grace period. lost is set if the registration was not removed
// but missing in an older copy of the store.
type graceDeadline struct {
	end  time.Time
	lost bool
}

// extendGracePeriods extends the grace periods of registrations that the store has lost after
// it has come back once more: they may have been written again and lost again. The lock must be
// held.
func (c *Catalog) extendGracePeriods() {
	end := c.gracePeriodEnd(time.Time{}, false)
	for id, d := range c.graceDeadlines {
		if d.lost {
			c.graceDeadlines[id] = graceDeadline{end: end, lost: true}
		}
	}
}

// isMassLapse reports whether changes are a mass lapse. The lock must be held.
func (c *Catalog) isMassLapse(changes []Row) bool {
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
			return true
		}
	}
	return false
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

// ExpireGracePeriods removes the upstreams whose grace period has ended, and replaces what an
// earlier era of the store left in force and has not been written again in time.
func (c *Catalog) ExpireGracePeriods() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opt.Now()
	changed := c.releaseHeldRows(now)
	for id, d := range c.graceDeadlines {
		if now.After(d.end) {
			c.removeUpstream(id, "did not register again", "clock")
			changed = true
		}
	}
	if changed {
		c.publish()
	}
}
