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

// eraLogInterval is the shortest time between two lines about answers of earlier eras, and
// between two about answers without an era.
const eraLogInterval = 10 * time.Second

// enterEra records that the store is in an era, as source has stated, and reports whether it
// is the newest known one. A newer era than the known one ends the proofs of all tables: they
// must be listed anew before anything counts as current. Watches from an earlier era end.
// The lock must be held.
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
		if c.cancelWatches[i] != nil {
			// A part of the store that is still in the earlier era would let it wait.
			c.cancelWatches[i]()
		}
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

// checkEra enters the era that an answer of the store states. An answer that states none counts
// as one of the newest known era, unless that has become known after the call was sent, in era
// sentIn: then the answer may be one of the era before. checkEra returns errOutdatedEra if the
// answer is of an earlier era, or may be. The lock must be held.
func (c *Catalog) checkEra(table Table, l *Listing, sentIn int64) error {
	now := c.opt.Now()
	if l.EraUnknown {
		c.logUnstatedEra(table, now)
		l.setEra(sentIn)
	}
	if c.enterEra(l.Revision.Era, storeSource) {
		return nil
	}
	if !now.Before(c.eraOutdatedLoggedAt.Add(eraLogInterval)) {
		c.eraOutdatedLoggedAt = now
		event.Log(c.opt.Logger, event.StoreEraOutdated, "table", table.String(), "era", l.Revision.Era, "newest_era", c.era)
	}
	return errOutdatedEra
}

// logUnstatedEra logs an answer without an era: once for a store that has never stated one,
// again and again otherwise. The lock must be held.
func (c *Catalog) logUnstatedEra(table Table, now time.Time) {
	due := c.eraUnstatedLoggedAt.IsZero() || c.era > 0 && !now.Before(c.eraUnstatedLoggedAt.Add(eraLogInterval))
	if !due {
		return
	}
	c.eraUnstatedLoggedAt = now
	event.Log(c.opt.Logger, event.StoreEraUnstated, "table", table.String(), "newest_era", c.era)
}

// setEra sets the era of all revisions of a listing.
func (l *Listing) setEra(era int64) {
	l.Revision.Era = era
	for i := range l.Rows {
		l.Rows[i].Revision.Era = era
	}
}

// Era returns the newest known era of the store.
func (c *Catalog) Era() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.era
}
