package catalog

import (
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/revision"
)

// Snapshot holds both tables, or the changes to them, for transfer between
// peers.
type Snapshot struct {
	// Directives holds the operator's configurations and evacuations.
	Directives Listing `cbor:"1,keyasint"`
	Upstreams  Listing `cbor:"2,keyasint"`
}

// Snapshot returns the changes to both tables after the given revisions, which are those that
// a peer already has. A zero revision, or one of another era, requests the whole table. large
// is a row of the directives that the peer has; the snapshot states a newer version of it as a
// difference.
func (c *Catalog) Snapshot(directives, upstreams revision.Revision, large RowRevision) Snapshot {
	c.mu.Lock()
	now := c.opt.Now()
	s := Snapshot{Directives: c.tables[Directives].changesSince(directives, now), Upstreams: c.tables[Upstreams].changesSince(upstreams, now)}
	c.mu.Unlock()
	for i, r := range s.Directives.Rows {
		s.Directives.Rows[i] = c.bases.difference(r, large)
	}
	return s
}

// changesSince returns the changes after a revision, or the whole table if the
// deletions since then are no longer recorded.
func (t *tableState) changesSince(known revision.Revision, now time.Time) Listing {
	l := Listing{Revision: t.revision, ProofAge: max(1, proofAge(t.provenAt, now))}
	if !known.IsZero() && known.Era == t.revision.Era && !known.Before(t.deletionsRecordedAfter) {
		l.Since = known
	}
	for _, r := range t.rows {
		if r.Revision.After(l.Since) {
			r.SeenAge = max(1, now.Sub(r.SeenAt))
			l.Rows = append(l.Rows, r)
		}
	}
	if !l.Since.IsZero() {
		for key, d := range t.deletions {
			if d.revision.After(l.Since) {
				l.Rows = append(l.Rows, Row{Key: key, Revision: d.revision, Deleted: true, Age: now.Sub(d.madeAt)})
			}
		}
	}
	return l
}

// maxDeletions is the maximum number of deletions recorded per table.
const maxDeletions = 4096

// recordDeletion records a deletion for peers that are behind. When the record
// is full, it is cleared and peers behind the current revision get the whole
// table.
func (t *tableState) recordDeletion(key string, d deletion) {
	if len(t.deletions) >= maxDeletions {
		t.deletions = make(map[string]deletion)
		t.deletionsRecordedAfter = t.revision
	}
	t.deletions[key] = d
}

// Merge applies the tables of a peer's snapshot that are newer than the
// catalog's own. The snapshot was requested at requestedAt; what it proves is not newer than
// that, however long the transfer took. If a difference in the snapshot does not fit, Merge
// applies nothing and returns an error.
func (c *Catalog) Merge(s Snapshot, peer string, requestedAt time.Time) error {
	if err := c.restore(Directives, &s.Directives); err != nil {
		return err
	}
	transferTime := c.opt.Now().Sub(requestedAt)
	for table, l := range [...]Listing{Directives: s.Directives, Upstreams: s.Upstreams} {
		if l.ProofAge > 0 && l.ProofAge != Unproven {
			l.ProvenAt = requestedAt.Add(-l.ProofAge)
		}
		for i := range l.Rows {
			if l.Rows[i].Deleted {
				l.Rows[i].Age += transferTime
			}
			l.Rows[i].SeenAt = requestedAt.Add(-l.Rows[i].SeenAge)
		}
		c.mergeTable(Table(table), l, peer)
	}
	return nil
}

func (c *Catalog) mergeTable(table Table, l Listing, peer string) {
	if l.Since.IsZero() {
		c.replace(table, l, peer)
		return
	}
	c.update(table, l, peer)
}
