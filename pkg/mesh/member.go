package mesh

import (
	"github.com/sequoiacove/sequoiacove/pkg/catalog"
	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/revision"
)

// State is the lifecycle state that an instance reports.
type State uint8

// States of an instance.
const (
	// Starting instances have no configuration yet.
	Starting State = iota + 1
	Serving
	Leaving
)

// Member is a live instance.
type Member struct {
	ID     string
	Region string
	Domain string
	// CallerAddress is the address on which the instance serves callers.
	CallerAddress string `json:"Caller"`
	// Address is the address on which the instance receives mesh traffic.
	Address string
	// LinkMbps is the rate of the instance's link in Mbit/s, 0 if it is not known, as for
	// members of other regions.
	LinkMbps float64
	Status
}

// Status is what an instance reports about itself.
type Status struct {
	State State
	// DirectivesRevision and UpstreamsRevision are the revisions of the tables that
	// the instance holds.
	DirectivesRevision revision.Revision `json:"Directives"`
	UpstreamsRevision  revision.Revision `json:"Upstreams"`
	// Watching reports whether the instance watches the store and can reach
	// it.
	Watching bool
	// Proofs holds the times until which the tables are proven current. Digests do not carry
	// them.
	Proofs catalog.Proofs `json:"-"`
	// DescriptionVersion is the version of the operator's description in force.
	DescriptionVersion uint64 `json:"Version"`
	// ActiveRequests is the number of callers' requests in flight.
	ActiveRequests int `json:"Active"`
	// Shares holds the shares in effect. The digests of other regions carry only
	// the mean over the region (Config.OnRegionShares).
	Shares cluster.Shares
	// RequestRates holds the request rate per second of the instance's own callers
	// by service, for the services named in the description. The digests of other
	// regions carry only the sum over the region (Config.OnRegionShares).
	RequestRates cluster.RequestRates `json:"Rates"`
}
