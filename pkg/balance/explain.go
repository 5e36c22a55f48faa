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
func (b *Balancer) Explain(ask AcquireRequest) Refusal {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.config.Now()
	p := b.pool(ask.Service)
	route := b.route(p, ask.Route)
	var r Refusal
	if ask.Key != "" {
		r.Region = route.shares.byObject(route.shares.allowed(ask.Route, b.open(p, now)), ask.Key, b.config.Region)
	}
	for _, u := range p.upstreams {
		if ask.Route.AllowsRegion(u.region) && (ask.Domain == "" || u.Domain == ask.Domain) {
			r.Upstreams++
			b.classify(&r, u, ask, now)
		}
	}
	return r
}

func (b *Balancer) classify(r *Refusal, u *upstream, ask AcquireRequest, now time.Time) {
	tried := false
	for _, id := range ask.Exclude {
		tried = tried || id == u.ID
	}
	switch {
	case tried:
		r.Tried++
	case b.evacuated[u.Domain]:
		r.Evacuated++
	case !u.usable(now) || now.Before(u.shedUntil) || u.ejections > 0:
		r.Unavailable++
	case b.admits(u, ask, u.load(now), now) && r.Region != "" && u.region != r.Region:
		r.OtherRegion++
	case b.admits(u, ask, u.load(now), now):
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
			Cold: now.Before(u.coldUntil), Load: u.load(now), Slots: u.Slots, Slowness: u.slow(now), FailureRate: u.failing(now)})
	}
	sort.Slice(list, func(x, y int) bool { return list[x].ID < list[y].ID })
	return list
}
