// Package catalog keeps the operator's directives and the registered upstreams
// of one instance up to date: it lists the store's tables, watches them for
// changes, and takes what a peer knows when the store cannot be reached.
//
// Configuration versions only rise within a process. Upstream registrations
// that lapse while the store is away, or many at once, are kept for a short
// time, because upstreams that are alive register again.
package catalog

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/sequoiacove/sequoiacove/pkg/steering"
)

// Table names a table of the store.
type Table uint8

// Tables of the store.
const (
	Directives Table = iota
	Upstreams
	Instances
	tables
)

// String implements fmt.Stringer.
func (t Table) String() string {
	return [...]string{"directives", "upstreams", "instances", "unknown"}[min(t, tables)]
}

// Row is one row of a table.
type Row struct {
	Key      string `cbor:"1,keyasint"`
	Value    []byte `cbor:"2,keyasint,omitempty"`
	Revision int64  `cbor:"3,keyasint"`
	Deleted  bool   `cbor:"4,keyasint,omitempty"`
}

// Listing is a set of rows as of a revision of the store.
type Listing struct {
	Rows     []Row `cbor:"1,keyasint"`
	Revision int64 `cbor:"2,keyasint"`
	// Since is the revision after which Rows holds the changes, deleted rows
	// included; 0 means that Rows holds the whole table.
	Since int64 `cbor:"3,keyasint,omitempty"`
}

// ErrHistoryGone tells that the store no longer has the changes asked for.
var ErrHistoryGone = errors.New("history gone")

// Store is the platform's table service. Every context has a deadline.
type Store interface {
	// List returns all rows of a table.
	List(ctx context.Context, table Table) (Listing, error)
	// Watch returns the changes after a revision as soon as there are any, or
	// nothing after wait.
	Watch(ctx context.Context, table Table, after int64, wait time.Duration) (Listing, error)
	Put(ctx context.Context, table Table, key string, value []byte) error
	// Remove removes a row if it still has the given revision.
	Remove(ctx context.Context, table Table, key string, revision int64) error
}

// Decoder reads the values of rows.
type Decoder struct {
	Directive func(key string, value []byte) (steering.Directive, error)
	Upstream  func(key string, value []byte) (steering.Upstream, error)
}
