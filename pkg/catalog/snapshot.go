package catalog

import (
	"time"
)

// Snapshot holds both tables, or their changes, as peers pass them on.
type Snapshot struct {
	Directives Listing `cbor:"1,keyasint"`
	Upstreams  Listing `cbor:"2,keyasint"`
	// SinceStoreFailure is the time since the sender's last failed call to the store, 0 if
	// that is long ago. Receivers do not call the store themselves and would
	// take a lapse that the outage caused for a leaving upstream.
	SinceStoreFailure time.Duration `cbor:"3,keyasint,omitempty"`
}

// Snapshot returns what a peer lacks that knows the tables up to the given
// revisions, 0 if it knows nothing.
func (c *Catalog) Snapshot(directives, upstreams int64) Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Snapshot{Directives: c.tables[Directives].after(directives), Upstreams: c.tables[Upstreams].after(upstreams)}
	if age := c.opt.Now().Sub(c.failedAt); !c.failedAt.IsZero() && age < outageMemory {
		s.SinceStoreFailure = max(age, 1)
	}
	return s
}

// after returns the changes after a revision, or the whole table if they are
// no longer known.
func (t *tableState) after(revision int64) Listing {
	l := Listing{Revision: t.revision}
	if revision > 0 && revision >= t.floor {
		l.Since = revision
	}
	for _, r := range t.rows {
		if r.Revision > l.Since {
			l.Rows = append(l.Rows, r)
		}
	}
	if l.Since > 0 {
		for key, at := range t.deleted {
			if at > l.Since {
				l.Rows = append(l.Rows, Row{Key: key, Revision: at, Deleted: true})
			}
		}
	}
	return l
}

// maxDeleted bounds the deletions that are remembered.
const maxDeleted = 4096

// noteDeleted remembers a deletion for peers that are behind.
func (t *tableState) noteDeleted(key string, revision int64) {
	if len(t.deleted) >= maxDeleted {
		t.deleted = make(map[string]int64)
		t.floor = t.revision
	}
	t.deleted[key] = revision
}

// Merge takes the tables of a peer that are newer than the own ones.
func (c *Catalog) Merge(s Snapshot, peer string) {
	if s.SinceStoreFailure > 0 {
		c.noteOutage(c.opt.Now().Add(-s.SinceStoreFailure))
	}
	c.take(Directives, s.Directives, peer)
	c.take(Upstreams, s.Upstreams, peer)
}

func (c *Catalog) noteOutage(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.failedAt) {
		c.failedAt = at
	}
}

func (c *Catalog) take(table Table, l Listing, peer string) {
	if l.Since == 0 {
		c.replace(table, l, peer)
		return
	}
	c.update(table, l, peer)
}
