package balance

import (
	"log/slog"
	"sort"
	"time"
)

// Refusal tells why no upstream took a request.
type Refusal struct {
	// Region is where the shares send the object of the request, if it has one.
	Region string `json:"region"`
	// Upstreams counts those that the route allows; the others say how many of
	// them could not take the request, each counted once.
	Upstreams int `json:"upstreams"`
	Evacuated int `json:"evacuated"`
	// Unavailable counts those that leave, failed or are probed by another request.
	Unavailable int `json:"left_out"`
	// Tried counts those that had the request before.
	Tried int `json:"tried"`
	// Cold counts cold ones whose rate is used up or whose slots are taken.
	Cold int `json:"cold"`
	// Full counts those with as many requests as the route's priority may wait
	// behind.
	Full int `json:"full"`
	// OtherRegion counts those with room in other regions than Region, to which the
	// shares send few requests.
	OtherRegion int `json:"elsewhere"`
	// AffinityOnly counts those with room only for objects that they hold.
	AffinityOnly int `json:"displacing"`
}

// LogValue implements slog.LogValuer.
func (r Refusal) LogValue() slog.Value {
	return slog.GroupValue(slog.String("region", r.Region), slog.Int("upstreams", r.Upstreams), slog.Int("full", r.Full), slog.Int("elsewhere", r.OtherRegion), slog.Int("displacing", r.AffinityOnly),
		slog.Int("cold", r.Cold), slog.Int("left_out", r.Unavailable), slog.Int("evacuated", r.Evacuated), slog.Int("tried", r.Tried))
}

// Explain tells why no upstream takes the request at the moment.
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

func (b *Balancer) classify(r *Refusal, u *upstream, req AcquireRequest, now time.Time) {
	tried := false
	for _, id := range req.Exclude {
		tried = tried || id == u.ID
	}
	switch {
	case tried:
		r.Tried++
	case b.evacuated[u.Domain]:
		r.Evacuated++
	case !u.usable(now) || now.Before(u.shedUntil) || u.ejections > 0:
		r.Unavailable++
	case b.admits(u, req, u.load(now), now) && r.Region != "" && u.region != r.Region:
		r.OtherRegion++
	case b.admits(u, req, u.load(now), now):
		r.AffinityOnly++
	case now.Before(u.coldUntil):
		r.Cold++
	default:
		r.Full++
	}
}

// UpstreamState is what the balancer believes of an upstream.
type UpstreamState struct {
	ID     string `json:"id"`
	Region string `json:"region"`
	Domain string `json:"domain"`
	// Usable tells that the upstream may get requests.
	Usable      bool    `json:"usable"`
	Evacuated   bool    `json:"evacuated"`
	Cold        bool    `json:"cold"`
	Load        int     `json:"load"`
	Slots       int     `json:"slots"`
	Slowness    float64 `json:"slowness"`
	FailureRate float64 `json:"failing"`
}

// State returns the upstreams of a service by id.
func (b *Balancer) State(service string) []UpstreamState {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := []UpstreamState{}
	p := b.pools[service]
	if p == nil {
		return list
	}
	now := b.config.Now()
	for _, u := range p.upstreams {
		list = append(list, UpstreamState{ID: u.ID, Region: u.region, Domain: u.Domain, Usable: u.usable(now), Evacuated: b.evacuated[u.Domain],
			Cold: now.Before(u.coldUntil), Load: u.load(now), Slots: u.Slots, Slowness: u.slowdown(now), FailureRate: u.currentFailureRate(now)})
	}
	sort.Slice(list, func(x, y int) bool { return list[x].ID < list[y].ID })
	return list
}
