package cluster

import "math"

// SharesWithin reports whether two share vectors differ by at most limit in every
// failure domain.
func SharesWithin(a, b map[string]float64, limit float64) bool {
	for domain, share := range a {
		if math.Abs(share-b[domain]) > limit {
			return false
		}
	}
	for domain, share := range b {
		if math.Abs(share-a[domain]) > limit {
			return false
		}
	}
	return true
}

// MeanShares returns the mean effective shares of the members per service. A member
// without valid shares for a service is ignored for that service.
func MeanShares(members []Member) Shares {
	sums := make(Shares)
	counts := make(map[string]float64)
	for i := range members {
		for service, shares := range members[i].Shares {
			if !ValidShares(shares) {
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

// shareSumTolerance is the permitted deviation of a sum of shares from 1. It is far
// above the rounding errors of shares that are being moved and far below any
// significant share.
const shareSumTolerance = 1e-3

// ValidShares reports whether the shares are within [0, 1] and sum to 1 within
// shareSumTolerance.
func ValidShares(shares map[string]float64) bool {
	var sum float64
	for _, share := range shares {
		if !(share >= 0 && share <= 1) {
			return false
		}
		sum += share
	}
	return math.Abs(sum-1) <= shareSumTolerance
}
