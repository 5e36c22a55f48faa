package balance

import (
	"math"
	"sort"

	"github.com/sequoiacove/sequoiacove/pkg/steering"
)

// minLoggedShift is the change of a share above which the shares are logged.
const minLoggedShift = 0.05

// regionShares holds the fraction of a route's requests that is sent to each region.
type regionShares struct {
	weights map[string]float64
	// credits holds the state of the round robin for requests without a key.
	credits map[string]float64
	// lastLogged holds the shares that were logged last.
	lastLogged map[string]float64
}

// nextRegion returns the region of the next request, or "" if no region has usable
// slots. key names the object that the request accesses. Requests with the same key go to
// the same region as long as the weights do not change. Requests without a key are
// distributed by smooth weighted round robin: each region's request count stays within
// about one of its weighted portion. localRegion is the
// region of this instance.
func (s *regionShares) nextRegion(r *steering.Route, key, localRegion string, usableSlots map[string]float64) string {
	weights := s.allowedWeights(r, usableSlots)
	if key != "" {
		return s.regionForObject(weights, key, localRegion)
	}
	best, bestCredit := "", math.Inf(-1)
	if s.credits == nil {
		s.credits = make(map[string]float64)
	}
	for region, weight := range weights {
		s.credits[region] = math.Min(2, s.credits[region]+weight)
		if c := s.credits[region]; weight > 0 && (c > bestCredit || c == bestCredit && region < best) {
			best, bestCredit = region, c
		}
	}
	if best != "" {
		s.credits[best]--
	}
	return best
}

// allowedWeights returns the weights, summing to 1, of the regions that have
// usable slots and may serve the route. If none of them has a share, the weights
// are proportional to the slots.
func (s *regionShares) allowedWeights(r *steering.Route, usableSlots map[string]float64) map[string]float64 {
	total, slots := 0.0, 0.0
	weights := make(map[string]float64, len(usableSlots))
	for region, n := range usableSlots {
		if n > 0 && r.AllowsRegion(region) {
			weights[region] = s.weights[region]
			total += s.weights[region]
			slots += n
		}
	}
	for region := range weights {
		if total > 0 {
			weights[region] /= total
		} else {
			weights[region] = usableSlots[region] / slots
		}
	}
	return weights
}

// regionForObject maps an object to a region. localRegion, the region of this
// instance, gets the objects whose hash is below its weight. A second hash
// distributes the rest, so that a change of the weight of localRegion moves no
// object between two other regions.
func (s *regionShares) regionForObject(weights map[string]float64, key, localRegion string) string {
	localWeight := weights[localRegion]
	if unitInterval(hash(key, "local")) < localWeight {
		return localRegion
	}
	names := make([]string, 0, len(weights))
	for region, w := range weights {
		if region != localRegion && w > 0 {
			names = append(names, region)
		}
	}
	if len(names) == 0 {
		if localWeight > 0 {
			return localRegion
		}
		return ""
	}
	sort.Strings(names)
	point := unitInterval(hash(key, "remote")) * (1 - localWeight)
	for _, region := range names {
		if point -= weights[region]; point < 0 {
			return region
		}
	}
	return names[len(names)-1]
}

// moveTowards moves the weights towards the target by at most limit in total.
func (s *regionShares) moveTowards(target map[string]float64, limit float64) {
	if s.weights == nil {
		s.weights = target
		return
	}
	distance := 0.0
	for region, w := range target {
		distance += math.Max(0, w-s.weights[region])
	}
	if distance <= 0 {
		return
	}
	step := math.Min(1, limit/distance)
	moved := make(map[string]float64, len(target))
	for region, w := range target {
		moved[region] = s.weights[region] + step*(w-s.weights[region])
	}
	for region, w := range s.weights {
		if _, ok := target[region]; !ok && w > 0 {
			moved[region] = w * (1 - step)
		}
	}
	s.weights = moved
}

// updateLastLogged sets s.lastLogged to the current shares if one of them has changed by
// more than minLoggedShift since s.lastLogged was last set. It reports whether it did,
// in which case the shares are to be logged.
func (s *regionShares) updateLastLogged() bool {
	changed := s.lastLogged == nil
	for region, w := range s.weights {
		changed = changed || math.Abs(w-s.lastLogged[region]) > minLoggedShift
	}
	if changed {
		s.lastLogged = make(map[string]float64, len(s.weights))
		for region, w := range s.weights {
			s.lastLogged[region] = math.Round(100*w) / 100
		}
	}
	return changed
}
