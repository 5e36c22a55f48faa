package admission

import (
	"sort"
	"time"
)

// Figures for the ejection of upstreams by own observation.
const (
	// ratioMemory is the number of recent executions whose latency is kept.
	ratioMemory = 12
	// ratioLifetime is how long an observation counts.
	ratioLifetime = 5 * time.Second
	// slowRatio is the latency, relative to the median of the route, from which
	// an execution counts as slow.
	slowRatio = 4.0
	// minSlow is the number of slow executions that can eject an upstream; a
	// lower one would eject upstreams for a few long requests.
	minSlow = 4
	// maxErrors is the number of successive errors that eject an upstream.
	maxErrors = 3
	// firstEjection and longestEjection bound the time out of use, which
	// doubles with every ejection that follows within forgetEjections.
	firstEjection   = time.Second
	longestEjection = 15 * time.Second
	forgetEjections = 30 * time.Second
	// shedPause keeps work from an upstream that shed a request, because
	// another sender occupies its slots.
	shedPause = 5 * time.Millisecond
)

// observation is the latency of an execution relative to the median of its route.
type observation struct {
	ratio float64
	at    time.Time
}

// counts tells whether o was made and is recent enough to be used.
func (o *observation) counts(now time.Time) bool {
	return !o.at.IsZero() && now.Sub(o.at) <= ratioLifetime
}

// health is what the owner observed about an upstream.
type health struct {
	recent     [ratioMemory]observation
	next       int
	errors     int
	shedUntil  time.Time
	errorUntil time.Time

	ejections    int
	ejectedAt    time.Time
	ejectedUntil time.Time
	reason       string
}

func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

func (h *health) observe(ratio float64, now time.Time) {
	h.recent[h.next] = observation{ratio: ratio, at: now}
	h.next = (h.next + 1) % ratioMemory
}

// errorPause keeps work from an upstream after an error while others are idle.
const errorPause = 200 * time.Millisecond

func (h *health) failed(now time.Time) {
	h.errors++
	h.errorUntil = now.Add(errorPause)
}

func (h *health) answered() { h.errors = 0 }

// nthLatest returns the n-th latest observation; 1 is the last one.
func (h *health) nthLatest(n int) *observation {
	return &h.recent[(h.next+ratioMemory-n)%ratioMemory]
}

// slow returns the number of slow executions and of all executions that were
// observed lately; overdue executions in flight count as slow ones.
func (h *health) slow(now time.Time, overdue int) (slow, total int) {
	slow, total = overdue, overdue
	for _, o := range h.recent {
		if !o.counts(now) {
			continue
		}
		total++
		if o.ratio > slowRatio {
			slow++
		}
	}
	return slow, total
}

// latestCount is the number of executions that decide whether an upstream is
// suspect; few, so that an upstream is used again soon after it recovers.
const latestCount = 4

// latestRatios returns the latency ratios of the latest executions.
func (h *health) latestRatios(now time.Time) []float64 {
	var ratios []float64
	for i := 1; i <= latestCount; i++ {
		o := h.nthLatest(i)
		if o.counts(now) {
			ratios = append(ratios, o.ratio)
		}
	}
	return ratios
}

// suspect tells whether the upstream seems to be slow now: most of its latest
// executions were slow, or all in flight are overdue. A single overdue execution
// is more likely a long request.
func (h *health) suspect(now time.Time, overdue, inFlight int) bool {
	if overdue >= 2 && overdue == inFlight {
		return true
	}
	slow := 0
	for i := 1; i <= latestCount; i++ {
		o := h.nthLatest(i)
		if o.ratio > slowRatio && o.counts(now) {
			slow++
		}
	}
	return 2*slow > latestCount
}

// lastFast tells whether the latest execution was not slow.
func (h *health) lastFast() bool {
	o := h.nthLatest(1)
	return !o.at.IsZero() && o.ratio <= slowRatio
}

// latest returns the median latency ratio of the latest executions, or 1.
func (h *health) latest(now time.Time) float64 { return medianOf(h.latestRatios(now)) }

// median returns the median latency ratio of the remembered executions, or 1.
func (h *health) median(now time.Time) float64 {
	var ratios []float64
	for _, o := range h.recent {
		if o.counts(now) {
			ratios = append(ratios, o.ratio)
		}
	}
	return medianOf(ratios)
}

func medianOf(ratios []float64) float64 {
	if len(ratios) == 0 {
		return 1
	}
	sort.Float64s(ratios)
	return ratios[(len(ratios)-1)/2]
}

// Reasons of an ejection.
const (
	errorReason = "errors"
	slowReason  = "latency"
)

// verdict returns why the upstream should be ejected, or "". poolRatio is the
// median latency ratio over the pool.
func (h *health) verdict(now time.Time, overdue int, poolRatio float64) string {
	if h.errors >= maxErrors {
		return errorReason
	}
	slow, total := h.slow(now, overdue)
	if slow >= minSlow && 2*slow >= total && h.median(now) > slowRatio*poolRatio/2 {
		return slowReason
	}
	return ""
}

func (h *health) eject(now time.Time, reason string) time.Duration {
	if now.Sub(h.ejectedAt) > forgetEjections {
		h.ejections = 0
	}
	d := min(firstEjection<<min(h.ejections, 8), longestEjection)
	h.ejections++
	h.ejectedAt = now
	h.ejectedUntil = now.Add(d)
	h.reason = reason
	return d
}

// readmit clears the observations from before the ejection.
func (h *health) readmit() {
	h.recent = [ratioMemory]observation{}
	h.errors = 0
	h.reason = ""
}
