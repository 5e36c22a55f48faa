package balance

import (
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/exchange"
)

const (
	// maxNotices is the maximum number of notices that are kept.
	maxNotices = 4096
	// noticeReportTime is how long it is reported to other instances that an upstream leaves.
	noticeReportTime = 5 * time.Second
)

// notice is what an upstream process has said about itself in its responses and what holds
// until its next start, whatever its registration says meanwhile.
type notice struct {
	startUnixMS int64
	// leavingSince is when the upstream said that it leaves, zero if it did not. received is
	// set if this instance received the response itself, and regional if an instance of this
	// region did.
	leavingSince       time.Time
	received, regional bool
	// closedUntil is the time until which the upstream wants no request of this instance.
	closedUntil time.Time
	// reopening is set from then on until the upstream has answered one request.
	reopening bool
}

func (n *notice) leaving() bool { return !n.leavingSince.IsZero() }

func (n *notice) closed(now time.Time) bool { return now.Before(n.closedUntil) }

// noticeOf returns the notice of the process that a registration describes. A notice ends
// only with a later start: a registration with an earlier one, or without one, is that of a
// process that has ended, or not the upstream's own.
func (b *Balancer) noticeOf(id string, startUnixMS int64) *notice {
	if n := b.notices[id]; n != nil && startUnixMS <= n.startUnixMS {
		return n
	}
	delete(b.notices, id)
	return &notice{startUnixMS: startUnixMS}
}

// keepNotice keeps the notice of an upstream beyond its registration.
func (b *Balancer) keepNotice(u *upstream) {
	if len(b.notices) >= maxNotices && b.notices[u.ID] == nil {
		for id := range b.notices {
			if b.upstreams[id] == nil {
				delete(b.notices, id)
			}
		}
	}
	b.notices[u.ID] = u.notice
}

// recordNotice records what a response says about the upstream.
func (b *Balancer) recordNotice(u *upstream, r *exchange.Result, now time.Time) {
	if r.Leaving {
		b.markLeaving(u, now, true, true, now)
	}
	switch {
	case r.RetryAfter > 0:
		b.close(u, r, now)
	case r.Outcome == exchange.Answered, r.Reason == exchange.Shed:
		u.notice.reopening = u.notice.reopening && u.notice.closed(now)
	}
}

// markLeaving takes the upstream out of use because it has said that it leaves.
func (b *Balancer) markLeaving(u *upstream, at time.Time, received, regional bool, now time.Time) {
	n := u.notice
	n.received, n.regional = n.received || received, n.regional || regional
	if n.leaving() {
		return
	}
	n.leavingSince = at
	b.keepNotice(u)
	b.pool(u.Service).rankings = nil
	event.Log(b.config.Logger, event.UpstreamSaidLeaving, "upstream", u.ID, "service", u.Service, "domain", u.Domain, "registered_state", u.State, "received", received, "age_ms", now.Sub(at).Milliseconds())
	if b.config.OnRemove != nil {
		// Closes the idle connections.
		b.config.OnRemove(b.target(u))
	}
}

// close takes the upstream out of use for as long as a response asks for. A shorter time in
// a later response does not end an earlier one, because the upstream counts from each.
func (b *Balancer) close(u *upstream, r *exchange.Result, now time.Time) {
	n := u.notice
	until := now.Add(r.RetryAfter)
	if !until.After(n.closedUntil) {
		return
	}
	if !n.closed(now) {
		event.Log(b.config.Logger, event.UpstreamClosed, "upstream", u.ID, "service", u.Service, "domain", u.Domain, "closed_ms", r.RetryAfter.Milliseconds(), "load", u.load(now), "slots", u.Slots)
	}
	n.closedUntil, n.reopening = until, true
	b.keepNotice(u)
}

// closedFor returns the time until the first upstream opens that may serve the request, 0 if
// one of them is not closed.
func (b *Balancer) closedFor(p *pool, req AcquireRequest, now time.Time) time.Duration {
	var first time.Duration
	for _, u := range p.upstreams {
		if !u.acceptsRequests() || b.evacuatedDomains[u.Domain] || !req.Route.AllowsRegion(u.region) || req.Domain != "" && u.Domain != req.Domain {
			continue
		}
		if !u.notice.closed(now) {
			return 0
		}
		if d := u.notice.closedUntil.Sub(now); first == 0 || d < first {
			first = d
		}
	}
	return first
}

// OpensIn returns the time until the first upstream opens that may serve the request, if
// all are closed at their own request; otherwise 0.
func (b *Balancer) OpensIn(req AcquireRequest) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.closedFor(b.pool(req.Service), req, b.config.Now())
}

// Withdrawn reports whether the upstream has said after the lease was granted that it
// leaves, or that it wants no requests for a time. The request must not be sent then.
func (l *Lease) Withdrawn() bool {
	b := l.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	n := l.upstream.notice
	return n.leaving() || n.closed(b.config.Now())
}

// Leaving is a report that an upstream has said that it leaves. UpstreamHash is the hash of
// the upstream's id, and StartUnixMS the start of its process.
type Leaving struct {
	_            struct{} `cbor:",toarray"`
	UpstreamHash uint32
	StartUnixMS  int64
	// Age is the time since the response that said so.
	Age time.Duration
}

// ownLeaving returns the upstreams that have recently said to this instance that they leave.
func (b *Balancer) ownLeaving() []Leaving {
	return b.leaving(func(n *notice) bool { return n.received })
}

// regionLeaving returns the upstreams that have recently said to the instances of this
// region that they leave.
func (b *Balancer) regionLeaving() []Leaving {
	return b.leaving(func(n *notice) bool { return n.regional })
}

func (b *Balancer) leaving(include func(*notice) bool) []Leaving {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.config.Now()
	var list []Leaving
	for id, n := range b.notices {
		if age := now.Sub(n.leavingSince); n.leaving() && include(n) && age <= noticeReportTime {
			list = append(list, Leaving{UpstreamHash: hash(id), StartUnixMS: n.startUnixMS, Age: age})
		}
	}
	return list
}

// setPeerLeaving applies the reports of another instance or region. It ignores those about
// unknown upstreams and other starts.
func (b *Balancer) setPeerLeaving(region string, list []Leaving) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.config.Now()
	for _, l := range list {
		u := b.byHash[l.UpstreamHash]
		if u != nil && u.notice.startUnixMS == l.StartUnixMS && l.Age >= 0 && l.Age <= noticeReportTime {
			b.markLeaving(u, now.Add(-l.Age), false, region == b.config.Region, now)
		}
	}
}
