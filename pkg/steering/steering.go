// Package steering defines the data model for traffic steering: the operator's
// configuration with its routes and services (Config), the registered upstreams
// (Upstream) and the evacuated failure domains. A View holds all three. Values are
// immutable once published.
package steering

import (
	"sort"
	"strings"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/revision"
)

// Version is the revision of a configuration. Newer revisions are larger.
type Version int64

// Config is one accepted configuration.
type Config struct {
	Version  Version
	Services map[string]*Service
	Limits   CallerLimits
	// hosts maps a host name to its routes, sorted by descending prefix length.
	hosts map[string][]*Route
}

// Service is the configuration of a service.
type Service struct {
	Name string
	// HealthPath is the path of the upstreams' health check, empty if they have none.
	HealthPath string
	// MaxConnections is the maximum number of connections of all instances together
	// to one upstream; 0 means no limit.
	MaxConnections int
	// WarmUpTime is how long an upstream is cold after its start.
	WarmUpTime time.Duration
	// MaxColdRequestRate is the maximum number of requests per second that all instances
	// together send to a cold upstream.
	MaxColdRequestRate float64
}

// CallerLimits holds the limits on the size of callers' requests and the timeouts of
// their connections.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Route is one entry of the routing table.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent is set if requests may be executed more than once.
	Idempotent bool
	// Timeout is the maximum duration of a request; 0 means no limit.
	Timeout time.Duration
	// TargetLatency is the latency up to which a response counts as on time.
	TargetLatency time.Duration
	// MaxAttempts is the maximum number of upstreams that one request is sent to.
	MaxAttempts int
	// Priority ranks the route under overload; 0 is the highest priority.
	Priority int
	// Split lists the services and their weights; it is never empty.
	Split []WeightedService
	// AllowedRegions lists the regions that may serve the route; empty means all.
	AllowedRegions []string
	// Affinity makes requests for an object prefer the upstreams that own the
	// object. It suits services whose upstreams handle recently used objects faster.
	Affinity bool
}

// WeightedService is a service in the split of a route, with its weight.
type WeightedService struct {
	Service string
	Weight  float64
}

// AllowsRegion reports whether upstreams of a region may serve the route.
func (r *Route) AllowsRegion(region string) bool {
	if len(r.AllowedRegions) == 0 {
		return true
	}
	for _, allowed := range r.AllowedRegions {
		if allowed == region {
			return true
		}
	}
	return false
}

// SetRoutes installs the routing table.
func (c *Config) SetRoutes(routes []*Route) {
	c.hosts = make(map[string][]*Route)
	for _, r := range routes {
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
	}
	for _, list := range c.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
}

// Match returns the route with the longest prefix for a host and path, or nil. A
// port in host and a query in uri are ignored.
func (c *Config) Match(host, uri string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	path, _, _ := strings.Cut(uri, "?")
	for _, r := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// RouteCount returns the number of routes.
func (c *Config) RouteCount() int {
	n := 0
	for _, list := range c.hosts {
		n += len(list)
	}
	return n
}

// UpstreamState is the state that an upstream reports for itself.
type UpstreamState uint8

// States of an upstream.
const (
	Ready UpstreamState = iota + 1
	Draining
)

// Upstream is the registration of an upstream process. A restart creates a new
// one.
type Upstream struct {
	ID      string
	Service string
	Address string
	Domain  string
	// Slots is the number of requests that the upstream executes at the same time.
	// Further requests queue.
	Slots int
	State UpstreamState
	// ColdRemaining is the remaining warm-up time at the time of the report.
	ColdRemaining time.Duration
	// StartUnixMS is the start time in Unix milliseconds by the upstream's own
	// clock. It distinguishes successive processes with the same id.
	StartUnixMS int64
	// Sequence counts the reports of the upstream since its start.
	Sequence int64
	// Release is the software version.
	Release string
}

// View is an instance's snapshot of the configuration, the upstreams and the
// evacuated failure domains.
type View struct {
	// Config is nil until the first configuration has been received.
	Config    *Config
	Upstreams map[string]Upstream
	// EvacuatedDomains holds the evacuated failure domains, which receive no requests.
	EvacuatedDomains map[string]bool
	// EvacuationEnds holds, by failure domain, the store revision at which its last
	// evacuation ended. An instance may learn of the end of an evacuation without having
	// seen it in force.
	EvacuationEnds map[string]revision.Revision
}

// Directive is a row written by the operator: either a configuration or the
// evacuation of a failure domain.
type Directive struct {
	Config *Config
	// EvacuatedDomain is the failure domain to evacuate. It is empty for all other
	// rows.
	EvacuatedDomain string
}

// GlobalLimits holds the limits and timeouts that apply to the system as a whole.
type GlobalLimits struct {
	// MaxRetryRatio is the maximum ratio of retries to requests of a service.
	MaxRetryRatio float64 `json:"RetryRatio"`
	// ExtraRetries is the number of retries per window allowed in addition to those
	// that MaxRetryRatio allows.
	ExtraRetries float64 `json:"RetrySlack"`
	// RetryWindow is the window over which requests and retries are counted.
	RetryWindow time.Duration
	// MaxRegionShift is the maximum fraction of a region's requests whose serving
	// region may change between two consecutive windows of length ShiftWindow.
	MaxRegionShift float64 `json:"MaxShift"`
	// MaxLookupTTL is the maximum TTL of a lookup answer that callers honor.
	MaxLookupTTL time.Duration
	// DrainTimeout is the time within which a leaving upstream must stop receiving
	// requests.
	DrainTimeout time.Duration `json:"LeaveTime"`
	// ShutdownGracePeriod is the time between the stop signal and the kill signal.
	ShutdownGracePeriod time.Duration `json:"Grace"`
}

// ShiftWindow is the length of the windows of GlobalLimits.MaxRegionShift.
const ShiftWindow = 2 * time.Second
