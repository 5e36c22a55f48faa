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
	"github.com/sequoiacove/sequoiacove/platform"
	"github.com/sequoiacove/sequoiacove/platform/platformtest"
)

const (
	// storeTimeout bounds a call to the store.
	storeTimeout = 5 * time.Second
	// maxAttempts is the number of upstreams that a request may be sent to.
	maxAttempts = 4
	// firstConfiguration is the number of the configuration.
	firstConfiguration = 1
)

// standinIP is the loopback address of all stand-ins of the cluster.
func (c *Cluster) standinIP() string { return c.network + ".200.1" }

// Store is the running stand-in for the platform's store.
type Store struct {
	*Process
	Address string
	control string
}

// SetFaults replaces the faults of the store.
func (s *Store) SetFaults(f platformtest.StoreFaults) error {
	return call(http.MethodPost, "http://"+s.control+"/faults", "", f, nil)
}

// Stats returns the counts of calls so far.
func (s *Store) Stats() (stats platformtest.StoreStats, err error) {
	err = call(http.MethodGet, "http://"+s.control+"/stats", "", nil, &stats)
	return stats, err
}

func (c *Cluster) startStore() error {
	s := &Store{}
	for _, field := range []*string{&s.Address, &s.control} {
		free, err := c.ports.free(c.standinIP())
		if err != nil {
			return err
		}
		*field = free
	}
	s.Process = c.process("store", "standin-platform", "--address", s.Address, "--control", s.control)
	c.Store = s
	if err := s.Start(); err != nil {
		return err
	}
	c.rows = platform.NewClient(s.Address, func(a string) (net.Conn, error) { return net.DialTimeout("tcp4", a, storeTimeout) })
	if _, err := Await(startLimit, "stand-in store", func() error { _, err := s.Stats(); return err }); err != nil {
		return err
	}
	return c.put(catalog.Directives, "config", platformtest.Config(firstConfiguration, c.routes()))
}

// routes returns a route for each class of requests to each service.
func (c *Cluster) routes() []platformtest.Route {
	var list []platformtest.Route
	for _, s := range c.Spec.Services {
		list = append(list, load.Routes(platformtest.Route{Name: s.Name + "-", Host: s.Host(), Service: s.Name, Timeout: c.Spec.Timeout,
			TargetLatency: c.Spec.TargetLatency, MaxAttempts: maxAttempts})...)
	}
	return list
}

func (c *Cluster) put(table catalog.Table, key string, value []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	return c.rows.Put(ctx, table, key, value)
}

// storeAddress returns where the instances of a domain reach the store.
func (c *Cluster) storeAddress(domain string) (string, error) {
	if !c.Spec.Relays {
		return c.Store.Address, nil
	}
	return c.relays.tcp(c.relays.store, domain, c.Store.Address)
}

// Upstream is a running stand-in upstream.
type Upstream struct {
	*Process
	platformtest.Registration
	Region  string
	control string
}

// SetFaults replaces the faults of the upstream.
func (u *Upstream) SetFaults(f platformtest.UpstreamFaults) error {
	return call(http.MethodPost, "http://"+u.control+"/faults", "", f, nil)
}

// Report returns the upstream's own log.
func (u *Upstream) Report() (report platformtest.UpstreamReport, err error) {
	if err := call(http.MethodGet, "http://"+u.control+"/report", "", nil, &report); err != nil {
		return report, err
	}
	for i := range report.Executions {
		report.Executions[i].Upstream = u.ID
	}
	return report, nil
}

// Register writes the registration of an upstream with a state; an empty one
// removes it.
func (c *Cluster) Register(u *Upstream, state string) error {
	u.State = state
	if state != "" {
		return c.put(catalog.Upstreams, u.ID, u.EncodeRow())
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	l, err := c.rows.List(ctx, catalog.Upstreams)
	if err != nil {
		return err
	}
	for _, row := range l.Rows {
		if row.Key == u.ID {
			return c.rows.Remove(ctx, catalog.Upstreams, u.ID, row.Revision)
		}
	}
	return nil
}

func (c *Cluster) startUpstreams() error {
	for _, domain := range c.Spec.Domains {
		for _, service := range c.Spec.Services {
			for n := range service.Upstreams {
				id := fmt.Sprintf("%s-%s-%d", service.Name, domain.Name, n+1)
				if err := c.addUpstream(id, service, domain); err != nil {
					return err
				}
			}
		}
	}
	for _, u := range c.Upstreams {
		if _, err := Await(startLimit, "upstream "+u.ID, func() error { _, err := u.Report(); return err }); err != nil {
			return err
		}
		if err := c.Register(u, "ready"); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) addUpstream(id string, service Service, domain Domain) error {
	address, err := c.ports.free(c.standinIP())
	if err != nil {
		return err
	}
	control, err := c.ports.free(c.standinIP())
	if err != nil {
		return err
	}
	reached := address
	if c.Spec.Relays {
		if reached, err = c.relays.tcp(c.relays.upstreams, id, address); err != nil {
			return err
		}
	}
	u := &Upstream{
		Process: c.process(id, "standin-upstream", "--address", address, "--control", control, "--id", id, "--service", service.Name,
			"--domain", domain.Name, "--slots", strconv.Itoa(service.Slots)),
		Registration: platformtest.Registration{ID: id, Service: service.Name, Domain: domain.Name, Address: reached, Slots: service.Slots, StartUnixMS: time.Now().UnixMilli()},
		Region:       domain.Region, control: control,
	}
	c.Upstreams = append(c.Upstreams, u)
	return u.Start()
}

// Executions returns the logs of all running upstreams of a service; an empty
// service means all of them.
func (c *Cluster) Executions(service string) ([]load.Execution, error) {
	var all []load.Execution
	for _, u := range c.Upstreams {
		if !u.Running() || service != "" && u.Service != service {
			continue
		}
		report, err := u.Report()
		if err != nil {
			return nil, fmt.Errorf("log of %s: %w", u.ID, err)
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
