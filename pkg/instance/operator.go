package instance

import (
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
	// operatorRequestsPerSecond is the rate limit for each operator.
	operatorRequestsPerSecond = 20
	// maxInFlightReportDelay is the time after which every instance has reported
	// its current number of requests in flight.
	maxInFlightReportDelay = 1200 * time.Millisecond
)

// commonVersionState holds a version of the description and the time since which
// all live instances have at least that version.
type commonVersionState struct {
	version uint64
	since   time.Time
}

// updateCommonVersion records the version in force on this instance and since when
// all live instances have reached it, or version 0 if one of them has not.
func (i *Instance) updateCommonVersion(now time.Time) {
	version := i.policy.Current().Number
	for _, m := range i.mesh.Live() {
		if m.DescriptionVersion < version {
			i.commonVersion.Store(&commonVersionState{})
			return
		}
	}
	if i.commonVersion.Load().version != version {
		i.commonVersion.Store(&commonVersionState{version, now})
	}
}

// inFlightCountsCurrent reports whether all live instances have had the version
// in force on this instance for at least maxInFlightReportDelay. Drained upstreams
// and instances then get no new requests, and every in-flight count was reported
// after the drain took effect.
func (i *Instance) inFlightCountsCurrent() bool {
	c := i.commonVersion.Load()
	return c.version == i.policy.Current().Number && i.opt.Now().Sub(c.since) >= maxInFlightReportDelay
}

// localInstance implements operatorapi.LocalInstance for an Instance.
type localInstance struct{ *Instance }

// Current implements operatorapi.LocalInstance.
func (l localInstance) Current() cluster.Version { return l.policy.Current() }

// ApplyVersion implements operatorapi.LocalInstance.
func (l localInstance) ApplyVersion(v cluster.Version) {
	l.policy.ApplyIfNewer(v, "operator")
	go l.mesh.AnnounceToOtherRegions()
}

// Members implements operatorapi.LocalInstance.
func (l localInstance) Members() []cluster.Member {
	s, local := l.settings, l.localStatus()
	list := []cluster.Member{{ID: s.ID, Region: s.Region, Domain: s.Domain, State: memberState(local.State),
		CallerAddress: s.CallerAddress, DescriptionVersion: local.DescriptionVersion, ActiveRequests: local.ActiveRequests, Shares: local.Shares}}
	for _, m := range l.mesh.Live() {
		shares := m.Shares
		if m.Region != s.Region {
			if t, ok := l.trafficOf(m.Region); ok {
				shares = t.shares
			}
		}
		list = append(list, cluster.Member{ID: m.ID, Region: m.Region, Domain: m.Domain, State: memberState(m.State),
			CallerAddress: m.CallerAddress, DescriptionVersion: m.DescriptionVersion, ActiveRequests: m.ActiveRequests, Shares: shares})
	}
	return list
}

// DrainStatus implements operatorapi.LocalInstance.
func (l localInstance) DrainStatus(id string) (operator.DrainReply, error) {
	countsCurrent := l.inFlightCountsCurrent()
	if active, known := l.requestsInFlight(id); known {
		return newDrainReport(id, active, l.policy.Description().InstanceDrained(id), countsCurrent), nil
	}
	inFlight, known := l.balancer.InFlightAt(id)
	u := l.catalog.View().Upstreams[id]
	draining := l.policy.Description().UpstreamDrained(id) || l.policy.Description().InstanceDrained(id)
	switch {
	case known:
		return newDrainReport(id, inFlight, draining || u.State == steering.Draining, countsCurrent), nil
	case draining:
		// The drained upstream or instance is no longer registered or live.
		return operator.DrainReply{ID: id, State: operator.DrainDrained}, nil
	}
	return operator.DrainReply{}, result.New(result.NotFound, "no upstream or instance %.128q", id)
}

// newDrainReport returns the progress of a drain. The drain is complete once the
// in-flight count is current and 0.
func newDrainReport(id string, inFlight int, draining, countsCurrent bool) operator.DrainReply {
	d := operator.DrainReply{ID: id, State: operator.DrainServing, InFlight: inFlight}
	switch {
	case draining && inFlight == 0 && countsCurrent:
		d.State = operator.DrainDrained
	case draining:
		d.State = operator.DrainDraining
	}
	return d
}

// requestsInFlight returns the number of requests in flight at an instance, and
// whether the instance is known.
func (l localInstance) requestsInFlight(id string) (active int, known bool) {
	if id == l.settings.ID {
		return l.ingress.InFlight(), true
	}
	for _, m := range l.mesh.Live() {
		if m.ID == id {
			return m.ActiveRequests, true
		}
	}
	return 0, false
}

// explanation describes where requests to a service are sent.
type explanation struct {
	Service string `json:"service"`
	// ConfigVersion and DescriptionVersion are the versions in force.
	ConfigVersion      int64  `json:"configuration"`
	DescriptionVersion uint64 `json:"description"`
	// Destinations holds the traffic shares if the description names the service.
	Destinations []routing.Destination      `json:"destinations,omitempty"`
	Upstreams    []balance.UpstreamSnapshot `json:"upstreams"`
}

// Explain implements operatorapi.LocalInstance.
func (l localInstance) Explain(service string) (any, error) {
	v := l.catalog.View()
	if v.Config == nil {
		return nil, result.New(result.NoConfiguration, "no configuration has been loaded yet")
	}
	if v.Config.Services[service] == nil {
		return nil, result.New(result.UnknownService, "configuration %d has no service %q", v.Config.Version, service)
	}
	e := explanation{Service: service, ConfigVersion: int64(v.Config.Version), DescriptionVersion: l.policy.Current().Number, Upstreams: l.balancer.UpstreamSnapshots(service)}
	if l.policy.HasService(service) {
		var err error
		if e.Destinations, err = l.policy.Destinations(service); err != nil {
			return nil, err
		}
	}
	return e, nil
}

// RequestOutcome implements operatorapi.LocalInstance.
func (l localInstance) RequestOutcome(id string) (any, error) {
	if e, ok := l.recentRequests.get(id); ok {
		return e, nil
	}
	return nil, result.New(result.NotFound, "no request %.128q among the last %d refused, failed, abandoned or late requests of this instance", id, maxRecentRequests)
}

// State implements operatorapi.LocalInstance.
func (l localInstance) State() (json.RawMessage, error) {
	body, err := json.Marshal(l.state())
	if err != nil {
		return nil, result.New(result.Internal, "encoding the state: %v", err)
	}
	return body, nil
}
