package balance

import (
	"github.com/sequoiacove/sequoiacove/pkg/steering"
)

// splitter distributes the requests of a route among services by smooth weighted
// round robin.
type splitter struct {
	split   []steering.WeightedService
	credits []float64
}

// ChooseService chooses the service for the next request of a route.
func (b *Balancer) ChooseService(r *steering.Route) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	key := r.Host + r.Prefix
	s := b.splitters[key]
	if s == nil || !sameSplit(s.split, r.Split) {
		s = &splitter{split: r.Split, credits: make([]float64, len(r.Split))}
		for i := range s.credits {
			// Random offsets keep instances from following the same sequence.
			s.credits[i] = b.config.Random()
		}
		b.splitters[key] = s
	}
	total := 0.0
	for _, share := range s.split {
		total += share.Weight
	}
	best := -1
	for i, share := range s.split {
		if share.Weight <= 0 {
			continue
		}
		s.credits[i] += share.Weight / total
		if best < 0 || s.credits[i] > s.credits[best] {
			best = i
		}
	}
	if best < 0 {
		return s.split[0].Service
	}
	s.credits[best]--
	return s.split[best].Service
}

// sameSplit reports whether two splits are equal.
func sameSplit(a, b []steering.WeightedService) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
