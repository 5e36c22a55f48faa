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
	slownessMemory = 400 * time.Millisecond
	// latencyMemory is the same for the observed latency of an upstream.
	latencyMemory = 3 * time.Second
	// latencyGain weighs a new observation of the latency.
	latencyGain = 0.3
	// reportMemory is how long a stated load says more than the counts.
	reportMemory = 250 * time.Millisecond
	// failureGain weighs a new observation of the failure rate.
	failureGain = 0.2
	// failureMemory is the time in which a failure rate decays.
	failureMemory = 4 * time.Second
	// minEjection and maxEjection bound how long an upstream is left out.
	minEjection = 300 * time.Millisecond
	maxEjection = 3 * time.Second
	// probeWait is how long after an exclusion an idempotent request is waited
	// for to probe the upstream; some services have none.
	probeWait = 2 * time.Second
	// maxFailures is the number of failures in a row that eject an upstream.
	maxFailures = 3
	// shedPause is how long an upstream that refused a request is left out
	// while others have room.
	shedPause = 40 * time.Millisecond
	// coldMargin is added to the stated time for the report to travel.
	coldMargin = 300 * time.Millisecond
	// overdue is the multiple of the usual work after which a request in
	// flight shows that the upstream is slow.
	overdue         = 2.0
	maxLatencyRatio = 20
)

// upstream is the state of one upstream as this instance sees it.
type upstream struct {
	steering.Upstream
	hash   uint32
	region string

	// inFlight counts the own requests; peers those of the other instances.
	inFlight int
	peers    int
	flights  []*Lease

	// stated is the number of requests that the upstream reported last.
	stated     int
	reportedAt time.Time
	slowness   float64
	// latency is the observed time over the usual one.
	latency   float64
	latencyAt time.Time

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

	coldUntil time.Time
	coldNext  time.Time
}

// note takes a new registration of the same start.
func (u *upstream) note(rec steering.Upstream, now time.Time) {
	if rec.ColdRemaining > 0 && rec.ColdRemaining != u.ColdRemaining {
		u.chill(now.Add(rec.ColdRemaining + coldMargin))
	}
	u.Upstream = rec
}

// chill treats the upstream as cold until end.
func (u *upstream) chill(end time.Time) {
	if end.After(u.coldUntil) {
		u.coldUntil = end
	}
}

// load estimates the requests at the upstream.
func (u *upstream) load(now time.Time) int {
	n := u.inFlight + u.peers
	if now.Sub(u.reportedAt) < reportMemory && u.stated > n {
		// The statement ages as the requests that it counts end.
		left := 1 - float64(now.Sub(u.reportedAt))/float64(reportMemory)
		n += int(math.Round(float64(u.stated-n) * left))
	}
	return n
}

// decay returns value drawn towards 1 with age.
func decay(value float64, age, memory time.Duration) float64 {
	return 1 + (value-1)*math.Exp(-float64(age)/float64(memory))
}

// slow estimates how much longer than usual work takes at the moment.
func (u *upstream) slow(now time.Time) float64 {
	stated := decay(u.slowness, now.Sub(u.reportedAt), slownessMemory)
	observed := decay(u.latency, now.Sub(u.latencyAt), latencyMemory)
	s := math.Max(stated, observed)
	for _, f := range u.flights {
		if age := now.Sub(f.start); f.usual > 0 && float64(age) > overdue*float64(f.usual) {
			s = math.Max(s, float64(age)/float64(f.usual))
		}
	}
	if now.Before(u.coldUntil) {
		s = math.Max(s, 2)
	}
	return s
}

func (u *upstream) failing(now time.Time) float64 {
	return u.failureRate * math.Exp(-float64(now.Sub(u.failureAt))/float64(failureMemory))
}

// serves tells whether the upstream is one that takes new requests.
func (u *upstream) serves() bool { return u.State == steering.Ready && !u.misdirected }

// usable tells whether the upstream may get a request at the moment.
func (u *upstream) usable(now time.Time) bool {
	if !u.serves() {
		return false
	}
	if u.ejections > 0 {
		return now.After(u.ejectedUntil) && !u.probing
	}
	return true
}

// probeBy tells whether a request may find out if the upstream works again.
func (u *upstream) probeBy(idempotent bool, now time.Time) bool {
	return idempotent || now.Sub(u.ejectedUntil) > probeWait
}

// learn takes the end of an attempt.
func (u *upstream) learn(l *Lease, r *exchange.Result, now time.Time, coldStart time.Duration) {
	if r.Load.Known {
		u.stated, u.reportedAt, u.slowness = r.Load.Running+r.Load.Waiting, now, r.Load.Slowness
	}
	switch {
	case r.Outcome == exchange.Answered && r.Status < 500:
		u.succeed(l, r, now, coldStart)
	case r.Reason == exchange.Cancelled:
	case r.Reason == exchange.Shed:
		u.shedUntil = now.Add(shedPause)
		if u.load(now) < u.Slots {
			// An upstream that refuses work with free slots is failing.
			u.fail(now, false)
		}
		u.recover(now, coldStart)
	case r.Reason == exchange.Misdirected:
		u.misdirected = true
	case r.Reason == exchange.ConnectFailed:
		u.fail(now, false)
		u.unreachable = true
		u.eject(now)
	default:
		u.fail(now, true)
	}
	u.probing = u.probing && !l.probe
}

func (u *upstream) succeed(l *Lease, r *exchange.Result, now time.Time, coldStart time.Duration) {
	u.failures = 0
	u.failureRate = u.failing(now) * (1 - failureGain)
	u.failureAt = now
	u.recover(now, coldStart)
	if l.usual > 0 {
		ratio := math.Min(maxLatencyRatio, float64(r.Elapsed)/float64(l.usual))
		base := decay(u.latency, now.Sub(u.latencyAt), latencyMemory)
		u.latency = base + latencyGain*(ratio-base)
		u.latencyAt = now
	}
}

// recover ends an exclusion. An upstream that could not be reached may have
// started again, and is cold then.
func (u *upstream) recover(now time.Time, coldStart time.Duration) {
	if u.ejections > 0 && u.unreachable {
		u.chill(now.Add(coldStart))
	}
	u.ejections, u.unreachable = 0, false
}

func (u *upstream) fail(now time.Time, eject bool) {
	u.failureRate = u.failing(now)*(1-failureGain) + failureGain
	u.failureAt = now
	u.failures++
	if eject && (u.failures >= maxFailures || u.ejections > 0) {
		u.eject(now)
	}
}

func (u *upstream) eject(now time.Time) {
	pause := minEjection << min(u.ejections, 4)
	u.ejections++
	u.ejectedUntil = now.Add(min(pause, maxEjection))
}

func (b *Balancer) logEjection(u *upstream, before int, r *exchange.Result) {
	switch {
	case u.ejections > before:
		event.Log(b.config.Logger, event.UpstreamEjected, "upstream", u.ID, "service", u.Service, "reason", r.Reason.String(), "status", r.Status,
			"failures", u.failures, "until_ms", time.Until(u.ejectedUntil).Milliseconds())
	case before > 0 && u.ejections == 0:
		event.Log(b.config.Logger, event.UpstreamRestored, "upstream", u.ID, "service", u.Service)
	}
}
