package admission

import "github.com/sequoiacove/sequoiacove/pkg/result"

// Baseline policies; they serve as a comparison and send every request at once.
const (
	roundRobin = "round_robin"
	leastOfTwo = "least_of_two"
)

// admitAtOnce binds t to an upstream without regard to slots.
func (p *pool) admitAtOnce(t *task) (*execution, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errPoolMoved()
	}
	var usable []*target
	for _, u := range p.targets {
		if !u.leaving() {
			usable = append(usable, u)
		}
	}
	if len(usable) == 0 {
		return nil, result.New(result.NoUpstream, "no upstream of %s takes work", p.service)
	}
	return p.bind(p.pick(usable), t, p.config.Clock.Now(), false), nil
}

func (p *pool) pick(usable []*target) *target {
	switch p.config.Settings.Policy {
	case roundRobin:
		p.turn++
		return usable[p.turn%len(usable)]
	case leastOfTwo:
		a, b := usable[p.random.IntN(len(usable))], usable[p.random.IntN(len(usable))]
		if b.inUse() < a.inUse() {
			return b
		}
		return a
	default:
		return usable[p.random.IntN(len(usable))]
	}
}
