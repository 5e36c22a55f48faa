package harness

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/load"
	"github.com/sequoiacove/sequoiacove/pkg/request"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// Start starts all instances, registers them, accepts the first configuration
// and waits until every instance serves every service.
func (c *Cluster) Start() error {
	for _, i := range c.Instances {
		if err := i.Start(); err != nil {
			return err
		}
		if err := c.Platform.Register(i.record(cluster.Serving)); err != nil {
			return err
		}
	}
	if _, err := Await(startLimit, "member tables", c.membersComplete); err != nil {
		return err
	}
	if err := c.accept(0, "first", c.Spec.Description); err != nil {
		return err
	}
	_, err := Await(startLimit, "service on all instances", c.serving)
	return err
}

func (c *Cluster) accept(base uint64, id string, description []byte) error {
	_, err := Await(startLimit, "first configuration", func() error {
		_, err := c.Instances[0].Merge(base, id, json.RawMessage(description))
		return err
	})
	return err
}

// membersComplete tells whether every agent sees every instance as serving.
func (c *Cluster) membersComplete() error {
	for _, i := range c.Instances {
		if !i.Agent.Running() {
			continue
		}
		members, err := i.Members()
		if err != nil {
			return fmt.Errorf("members of %s: %w", i.ID, err)
		}
		live := 0
		for _, m := range members {
			if m.State == cluster.Serving && m.EntryIncarnation != 0 {
				live++
			}
		}
		if live < len(c.Instances) {
			return fmt.Errorf("%s sees %d of %d instances serving", i.ID, live, len(c.Instances))
		}
	}
	return nil
}

// AwaitMembers waits until every running agent sees every instance as serving
// and every entry serves every service.
func (c *Cluster) AwaitMembers(limit time.Duration) error {
	if _, err := Await(limit, "member tables", c.membersComplete); err != nil {
		return err
	}
	_, err := Await(limit, "service on all instances", c.serving)
	return err
}

// Lookup asks the entry of an instance which instances to use.
func (c *Cluster) Lookup(i *Instance, service, block string) (load.Lookup, error) {
	return load.Ask(client, i.CallerAddress, service, block)
}

// serving tells whether every entry answers look-ups and requests of every
// service in the latest version.
func (c *Cluster) serving() error {
	for _, i := range c.Instances {
		for _, service := range c.Spec.Services {
			if err := probeService(i, service.Name); err != nil {
				return fmt.Errorf("%s, service %s: %w", i.ID, service.Name, err)
			}
		}
	}
	return nil
}

// probeService sends one request without work through an entry.
func probeService(i *Instance, service string) error {
	resp, err := client.Get("http://" + i.CallerAddress + "/v1/services/" + service + "/probe/start")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if outcome := resp.Header.Get(request.HeaderOutcome); outcome != result.Complete.String() {
		body, _ := io.ReadAll(io.LimitReader(resp.Body, 500))
		return fmt.Errorf("outcome %q: %s", outcome, body)
	}
	return nil
}

// AwaitVersion waits until every running agent and entry has a version in
// force, and returns how long the last one took.
func (c *Cluster) AwaitVersion(version uint64, limit time.Duration) (time.Duration, error) {
	return Await(limit, fmt.Sprintf("version %d everywhere", version), func() error {
		for _, i := range c.Instances {
			if !i.Agent.Running() || !i.Entry.Running() {
				continue
			}
			current, err := i.Current()
			if err != nil {
				return err
			}
			if current.Version < version {
				return fmt.Errorf("agent of %s has version %d", i.ID, current.Version)
			}
			if err := c.entryVersion(i, version); err != nil {
				return err
			}
		}
		return nil
	})
}

func (c *Cluster) entryVersion(i *Instance, version uint64) error {
	answer, err := load.Ask(client, i.CallerAddress, c.Spec.Services[0].Name, "")
	if err != nil {
		return fmt.Errorf("look-up at %s: %w", i.ID, err)
	}
	if answer.Version < version {
		return fmt.Errorf("entry of %s has version %d", i.ID, answer.Version)
	}
	return nil
}
