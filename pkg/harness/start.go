package harness

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/load"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// Start starts all instances, accepts the first description and waits until
// every instance serves every service.
func (c *Cluster) Start() error {
	for _, i := range c.Instances {
		if err := i.Start(); err != nil {
			return err
		}
	}
	if err := c.AwaitMembers(startLimit); err != nil {
		return err
	}
	if err := c.accept(0, "first", c.Spec.Description); err != nil {
		return err
	}
	_, err := c.AwaitVersion(1, startLimit)
	return err
}

func (c *Cluster) accept(base uint64, id string, description []byte) error {
	_, err := Await(startLimit, "first description", func() error {
		_, err := c.Instances[0].Merge(base, id, json.RawMessage(description))
		return err
	})
	return err
}

// MembersComplete returns nil if every running instance sees all others serving
// and all upstreams.
func (c *Cluster) MembersComplete() error {
	for _, i := range c.Instances {
		if !i.Running() {
			continue
		}
		state, err := i.State()
		if err != nil {
			return fmt.Errorf("state of %s: %w", i.ID, err)
		}
		live := 1
		for _, m := range state.Members {
			if m.State == serving {
				live++
			}
		}
		if live < len(c.Instances) {
			return fmt.Errorf("%s sees %d of %d instances serving", i.ID, live, len(c.Instances))
		}
		if state.Upstreams == 0 {
			return fmt.Errorf("%s knows no upstream", i.ID)
		}
	}
	return nil
}

// AwaitMembers waits until every running instance sees all others serving and
// serves every service.
func (c *Cluster) AwaitMembers(limit time.Duration) error {
	if _, err := Await(limit, "members", c.MembersComplete); err != nil {
		return err
	}
	_, err := Await(limit, "service on all instances", c.serving)
	return err
}

// Lookup asks an instance which instances a caller of a region should use.
func (c *Cluster) Lookup(i *Instance, service Service, region string) (load.LookupResponse, error) {
	return load.QueryLookup(client, i.LookupAddress, service.Host(), region)
}

// serving tells whether every running instance answers look-ups, and requests
// of every service.
func (c *Cluster) serving() error {
	for _, i := range c.Instances {
		if !i.Running() {
			continue
		}
		for _, service := range c.Spec.Services {
			if _, err := c.Lookup(i, service, i.Region); err != nil {
				return fmt.Errorf("%s, look-up of %s: %w", i.ID, service.Name, err)
			}
			if err := probeService(i, service); err != nil {
				return fmt.Errorf("%s, service %s: %w", i.ID, service.Name, err)
			}
		}
	}
	return nil
}

// probeService sends one request with little work through an instance.
func probeService(i *Instance, service Service) error {
	report := load.Probe(i.CallerAddress, service.Host())
	if report.Outcome != result.Complete.String() {
		return fmt.Errorf("outcome %q, status %d: %s", report.Outcome, report.Status, report.Detail)
	}
	return nil
}

// AwaitVersion waits until every running instance has a version of the
// description in force, and returns how long the last one took.
func (c *Cluster) AwaitVersion(version uint64, limit time.Duration) (time.Duration, error) {
	return Await(limit, fmt.Sprintf("version %d everywhere", version), func() error {
		for _, i := range c.Instances {
			if !i.Running() {
				continue
			}
			state, err := i.State()
			if err != nil {
				return err
			}
			if state.Description < version {
				return fmt.Errorf("%s has version %d", i.ID, state.Description)
			}
		}
		return nil
	})
}
