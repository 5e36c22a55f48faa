package bench

import "time"

// Deadlines of the scenarios. The long one exceeds the longest request, so that
// it does not hide slow answers as refusals.
const (
	longDeadline  = 10 * time.Second
	shortDeadline = 500 * time.Millisecond
)

// slotsOf returns the constant slots of a domain as ideal takes them.
func (x *experiment) slotsOf() func(time.Duration) int {
	n := x.size.domainSlots()
	return func(time.Duration) int { return n }
}

// latencyScenario measures the latency at 60% load.
func latencyScenario(x *experiment) error {
	l := load{utilisation: 0.6, deadline: longDeadline}
	requests := plan(x.size, l, x.Duration, x.Seed)
	base, err := x.direct(requests, l)
	if err != nil {
		return err
	}
	best := ideal(requests, x.size.Domains, x.slotsOf())
	for _, v := range x.variants() {
		r, err := x.measure(v, requests, l, nil)
		if err != nil {
			return err
		}
		c := x.cell(v.name)
		c.ratios(r, requests, best, everyPlanned, everyObserved, targetFor(v, atMost(1.2)))
		c.add("median added over a direct call, ms", milliseconds(added(r.outcomes)-base), targetFor(v, atMost(0.5)))
		c.common(r, v)
	}
	return nil
}

// holScenario measures the head-of-line blocking of short requests behind long
// ones; known tells whether the long ones have a route of their own.
func holScenario(x *experiment, known bool) error {
	l := load{utilisation: 0.6, deadline: longDeadline, long: true, known: known}
	requests := plan(x.size, l, x.Duration, x.Seed)
	best := ideal(requests, x.size.Domains, x.slotsOf())
	var p99s comparison
	for _, v := range x.variants() {
		r, err := x.measure(v, requests, l, nil)
		if err != nil {
			return err
		}
		c := x.cell(v.name)
		p99 := c.ratios(r, requests, best, shortPlanned, shortObserved, targetFor(v, atMost(1.2)))
		c.common(r, v)
		p99s.add(v, p99)
	}
	x.compare(p99s)
	return nil
}

// comparison holds the figure of the owner queue and the lowest one of the
// baselines; 0 means that there is none yet.
type comparison struct {
	owner    float64
	baseline float64
}

func (c *comparison) add(v variant, figure float64) {
	switch {
	case isOwner(v):
		c.owner = figure
	case c.baseline == 0 || figure < c.baseline:
		c.baseline = figure
	}
}

// compare reports the best baseline's p99 relative to the owner queue's.
func (x *experiment) compare(p99s comparison) {
	if p99s.owner > 0 && p99s.baseline > 0 {
		x.cell(ownerQueue).add("p99 of the best baseline / own", p99s.baseline/p99s.owner, atLeast(1))
	}
}

// ratios adds the percentiles relative to the ideal queue and returns the
// ratio at p99.
func (c cell) ratios(r *run, requests []planned, best []time.Duration, pass func(*planned) bool, seen func(*observed) bool, t target) float64 {
	h := r.latencies(seen)
	ratio := func(q float64) float64 {
		return float64(h.ValueAtQuantile(q)) / idealPercentile(requests, best, q, pass)
	}
	c.add("p50 / ideal queue", ratio(50), noTarget)
	p99 := ratio(99)
	c.add("p99 / ideal queue", p99, t)
	c.add("p99.9 / ideal queue", ratio(99.9), noTarget)
	return p99
}

// common adds the figures that every scenario reports.
func (c cell) common(r *run, v variant) {
	c.add("failed, %", 100*r.share(failed), noTarget)
	c.add("extra executions, %", 100*r.audit.extra(), targetFor(v, atMost(5)))
	c.add("shed by upstreams", float64(r.audit.shed), noTarget)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// ownersScenario compares arrangements of owners under the owner queue.
func ownersScenario(x *experiment) error {
	l := load{utilisation: 0.6, deadline: longDeadline}
	requests := plan(x.size, l, x.Duration, x.Seed)
	best := ideal(requests, x.size.Domains, x.slotsOf())
	for _, v := range []variant{
		{name: "one owner per pool", policy: ownerQueue, owners: oneOwner},
		{name: "one owner per upstream (two halves)", policy: ownerQueue, owners: splitOwners},
		{name: "two senders with partial views", policy: ownerQueue, owners: twoSenders},
	} {
		r, err := x.measure(v, requests, l, nil)
		if err != nil {
			return err
		}
		c := x.cell(v.name)
		t := noTarget
		if v.owners == oneOwner {
			t = atMost(1.2)
		}
		c.ratios(r, requests, best, everyPlanned, everyObserved, t)
		c.common(r, v)
	}
	return nil
}
