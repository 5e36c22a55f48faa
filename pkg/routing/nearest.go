package routing

// nearestRow returns one row of the region-to-region routing matrix: the region
// shares used by the instances of region home. The rows let as few requests as
// possible leave their region, while their sum over all regions, weighted by
// demand, equals shares.
//
// A region serves its own demand up to its share. Demand above the share goes
// to regions with spare share, in proportion to the spare share. Without known
// demand in home the result is shares itself, which keeps the sum correct for
// any traffic mix.
func nearestRow(home string, shares, demand vector) vector {
	d := demand.clone()
	if !d.normalize() || d[home] <= 0 {
		return shares.clone()
	}
	row := make(vector, len(shares))
	local := min(1, shares[home]/d[home])
	if local > 0 {
		row[home] = local
	}
	spare := make(vector, len(shares))
	var total float64
	for _, q := range shares.domains() {
		if s := shares[q] - d[q]; s > 0 {
			spare[q] = s
			total += s
		}
	}
	if local >= 1 || total <= shareEpsilon {
		return row
	}
	for q, s := range spare {
		row[q] = (1 - local) * s / total
	}
	return row
}

// splitByDomain splits the region shares of row over the domains in the same
// proportions as shares.
func splitByDomain(row, shares vector, regionOf map[string]string) vector {
	sums := shares.byRegion(regionOf)
	out := make(vector, len(shares))
	for d, s := range shares {
		r := region(regionOf, d)
		if sums[r] > 0 && row[r] > 0 {
			out[d] = row[r] * s / sums[r]
		}
	}
	return out
}
