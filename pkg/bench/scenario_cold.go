package bench

import "time"

// coldExecutions is the number of executions until a cold upstream has its full
// speed.
const coldExecutions = 60

// coldScenario adds cold upstreams to every domain, as many as it has, and
// raises the load with the slots at the same time.
func coldScenario(x *experiment) error {
	half := x.size
	half.Upstreams /= 2
	if half.Upstreams%half.Domains != 0 {
		half.Upstreams = max(half.Upstreams/half.Domains, 1) * half.Domains
	}
	grown := half
	grown.Upstreams *= 2
	stepAt := x.Duration / 4
	l := load{utilisation: 0.6, deadline: longDeadline, stepAt: stepAt, before: 0.5}
	requests := plan(grown, l, x.Duration, x.Seed)
	best := ideal(requests, grown.Domains, func(at time.Duration) int {
		if at < stepAt {
			return half.domainSlots()
		}
		return grown.domainSlots()
	})
	var p99s comparison
	for _, v := range x.variants() {
		y := *x
		y.size = half
		r, err := y.measure(v, requests, l, func(f *fleet, start time.Time) {
			sleepUntil(start.Add(stepAt))
			f.grow(half, x.Seed)
		})
		if err != nil {
			return err
		}
		c := x.cell(v.name)
		p99 := c.ratios(r, requests, best, everyPlanned, everyObserved, targetFor(v, atMost(coldBound)))
		c.add("requests without a complete answer", float64(len(r.outcomes))*r.share(failed), targetFor(v, atMost(0)))
		c.common(r, v)
		p99s.add(v, p99)
	}
	x.compare(p99s)
	return nil
}

// coldBound bounds p99 while upstreams warm up: a cold execution takes up to
// four times as long.
const coldBound = 4

func (f *fleet) grow(size Size, seed uint64) {
	for _, d := range f.domains {
		for range size.Upstreams / size.Domains {
			if d.add(size, coldExecutions, seed) != nil {
				return
			}
		}
		d.update()
	}
}
