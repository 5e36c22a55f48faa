// Package platform reaches the services that the platform provides: a
// transactional table, an object store and a list of instances.
//
// The interfaces are small so that fakes can take the platform's place in
// tests. Their HTTP form is fixed in docs/protocols.md. Every call may fail
// with StoreUnavailable (nothing happened), StoreNoAnswer (a write may have
// taken effect), StoreConflict or StoreProtocol.
package platform

import (
	"context"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
)

// Row is one row of the table. Revision rises with every write of the row and
// is 0 for a row that does not exist.
type Row struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

// Condition requires a row to have a revision; revision 0 requires its absence.
type Condition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// Write sets a row's value.
type Write struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Transaction applies all writes if all conditions hold, else nothing.
type Transaction struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Table is the transactional table service.
type Table interface {
	// Get returns a row; a missing row has revision 0 and no error.
	Get(ctx context.Context, key string) (Row, error)
	// List returns up to limit rows with the prefix in key order, starting
	// after the given key.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Transact applies a transaction and returns the revision of its writes.
	Transact(ctx context.Context, tx Transaction) (uint64, error)
}

// Objects is the object store; objects are named by the SHA-256 of their
// content in hexadecimal.
type Objects interface {
	Put(ctx context.Context, hash string, body []byte) error
	Get(ctx context.Context, hash string) ([]byte, error)
}

// Role tells what an instance of the platform's list runs.
type Role string

// Roles of instances.
const (
	RoleEntry    Role = "entry"
	RoleUpstream Role = "upstream"
)

// Instance is one instance in the platform's list. Address is the caller
// address of an entry instance and the request address of an upstream.
type Instance struct {
	ID           string        `json:"id"`
	Role         Role          `json:"role"`
	Service      string        `json:"service,omitempty"`
	Region       string        `json:"region"`
	Domain       string        `json:"domain"`
	Address      string        `json:"address"`
	AgentAddress string        `json:"agent_address,omitempty"`
	State        cluster.State `json:"state"`
	Slots        int           `json:"slots,omitempty"`
}

// Lister reads the platform's lagging list of instances.
type Lister interface {
	Instances(ctx context.Context) ([]Instance, error)
}
