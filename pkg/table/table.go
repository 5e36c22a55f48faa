// Package table defines the interfaces Table (transactional) and ObjectStore
// (content-addressed). The system keeps its data there, in the platform's store but
// apart from the platform's tables. The interfaces are small so that tests can use an
// in-memory store.
//
// Every call may fail with StoreUnavailable (nothing was written), StoreNoAnswer
// (a write may have taken effect), StoreConflict or StoreProtocol.
package table

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
)

// Row is one row of the table. Revision increases with every write to the row and
// is 0 if the row does not exist.
type Row struct {
	Key      string
	Value    []byte
	Revision uint64
}

// Condition requires that a row has the given revision. Revision 0 requires that
// the row does not exist.
type Condition struct {
	Key      string
	Revision uint64
}

// Write sets the value of a row.
type Write struct {
	Key   string
	Value []byte
}

// Transaction applies all of its writes if all of its conditions hold, otherwise
// none.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
}

// Table is a transactional table.
type Table interface {
	// Get returns a row; a missing row has revision 0 and no error.
	Get(ctx context.Context, key string) (Row, error)
	// List returns up to limit rows in key order whose keys have the prefix and
	// sort after the given key.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Transact applies a transaction and returns the revision of its writes.
	Transact(ctx context.Context, tx Transaction) (uint64, error)
}

// ObjectStore is a content-addressed object store. The key of an object is the
// SHA-256 of its content in hexadecimal.
type ObjectStore interface {
	Put(ctx context.Context, hash string, body []byte) error
	// Get returns the content of an object, or an ObjectNotFound error.
	Get(ctx context.Context, hash string) ([]byte, error)
}

// ValidHash reports whether hash is a SHA-256 in lower-case hexadecimal.
func ValidHash(hash string) bool {
	if len(hash) != hex.EncodedLen(sha256.Size) {
		return false
	}
	for _, c := range hash {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}
