package admission

import (
	"sort"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/event"
)

// ejectionRounding makes a MaxEjected of 0.33 allow one of three upstreams.
const ejectionRounding = 0.05

// ejectIfFaulty ejects u when the observations show it to be failing or slow and
// enough upstreams stay in use.
func (p *pool) ejectIfFaulty(u *target, now time.Time) {
	if u.health.ejected(now) || u.leaving() {
		return
	}
	reason := u.health.verdict(now, u.overdue(now), p.medianRatio(now))
	if reason == slowReason && u.slowStart.active {
		// A cold upstream warms up only by running requests.
		return
	}
	if reason == "" || !p.mayEject(now) {
		return
	}
	d := u.health.eject(now, reason)
	p.counts.Ejections++
	p.wakeAfter(d)
	event.Log(p.config.Logger, event.UpstreamEjected, "service", p.service, "upstream", u.id, "reason", reason, "for", d)
}

// mayEject tells whether one more upstream may be out of use. Ejected
// upstreams count even while they leave.
func (p *pool) mayEject(now time.Time) bool {
	out := 1
	for _, u := range p.targets {
		if u.health.ejected(now) {
			out++
		}
	}
	return float64(out) <= p.config.Settings.MaxEjected*float64(len(p.targets))+ejectionRounding
}

// medianRatio returns the median latency ratio of the pool's upstreams.
func (p *pool) medianRatio(now time.Time) float64 {
	if now.Sub(p.ratioAt) < ratioRefresh {
		return p.ratio
	}
	ratios := make([]float64, 0, len(p.targets))
	for _, u := range p.targets {
		ratios = append(ratios, u.health.median(now))
	}
	sort.Float64s(ratios)
	p.ratio, p.ratioAt = 1, now
	if len(ratios) > 0 {
		p.ratio = max(1, ratios[len(ratios)/2])
	}
	return p.ratio
}

// ratioRefresh is how long a calculated pool median is used.
const ratioRefresh = 50 * time.Millisecond

// readmit returns upstreams whose ejection has ended to use, with slow start.
func (p *pool) readmit(now time.Time) {
	for _, u := range p.targets {
		if u.health.reason != "" && !u.health.ejected(now) {
			u.health.readmit()
			u.slowStart.begin()
			event.Log(p.config.Logger, event.UpstreamReturned, "service", p.service, "upstream", u.id)
		}
	}
}
