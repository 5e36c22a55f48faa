package harness

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/catalog"
	"github.com/sequoiacove/sequoiacove/pkg/load"
	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/platform"
	"github.com/sequoiacove/sequoiacove/platform/platformtest"
)

const (
	// storeTimeout is the timeout of a call to the store.
	storeTimeout = 5 * time.Second
	// maxAttempts is the maximum number of upstreams that a request is sent to, on
	// all routes.
	maxAttempts = 4
	// configurationVersion is the version of the configuration written to the store.
	configurationVersion = 1
)

// standinIP returns the loopback address shared by all stand-ins of the cluster.
func (c *Cluster) standinIP() string { return c.loopbackPrefix + ".200.1" }

// Store is the stand-in process for the platform's store.
type Store struct {
	*Process
	Address        string
	controlAddress string
}

// SetFaults replaces the injected faults of the store.
func (s *Store) SetFaults(f platformtest.StoreFaults) error {
	return doJSON(http.MethodPost, "http://"+s.controlAddress+"/faults", "", f, nil)
}

// Stats returns the store's call counts.
func (s *Store) Stats() (stats platformtest.StoreStats, err error) {
	err = doJSON(http.MethodGet, "http://"+s.controlAddress+"/stats", "", nil, &stats)
	return stats, err
}

// TakeCopy makes the store copy its state.
func (s *Store) TakeCopy() error {
	return doJSON(http.MethodPost, "http://"+s.controlAddress+"/copy", "", nil, nil)
}

// RestoreCopy takes the store out of service for the duration of outage and then replaces
// its state with the copy taken last. It returns when the store is back.
func (s *Store) RestoreCopy(outage time.Duration) error { return s.callControl("/restore", outage) }

// Interrupt takes the store out of service for a duration. It returns when the store is back.
func (s *Store) Interrupt(d time.Duration) error { return s.callControl("/interrupt", d) }

// ServeOldListings drops the history of the store and makes it serve listings from the copy
// taken last for a duration.
func (s *Store) ServeOldListings(duration time.Duration) error {
	return s.callControl("/old-listings", duration)
}

func (s *Store) callControl(path string, d time.Duration) error {
	return doJSON(http.MethodPost, "http://"+s.controlAddress+path, "", map[string]int64{"duration_ms": d.Milliseconds()}, nil)
}

// startStore starts the store, waits until it responds and writes the routes.
func (c *Cluster) startStore() error {
	s := &Store{}
	for _, field := range []*string{&s.Address, &s.controlAddress} {
		address, err := c.ports.allocate(c.standinIP())
		if err != nil {
			return err
		}
		*field = address
	}
	s.Process = c.newProcess("store", "standin-platform", "--address", s.Address, "--control", s.controlAddress)
	c.Store = s
	if err := s.Start(); err != nil {
		return err
	}
	c.storeClient = platform.NewClient(s.Address, func(a string) (net.Conn, error) { return net.DialTimeout("tcp4", a, storeTimeout) })
	if _, err := Await(startTimeout, "stand-in store", func() error { _, err := s.Stats(); return err }); err != nil {
		return err
	}
	return c.putRow(catalog.Directives, "config", platformtest.EncodeConfig(configurationVersion, c.routes()))
}

// routes returns one route for each request class of each service.
func (c *Cluster) routes() []platformtest.Route {
	var list []platformtest.Route
	for _, s := range c.Spec.Services {
		list = append(list, load.Routes(platformtest.Route{Name: s.Name + "-", Host: s.Host(), Service: s.Name, Timeout: c.Spec.Timeout,
			TargetLatency: c.Spec.TargetLatency, MaxAttempts: maxAttempts})...)
	}
	return list
}

// PutRoutes writes a configuration with the routes of the cluster and further ones to the
// store.
func (c *Cluster) PutRoutes(version int, further []platformtest.Route) error {
	return c.putRow(catalog.Directives, "config", platformtest.EncodeConfig(version, append(c.routes(), further...)))
}

// CheckHost returns nil if all running instances serve the routes of a host.
func (c *Cluster) CheckHost(host string) error {
	for _, i := range c.Instances {
		if !i.Running() {
			continue
		}
		if report := load.Probe(i.CallerAddress, host); report.Outcome != result.Complete.String() {
			return fmt.Errorf("%s, host %s: outcome %q, status %d: %s", i.ID, host, report.Outcome, report.Status, report.Detail)
		}
	}
	return nil
}

func (c *Cluster) putRow(table catalog.Table, key string, value []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	return c.storeClient.Put(ctx, table, key, value)
}

// storeAddress returns the address at which the instances of a domain reach the
// store: the address of the domain's relay if relays are used, or the store's own.
func (c *Cluster) storeAddress(domain string) (string, error) {
	if !c.Spec.UseRelays {
		return c.Store.Address, nil
	}
	return c.relays.ensureTCP(c.relays.storeByDomain, domain, c.Store.Address)
}

// Upstream is a stand-in upstream process with its registration.
type Upstream struct {
	*Process
	platformtest.Registration
	Region         string
	controlAddress string
}

// SetFaults replaces the injected faults of the upstream.
func (u *Upstream) SetFaults(f platformtest.UpstreamFaults) error {
	return doJSON(http.MethodPost, "http://"+u.controlAddress+"/faults", "", f, nil)
}

// Report returns the upstream's report, including its log of executions.
func (u *Upstream) Report() (report platformtest.UpstreamReport, err error) {
	if err := doJSON(http.MethodGet, "http://"+u.controlAddress+"/report", "", nil, &report); err != nil {
		return report, err
	}
	for i := range report.Executions {
		report.Executions[i].Upstream = u.ID
	}
	return report, nil
}

// SetRegistration writes the registration of an upstream with the given state,
// "ready" or "draining", to the store. An empty state removes the registration.
func (c *Cluster) SetRegistration(u *Upstream, state string) error {
	u.State = state
	if state != "" {
		return c.putRow(catalog.Upstreams, u.ID, u.EncodeRow())
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	l, err := c.storeClient.List(ctx, catalog.Upstreams)
	if err != nil {
		return err
	}
	for _, row := range l.Rows {
		if row.Key == u.ID {
			return c.storeClient.Remove(ctx, catalog.Upstreams, u.ID, row.Revision)
		}
	}
	return nil
}

// startUpstreams starts all upstreams, waits until each one responds and registers
// it.
func (c *Cluster) startUpstreams() error {
	for _, domain := range c.Spec.Domains {
		for _, service := range c.Spec.Services {
			for n := range service.UpstreamsPerDomain {
				id := fmt.Sprintf("%s-%s-%d", service.Name, domain.Name, n+1)
				if err := c.addUpstream(id, service, domain); err != nil {
					return err
				}
			}
		}
	}
	for _, u := range c.Upstreams {
		if _, err := Await(startTimeout, "upstream "+u.ID, func() error { _, err := u.Report(); return err }); err != nil {
			return err
		}
		if err := c.SetRegistration(u, "ready"); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) addUpstream(id string, service Service, domain Domain) error {
	address, err := c.ports.allocate(c.standinIP())
	if err != nil {
		return err
	}
	controlAddress, err := c.ports.allocate(c.standinIP())
	if err != nil {
		return err
	}
	registeredAddress := address
	if c.Spec.UseRelays {
		if registeredAddress, err = c.relays.ensureTCP(c.relays.upstreamByID, id, address); err != nil {
			return err
		}
	}
	u := &Upstream{
		Process: c.newProcess(id, "standin-upstream", "--address", address, "--control", controlAddress, "--id", id, "--service", service.Name,
			"--domain", domain.Name, "--slots", strconv.Itoa(service.SlotsPerUpstream)),
		Registration: platformtest.Registration{ID: id, Service: service.Name, Domain: domain.Name, Address: registeredAddress, Slots: service.SlotsPerUpstream, StartUnixMS: time.Now().UnixMilli()},
		Region:       domain.Region, controlAddress: controlAddress,
	}
	c.Upstreams = append(c.Upstreams, u)
	return u.Start()
}

// Executions returns the execution logs of all running upstreams of a service; an
// empty service means all services.
func (c *Cluster) Executions(service string) ([]load.Execution, error) {
	var all []load.Execution
	for _, u := range c.Upstreams {
		if !u.Running() || service != "" && u.Service != service {
			continue
		}
		report, err := u.Report()
		if err != nil {
			return nil, fmt.Errorf("execution log of %s: %w", u.ID, err)
		}
		all = append(all, report.Executions...)
	}
	return all, nil
}

// Upstream returns the upstream with an id, or nil.
func (c *Cluster) Upstream(id string) *Upstream {
	for _, u := range c.Upstreams {
		if u.ID == id {
			return u
		}
	}
	return nil
}
