package catalog

import (
	"time"

	"github.com/juju/errors"

	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/revision"
)

// errOutdatedEra is returned for an answer of the store that belongs to an earlier era than
// the newest known one, for example because it was held up on its way, or because a part of
// the store has not yet changed its era.
var errOutdatedEra = errors.New("answer of an earlier era of the store")

// enterEra records that the store is in an era, as source has stated, and reports whether it
// is the newest known one. A newer era than the known one ends the proofs of all tables: they
// must be listed anew before anything counts as current. The lock must be held.
func (c *Catalog) enterEra(era int64, source string) (newest bool) {
	if era <= c.era {
		return era == c.era
	}
	previous, loaded := c.era, false
	c.era = era
	// The store's clock may be another one, for example that of another machine.
	c.storeClock = storeClock{}
	for i := range c.tables {
		t := &c.tables[i]
		loaded = loaded || !t.revision.IsZero()
		t.provenAt, t.storeAnsweredAt, t.storeBehindSince = time.Time{}, time.Time{}, time.Time{}
	}
	if !loaded {
		return true
	}
	event.Log(c.opt.Logger, event.StoreEraChanged, "era", era, "previous_era", previous, "directives", c.tables[Directives].revision.String(), "upstreams", c.tables[Upstreams].revision.String(), "source", source)
	if c.opt.OnEraChange != nil {
		go c.opt.OnEraChange(era)
	}
	return true
}

// isCurrentEra reports whether both revisions belong to the newest known era. The lock must
// be held.
func (c *Catalog) isCurrentEra(a, b revision.Revision) bool {
	return a.Era == c.era && b.Era == c.era
}

// checkEra enters the era that an answer of the store states. An answer that states none
// counts as one of the newest known era. It returns errOutdatedEra if the answer is of an
// earlier era. The lock must be held.
func (c *Catalog) checkEra(table Table, l *Listing) error {
	if l.EraUnknown != c.eraUnstated {
		c.eraUnstated = l.EraUnknown
		event.Log(c.opt.Logger, event.StoreEraUnstated, "table", table.String(), "stated", !l.EraUnknown, "era", c.era)
	}
	if l.EraUnknown {
		l.Revision.Era = c.era
		for i := range l.Rows {
			l.Rows[i].Revision.Era = c.era
		}
	}
	if c.enterEra(l.Revision.Era, storeSource) {
		return nil
	}
	if c.outdatedEra == nil || *c.outdatedEra != l.Revision.Era {
		era := l.Revision.Era
		c.outdatedEra = &era
		event.Log(c.opt.Logger, event.StoreEraOutdated, "table", table.String(), "era", era, "newest_era", c.era)
	}
	return errOutdatedEra
}

// Era returns the newest known era of the store.
func (c *Catalog) Era() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.era
}
