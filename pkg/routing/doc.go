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
// keep requests in their region, up to the demand that it reports to its peers.
// The sum over all regions stays the same.
//
// Table holds one service value per service. The limiter of a service moves the
// vector and its chooser picks the destinations; nearestRow computes the shares
// that keep requests in their region.
//
// Each instance keeps its own vectors. If every instance respects the cap and
// the traffic mix between instances is steady, their sum respects it too. When
// the mix changes, the sum can move by up to the distance between the vectors.
// The lead limit, which keeps an instance from moving too far ahead of its
// peers, bounds that distance. docs/decisions/0003-shares-and-caps.md has the
// measurements.
package routing
