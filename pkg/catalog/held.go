package catalog

import (
	"bytes"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/steering"
)

// When the store comes back from an older copy, its operators and upstreams write again what
// it has lost. Until then the copy holds an older configuration than the one in force, lacks
// evacuations that have begun since, and has evacuations and registrations that have ended
// since. Such a row of the copy is held back: what was in force stays so, because it is about
// to be written again. The hold ends with a change of the row in the new era, except for a
// configuration that is still older, and in any case after a bounded time in which the table
// was current, so that the state of the store takes effect even if it stays old.
//
// Registrations that the copy lacks are not held here; they have a grace period (lapse.go).

const (
	// rewriteTimeout is the time for which a configuration or an evacuation that the store has
	// lost stays in force. Its operator may have to notice the loss first.
	rewriteTimeout = 10 * time.Second
	// evacuationTimeout is the time for which an evacuation stays withdrawn. The copy may show
	// one that was begun again under the number that the withdrawn one had, and an evacuation
	// must take effect within five seconds.
	evacuationTimeout = 3 * time.Second
	// removalTimeout is the time for which a removed upstream stays unused. It is longer than
	// three heartbeats of an upstream, after which the platform removes the registration of one
	// that is gone; a registration that is still there belongs to an upstream that runs.
	removalTimeout = 5 * time.Second
)

// heldRows holds the rows of a table that are held back.
type heldRows struct {
	// timeouts maps their keys to the time that the table must have been current for.
	timeouts map[string]time.Duration
	// currentTime is how long the table has been current since the return of the store, until
	// checkedAt. A time in which the store can't be reached doesn't count: nothing can have
	// been written again in it.
	currentTime time.Duration
	checkedAt   time.Time
}

// restart begins the time of the hold anew.
func (h *heldRows) restart(now time.Time) { h.currentTime, h.checkedAt = 0, now }

// advance counts the time since the last call if the table has been current in it.
func (h *heldRows) advance(now time.Time, current bool) {
	if current {
		h.currentTime += now.Sub(h.checkedAt)
	}
	h.checkedAt = now
}

// maxWithdrawn is the maximum number of withdrawn evacuations that are remembered.
const maxWithdrawn = 256

// rememberWithdrawn records the last row of an evacuation that has been withdrawn.
func (c *Catalog) rememberWithdrawn(r Row) {
	if len(c.withdrawnEvacuations) >= maxWithdrawn {
		clear(c.withdrawnEvacuations)
	}
	c.withdrawnEvacuations[r.Key] = r
}

// isWithdrawn reports whether r may be a copy of a row that was withdrawn in an earlier era.
func (c *Catalog) isWithdrawn(r Row) bool {
	old, ok := c.withdrawnEvacuations[r.Key]
	return ok && old.Revision.Number == r.Revision.Number && bytes.Equal(old.Value, r.Value)
}

// hold holds back row r of a newer era, and the state of its key stays in force. The lock
// must be held.
func (c *Catalog) hold(table Table, r Row, timeout time.Duration, source string) {
	c.tables[table].held.timeouts[r.Key] = timeout
	event.Log(c.opt.Logger, event.RowHeldBack, "table", table.String(), "key", r.Key, "revision", r.Revision.String(), "deleted", r.Deleted, "source", source, "timeout_ms", timeout.Milliseconds())
}

// holdTimeOfDirective returns the time for which row r, with directive d, is held back because
// it only shows what the store has lost; 0 if it is not. The lock must be held.
func (c *Catalog) holdTimeOfDirective(r Row, d steering.Directive) time.Duration {
	evacuated := c.evacuatedDomains[d.EvacuatedDomain]
	switch {
	case d.EvacuatedDomain != "" && r.Deleted && evacuated:
		return rewriteTimeout
	case d.EvacuatedDomain != "" && !r.Deleted && !evacuated && c.isWithdrawn(r):
		return evacuationTimeout
	case d.Config != nil && c.config != nil && d.Config.Version < c.config.Version:
		return rewriteTimeout
	}
	return 0
}

// holdsBackUpstream reports whether registration u of the copy is held back because it has
// been removed since it was written. The lock must be held.
func (c *Catalog) holdsBackUpstream(u steering.Upstream) bool {
	last, removed := c.removed[u.ID]
	if inUse, ok := c.upstreams[u.ID]; ok {
		d, lapsed := c.graceDeadlines[u.ID]
		last, removed = inUse, lapsed && !d.lost
	}
	return removed && !isOutdated(last, u)
}

// releaseHeldRows puts the rows in force whose time is over, and reports whether there were
// any. The lock must be held.
func (c *Catalog) releaseHeldRows(now time.Time) (changed bool) {
	maxAge := c.capByDrainTimeout(maxProofAge, maxProofAgeFraction)
	for i := range c.tables {
		t := &c.tables[i]
		t.held.advance(now, proofAge(t.provenAt, now) <= maxAge)
		for key, timeout := range t.held.timeouts {
			if t.held.currentTime >= timeout {
				c.release(Table(i), key)
				changed = true
			}
		}
	}
	return changed
}

// release ends the hold of a key: its row comes into force, or its state ends if the table has
// no such row. The lock must be held.
func (c *Catalog) release(table Table, key string) {
	t := &c.tables[table]
	delete(t.held.timeouts, key)
	r, present := t.rows[key]
	if !present {
		r = Row{Key: key, Revision: t.revision, Deleted: true}
	}
	event.Log(c.opt.Logger, event.RowReleased, "table", table.String(), "key", key, "revision", r.Revision.String(), "deleted", r.Deleted)
	if table == Upstreams {
		delete(c.removed, key)
		c.applyUpstream(r, time.Time{}, false, storeSource)
		return
	}
	// Without a configuration in force, any version is taken.
	config := c.config
	c.config = nil
	c.applyDirective(r, false, storeSource)
	if c.config == nil {
		c.config = config
	}
}
