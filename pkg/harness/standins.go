package harness

import (
	"fmt"
	"strconv"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/load"
	"github.com/sequoiacove/sequoiacove/pkg/platform"
)

const loopback = "127.0.0.1"

func (c *Cluster) startPlatform() error {
	address, err := c.ports.free(loopback)
	if err != nil {
		return err
	}
	c.Platform = &Platform{Process: c.process("platform", "standin-platform", "--address", address), Address: address}
	if err := c.Platform.Start(); err != nil {
		return err
	}
	_, err = Await(startLimit, "stand-in platform", c.Platform.ready)
	return err
}

// platformAddress returns where the instances of a domain reach the platform.
func (c *Cluster) platformAddress(domain string) (string, error) {
	if !c.Spec.Relays {
		return c.Platform.Address, nil
	}
	return c.relays.tcp(c.relays.platform, domain, c.Platform.Address)
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
		if _, err := Await(startLimit, "upstream "+u.Record.ID, u.ready); err != nil {
			return err
		}
		if err := c.Platform.Register(u.Record); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) addUpstream(id string, service Service, domain Domain) error {
	address, err := c.ports.free(loopback)
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
		Process: c.process(id, "standin-upstream", "--address", address, "--id", id, "--service", service.Name,
			"--slots", strconv.Itoa(service.Slots), "--cold", strconv.Itoa(service.Cold)),
		Address: address,
		Record: platform.Instance{ID: id, Role: platform.RoleUpstream, Service: service.Name, Region: domain.Region,
			Domain: domain.Name, Address: reached, State: cluster.Serving, Slots: service.Slots},
	}
	c.Upstreams = append(c.Upstreams, u)
	return u.Start()
}

// Executions returns the logs of all running upstreams of a service; an empty
// service means all of them.
func (c *Cluster) Executions(service string) ([]load.Execution, error) {
	var all []load.Execution
	for _, u := range c.Upstreams {
		if !u.Running() || service != "" && u.Record.Service != service {
			continue
		}
		log, err := u.Log()
		if err != nil {
			return nil, fmt.Errorf("log of %s: %w", u.Record.ID, err)
		}
		all = append(all, log.Executions...)
	}
	return all, nil
}

// Upstream returns the upstream with an id, or nil.
func (c *Cluster) Upstream(id string) *Upstream {
	for _, u := range c.Upstreams {
		if u.Record.ID == id {
			return u
		}
	}
	return nil
}
