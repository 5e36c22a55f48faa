package balance

import (
	"math"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/exchange"
	"github.com/sequoiacove/sequoiacove/pkg/steering"
)

const (
	// slownessMemory is the time in which a stated slowness loses most of its
	// meaning: neighbours change it many times per second.
	slownessDecayTime = 400 * time.Millisecond
	// latencyMemory is the same for the observed latency of an upstream.
	latencyDecayTime = 3 * time.Second
	// latencyGain weighs a new observation of the latency.
	latencyGain = 0.3
	// reportMemory is how long a stated load says more than the counts.
	loadReportLifetime = 250 * time.Millisecond
	// failureGain weighs a new observation of the failure rate.
	failureGain = 0.2
	// failureMemory is the time in which a failure rate decays.
	failureDecayTime = 4 * time.Second
	// minEjection and maxEjection bound how long an upstream is left out.
	minEjectionTime = 300 * time.Millisecond
	maxEjectionTime = 3 * time.Second
	// probeWait is how long after an exclusion an idempotent request is waited
	// for to probe the upstream; some services have none.
	idempotentProbeWindow = 2 * time.Second
	// maxFailures is the number of failures in a row that eject an upstream.
	maxConsecutiveFailures = 3
	// shedPause is how long an upstream that refused a request is left out
	// while others have room.
	shedBackoff = 40 * time.Millisecond
	// coldMargin is added to the stated time for the report to travel.
	coldReportMargin = 300 * time.Millisecond
	// overdue is the multiple of the usual work after which a request in
	// flight shows that the upstream is slow.
	overdueFactor   = 2.0
	maxLatencyRatio = 20
)

// upstream is the state of one upstream as this instance sees it.
type upstream struct {
	steering.Upstream
	hash   uint32
	region string

	// inFlight counts the own requests; peers those of the other instances.
	inFlight     int
	peerInFlight int
	activeLeases []*Lease

	// stated is the number of requests that the upstream reported last.
	reportedLoad     int
	reportedAt       time.Time
	reportedSlowness float64
	// latency is the observed time over the usual one.
	latencyRatio float64
	latencyAt    time.Time

	failureRate float64
	failureAt   time.Time
	// failures counts failures in a row; ejections counts exclusions in a row.
	failures  int
	ejections int
	// ejectedUntil ends an exclusion; one probe follows it.
	ejectedUntil time.Time
	probing      bool
	unreachable  bool
	shedUntil    time.Time
	// misdirected tells that another upstream has the address.
	misdirected bool

	coldUntil    time.Time
	nextColdSend time.Time
}

// note takes a new registration of the same start.
func (u *upstream) updateRegistration(rec steering.Upstream, now time.Time) {
	if rec.ColdRemaining > 0 && rec.ColdRemaining != u.ColdRemaining {
		u.markCold(now.Add(rec.ColdRemaining + coldReportMargin))
	}
	u.Upstream = rec
}

// chill treats the upstream as cold until end.
func (u *upstream) markCold(end time.Time) {
	if end.After(u.coldUntil) {
		u.coldUntil = end
	}
}

// load estimates the requests at the upstream.
func (u *upstream) load(now time.Time) int {
	n := u.inFlight + u.peerInFlight
	if now.Sub(u.reportedAt) < loadReportLifetime && u.reportedLoad > n {
		// The statement ages as the requests that it counts end.
		left := 1 - float64(now.Sub(u.reportedAt))/float64(loadReportLifetime)
		n += int(math.Round(float64(u.reportedLoad-n) * left))
	}
	return n
}

// decay returns value drawn towards 1 with age.
func decayToOne(value float64, age, timeConstant time.Duration) float64 {
	return 1 + (value-1)*math.Exp(-float64(age)/float64(timeConstant))
}

// slow estimates how much longer than usual work takes at the moment.
func (u *upstream) slowdown(now time.Time) float64 {
	reportedLoad := decayToOne(u.reportedSlowness, now.Sub(u.reportedAt), slownessDecayTime)
	observed := decayToOne(u.latencyRatio, now.Sub(u.latencyAt), latencyDecayTime)
	s := math.Max(reportedLoad, observed)
	for _, f := range u.activeLeases {
		if age := now.Sub(f.start); f.baselineLatency > 0 && float64(age) > overdueFactor*float64(f.baselineLatency) {
			s = math.Max(s, float64(age)/float64(f.baselineLatency))
		}
	}
	if now.Before(u.coldUntil) {
		s = math.Max(s, 2)
	}
	return s
}

func (u *upstream) currentFailureRate(now time.Time) float64 {
	return u.failureRate * math.Exp(-float64(now.Sub(u.failureAt))/float64(failureDecayTime))
}

// serves tells whether the upstream is one that takes new requests.
func (u *upstream) acceptsRequests() bool { return u.State == steering.Ready && !u.misdirected }

// usable tells whether the upstream may get a request at the moment.
func (u *upstream) usable(now time.Time) bool {
	if !u.acceptsRequests() {
		return false
	}
	if u.ejections > 0 {
		return now.After(u.ejectedUntil) && !u.probing
	}
	return true
}

// probeBy tells whether a request may find out if the upstream works again.
func (u *upstream) allowsProbe(idempotent bool, now time.Time) bool {
	return idempotent || now.Sub(u.ejectedUntil) > idempotentProbeWindow
}

// learn takes the end of an attempt.
func (u *upstream) recordResult(l *Lease, r *exchange.Result, now time.Time, coldStart time.Duration) {
	if r.Load.Known {
		u.reportedLoad, u.reportedAt, u.reportedSlowness = r.Load.Running+r.Load.Waiting, now, r.Load.Slowness
	}
	switch {
	case r.Outcome == exchange.Answered && r.Status < 500:
		u.recordSuccess(l, r, now, coldStart)
	case r.Reason == exchange.Cancelled:
	case r.Reason == exchange.Shed:
		u.shedUntil = now.Add(shedBackoff)
		if u.load(now) < u.Slots {
			// An upstream that refuses work with free slots is failing.
			u.recordFailure(now, false)
		}
		u.endEjection(now, coldStart)
	case r.Reason == exchange.Misdirected:
		u.misdirected = true
	case r.Reason == exchange.ConnectFailed:
		u.recordFailure(now, false)
		u.unreachable = true
		u.eject(now)
	default:
		u.recordFailure(now, true)
	}
	u.probing = u.probing && !l.probe
}

func (u *upstream) recordSuccess(l *Lease, r *exchange.Result, now time.Time, coldStart time.Duration) {
	u.failures = 0
	u.failureRate = u.currentFailureRate(now) * (1 - failureGain)
	u.failureAt = now
	u.endEjection(now, coldStart)
	if l.baselineLatency > 0 {
		ratio := math.Min(maxLatencyRatio, float64(r.Elapsed)/float64(l.baselineLatency))
		base := decayToOne(u.latencyRatio, now.Sub(u.latencyAt), latencyDecayTime)
		u.latencyRatio = base + latencyGain*(ratio-base)
		u.latencyAt = now
	}
}

// recover ends an exclusion. An upstream that could not be reached may have
// started again, and is cold then.
func (u *upstream) endEjection(now time.Time, coldStart time.Duration) {
	if u.ejections > 0 && u.unreachable {
		u.markCold(now.Add(coldStart))
	}
	u.ejections, u.unreachable = 0, false
}

func (u *upstream) recordFailure(now time.Time, mayEject bool) {
	u.failureRate = u.currentFailureRate(now)*(1-failureGain) + failureGain
	u.failureAt = now
	u.failures++
	if mayEject && (u.failures >= maxConsecutiveFailures || u.ejections > 0) {
		u.eject(now)
	}
}

func (u *upstream) eject(now time.Time) {
	pause := minEjectionTime << min(u.ejections, 4)
	u.ejections++
	u.ejectedUntil = now.Add(min(pause, maxEjectionTime))
}

func (b *Balancer) logEjection(u *upstream, ejectionsBefore int, r *exchange.Result) {
	switch {
	case u.ejections > ejectionsBefore:
		event.Log(b.config.Logger, event.UpstreamEjected, "upstream", u.ID, "service", u.Service, "reason", r.Reason.String(), "status", r.Status,
			"failures", u.failures, "until_ms", time.Until(u.ejectedUntil).Milliseconds())
	case ejectionsBefore > 0 && u.ejections == 0:
		event.Log(b.config.Logger, event.UpstreamRestored, "upstream", u.ID, "service", u.Service)
	}
}
