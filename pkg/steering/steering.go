// Package steering holds the model that an instance steers by: the operator's
// configuration, the upstreams that registered themselves, and the failure
// domains under evacuation. Values are immutable once they are published.
package steering

import (
	"sort"
	"strings"
	"time"
)

// Version is the number of a configuration; a newer one has a larger number.
type Version int64

// Config is one accepted configuration.
type Config struct {
	Version  Version
	Services map[string]*Service
	Limits   Limits
	// hosts maps a host name to its routes, the longest prefix first.
	hosts map[string][]*Route
}

// Service is what the configuration says of a service.
type Service struct {
	Name           string
	MaxConnections int
	// ColdStart is how long an upstream stays cold after a start.
	ColdStart time.Duration
	// ColdRate is the number of requests per second that a cold upstream bears.
	ColdRate float64
}

// Limits bounds what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Route is one entry of the routing table.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a request may take; 0 means no bound.
	Timeout time.Duration
	// TargetLatency is the time within which an answer has its full worth.
	TargetLatency time.Duration
	// MaxAttempts bounds the upstreams to which one request is sent.
	MaxAttempts int
	// Priority is the rank of the route; 0 is the highest.
	Priority int
	// Split lists the services and their weights; it is never empty.
	Split []Share
	// Regions lists the only regions that may serve the route; empty means all.
	Regions []string
	// Affinity tells that upstreams work faster on objects seen lately.
	Affinity bool
}

// Share is the weight of a service in the split of a route.
type Share struct {
	Service string
	Weight  float64
}

// AllowsRegion tells whether upstreams of a region may serve the route.
func (r *Route) AllowsRegion(region string) bool {
	if len(r.Regions) == 0 {
		return true
	}
	for _, allowed := range r.Regions {
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

// Match returns the route of a host and path, or nil. A port in host and a
// query in uri are ignored.
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

// Routes returns the number of routes.
func (c *Config) Routes() int {
	n := 0
	for _, list := range c.hosts {
		n += len(list)
	}
	return n
}

// UpstreamState is the state that an upstream reports of itself.
type UpstreamState uint8

// States of an upstream.
const (
	Ready UpstreamState = iota + 1
	Draining
)

// Upstream is the registration of one start of an upstream.
type Upstream struct {
	ID      string
	Service string
	Address string
	Domain  string
	Slots   int
	State   UpstreamState
	// ColdRemaining is how long the upstream stays cold after the report.
	ColdRemaining time.Duration
	// StartUnixMS is the time of its start in Unix milliseconds by its own clock; it
	// tells two starts under one id apart.
	StartUnixMS int64
	// Release is the version of its software.
	Release string
}

// View is what an instance believes at one moment.
type View struct {
	// Config is nil until the first configuration has arrived.
	Config    *Config
	Upstreams map[string]Upstream
	// Evacuated holds the failure domains that get no requests.
	Evacuated map[string]bool
}

// Directive is one row that the operator wrote: a configuration or the
// evacuation of a failure domain.
type Directive struct {
	Config   *Config
	Evacuate string
}

// Bounds are the limits that hold over all instances together.
type Bounds struct {
	// RetryRatio is the part of a service's requests that may be sent again.
	RetryRatio float64
	// RetrySlack is the number of repeats allowed beside RetryRatio.
	RetrySlack float64
	// RetryWindow is the time over which repeats are counted.
	RetryWindow time.Duration
	// MaxRegionShift is the part of a region's requests that may change the region
	// that serves them between two windows of ShiftWindow.
	MaxRegionShift float64
	// MaxLookupTTL is the longest life of a look-up answer that callers honor.
	MaxLookupTTL time.Duration
	// DrainDeadline is the time within which an upstream that leaves must get no
	// more requests.
	DrainDeadline time.Duration
	// GracePeriod is the time between the stop signal and the kill.
	GracePeriod time.Duration
}

// ShiftWindow is the window of Bounds.MaxShift.
const ShiftWindow = 2 * time.Second
