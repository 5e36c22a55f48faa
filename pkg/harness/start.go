package harness

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/load"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// Start starts all instances, waits until every one serves every service, submits
// the initial description and waits until it is in force on all instances and they serve
// under it.
func (c *Cluster) Start() error {
	for _, i := range c.Instances {
		if err := i.Start(); err != nil {
			return err
		}
	}
	if err := c.AwaitServing(startTimeout); err != nil {
		return err
	}
	if err := c.submitDescription(0, "first", c.Spec.Description); err != nil {
		return err
	}
	if _, err := c.AwaitVersion(1, startTimeout); err != nil {
		return err
	}
	// Once an instance knows the limits in its description, it is ready only if it has
	// run for long enough to know the instances that share them.
	return c.AwaitServing(startTimeout)
}

// submitDescription submits a description as a merge patch, retrying until it is
// accepted.
func (c *Cluster) submitDescription(base uint64, id string, description []byte) error {
	_, err := Await(startTimeout, "acceptance of the initial description", func() error {
		_, err := c.Instances[0].SubmitMergePatch(base, id, json.RawMessage(description))
		return err
	})
	return err
}

// CheckMembership returns nil if every running instance sees all other instances of
// the cluster as serving and knows at least one upstream.
func (c *Cluster) CheckMembership() error {
	for _, i := range c.Instances {
		if !i.Running() {
			continue
		}
		state, err := i.State()
		if err != nil {
			return fmt.Errorf("state of %s: %w", i.ID, err)
		}
		servingCount := 1
		for _, m := range state.Members {
			if m.State == memberServing {
				servingCount++
			}
		}
		if servingCount < len(c.Instances) {
			return fmt.Errorf("%s sees %d of %d instances serving", i.ID, servingCount, len(c.Instances))
		}
		if state.KnownUpstreams == 0 {
			return fmt.Errorf("%s sees no upstream", i.ID)
		}
	}
	return nil
}

// AwaitServing waits until every running instance sees all instances serving, and
// itself serves lookups and requests for every service.
func (c *Cluster) AwaitServing(timeout time.Duration) error {
	if _, err := Await(timeout, "full membership on all instances", c.CheckMembership); err != nil {
		return err
	}
	_, err := Await(timeout, "all services on all instances", c.checkServices)
	return err
}

// Lookup sends a lookup to an instance and returns the instances that a caller in
// a region should use for a service.
func (c *Cluster) Lookup(i *Instance, service Service, region string) (load.LookupResponse, error) {
	return load.QueryLookup(httpClient, i.LookupAddress, service.Host(), region)
}

// checkServices returns nil if every running instance serves lookups and requests
// for every service.
func (c *Cluster) checkServices() error {
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

// probeService sends one small request to a service through an instance and
// returns an error unless it completes.
func probeService(i *Instance, service Service) error {
	report := load.Probe(i.CallerAddress, service.Host())
	if report.Outcome != result.Complete.String() {
		return fmt.Errorf("outcome %q, status %d: %s", report.Outcome, report.Status, report.Detail)
	}
	return nil
}

// AwaitVersion waits until every running instance has at least the given version
// of the description in force, and returns how long that took.
func (c *Cluster) AwaitVersion(version uint64, timeout time.Duration) (time.Duration, error) {
	return Await(timeout, fmt.Sprintf("description version %d on all instances", version), func() error {
		for _, i := range c.Instances {
			if !i.Running() {
				continue
			}
			state, err := i.State()
			if err != nil {
				return err
			}
			if state.DescriptionVersion < version {
				return fmt.Errorf("%s has description version %d", i.ID, state.DescriptionVersion)
			}
		}
		return nil
	})
}
