package agent

import (
	"math"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
)

// meanShares returns the mean effective shares of the live members other than
// the one with id self. A peer counts only for the services that it has.
func meanShares(members []cluster.Member, self string) cluster.Shares {
	sums := make(cluster.Shares)
	counts := make(map[string]float64)
	for i := range members {
		if !isLivePeer(&members[i], self) {
			continue
		}
		for service, shares := range members[i].Shares {
			if !proper(shares) {
				continue
			}
			counts[service]++
			if sums[service] == nil {
				sums[service] = make(map[string]float64)
			}
			for domain, share := range shares {
				sums[service][domain] += share
			}
		}
	}
	for service, shares := range sums {
		for domain := range shares {
			shares[domain] /= counts[service]
		}
	}
	return sums
}

// isLivePeer reports whether a member other than self has an entry that answers.
func isLivePeer(m *cluster.Member, self string) bool {
	return m.ID != self && m.State != cluster.Dead && m.EntryIncarnation != 0
}

// shareSumTolerance is far above the rounding of a moving vector and far below
// a share that matters.
const shareSumTolerance = 1e-3

// proper reports whether shares are non-negative and sum to 1.
func proper(shares map[string]float64) bool {
	var sum float64
	for _, share := range shares {
		if !(share >= 0 && share <= 1) {
			return false
		}
		sum += share
	}
	return math.Abs(sum-1) <= shareSumTolerance
}
