package catalog

import (
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/steering"
)

// replace installs a whole table unless a newer state is known.
func (c *Catalog) replace(table Table, l Listing, source string) {
	c.mu.Lock()
	t := &c.tables[table]
	if l.Revision <= t.revision {
		if l.Revision == t.revision {
			t.confirmedAt = c.opt.Now()
		}
		c.mu.Unlock()
		return
	}
	if t.revision == 0 {
		t.floor = l.Revision
	}
	present := make(map[string]bool, len(l.Rows))
	changes := make([]Row, 0, len(l.Rows))
	for _, r := range l.Rows {
		present[r.Key] = true
		if r.Revision != t.rows[r.Key].Revision {
			changes = append(changes, r)
		}
	}
	for key := range t.rows {
		if !present[key] {
			changes = append(changes, Row{Key: key, Revision: l.Revision, Deleted: true})
		}
	}
	c.applyLocked(table, changes, l.Revision, source)
}

// update applies changes; those that start after the known revision would
// leave a gap and are dropped.
func (c *Catalog) update(table Table, l Listing, source string) {
	c.mu.Lock()
	t := &c.tables[table]
	if l.Since > t.revision || l.Revision < t.revision {
		c.mu.Unlock()
		return
	}
	changes := l.Rows[:0]
	for _, r := range l.Rows {
		if r.Revision > t.revision {
			changes = append(changes, r)
		}
	}
	c.applyLocked(table, changes, l.Revision, source)
}

// applyLocked applies changes and publishes the new view; it unlocks the mutex.
func (c *Catalog) applyLocked(table Table, changes []Row, revision int64, source string) {
	t := &c.tables[table]
	advanced := revision > t.revision
	defer func() {
		c.mu.Unlock()
		if advanced && c.opt.Learned != nil {
			c.opt.Learned()
		}
	}()
	t.confirmedAt = c.opt.Now()
	t.revision = revision
	if len(changes) == 0 {
		return
	}
	var hold time.Duration
	if table == Upstreams {
		hold = c.holdLapses(changes)
	}
	for _, r := range changes {
		if r.Deleted {
			delete(t.rows, r.Key)
			t.noteDeleted(r.Key, r.Revision)
		} else {
			t.rows[r.Key] = r
			delete(t.deleted, r.Key)
		}
		if table == Directives {
			c.applyDirective(r, source)
		} else {
			c.applyUpstream(r, hold, source)
		}
	}
	c.publish()
}

func (c *Catalog) applyDirective(r Row, source string) {
	d, err := c.opt.Decode.Directive(r.Key, r.Value)
	if r.Deleted {
		// The key alone tells which evacuation ended; the value is gone.
		if d.Evacuate != "" {
			delete(c.evacuated, d.Evacuate)
			event.Log(c.opt.Logger, event.EvacuationEnded, "domain", d.Evacuate, "revision", r.Revision, "source", source)
		}
		return
	}
	if err != nil {
		event.Log(c.opt.Logger, event.VersionRefused, "key", r.Key, "revision", r.Revision, "source", source, "error", err.Error())
		return
	}
	if d.Evacuate != "" && !c.evacuated[d.Evacuate] {
		c.evacuated[d.Evacuate] = true
		event.Log(c.opt.Logger, event.EvacuationStarted, "domain", d.Evacuate, "revision", r.Revision, "source", source)
	}
	if d.Config == nil {
		return
	}
	if c.config != nil && d.Config.Version < c.config.Version {
		event.Log(c.opt.Logger, event.StoreVersionStale, "version", d.Config.Version, "in_force", c.config.Version, "revision", r.Revision, "source", source)
		return
	}
	c.config = d.Config
	event.Log(c.opt.Logger, event.VersionInForce, "version", d.Config.Version, "routes", d.Config.Routes(), "revision", r.Revision, "source", source)
}

func (c *Catalog) applyUpstream(r Row, hold time.Duration, source string) {
	old, known := c.upstreams[r.Key]
	if r.Deleted {
		if !known {
			return
		}
		if hold > 0 && old.State == steering.Ready {
			if _, held := c.lapsed[r.Key]; !held {
				c.lapsed[r.Key] = c.opt.Now().Add(hold)
				event.Log(c.opt.Logger, event.UpstreamRegistrationExpired, "upstream", r.Key, "revision", r.Revision, "source", source, "hold_ms", hold.Milliseconds())
			}
			return
		}
		c.forget(r.Key, "registration removed", source)
		return
	}
	u, err := c.opt.Decode.Upstream(r.Key, r.Value)
	if err != nil {
		// A row from another writer names no upstream to use.
		event.Log(c.opt.Logger, event.UpstreamRegistrationInvalid, "upstream", r.Key, "revision", r.Revision, "source", source, "error", err.Error())
		if known {
			c.forget(r.Key, "registration unreadable", source)
		}
		return
	}
	delete(c.lapsed, r.Key)
	c.upstreams[r.Key] = u
	if known && old.State == steering.Ready && u.State == steering.Draining {
		event.Log(c.opt.Logger, event.UpstreamDraining, "upstream", u.ID, "service", u.Service, "revision", r.Revision, "source", source)
	} else if !known || old.Born != u.Born {
		event.Log(c.opt.Logger, event.UpstreamRegistered, "upstream", u.ID, "service", u.Service, "domain", u.Domain, "cold_ms", u.ColdRemaining.Milliseconds(), "revision", r.Revision, "source", source)
	}
}

func (c *Catalog) forget(id, reason, source string) {
	delete(c.upstreams, id)
	delete(c.lapsed, id)
	event.Log(c.opt.Logger, event.UpstreamRemoved, "upstream", id, "reason", reason, "source", source)
}
