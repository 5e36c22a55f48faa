// Package routing decides which failure domain serves a request.
//
// Every service has an effective share vector over the failure domains. It
// moves in a straight line to its target, no faster than the caps of the
// service allow. The target is the configured vector with the shares of
// unreachable domains set to 0 and the others rescaled. A chooser turns the
// vector into a deterministic sequence of destinations whose request counts
// stay within about one request of the shares.
//
// For a service that prefers nearest destinations, an instance uses shares that
// keep requests in their region. It uses these shares only up to the request rate
// that it reports to its peers as its demand, and the effective shares for all
// requests above that rate. The mean of the regions' shares, weighted by demand,
// equals the effective shares.
//
// Table holds one service value per service. The limiter of a service moves the
// vector and its chooser picks the destinations. nearestRegionShares computes the
// shares that keep requests in their region.
//
// Each instance keeps its own vectors and applies the caps to them. The
// fleet-wide shares are the mean of these vectors, weighted by the traffic of
// each instance. While the weights stay constant, the fleet-wide shares respect
// the caps too. When the weights change, the fleet-wide shares can jump by up to
// the distance between the vectors. The lead limit, which keeps an instance from
// moving too far ahead of its peers, bounds that distance.
// docs/decisions/0003-shares-and-caps.md has the measurements.
package routing
