package catalog

import (
	"slices"
	"sync"

	"github.com/juju/errors"

	"github.com/sequoiacove/sequoiacove/pkg/revision"
	"github.com/sequoiacove/sequoiacove/pkg/transfer"
)

const (
	// minDifferenceBytes is the size from which on a row is passed on as a difference to the
	// version that the peer has.
	minDifferenceBytes = 4 << 10
	// maxBases is the number of earlier versions of a large row that are kept as bases of
	// differences, and maxBaseBytes limits their size. Instances that lag further behind get
	// the whole row.
	maxBases     = 8
	maxBaseBytes = 8 << 20
)

// ErrDifference is returned by Merge if a difference does not fit the version of the row that
// this instance has; the row must be fetched whole.
var ErrDifference = errors.New("difference does not fit")

// rowBases holds the earlier versions of the large rows of a table.
type rowBases struct {
	mu          sync.Mutex
	versions    map[string][]Row
	differences transfer.DiffCache
}

// add records a version that a newer one replaces. The newest base is kept whatever its size.
func (b *rowBases) add(old Row) {
	if len(old.Value) < minDifferenceBytes {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.versions == nil {
		b.versions = make(map[string][]Row)
	}
	list := append(b.versions[old.Key], old)
	size := 0
	for n := len(list) - 1; n >= 0; n-- {
		size += len(list[n].Value)
		if n < len(list)-1 && (size > maxBaseBytes || len(list)-n > maxBases) {
			list = append([]Row(nil), list[n+1:]...)
			break
		}
	}
	b.versions[old.Key] = list
}

// difference returns r as the difference to the version that a peer has, or r itself if that
// version is not known or the difference is not smaller.
func (b *rowBases) difference(r Row, known RowRevision) Row {
	base, found := b.find(known)
	if !found || r.Key != known.Key || len(r.Value) < minDifferenceBytes {
		return r
	}
	diff, ok := b.differences.Diff(known.String(), RowRevision{Key: r.Key, Revision: r.Revision}.String(), base.Value, r.Value)
	if !ok {
		return r
	}
	r.Value, r.Digest, r.BaseRevision = diff, transfer.Digest(r.Value), known.Revision
	return r
}

func (b *rowBases) find(known RowRevision) (base Row, found bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := slices.IndexFunc(b.versions[known.Key], func(r Row) bool { return r.Revision == known.Revision })
	if i < 0 {
		return Row{}, false
	}
	return b.versions[known.Key][i], true
}

// LargeRow names the largest row of the directives that a snapshot may state as a difference,
// the zero value if there is none.
func (c *Catalog) LargeRow() RowRevision {
	c.mu.Lock()
	defer c.mu.Unlock()
	var largest Row
	for _, r := range c.tables[Directives].rows {
		if len(r.Value) >= minDifferenceBytes && len(r.Value) > len(largest.Value) {
			largest = r
		}
	}
	return RowRevision{Key: largest.Key, Revision: largest.Revision}
}

// restore replaces the differences in a listing by the rows that they stand for. If one does
// not fit, it returns an error, and nothing of the listing may be applied.
func (c *Catalog) restore(table Table, l *Listing) error {
	for i := range l.Rows {
		r := &l.Rows[i]
		if r.BaseRevision.IsZero() {
			continue
		}
		c.mu.Lock()
		own := c.tables[table].rows[r.Key]
		c.mu.Unlock()
		if !own.Revision.Before(r.Revision) {
			// The store has meanwhile sent this version or a newer one.
			*r = own
			continue
		}
		if own.Revision != r.BaseRevision {
			return errors.Annotatef(ErrDifference, "row %q: base %s, in force %s", r.Key, r.BaseRevision, own.Revision)
		}
		value, err := transfer.Patch(own.Value, r.Value, r.Digest)
		if err != nil {
			return errors.Annotatef(ErrDifference, "row %q, revision %s: %v", r.Key, r.Revision, err)
		}
		r.Value, r.BaseRevision, r.Digest = value, revision.Revision{}, nil
	}
	return nil
}
