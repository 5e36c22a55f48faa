package bench

import "time"

// Deadlines of the scenarios. The long one exceeds the longest request, so that
// it does not hide slow answers as refusals.
const (
	longDeadline  = 10 * time.Second
	shortDeadline = 500 * time.Millisecond
)

func (x *experiment) slotsOf() func(time.Duration) int {
	n := x.size.domainSlots()
	return func(time.Duration) int { return n }
}

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

func holScenario(x *experiment, known bool) error {
	l := load{utilisation: 0.6, deadline: longDeadline, long: true, known: known}
	requests := plan(x.size, l, x.Duration, x.Seed)
	best := ideal(requests, x.size.Domains, x.slotsOf())
	var owner float64
	lead := 0.0
	for _, v := range x.variants() {
		r, err := x.measure(v, requests, l, nil)
		if err != nil {
			return err
		}
		c := x.cell(v.name)
		p99 := c.ratios(r, requests, best, shortPlanned, shortObserved, targetFor(v, atMost(1.2)))
		c.common(r, v)
		owner, lead = compare(v, p99, owner, lead)
	}
	x.lead(owner, lead)
	return nil
}

// compare keeps the owner's figure and the best one of the baselines.
func compare(v variant, figure, owner, best float64) (float64, float64) {
	if isOwner(v) {
		return figure, best
	}
	if best == 0 || figure < best {
		best = figure
	}
	return owner, best
}

// lead reports the best baseline's figure relative to the owner queue's.
func (x *experiment) lead(owner, best float64) {
	if owner > 0 && best > 0 {
		x.cell("owner_queue").add("p99 of the best baseline / own", best/owner, atLeast(1))
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

func ownersScenario(x *experiment) error {
	l := load{utilisation: 0.6, deadline: longDeadline}
	requests := plan(x.size, l, x.Duration, x.Seed)
	best := ideal(requests, x.size.Domains, x.slotsOf())
	for _, v := range []variant{
		{name: "one owner per pool", policy: "owner_queue", owners: oneOwner},
		{name: "one owner per upstream (two halves)", policy: "owner_queue", owners: splitOwners},
		{name: "two senders with partial views", policy: "owner_queue", owners: twoSenders},
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
