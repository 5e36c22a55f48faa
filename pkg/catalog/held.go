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
// to be written again. A change of the row in the new era ends that at once, and
// rewriteTimeout ends it in any case, so that a store that stays old wins.
//
// Registrations that the copy lacks are not held here; they have a grace period (lapse.go).

// rewriteTimeout is the time after the return of the store within which its writers must have
// written again what it has lost. Upstreams need about two seconds; operators may have to
// notice the loss first. It is far shorter than the time for which an operator who restores an
// older state on purpose has to wait anyway until everything has been checked.
const rewriteTimeout = 10 * time.Second

// heldRows holds the keys of the rows of each table that are held back, and the last rows of
// the evacuations that have been withdrawn.
type heldRows struct {
	keys      [2]map[string]bool
	withdrawn map[string]Row
}

func newHeldRows() heldRows {
	return heldRows{keys: [2]map[string]bool{make(map[string]bool), make(map[string]bool)}, withdrawn: make(map[string]Row)}
}

// maxWithdrawn is the maximum number of withdrawn evacuations that are remembered.
const maxWithdrawn = 256

// withdraw records the last row of an evacuation that has been withdrawn.
func (h *heldRows) withdraw(r Row) {
	if len(h.withdrawn) >= maxWithdrawn {
		clear(h.withdrawn)
	}
	h.withdrawn[r.Key] = r
}

// isWithdrawn reports whether r is a copy of a row that has been withdrawn in an earlier era.
// An evacuation that was begun again has another number.
func (h *heldRows) isWithdrawn(r Row) bool {
	old, ok := h.withdrawn[r.Key]
	return ok && old.Revision.Number == r.Revision.Number && bytes.Equal(old.Value, r.Value)
}

// hold holds back row r of a newer era, and the state of its key stays in force. The lock
// must be held.
func (c *Catalog) hold(table Table, r Row, source string) {
	c.held.keys[table][r.Key] = true
	event.Log(c.opt.Logger, event.RowHeldBack, "table", table.String(), "key", r.Key, "revision", r.Revision.String(), "deleted", r.Deleted, "source", source, "timeout_ms", rewriteTimeout.Milliseconds())
}

// holdsBackDirective reports whether row r, with directive d, is held back because it only
// shows what the store has lost. The lock must be held.
func (c *Catalog) holdsBackDirective(r Row, d steering.Directive) bool {
	switch {
	case d.EvacuatedDomain != "" && r.Deleted:
		return c.evacuatedDomains[d.EvacuatedDomain]
	case d.EvacuatedDomain != "":
		return !c.evacuatedDomains[d.EvacuatedDomain] && c.held.isWithdrawn(r)
	}
	return d.Config != nil && c.config != nil && d.Config.Version < c.config.Version
}

// holdsBackUpstream reports whether registration u is held back because the upstream has
// been removed since it was written. The lock must be held.
func (c *Catalog) holdsBackUpstream(u steering.Upstream) bool {
	last, removed := c.removed[u.ID]
	_, inUse := c.upstreams[u.ID]
	return !inUse && removed && !isOutdated(last, u)
}

// releaseHeldRows puts the rows in force that have been held back for rewriteTimeout, and
// reports whether there were any. Only a table that is proven current tells that a row has not
// been written again. The lock must be held.
func (c *Catalog) releaseHeldRows(now time.Time) (changed bool) {
	for i := range c.tables {
		table, t := Table(i), &c.tables[i]
		if now.Sub(t.outageEndedAt) < rewriteTimeout || proofAge(t.provenAt, now) > maxProofAge {
			continue
		}
		for key := range c.held.keys[table] {
			c.release(table, key)
			changed = true
		}
	}
	return changed
}

// release puts the row of a key in force, or its absence. The lock must be held.
func (c *Catalog) release(table Table, key string) {
	delete(c.held.keys[table], key)
	r, present := c.tables[table].rows[key]
	if !present {
		r = Row{Key: key, Revision: c.tables[table].revision, Deleted: true}
	}
	event.Log(c.opt.Logger, event.RowReleased, "table", table.String(), "key", key, "revision", r.Revision.String(), "deleted", r.Deleted)
	if table == Upstreams {
		delete(c.removed, key)
		c.applyUpstream(r, time.Time{}, false, storeSource)
		return
	}
	config := c.config
	c.config = nil
	c.applyDirective(r, false, storeSource)
	if c.config == nil {
		c.config = config
	}
}
