package routing

// nearestRegionShares returns the region shares that the instances of region home
// use for a service that prefers nearest destinations. They let as few requests
// as possible leave home. The mean of the results for all home regions, weighted
// by demand, equals shares.
//
// A region serves its own demand up to its share. Demand above the share goes to
// regions whose share exceeds their demand, in proportion to the excess. If the
// demand of home is unknown, the result is a copy of shares: if all regions use
// these shares, their mean equals shares for any demand.
func nearestRegionShares(home string, shares, demand vector) vector {
	d := demand.clone()
	if !d.normalize() || d[home] <= 0 {
		return shares.clone()
	}
	regionShares := make(vector, len(shares))
	local := min(1, shares[home]/d[home])
	if local > 0 {
		regionShares[home] = local
	}
	spare := make(vector, len(shares))
	var total float64
	for _, name := range shares.sortedKeys() {
		if s := shares[name] - d[name]; s > 0 {
			spare[name] = s
			total += s
		}
	}
	if local >= 1 || total <= shareEpsilon {
		return regionShares
	}
	for name, s := range spare {
		regionShares[name] = (1 - local) * s / total
	}
	return regionShares
}

// splitByDomain splits regionShares over the domains of each region in the same
// proportions as shares.
func splitByDomain(regionShares, shares vector, regionOf map[string]string) vector {
	sums := shares.byRegion(regionOf)
	split := make(vector, len(shares))
	for d, s := range shares {
		r := region(regionOf, d)
		if sums[r] > 0 && regionShares[r] > 0 {
			split[d] = regionShares[r] * s / sums[r]
		}
	}
	return split
}
