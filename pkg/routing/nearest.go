package routing

// nearestRow returns the region shares that the instances of home use so that
// as few requests as possible leave their region, while the sum over all
// regions, weighted by their demand, equals shares.
//
// A region serves its own demand up to its share. What a region has beyond its
// share goes to the regions with spare share, in proportion to what they can
// spare. Without a demand of home the row is shares itself, which holds the sum
// for any mix of traffic.
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

// withinRegions splits the region shares of row over domains as shares does.
func withinRegions(row, shares vector, regionOf map[string]string) vector {
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
