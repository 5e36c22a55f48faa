package routing

import (
	"math"
	"sort"
)

// vector maps failure domains or regions to shares. It also holds the demand of
// regions in requests per second.
type vector map[string]float64

func (v vector) clone() vector {
	c := make(vector, len(v))
	for d, s := range v {
		c[d] = s
	}
	return c
}

func (v vector) sum() float64 {
	var sum float64
	for _, d := range v.sortedKeys() {
		sum += v[d]
	}
	return sum
}

// isZero reports whether all values are 0 within shareEpsilon.
func (v vector) isZero() bool {
	for _, value := range v {
		if math.Abs(value) > shareEpsilon {
			return false
		}
	}
	return true
}

// sortedKeys returns the keys in sorted order, so that sums round the same way
// on every instance.
func (v vector) sortedKeys() []string {
	names := make([]string, 0, len(v))
	for d := range v {
		names = append(names, d)
	}
	sort.Strings(names)
	return names
}

// normalize scales v to a sum of 1 and drops shares that are not positive
// finite numbers. ok is false if nothing remains or the sum is infinite.
func (v vector) normalize() (ok bool) {
	for d, s := range v {
		if !(s > 0) || math.IsInf(s, 0) {
			delete(v, d)
		}
	}
	sum := v.sum()
	if !(sum > 0) || math.IsInf(sum, 0) {
		return false
	}
	for d := range v {
		v[d] /= sum
	}
	return true
}

// byRegion sums the shares of each region.
func (v vector) byRegion(regionOf map[string]string) vector {
	sums := make(vector)
	for _, d := range v.sortedKeys() {
		sums[region(regionOf, d)] += v[d]
	}
	return sums
}

// region returns the region of a domain. A domain without a known region, such
// as one that the description no longer names, is treated as a region of its
// own, so that the region cap still applies to it.
func region(regionOf map[string]string, domain string) string {
	if r, ok := regionOf[domain]; ok {
		return r
	}
	return "domain:" + domain
}

// reachableTarget returns target without the unreachable domains, rescaled to a
// sum of 1. ok is false if no domain with a share is reachable.
func reachableTarget(target vector, reachable map[string]bool) (vector, bool) {
	goal := make(vector, len(target))
	for d, s := range target {
		if reachable[d] {
			goal[d] = s
		}
	}
	ok := goal.normalize()
	return goal, ok
}
