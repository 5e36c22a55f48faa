package balance

import (
	"math"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/exchange"
)

const (
	// statedLimitBurst is the number of requests that an instance may send at once to an
	// upstream that states a limit. Requests do not arrive evenly, and without it most of
	// the allowed rate would stay unused.
	statedLimitBurst = 2
	// minStatedLimit is the lowest limit that is applied, in requests per second: with
	// none at all, no response would tell that the limit has been lifted.
	minStatedLimit = 0.25
	// statementTTL is how long a limit is applied without a new statement of it.
	statementTTL = 15 * time.Second
	// statementReportTime is how long a statement is reported to other instances.
	statementReportTime = 5 * time.Second
)

// statement is what an upstream said about the request rate that it takes from all
// instances together.
type statement struct {
	// limit is in requests per second, 0 if the upstream stated none.
	limit float64
	at    time.Time
	// received is set if this instance received the response itself, and regional if an
	// instance of this region did.
	received, regional bool
}

// inForce reports whether the statement limits the rate.
func (s statement) inForce(now time.Time) bool { return s.limit > 0 && now.Sub(s.at) < statementTTL }

// Statement is a report of what an upstream stated. UpstreamHash is the hash of the
// upstream's id.
type Statement struct {
	_            struct{} `cbor:",toarray"`
	UpstreamHash uint32
	// Limit is in requests per second over all instances, 0 if the upstream stated that
	// it has none.
	Limit float64
	// Age is the time since the response that stated it.
	Age time.Duration
}

// valid reports whether the statement can have been made and is recent.
func (s Statement) valid() bool {
	return s.Limit >= 0 && !math.IsInf(s.Limit, 0) && s.Age >= 0 && s.Age <= statementReportTime
}

// recordStatement records the request rate that a response of the upstream states. Only
// a complete response without a rate tells that there is no limit any more.
func (b *Balancer) recordStatement(u *upstream, r *exchange.Result, now time.Time) {
	switch {
	case r.RateLimit > 0:
		b.state(u, statement{limit: r.RateLimit, at: now, received: true, regional: true}, now)
	case r.RateLimit == 0 && r.Outcome == exchange.Answered && u.stated.limit > 0:
		b.state(u, statement{at: now, received: true, regional: true}, now)
	}
}

// state replaces what the upstream has stated by something newer.
func (b *Balancer) state(u *upstream, s statement, now time.Time) {
	if !s.at.After(u.stated.at) {
		return
	}
	if before := u.stated.inForce(now); before != s.inForce(now) {
		event.Log(b.config.Logger, event.UpstreamRateLimited, "upstream", u.ID, "service", u.Service, "limited", !before, "limit_per_s", s.limit,
			"received", s.received, "age_ms", now.Sub(s.at).Milliseconds(), "instances", b.instanceCount())
	}
	u.stated = s
}

// statedRate returns the part of the rate stated by an upstream that this instance may
// send, if the upstream states one.
func (b *Balancer) statedRate(u *upstream, now time.Time) (rate float64, limited bool) {
	if !u.stated.inForce(now) {
		return 0, false
	}
	limit := math.Max(minStatedLimit, u.stated.limit)
	// With this number of holders, the bursts of all of them are at most two seconds' worth
	// of the limit and four requests more.
	holders := int(limit) + 2
	return b.share(sharedLimit{total: limit, upstream: u, maxHolders: holders, whileUnknown: limit / float64(holders)}, now), true
}

// ownStatements returns the recent statements that this instance has received.
func (b *Balancer) ownStatements() []Statement {
	return b.statements(func(s statement) bool { return s.received })
}

// regionStatements returns the recent statements that the instances of this region have
// received.
func (b *Balancer) regionStatements() []Statement {
	return b.statements(func(s statement) bool { return s.regional })
}

func (b *Balancer) statements(include func(statement) bool) []Statement {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.config.Now()
	var list []Statement
	for _, u := range b.upstreams {
		if age := now.Sub(u.stated.at); include(u.stated) && age <= statementReportTime {
			list = append(list, Statement{UpstreamHash: u.hash, Limit: u.stated.limit, Age: age})
		}
	}
	return list
}

// setPeerStatements applies the statements that another instance or region reports. It
// ignores entries that are not valid.
func (b *Balancer) setPeerStatements(region string, list []Statement) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.config.Now()
	for _, s := range list {
		if u := b.byHash[s.UpstreamHash]; u != nil && s.valid() {
			b.state(u, statement{limit: s.Limit, at: now.Add(-s.Age), regional: region == b.config.Region}, now)
		}
	}
}
