package balance

import (
	"math"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/exchange"
	"github.com/sequoiacove/sequoiacove/pkg/steering"
)

const (
	// slownessDecayTime is the time constant with which reported slowness decays.
	// It is short because processes on the same host change the slowness many
	// times per second.
	slownessDecayTime = 400 * time.Millisecond
	// latencyDecayTime is the time constant with which the observed latency ratio
	// decays.
	latencyDecayTime = 3 * time.Second
	// latencyGain is the EWMA weight of a new latency ratio.
	latencyGain = 0.3
	// loadReportTTL is how long a load reported by an upstream is used. Only the part
	// above the known number of requests in flight is used, with a weight that
	// decreases linearly with age.
	loadReportTTL = 250 * time.Millisecond
	// failureGain is the EWMA weight of a new result in the failure rate.
	failureGain = 0.2
	// failureDecayTime is the time constant with which the failure rate decays.
	failureDecayTime = 4 * time.Second
	// minEjectionTime and maxEjectionTime limit the ejection time, which doubles
	// with each consecutive ejection.
	minEjectionTime = 300 * time.Millisecond
	maxEjectionTime = 3 * time.Second
	// idempotentProbeWindow is how long after the end of an ejection only idempotent
	// requests may probe the upstream. After that any request may, since some
	// services have no idempotent requests.
	idempotentProbeWindow = 2 * time.Second
	// maxConsecutiveFailures is the number of consecutive failures that eject an
	// upstream. A failed connection attempt ejects it at once.
	maxConsecutiveFailures = 3
	// shedBackoff is how long an upstream that shed a request gets no further
	// requests.
	shedBackoff = 40 * time.Millisecond
	// coldReportMargin is added to the reported remaining warm-up time to allow for
	// the delay of the report.
	coldReportMargin = 300 * time.Millisecond
	// overdueFactor is the ratio of elapsed time to baseline latency above which a request
	// in flight indicates a slow upstream.
	overdueFactor = 2.0
	// maxLatencyRatio caps the latency ratio of a single attempt.
	maxLatencyRatio = 20
)

// upstream is the state of one upstream as this instance sees it.
type upstream struct {
	steering.Upstream
	hash   uint32
	region string

	// inFlight is the number of requests in flight from this instance, and
	// peerInFlight the number that its peers reported.
	inFlight     int
	peerInFlight int
	activeLeases []*Lease
	held         heldObjects

	// reportedLoad is the number of running and queued requests that the upstream
	// last reported, and reportedSlowness the ratio of its service time to the usual
	// one. Both were reported at reportedAt.
	reportedLoad     int
	reportedAt       time.Time
	reportedSlowness float64
	// latencyRatio is the EWMA of the ratio of observed to baseline latency, last updated
	// at latencyUpdatedAt.
	latencyRatio     float64
	latencyUpdatedAt time.Time
	// hitLatencyRatio estimates the ratio of the service time of cache hits to the usual
	// one (cache_room.go).
	hitLatencyRatio float64

	// failureRate is the EWMA of the fraction of failed attempts, last updated at
	// failureRateUpdatedAt.
	failureRate          float64
	failureRateUpdatedAt time.Time
	// consecutiveFailures and consecutiveEjections are the numbers of failed attempts and
	// of ejections since the last success. consecutiveEjections is also reset when the
	// upstream sheds a request.
	consecutiveFailures  int
	consecutiveEjections int
	// ejectedUntil is the time until which an ejected upstream gets no requests. After
	// that, one probe at a time is allowed. probing is set while a probe is in flight.
	ejectedUntil time.Time
	probing      bool
	// unreachable is set if a connection attempt has failed since the last ejection ended.
	// shedUntil is the end of the backoff after the upstream shed a request.
	unreachable bool
	shedUntil   time.Time
	// addressReused is set if another upstream answered at the address.
	addressReused bool

	// notice is what the upstream has said about itself (notice.go). reopenProbing is set
	// while the first request after a closed time is in flight.
	notice        *notice
	reopenProbing bool

	// coldUntil is the end of the warm-up.
	coldUntil time.Time
	// lastLeaseAt and lastCheckAt are the times of the last lease and the last health check.
	lastLeaseAt time.Time
	lastCheckAt time.Time
	// rank is the rank of this instance among those that share limits that protect the
	// upstream, nil if it has not been computed.
	rank *holderRank
	// stated is the request rate that the upstream last stated (stated_limit.go).
	stated statement
	// nextSend is the earliest time at which this instance may send the next request
	// while the rate of requests to the upstream is limited and no burst is allowed.
	nextSend time.Time
}

// updateRegistration applies a new registration of the same upstream process.
func (u *upstream) updateRegistration(registration steering.Upstream, now time.Time) {
	if registration.ColdRemaining > 0 && registration.ColdRemaining != u.ColdRemaining {
		u.markCold(now.Add(registration.ColdRemaining + coldReportMargin))
	}
	u.Upstream = registration
}

// markCold marks the upstream as cold until end.
func (u *upstream) markCold(end time.Time) {
	if end.After(u.coldUntil) {
		u.coldUntil = end
		u.held = nil
	}
}

// load estimates the number of requests at the upstream.
func (u *upstream) load(now time.Time) int {
	n := u.inFlight + u.peerInFlight
	if now.Sub(u.reportedAt) < loadReportTTL && u.reportedLoad > n {
		// The weight decreases with age, because the reported requests complete over
		// time.
		weight := 1 - float64(now.Sub(u.reportedAt))/float64(loadReportTTL)
		n += int(math.Round(float64(u.reportedLoad-n) * weight))
	}
	return n
}

// decayToOne returns value after exponential decay towards 1 for the given age.
func decayToOne(value float64, age, timeConstant time.Duration) float64 {
	return 1 + (value-1)*math.Exp(-float64(age)/float64(timeConstant))
}

// slowness estimates the ratio of the current service time to the baseline. It
// returns the maximum of the reported slowness, the observed latency ratio and, for
// each overdue request in flight, the ratio of its elapsed time to its baseline
// latency. For a cold upstream the result is at least 2.
func (u *upstream) slowness(now time.Time) float64 {
	reported := decayToOne(u.reportedSlowness, now.Sub(u.reportedAt), slownessDecayTime)
	observed := decayToOne(u.latencyRatio, now.Sub(u.latencyUpdatedAt), latencyDecayTime)
	s := math.Max(reported, observed)
	for _, l := range u.activeLeases {
		if age := now.Sub(l.start); l.baselineLatency > 0 && float64(age) > overdueFactor*float64(l.baselineLatency) {
			s = math.Max(s, float64(age)/float64(l.baselineLatency))
		}
	}
	if now.Before(u.coldUntil) {
		s = math.Max(s, 2)
	}
	return s
}

// currentFailureRate returns the failure rate, decayed since its last update.
func (u *upstream) currentFailureRate(now time.Time) float64 {
	return u.failureRate * math.Exp(-float64(now.Sub(u.failureRateUpdatedAt))/float64(failureDecayTime))
}

// acceptsRequests reports whether the upstream is ready for new requests, regardless
// of whether it is ejected.
func (u *upstream) acceptsRequests() bool {
	return u.State == steering.Ready && !u.addressReused && !u.notice.leaving()
}

// usable reports whether the upstream may receive a request now. An ejected
// upstream is usable again, for a probe, once its ejection time has passed and no
// other probe is in flight.
func (u *upstream) usable(now time.Time) bool {
	if !u.acceptsRequests() || u.notice.closed(now) {
		return false
	}
	if u.consecutiveEjections > 0 {
		return now.After(u.ejectedUntil) && !u.probing
	}
	return true
}

// allowsProbe reports whether a request may probe the ejected upstream.
func (u *upstream) allowsProbe(idempotent bool, now time.Time) bool {
	return idempotent || now.Sub(u.ejectedUntil) > idempotentProbeWindow
}

// recordResult updates the statistics from the result of an attempt.
func (u *upstream) recordResult(l *Lease, r *exchange.Result, now time.Time, warmUpTime time.Duration) {
	if r.Load.Known {
		u.reportedLoad, u.reportedAt, u.reportedSlowness = r.Load.Running+r.Load.Waiting, now, r.Load.Slowness
	}
	switch {
	case r.Outcome == exchange.Answered && r.Status < 500:
		u.recordSuccess(l, r, now, warmUpTime)
	case r.Reason == exchange.Cancelled, r.Reason == exchange.Expired, r.Reason == exchange.Silent, r.Reason == exchange.OutOfTime:
	case r.Reason == exchange.Shed:
		u.shedUntil = now.Add(shedBackoff)
		if u.load(now) < u.Slots {
			// Shedding load despite free slots counts as a failure.
			u.recordFailure(now, false)
		}
		u.endEjection(now, warmUpTime)
	case r.Reason == exchange.Misdirected:
		u.addressReused = true
	case r.Reason == exchange.ConnectFailed:
		u.recordFailure(now, false)
		u.unreachable = true
		u.eject(now)
	default:
		u.recordFailure(now, true)
	}
	u.probing = u.probing && !l.probe
}

// recordSuccess resets the consecutive failures, ends an ejection, and updates the
// failure rate and the latency ratio.
func (u *upstream) recordSuccess(l *Lease, r *exchange.Result, now time.Time, warmUpTime time.Duration) {
	u.consecutiveFailures = 0
	u.failureRate = u.currentFailureRate(now) * (1 - failureGain)
	u.failureRateUpdatedAt = now
	u.endEjection(now, warmUpTime)
	if l.baselineLatency > 0 {
		ratio := math.Min(maxLatencyRatio, float64(r.Elapsed)/float64(l.baselineLatency))
		base := decayToOne(u.latencyRatio, now.Sub(u.latencyUpdatedAt), latencyDecayTime)
		u.latencyRatio = base + latencyGain*(ratio-base)
		u.latencyUpdatedAt = now
	}
}

// endEjection ends an ejection. An upstream that was unreachable may have
// restarted, so it is marked as cold.
func (u *upstream) endEjection(now time.Time, warmUpTime time.Duration) {
	if u.consecutiveEjections > 0 && u.unreachable {
		u.markCold(now.Add(warmUpTime))
	}
	u.consecutiveEjections, u.unreachable = 0, false
}

// recordFailure counts a failed attempt. If mayEject is set, it ejects the upstream after
// maxConsecutiveFailures failures or a failed probe.
func (u *upstream) recordFailure(now time.Time, mayEject bool) {
	u.failureRate = u.currentFailureRate(now)*(1-failureGain) + failureGain
	u.failureRateUpdatedAt = now
	u.consecutiveFailures++
	if mayEject && (u.consecutiveFailures >= maxConsecutiveFailures || u.consecutiveEjections > 0) {
		u.eject(now)
	}
}

// eject ejects the upstream for a time that doubles with each consecutive ejection,
// up to maxEjectionTime.
func (u *upstream) eject(now time.Time) {
	duration := minEjectionTime << min(u.consecutiveEjections, 4)
	u.consecutiveEjections++
	u.ejectedUntil = now.Add(min(duration, maxEjectionTime))
}

// logEjection logs the start or the end of an ejection.
func (b *Balancer) logEjection(u *upstream, ejectionsBefore int, r *exchange.Result) {
	switch {
	case u.consecutiveEjections > ejectionsBefore:
		event.Log(b.config.Logger, event.UpstreamEjected, "upstream", u.ID, "service", u.Service, "reason", r.Reason.String(), "status", r.Status,
			"failures", u.consecutiveFailures, "until_ms", time.Until(u.ejectedUntil).Milliseconds())
	case ejectionsBefore > 0 && u.consecutiveEjections == 0:
		event.Log(b.config.Logger, event.UpstreamRestored, "upstream", u.ID, "service", u.Service)
	}
}
