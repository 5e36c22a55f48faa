package instance

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/balance"
	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/operator"
	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/pkg/routing"
	"github.com/sequoiacove/sequoiacove/pkg/steering"
)

const (
	// operatorRequestsPerSecond bounds the requests of each operator.
	operatorRequestsPerSecond = 20
	// drainSpread is the time until no instance gives new work to what operators
	// drain, and the reports of requests in flight are newer than that.
	drainSpread = 5 * time.Second
)

// backend answers the operator API for an instance.
type backend struct{ *Instance }

// Current implements operatorapi.Backend.
func (b backend) Current() cluster.Version { return b.policy.Current() }

// Adopt implements operatorapi.Backend.
func (b backend) Adopt(v cluster.Version) { b.policy.Offer(v, "operator") }

// Members implements operatorapi.Backend.
func (b backend) Members() []cluster.Member {
	s, local := b.settings, b.local()
	list := []cluster.Member{{ID: s.ID, EntryIncarnation: 1, Region: s.Region, Domain: s.Domain, State: memberState(local.State),
		CallerAddress: s.CallerAddress, Version: local.Version, Shares: local.Shares}}
	for _, m := range *b.live.Load() {
		shares := m.Shares
		if m.Region != s.Region {
			if t, ok := b.traffic(m.Region); ok {
				shares = t.shares
			}
		}
		list = append(list, cluster.Member{ID: m.ID, EntryIncarnation: 1, Region: m.Region, Domain: m.Domain, State: memberState(m.State),
			CallerAddress: m.Caller, Version: m.Version, Shares: shares})
	}
	return list
}

// Drain implements operatorapi.Backend.
func (b backend) Drain(_ context.Context, id string) (operator.Drain, error) {
	version := b.policy.Current()
	settled := b.opt.Now().Sub(time.UnixMilli(version.AcceptedUnixMS)) >= drainSpread
	if active, known := b.activeAt(id); known {
		return drainOf(id, active, b.policy.Description().InstanceDrained(id), settled), nil
	}
	n, known := b.balancer.InFlightAt(id)
	u := b.catalog.View().Upstreams[id]
	draining := b.policy.Description().Drained(id) || b.policy.Description().InstanceDrained(id)
	switch {
	case known:
		return drainOf(id, n, draining || u.State == steering.Draining, settled), nil
	case draining:
		// Neither the platform nor the members know it any more.
		return operator.Drain{ID: id, State: operator.DrainDrained}, nil
	}
	return operator.Drain{}, result.New(result.NotFound, "no upstream or instance %.128q", id)
}

func drainOf(id string, inFlight int, draining, settled bool) operator.Drain {
	d := operator.Drain{ID: id, State: operator.DrainServing, InFlight: inFlight}
	switch {
	case draining && inFlight == 0 && settled:
		d.State = operator.DrainDrained
	case draining:
		d.State = operator.DrainDraining
	}
	return d
}

// activeAt returns the requests in flight of an instance.
func (b backend) activeAt(id string) (active int, known bool) {
	if id == b.settings.ID {
		return b.ingress.Active(), true
	}
	for _, m := range *b.live.Load() {
		if m.ID == id {
			return m.Active, true
		}
	}
	return 0, false
}

// explanation tells where a request to a service would go.
type explanation struct {
	Service string `json:"service"`
	// Configuration and Description are the versions in force.
	Configuration int64  `json:"configuration"`
	Description   uint64 `json:"description"`
	// Destinations holds the shares if the description names the service.
	Destinations []routing.Destination   `json:"destinations,omitempty"`
	Upstreams    []balance.UpstreamState `json:"upstreams"`
}

// Explain implements operatorapi.Backend. The method and the path of a request
// do not matter here.
func (b backend) Explain(_ context.Context, service, _, _ string) (any, error) {
	v := b.catalog.View()
	if v.Config == nil {
		return nil, result.New(result.NoConfiguration, "no configuration has arrived")
	}
	if v.Config.Services[service] == nil {
		return nil, result.New(result.UnknownService, "configuration %d has no service %q", v.Config.Version, service)
	}
	e := explanation{Service: service, Configuration: int64(v.Config.Version), Description: b.policy.Current().Number, Upstreams: b.balancer.State(service)}
	if b.policy.Governs(service) {
		var err error
		if e.Destinations, err = b.policy.Destinations(service); err != nil {
			return nil, err
		}
	}
	return e, nil
}

// Request implements operatorapi.Backend.
func (b backend) Request(id string) (any, error) {
	if e, ok := b.recent.get(id); ok {
		return e, nil
	}
	return nil, result.New(result.NotFound, "no request %.128q among the last %d that were refused, failed, abandoned or late here", id, keptRequests)
}

// State implements operatorapi.Backend.
func (b backend) State(context.Context) (operator.State, error) {
	body, err := json.Marshal(b.state())
	if err != nil {
		return operator.State{}, result.New(result.Internal, "encoding the state: %v", err)
	}
	return operator.State{Instance: body}, nil
}
