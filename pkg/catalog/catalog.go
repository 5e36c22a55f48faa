// Package catalog maintains one instance's copy of the operator's directives
// and of the registered upstreams.
//
// An instance that watches the store lists the two tables and then waits for
// their changes (watch.go). Snapshots from peers are merged as well
// (snapshot.go); they keep the copy current while the instance does not watch
// the store or cannot reach it. Changes from both sources are applied in the
// same way and published as a new steering.View (apply.go).
//
// What proves that the copy is current, and how old that proof may be, is decided in
// proof.go for all of these ways.
//
// The store may come back from an older copy of itself (package revision). What an earlier
// era says then changes and proves nothing any more (era.go), and what it left in force stays
// so until it is written again or a bounded time has passed (held.go).
//
// Within a process the configuration version never decreases otherwise. A registration
// lapses if its row is deleted while the upstream is still ready. If that
// happens during or shortly after a store outage, or to many upstreams at once,
// the upstreams stay in use for a short grace period, because upstreams that
// are alive register again (lapse.go).
package catalog

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"github.com/sequoiacove/sequoiacove/pkg/revision"
	"github.com/sequoiacove/sequoiacove/pkg/steering"
)

// Table identifies a table of the store.
type Table uint8

// Tables of the store.
const (
	Directives Table = iota
	Upstreams
	Instances
	tableCount
)

// String implements fmt.Stringer.
func (t Table) String() string {
	return [...]string{"directives", "upstreams", "instances", "unknown"}[min(t, tableCount)]
}

// Row is one row of a table.
type Row struct {
	Key      string            `cbor:"1,keyasint"`
	Value    []byte            `cbor:"2,keyasint,omitempty"`
	Revision revision.Revision `cbor:"3,keyasint"`
	Deleted  bool              `cbor:"4,keyasint,omitempty"`
	// Age is how long before the reception of a deleted row the deletion may have
	// been made, or 0 if this is not known.
	Age time.Duration `cbor:"5,keyasint,omitempty"`
	// SeenAt is the time at which the instance that read the row from the store received it,
	// on the clock of this process. SeenAge carries it in snapshots; older releases omit it.
	SeenAt  time.Time     `cbor:"-"`
	SeenAge time.Duration `cbor:"6,keyasint,omitempty"`
	// BaseRevision is used in snapshots from peers. If it is not zero, Value is the difference
	// (package transfer) to the row's value of that revision, and Digest that of the result.
	BaseRevision revision.Revision `cbor:"7,keyasint,omitempty"`
	Digest       []byte            `cbor:"8,keyasint,omitempty"`
}

// RowRevision names a version of a row.
type RowRevision struct {
	_        struct{} `cbor:",toarray"`
	Key      string
	Revision revision.Revision
}

// String implements fmt.Stringer.
func (r RowRevision) String() string { return fmt.Sprintf("%s@%s", r.Key, r.Revision) }

// Listing is a whole table, or the changes to it, as of a store revision.
type Listing struct {
	Rows     []Row             `cbor:"1,keyasint"`
	Revision revision.Revision `cbor:"2,keyasint"`
	// Since is used in snapshots from peers. If it is not zero, Rows holds the
	// changes after this revision, including deleted rows. If it is zero, Rows
	// holds the whole table.
	Since revision.Revision `cbor:"3,keyasint,omitempty"`
	// EraUnknown is set if the store has not stated its era. The listing then counts as one
	// of the newest known era.
	EraUnknown bool `cbor:"-"`
	// ProvenAt is the time until which the listing is proven current, zero if that is not
	// known. ProofAge carries it in snapshots; older releases omit it, which proves nothing.
	ProvenAt time.Time     `cbor:"-"`
	ProofAge time.Duration `cbor:"4,keyasint,omitempty"`
	// StoreTime is the store's steady clock at its answer, 0 if that is not known.
	StoreTime time.Duration `cbor:"-"`
}

// ErrHistoryGone is returned by Watch if the store no longer holds the
// requested changes; the table must be listed again.
var ErrHistoryGone = errors.New("history gone")

// Store accesses the platform's table service. Every context passed to it has a
// deadline.
type Store interface {
	// List returns all rows of a table.
	List(ctx context.Context, table Table) (Listing, error)
	// Watch returns the changes after a revision as soon as there are any, or
	// an empty listing after wait. If the store has changed its era since, the listing says
	// so and its rows are of no use. It ends when ctx is cancelled.
	Watch(ctx context.Context, table Table, after revision.Revision, wait time.Duration) (Listing, error)
	Put(ctx context.Context, table Table, key string, value []byte) error
	// Remove deletes a row if it still has the given revision.
	Remove(ctx context.Context, table Table, key string, revision revision.Revision) error
}

// Decoder decodes the values of rows.
type Decoder struct {
	Directive func(key string, value []byte) (steering.Directive, error)
	Upstream  func(key string, value []byte) (steering.Upstream, error)
}
