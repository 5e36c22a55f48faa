package routing

import "github.com/sequoiacove/sequoiacove/pkg/cluster"

// Range is the lowest and highest share of a region among live peers.
type Range struct{ Low, High float64 }

// peerShares gives the ranges of the peers' shares of one service. They are
// computed on first use: only a moving service needs them, and with 3,300
// members they cost milliseconds.
type peerShares struct {
	service  string
	members  []cluster.Member
	mean     cluster.Shares
	regionOf map[string]string
	cached   map[string]Range
}

// ranges returns the range of each region, or nil when no peer reports shares.
// The mean stands for peers whose shares did not arrive.
func (p *peerShares) ranges() map[string]Range {
	if p == nil || p.cached != nil {
		return p.cachedRanges()
	}
	count := 0
	ranges := make(map[string]Range)
	for i := range p.members {
		if shares := p.members[i].Shares[p.service]; len(shares) > 0 {
			p.add(ranges, shares, count)
			count++
		}
	}
	if mean := p.mean[p.service]; count == 0 && len(mean) > 0 {
		p.add(ranges, mean, 0)
	}
	p.cached = ranges
	return p.cachedRanges()
}

func (p *peerShares) cachedRanges() map[string]Range {
	if p == nil || len(p.cached) == 0 {
		return nil
	}
	return p.cached
}

// add extends the ranges by the shares of one peer after count others. A region
// that one of them lacks has the share 0 there.
func (p *peerShares) add(ranges map[string]Range, shares map[string]float64, count int) {
	sums := make(map[string]float64, len(ranges))
	for d, share := range shares {
		sums[region(p.regionOf, d)] += share
	}
	for name, sum := range sums {
		r, known := ranges[name]
		switch {
		case known:
			ranges[name] = Range{min(r.Low, sum), max(r.High, sum)}
		case count == 0:
			ranges[name] = Range{sum, sum}
		default:
			ranges[name] = Range{0, sum}
		}
	}
	for name, r := range ranges {
		if _, ok := sums[name]; !ok {
			ranges[name] = Range{0, r.High}
		}
	}
}
