package routing

import "github.com/sequoiacove/sequoiacove/pkg/cluster"

// shareRange holds the lowest and highest share of a region among live peers.
type shareRange struct{ low, high float64 }

// peerShareRanges computes the ranges of the peers' shares of one service. The
// result is computed on first use: only a service that is moving needs it, and
// with 3,300 members the computation takes milliseconds.
type peerShareRanges struct {
	service    string
	members    []cluster.Member
	meanShares cluster.Shares
	regionOf   map[string]string
	cached     map[string]shareRange
}

// ranges returns the range of each region. It is empty if no peer reports
// shares.
func (p *peerShareRanges) ranges() map[string]shareRange {
	if p == nil {
		return nil
	}
	if p.cached == nil {
		p.cached = p.compute()
	}
	return p.cached
}

// compute returns the ranges over the members. If no member's shares have
// arrived, it uses the mean.
func (p *peerShareRanges) compute() map[string]shareRange {
	count := 0
	ranges := make(map[string]shareRange)
	for i := range p.members {
		if shares := p.members[i].Shares[p.service]; len(shares) > 0 {
			p.extend(ranges, shares, count)
			count++
		}
	}
	if mean := p.meanShares[p.service]; count == 0 && len(mean) > 0 {
		p.extend(ranges, mean, 0)
	}
	return ranges
}

// extend widens the ranges, which cover count peers, to include the shares of one
// more peer. A region that a peer's shares do not contain counts as share 0.
func (p *peerShareRanges) extend(ranges map[string]shareRange, shares map[string]float64, count int) {
	sums := make(map[string]float64, len(ranges))
	for d, share := range shares {
		sums[region(p.regionOf, d)] += share
	}
	for name, sum := range sums {
		r, known := ranges[name]
		switch {
		case known:
			ranges[name] = shareRange{min(r.low, sum), max(r.high, sum)}
		case count == 0:
			ranges[name] = shareRange{sum, sum}
		default:
			ranges[name] = shareRange{0, sum}
		}
	}
	for name, r := range ranges {
		if _, ok := sums[name]; !ok {
			ranges[name] = shareRange{0, r.high}
		}
	}
}
