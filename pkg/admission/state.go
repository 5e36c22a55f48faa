package admission

import "time"

// Counts are the totals of a pool since its start.
type Counts struct {
	Executions uint64 `json:"executions"`
	Hedges     uint64 `json:"hedges"`
	Retries    uint64 `json:"retries"`
	Refused    uint64 `json:"refused"`
	Shed       uint64 `json:"shed"`
	Ejections  uint64 `json:"ejections"`
	OverBudget uint64 `json:"over_budget"`
}

// PoolState is a pool in the state dump.
type PoolState struct {
	Service   string          `json:"service"`
	Policy    string          `json:"policy"`
	Limit     int             `json:"limit"`
	Slots     int             `json:"slots"`
	InUse     int             `json:"in_use"`
	LongInUse int             `json:"long_in_use"`
	Queued    int             `json:"queued"`
	Counts    Counts          `json:"counts"`
	Upstreams []UpstreamState `json:"upstreams"`
	Routes    []RouteState    `json:"routes"`
}

// UpstreamState is an upstream in the state dump.
type UpstreamState struct {
	ID       string  `json:"id"`
	Address  string  `json:"address"`
	Slots    int     `json:"slots"`
	Limit    int     `json:"limit"`
	InUse    int     `json:"in_use"`
	Overdue  int     `json:"overdue"`
	Leaving  bool    `json:"leaving"`
	Ejected  string  `json:"ejected,omitempty"`
	SlowBy   float64 `json:"median_latency_ratio"`
	Warming  bool    `json:"slow_start"`
	Foreign  float64 `json:"load_of_others"`
	Draining bool    `json:"draining,omitempty"`
}

// RouteState is a learned route in the state dump.
type RouteState struct {
	Route    string  `json:"route"`
	Long     bool    `json:"long"`
	MedianMS float64 `json:"median_ms"`
	HedgeMS  float64 `json:"hedge_after_ms"`
}

func (p *pool) state() PoolState {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := PoolState{
		Service: p.service, Policy: p.config.Settings.Policy, Limit: p.limit, Slots: p.slots(), InUse: p.inUse,
		LongInUse: p.longInUse, Queued: p.queued(), Counts: p.counts,
		Upstreams: []UpstreamState{}, Routes: []RouteState{},
	}
	now := p.config.Clock.Now()
	for _, u := range p.targets {
		s.Upstreams = append(s.Upstreams, p.upstreamState(u, now))
	}
	for _, u := range p.draining {
		s.Upstreams = append(s.Upstreams, p.upstreamState(u, now))
	}
	for key, r := range p.routes.byKey {
		s.Routes = append(s.Routes, RouteState{
			Route: key, Long: r.figures.long,
			MedianMS: milliseconds(r.figures.median), HedgeMS: milliseconds(r.figures.hedge),
		})
	}
	return s
}

func (p *pool) upstreamState(u *target, now time.Time) UpstreamState {
	return UpstreamState{
		ID: u.id, Address: u.address, Slots: u.slots, Limit: u.limit(now), InUse: u.inUse(),
		Overdue: u.overdue(now), Leaving: u.leaving(), Ejected: u.health.reason, SlowBy: u.health.median(now),
		Warming: u.slowStart.active, Foreign: u.load.weight(now), Draining: u.gone,
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
