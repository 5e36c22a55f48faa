package catalog

import (
	"bytes"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/steering"
)

// replace installs l as the whole table. A listing of the current revision only
// confirms the table, and an older one is ignored. A listing of a newer era replaces the
// table whatever the revisions of its rows: an equal one may stand for another value.
func (c *Catalog) replace(table Table, l Listing, source string) {
	c.mu.Lock()
	t := &c.tables[table]
	if !c.enterEra(l.Revision.Era, source) {
		c.mu.Unlock()
		return
	}
	c.logStoreBehind(table, l, source)
	if !l.Revision.After(t.revision) {
		if l.Revision == t.revision {
			t.prove(l.ProvenAt)
		}
		c.mu.Unlock()
		return
	}
	newEra := l.Revision.Era > t.revision.Era && !t.revision.IsZero()
	// Rows may have been written and deleted between the revision of the table and that of the
	// listing; a peer that has such a row must get the whole table.
	clear(t.deletions)
	t.deletionsRecordedAfter = l.Revision
	present := make(map[string]bool, len(l.Rows))
	changes := make([]Row, 0, len(l.Rows))
	for _, r := range l.Rows {
		present[r.Key] = true
		old, known := t.rows[r.Key]
		switch {
		case known && newEra && bytes.Equal(old.Value, r.Value):
			// The old row may be kept as a base of differences; its value is not kept twice.
			r.Value = old.Value
			c.replaceRow(table, r)
		case r.Revision != old.Revision:
			changes = append(changes, r)
		}
	}
	age := c.maxChangeAge(t)
	for key := range t.rows {
		if !present[key] {
			changes = append(changes, Row{Key: key, Revision: l.Revision, Deleted: true, Age: age})
		}
	}
	c.applyAndUnlock(table, changes, l, newEra, source)
}

// logStoreBehind logs when the store begins to answer with an older state than the table's,
// and when it no longer does. The lock must be held.
func (c *Catalog) logStoreBehind(table Table, l Listing, source string) {
	t, now := &c.tables[table], c.opt.Now()
	behind := l.Revision.Before(t.revision)
	if source != storeSource || behind == !t.storeBehindSince.IsZero() {
		return
	}
	since := t.storeBehindSince
	if behind {
		since = now
		t.storeBehindSince = now
	} else {
		t.storeBehindSince = time.Time{}
	}
	event.Log(c.opt.Logger, event.StoreBehind, "table", table.String(), "behind", behind, "held", t.revision.String(), "listed", l.Revision.String(), "lasted_ms", now.Sub(since).Milliseconds())
}

// update applies the changes in l to the table. It ignores a listing that is
// older than the table. It also ignores one that starts after the table's
// revision, because the changes in between would be missing, and one of another era.
func (c *Catalog) update(table Table, l Listing, source string) {
	c.mu.Lock()
	t := &c.tables[table]
	if !c.enterEra(l.Revision.Era, source) || l.Revision.Era != t.revision.Era {
		c.mu.Unlock()
		return
	}
	c.logStoreBehind(table, l, source)
	otherBase := !l.Since.IsZero() && l.Since.Era != t.revision.Era
	if otherBase || l.Since.After(t.revision) || l.Revision.Before(t.revision) {
		c.mu.Unlock()
		return
	}
	changes := l.Rows[:0]
	for _, r := range l.Rows {
		if r.Revision.After(t.revision) {
			changes = append(changes, r)
		}
	}
	c.applyAndUnlock(table, changes, l, false, source)
}

// replaceRow records r as the row of its key.
func (c *Catalog) replaceRow(table Table, r Row) {
	t := &c.tables[table]
	if old, ok := t.rows[r.Key]; ok && table == Directives {
		c.bases.add(old)
	}
	t.rows[r.Key] = r
	delete(t.deletions, r.Key)
}

// deleteRow records the deletion of a row.
func (c *Catalog) deleteRow(table Table, r Row, madeAt time.Time) {
	t := &c.tables[table]
	if old, ok := t.rows[r.Key]; ok && table == Directives {
		c.bases.add(old)
	}
	delete(t.rows, r.Key)
	t.recordDeletion(r.Key, deletion{revision: r.Revision, madeAt: madeAt})
}

// applyAndUnlock applies the changes in l that the table lacks and publishes the new view.
// newEra reports whether they are the difference to a table of an earlier era. It must be
// called with c.mu locked, and unlocks it.
func (c *Catalog) applyAndUnlock(table Table, changes []Row, l Listing, newEra bool, source string) {
	t := &c.tables[table]
	advanced := l.Revision.After(t.revision)
	defer func() {
		c.mu.Unlock()
		if advanced && c.opt.OnRevisionAdvance != nil {
			c.opt.OnRevisionAdvance()
		}
	}()
	now := c.opt.Now()
	t.prove(l.ProvenAt)
	t.revision = l.Revision
	if newEra {
		t.outageEndedAt = now
		if !l.ProvenAt.IsZero() {
			t.outageEndedAt = l.ProvenAt
		}
		t.held.restart(now)
		if table == Upstreams {
			c.extendGracePeriods()
		}
	}
	if len(changes) == 0 {
		return
	}
	mass := table == Upstreams && c.isMassLapse(changes)
	for _, r := range changes {
		madeAt, old := now.Add(-r.Age), t.rows[r.Key]
		if r.Deleted {
			c.deleteRow(table, r, madeAt)
		} else {
			c.replaceRow(table, r)
		}
		if table == Directives {
			c.applyDirective(r, newEra, source)
			if r.Deleted && !newEra && old.Key != "" {
				c.rememberWithdrawn(old)
			}
		} else {
			c.applyUpstream(r, c.gracePeriodEnd(madeAt, mass), newEra, source)
		}
	}
	c.publish()
}

// applyDirective applies a row of the directives table. A row that cannot be
// decoded is ignored, and so is a configuration older than the current one. newEra reports
// whether the row may have been found in an older copy of the store.
func (c *Catalog) applyDirective(r Row, newEra bool, source string) {
	start := c.opt.Now()
	d, err := c.opt.Decode.Directive(r.Key, r.Value)
	if newEra && (r.Deleted || err == nil) {
		if timeout := c.holdTimeOfDirective(r, d); timeout > 0 {
			c.hold(Directives, r, timeout, source)
			return
		}
	}
	held := c.tables[Directives].held.timeouts
	_, wasHeld := held[r.Key]
	if d.Config == nil || c.config == nil || d.Config.Version >= c.config.Version {
		delete(held, r.Key)
	}
	if r.Deleted {
		// A deleted row has no value, so the evacuated domain is taken from
		// its key.
		if d.EvacuatedDomain != "" && (!wasHeld || c.evacuatedDomains[d.EvacuatedDomain]) {
			delete(c.evacuatedDomains, d.EvacuatedDomain)
			c.evacuationEnds[d.EvacuatedDomain] = r.Revision
			event.Log(c.opt.Logger, event.EvacuationEnded, "domain", d.EvacuatedDomain, "revision", r.Revision.String(), "source", source)
		}
		return
	}
	if err != nil {
		event.Log(c.opt.Logger, event.VersionRejected, "key", r.Key, "revision", r.Revision.String(), "source", source, "error", err.Error())
		return
	}
	if d.EvacuatedDomain != "" && !c.evacuatedDomains[d.EvacuatedDomain] {
		c.evacuatedDomains[d.EvacuatedDomain] = true
		event.Log(c.opt.Logger, event.EvacuationStarted, "domain", d.EvacuatedDomain, "revision", r.Revision.String(), "source", source)
	}
	if d.Config == nil {
		return
	}
	if c.config != nil && d.Config.Version < c.config.Version {
		event.Log(c.opt.Logger, event.StoreVersionStale, "version", d.Config.Version, "in_force", c.config.Version, "revision", r.Revision.String(), "source", source)
		return
	}
	c.config = d.Config
	now := c.opt.Now()
	report := ConfigReport{Bytes: len(r.Value), Delay: now.Sub(r.SeenAt), DecodeTime: now.Sub(start)}
	event.Log(c.opt.Logger, event.VersionInForce, "version", d.Config.Version, "routes", d.Config.RouteCount(), "bytes", report.Bytes, "revision", r.Revision.String(), "source", source, "delay_ms", report.Delay.Milliseconds(), "decode_ms", report.DecodeTime.Milliseconds())
	if c.opt.OnConfig != nil {
		c.opt.OnConfig(report)
	}
}

// applyUpstream applies a row of the upstreams table. If the row of a ready
// upstream is deleted, the upstream stays in use until graceEnd.
// newEra reports whether the row may have been found in an older copy of the store.
func (c *Catalog) applyUpstream(r Row, graceEnd time.Time, newEra bool, source string) {
	old, known := c.upstreams[r.Key]
	delete(c.tables[Upstreams].held.timeouts, r.Key)
	if r.Deleted {
		if !known {
			return
		}
		if grace := graceEnd.Sub(c.opt.Now()); grace > 0 && old.State == steering.Ready {
			if _, inGrace := c.graceDeadlines[r.Key]; !inGrace {
				c.graceDeadlines[r.Key] = graceDeadline{end: graceEnd, lost: newEra}
				event.Log(c.opt.Logger, event.UpstreamRegistrationExpired, "upstream", r.Key, "revision", r.Revision.String(), "source", source, "age_ms", r.Age.Milliseconds(), "hold_ms", grace.Milliseconds())
			}
			return
		}
		c.removeUpstream(r.Key, "registration removed", source)
		return
	}
	u, err := c.opt.Decode.Upstream(r.Key, r.Value)
	if err != nil {
		// The row is not a valid registration, for example because another
		// program wrote it. The upstream cannot be used.
		event.Log(c.opt.Logger, event.UpstreamRegistrationInvalid, "upstream", r.Key, "revision", r.Revision.String(), "source", source, "error", err.Error())
		if known {
			c.removeUpstream(r.Key, "registration unreadable", source)
		}
		return
	}
	if newEra && c.holdsBackUpstream(u) {
		c.hold(Upstreams, r, removalTimeout, source)
		return
	}
	last := old
	if !known {
		last = c.removed[r.Key]
	}
	if isOutdated(u, last) {
		// The store may perform an earlier write of the upstream late, also of a process that
		// has ended. It must not make an upstream that leaves ready again.
		event.Log(c.opt.Logger, event.UpstreamReportOutdated, "upstream", r.Key, "service", u.Service, "sequence", u.Sequence, "known_sequence", last.Sequence, "start_unix_ms", u.StartUnixMS, "known_start_unix_ms", last.StartUnixMS, "revision", r.Revision.String(), "source", source)
		return
	}
	delete(c.graceDeadlines, r.Key)
	delete(c.removed, r.Key)
	c.upstreams[r.Key] = u
	if known && old.State == steering.Ready && u.State == steering.Draining {
		event.Log(c.opt.Logger, event.UpstreamDraining, "upstream", u.ID, "service", u.Service, "revision", r.Revision.String(), "source", source)
	} else if !known || old.StartUnixMS != u.StartUnixMS {
		event.Log(c.opt.Logger, event.UpstreamRegistered, "upstream", u.ID, "service", u.Service, "domain", u.Domain, "cold_ms", u.ColdRemaining.Milliseconds(), "revision", r.Revision.String(), "source", source)
	}
}

// isOutdated reports whether an upstream has made report u before last. Reports are ordered
// by the start of the process that made them and by their sequence, whatever the order in
// which the store performs the writes.
func isOutdated(u, last steering.Upstream) bool {
	if u.StartUnixMS != last.StartUnixMS {
		return u.StartUnixMS < last.StartUnixMS
	}
	return u.Sequence < last.Sequence
}

// maxRemoved is the maximum number of removed upstreams that are remembered.
const maxRemoved = 4096

func (c *Catalog) removeUpstream(id, reason, source string) {
	if u := c.upstreams[id]; u.StartUnixMS != 0 {
		if len(c.removed) >= maxRemoved {
			clear(c.removed)
		}
		c.removed[id] = u
	}
	delete(c.upstreams, id)
	delete(c.graceDeadlines, id)
	event.Log(c.opt.Logger, event.UpstreamRemoved, "upstream", id, "reason", reason, "source", source)
}
