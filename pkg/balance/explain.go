package balance

import (
	"log/slog"
	"sort"
	"time"
)

// Refusal counts the upstreams that did not admit a request, by reason.
type Refusal struct {
	// Region is the region that the shares assign to the requested object. It is
	// empty for requests without a key.
	Region string `json:"region"`
	// Upstreams is the number of upstreams in regions that the route allows and, if
	// a failure domain was requested, in that domain. Each of them is counted in
	// exactly one of the fields below.
	Upstreams int `json:"upstreams"`
	Evacuated int `json:"evacuated"`
	// Unavailable counts upstreams that are draining or say that they leave, shedding load or ejected, or
	// whose address another upstream uses. An ejected upstream is counted even while
	// a request probes it.
	Unavailable int `json:"left_out"`
	// Closed counts upstreams that want no requests of this instance for a time.
	Closed int `json:"closed"`
	// Tried counts upstreams that the request was already sent to.
	Tried int `json:"tried"`
	// Cold counts cold upstreams whose rate is exhausted or whose slots are full.
	Cold int `json:"cold"`
	// RateLimited counts upstreams that state a request rate of which this instance has
	// used its part.
	RateLimited int `json:"rate_limited"`
	// Full counts upstreams that have reached the queue limit of the route's
	// priority or their connection limit.
	Full int `json:"full"`
	// OtherRegion counts upstreams outside Region that have room.
	OtherRegion int `json:"elsewhere"`
	// AffinityOnly counts upstreams whose remaining room is reserved for objects
	// that they own.
	AffinityOnly int `json:"displacing"`
}

// LogValue implements slog.LogValuer.
func (r Refusal) LogValue() slog.Value {
	return slog.GroupValue(slog.String("region", r.Region), slog.Int("upstreams", r.Upstreams), slog.Int("full", r.Full), slog.Int("elsewhere", r.OtherRegion), slog.Int("displacing", r.AffinityOnly),
		slog.Int("cold", r.Cold), slog.Int("rate_limited", r.RateLimited), slog.Int("closed", r.Closed), slog.Int("left_out", r.Unavailable), slog.Int("evacuated", r.Evacuated), slog.Int("tried", r.Tried))
}

// Explain returns why no upstream currently admits the request.
func (b *Balancer) Explain(req AcquireRequest) Refusal {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.config.Now()
	p := b.pool(req.Service)
	route := b.route(p, req.Route)
	var r Refusal
	if req.Key != "" {
		r.Region = route.shares.regionForObject(route.shares.allowedWeights(req.Route, b.usableSlots(p, now)), req.Key, b.config.Region)
	}
	for _, u := range p.upstreams {
		if req.Route.AllowsRegion(u.region) && (req.Domain == "" || u.Domain == req.Domain) {
			r.Upstreams++
			b.classify(&r, u, req, now)
		}
	}
	return r
}

// classify counts an upstream under the first reason that applies.
func (b *Balancer) classify(r *Refusal, u *upstream, req AcquireRequest, now time.Time) {
	tried := false
	for _, id := range req.ExcludedUpstreams {
		tried = tried || id == u.ID
	}
	switch {
	case tried:
		r.Tried++
	case b.evacuatedDomains[u.Domain]:
		r.Evacuated++
	case u.acceptsRequests() && u.notice.closed(now):
		r.Closed++
	case !u.usable(now) || now.Before(u.shedUntil) || u.consecutiveEjections > 0:
		r.Unavailable++
	case b.admits(u, req, u.load(now), now) && r.Region != "" && u.region != r.Region:
		r.OtherRegion++
	case b.admits(u, req, u.load(now), now):
		r.AffinityOnly++
	case now.Before(u.coldUntil):
		r.Cold++
	case !b.rateAllows(u, now):
		r.RateLimited++
	default:
		r.Full++
	}
}

// UpstreamSnapshot is a snapshot of an upstream as seen by this instance.
type UpstreamSnapshot struct {
	ID     string `json:"id"`
	Region string `json:"region"`
	Domain string `json:"domain"`
	// Usable is set if the upstream may receive requests, or a probe after an
	// ejection.
	Usable    bool `json:"usable"`
	Evacuated bool `json:"evacuated"`
	Cold      bool `json:"cold"`
	// RateLimit is the request rate per second that the upstream states to take from all
	// instances together, 0 if it states none.
	RateLimit float64 `json:"rate_limit"`
	// Leaving is set if the upstream has said in a response that it leaves, and Closed while
	// it wants no requests of this instance.
	Leaving bool `json:"leaving"`
	Closed  bool `json:"closed"`
	// Load is the estimated number of requests at the upstream.
	Load  int `json:"load"`
	Slots int `json:"slots"`
	// Slowness is the estimated service time relative to the baseline.
	Slowness    float64 `json:"slowness"`
	FailureRate float64 `json:"failing"`
}

// UpstreamSnapshots returns the state of the upstreams of a service, sorted by id.
func (b *Balancer) UpstreamSnapshots(service string) []UpstreamSnapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := []UpstreamSnapshot{}
	p := b.pools[service]
	if p == nil {
		return list
	}
	now := b.config.Now()
	for _, u := range p.upstreams {
		list = append(list, UpstreamSnapshot{ID: u.ID, Region: u.region, Domain: u.Domain, Usable: u.usable(now), Evacuated: b.evacuatedDomains[u.Domain],
			Cold: now.Before(u.coldUntil), RateLimit: u.stated.limit, Leaving: u.notice.leaving(), Closed: u.notice.closed(now), Load: u.load(now), Slots: u.Slots, Slowness: u.slowness(now), FailureRate: u.currentFailureRate(now)})
	}
	sort.Slice(list, func(x, y int) bool { return list[x].ID < list[y].ID })
	return list
}
