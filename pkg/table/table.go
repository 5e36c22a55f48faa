// Package table defines what the product keeps in the platform's store besides
// the platform's own tables: rows that change by transactions, and objects that
// are named by their content. The interfaces are small so that fakes can take
// the store's place in tests.
//
// Every call may fail with StoreUnavailable (nothing happened), StoreNoAnswer
// (a write may have taken effect), StoreConflict or StoreProtocol.
package table

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
)

// Row is one row of the table. Revision rises with every write of the row and
// is 0 for a row that does not exist.
type Row struct {
	Key      string
	Value    []byte
	Revision uint64
}

// Condition requires a row to have a revision; revision 0 requires its absence.
type Condition struct {
	Key      string
	Revision uint64
}

// Write sets a row's value.
type Write struct {
	Key   string
	Value []byte
}

// Transaction applies all writes if all conditions hold, else nothing.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
}

// Table is a transactional table.
type Table interface {
	// Get returns a row; a missing row has revision 0 and no error.
	Get(ctx context.Context, key string) (Row, error)
	// List returns up to limit rows with the prefix in key order, starting
	// after the given key.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Transact applies a transaction and returns the revision of its writes.
	Transact(ctx context.Context, tx Transaction) (uint64, error)
}

// ObjectStore is an object store; objects are named by the SHA-256 of their
// content in hexadecimal.
type ObjectStore interface {
	Put(ctx context.Context, hash string, body []byte) error
	Get(ctx context.Context, hash string) ([]byte, error)
}

// ValidHash tells whether hash is a SHA-256 in lower-case hexadecimal.
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
