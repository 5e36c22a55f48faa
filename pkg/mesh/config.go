package mesh

import (
	"log/slog"
	"net"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/balance"
	"github.com/sequoiacove/sequoiacove/pkg/cluster"
)

// Config configures a Mesh.
type Config struct {
	// Self describes this instance. Self.Address is the address at which the other
	// members reach it.
	Self Member
	// Incarnation distinguishes successive starts of an instance with the
	// same id.
	Incarnation uint64
	// OpenSocket opens a socket for sending. If it is nil, datagrams are sent
	// from the receiving socket.
	OpenSocket func() (net.PacketConn, error)
	// Seeds are the addresses to probe before any member is known.
	Seeds  []string
	Now    func() time.Time
	Random func() float64
	Logger *slog.Logger
	// LocalStatus, InFlight, Demands and RouteStats return the current status,
	// requests in flight, demand and measurements of this instance.
	LocalStatus func() Status
	InFlight    func() []balance.InFlight
	Demands     func() []balance.Demand
	RouteStats  func() []balance.RouteStats
	// Notices returns what upstreams have said to this instance, and RegionNotices what they
	// have said to the instances of the local region.
	Notices       func() balance.Notices
	RegionNotices func() balance.Notices
	// RegionTotals returns the totals over the local region.
	RegionTotals func() ([]balance.InFlight, []balance.Demand)
	// OnLoad and OnDemand receive the reports of the members of the local
	// region, and the totals of other regions under the id "region/NAME".
	// OnRouteStats receives the measurements of a member of the local region.
	// OnHeartbeat receives each heartbeat of a member of the local region.
	// OnMembershipChange is called when a member joins, restarts, dies, or changes its
	// state or caller address.
	OnLoad       func(id, region string, list []balance.InFlight)
	OnDemand     func(id, region string, list []balance.Demand)
	OnRouteStats func(id, region string, list []balance.RouteStats)
	// OnNotices receives what upstreams have said to a member of the local region, or to the
	// instances of another region.
	OnNotices          func(region string, n balance.Notices)
	OnMembershipChange func()
	OnHeartbeat        func(Member)
	// OnRegionShares receives the mean of the shares in effect in another
	// region and the sum of its request rates per second.
	OnRegionShares func(region string, shares cluster.Shares, rates cluster.RequestRates)
}
