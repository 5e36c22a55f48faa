// Package routing decides which failure domain serves a request.
//
// Every service has an effective share vector over the failure domains. It
// moves in a straight line to its target, no faster than the caps of the
// service allow. The target is the configured vector with the shares of
// unreachable domains set to 0 and the others rescaled. A chooser turns the
// vector into a deterministic sequence of destinations whose request counts
// stay within about one request of the shares.
//
// Each instance keeps its own vectors. If every instance respects the cap and
// the traffic mix between instances is steady, their sum respects it too. When
// the mix changes, the sum can move by up to the distance between the vectors;
// the lead limit bounds that distance. docs/decisions/0003-shares-and-caps.md
// has the measurements.
package routing
