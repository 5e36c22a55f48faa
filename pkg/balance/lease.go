package balance

import (
	"math"
	"slices"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/exchange"
)

// leaseTTL is how long after its grant a lease may be used to send the request. It is
// longer than the time limit for opening a connection. A process that was paused for
// longer than this chooses again.
const leaseTTL = time.Second

const (
	// serviceTimeGain and poolServiceTimeGain are the EWMA weights of a new measurement in
	// the service time of a route and of a service.
	serviceTimeGain     = 0.05
	poolServiceTimeGain = 0.02
	// maxServiceTimeSamples is the number of measurements that an EWMA remembers.
	maxServiceTimeSamples = int(1 / serviceTimeGain)
)

// Lease is the permission to send one attempt of a request to an upstream. The
// attempt counts as in flight until Done is called.
type Lease struct {
	Target exchange.Target
	Domain string
	// ExpectedLatency is the expected latency of the attempt.
	ExpectedLatency time.Duration
	// Load is the estimated number of requests at the upstream, and Slots its number
	// of slots, when the lease was granted.
	Load  int
	Slots int
	// Slowness is the estimated ratio of the upstream's service time to the baseline
	// when the lease was granted.
	Slowness float64
	// Cold is set if the upstream was warming up when the lease was granted.
	Cold bool
	// HoldsObject is set if the upstream was assumed to hold the requested object in its
	// cache, or if the request names none.
	HoldsObject bool

	balancer *Balancer
	upstream *upstream
	pool     *pool
	route    *routeState
	start    time.Time
	// object is the hash of the requested object, 0 if there is none.
	object uint32
	// baselineLatency is the expected latency of the attempt if it is not queued and
	// the upstream has its usual speed.
	baselineLatency time.Duration
	// probe is set if the upstream was ejected when the lease was granted, so that
	// the attempt is a probe.
	probe bool
	// reopenProbe is set if it is the first attempt after the upstream was closed.
	reopenProbe bool
}

// lease grants a lease on the candidate's upstream.
func (b *Balancer) lease(p *pool, route *routeState, c candidate, object uint32, now time.Time) *Lease {
	u := c.upstream
	l := &Lease{Target: b.target(u), Domain: u.Domain, ExpectedLatency: c.expectedLatency, Load: c.load, Slots: u.Slots, Slowness: c.slowness, HoldsObject: c.holdsObject,
		balancer: b, upstream: u, pool: p, route: route, start: now, baselineLatency: route.serviceTime + b.roundTrip(u), object: object}
	if object != 0 && !u.held.has(object, now) {
		l.baselineLatency = time.Duration(cacheMissFactor*float64(route.serviceTime)) + b.roundTrip(u)
	}
	l.Target.ExpiresAt = now.Add(leaseTTL)
	if u.consecutiveEjections > 0 {
		l.probe, u.probing = true, true
	}
	if u.notice.reopening {
		l.reopenProbe, u.reopenProbing = true, true
	}
	l.Cold = now.Before(u.coldUntil)
	b.scheduleNextSend(u, now)
	u.inFlight++
	u.lastLeaseAt = now
	u.activeLeases = append(u.activeLeases, l)
	return l
}

// Done releases the lease, records the result of the attempt and dispatches
// waiting requests.
func (l *Lease) Done(r *exchange.Result) {
	b := l.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.config.Now()
	u := l.upstream
	u.inFlight--
	if i := slices.Index(u.activeLeases, l); i >= 0 {
		u.activeLeases = slices.Delete(u.activeLeases, i, i+1)
	}
	if r.ConnectTime > 0 && u.Domain != b.config.Domain {
		b.roundTrips.record(u.Domain, r.ConnectTime)
	}
	if l.reopenProbe {
		u.reopenProbing = false
	}
	b.recordNotice(u, r, now)
	ejectionsBefore := u.consecutiveEjections
	b.recordStatement(u, r, now)
	u.recordResult(l, r, now, l.pool.config.WarmUpTime)
	b.logEjection(u, ejectionsBefore, r)
	if r.Outcome == exchange.Answered && r.Status < 300 {
		l.measure(r, now)
		if l.object != 0 {
			u.held.record(l.object, now)
		}
	}
	b.dispatch(l.pool, now)
}

// measure updates the service times of the route and of the service and the cache hits of
// the route. It ignores attempts that had to queue and attempts at a cold upstream.
func (l *Lease) measure(r *exchange.Result, now time.Time) {
	serviceTime := r.Elapsed - l.balancer.roundTrip(l.upstream)
	if serviceTime <= 0 || l.Load >= l.Slots || l.Cold {
		return
	}
	if l.object == 0 || l.upstream.held.has(l.object, l.start) {
		l.measureServiceTime(float64(serviceTime))
	}
	if _, sentBefore := l.upstream.held[l.object]; sentBefore && l.upstream.region == l.balancer.config.Region {
		l.recordCacheLookup(float64(serviceTime), now)
	}
}

// measureServiceTime updates the service times with that of a request that the upstream
// can have answered from its cache.
func (l *Lease) measureServiceTime(serviceTime float64) {
	s := l.route
	s.sampleCount++
	gain := math.Max(serviceTimeGain, 1/float64(s.sampleCount))
	// Cap outliers: a few requests run many times longer than the rest.
	serviceTime = math.Min(serviceTime/l.Slowness, 3*float64(s.serviceTime))
	s.measuredServiceTime += time.Duration(gain * (serviceTime - float64(s.measuredServiceTime)))
	if l.pool.serviceTime == 0 {
		l.pool.serviceTime = s.measuredServiceTime
	}
	l.pool.serviceTime += time.Duration(poolServiceTimeGain * (serviceTime - float64(l.pool.serviceTime)))
}
