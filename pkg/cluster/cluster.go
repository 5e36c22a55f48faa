// Package cluster defines types shared by other packages: the live instances of the
// system (Member), the traffic shares and request rates that they report, and the
// accepted versions of the operators' traffic description (Version), which is the
// document that package description parses.
package cluster

// State is the lifecycle state of a member.
type State string

// States of members. A leaving instance is shutting down or drained.
const (
	Serving State = "serving"
	Leaving State = "leaving"
)

// Shares maps a service to the effective share of each failure domain, that is, the
// fraction of the service's requests that the domain currently gets. The shares of
// one service sum to 1.
type Shares map[string]map[string]float64

// RequestRates maps a service to the rate at which callers send requests to one
// instance, in requests per second.
type RequestRates map[string]float64

// Member is a live instance as seen by another instance.
type Member struct {
	ID     string `json:"id"`
	Region string `json:"region"`
	Domain string `json:"domain"`
	State  State  `json:"state"`
	// CallerAddress is the address at which the instance serves callers.
	CallerAddress string `json:"caller_address"`
	// DescriptionVersion is the version of the description in force at the instance.
	DescriptionVersion uint64 `json:"version"`
	// ActiveRequests is the number of callers' requests in flight.
	ActiveRequests int          `json:"active"`
	Shares         Shares       `json:"shares,omitempty"`
	RequestRates   RequestRates `json:"demand,omitempty"`
}

// Version is an accepted version of the description. Number 0 means none.
type Version struct {
	Number uint64 `cbor:"n" json:"number"`
	Hash   string `cbor:"h" json:"hash"`
	// Body is the description as JSON; Hash is its SHA-256 in hexadecimal.
	Body []byte `cbor:"b" json:"-"`
	// PreviousBody is the description of the previous version, or empty.
	PreviousBody []byte `cbor:"pb,omitempty" json:"-"`
	// BaseHash is used between instances. If it is set, Body is the difference (package
	// transfer) to the body with this hash, which is also the previous one.
	BaseHash string `cbor:"bh,omitempty" json:"-"`
	// AcceptedUnixMS is the acceptance time in Unix milliseconds, by the clock of
	// the accepting instance.
	AcceptedUnixMS int64  `cbor:"at" json:"accepted_unix_ms"`
	PatchID        string `cbor:"pi" json:"patch_id"`
	Operator       string `cbor:"op" json:"operator"`
	// PreviousHash is the hash of the previous version, and Digest that of the proposal that
	// created this one. Older releases omit both.
	PreviousHash string `cbor:"ph,omitempty" json:"-"`
	Digest       string `cbor:"pd,omitempty" json:"-"`
	// Earlier is used between instances. It holds the records of the versions before, without
	// bodies, from which a store that has lost them can be restored.
	Earlier []Version `cbor:"ev,omitempty" json:"-"`
}
