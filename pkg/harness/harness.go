// Package harness runs the real binaries of the system with stand-ins around
// them, for the demo and the process tests.
//
// A Cluster owns a temporary folder with settings and logs, and every process
// it started. Each instance has a loopback address of its own, so that relays
// between instances can tell failure domains apart and cut them from each
// other. Close ends all processes by their ids; the kernel ends them when the
// harness itself dies.
package harness

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/sequoiacove/sequoiacove/platform"
)

// Domain is a failure domain of a Spec.
type Domain struct {
	Region string
	Name   string
	// Instances is the number of instances.
	Instances int
}

// Service is a service of a Spec; every domain has the same upstreams of it.
type Service struct {
	Name      string
	Upstreams int
	Slots     int
}

// Host returns the name under which the routes of the service are listed.
func (s Service) Host() string { return s.Name + ".example" }

// Spec describes a cluster.
type Spec struct {
	// Binaries is the folder with the built binaries.
	Binaries string
	Domains  []Domain
	Services []Service
	// TargetLatency is that of all routes, and Timeout their time-out.
	TargetLatency time.Duration
	Timeout       time.Duration
	// GracePeriod bounds a graceful stop of an instance.
	GracePeriod time.Duration
	// Description is the operators' first description, as JSON.
	Description []byte
	// Relays puts a relay in front of every instance's mesh, every upstream and
	// the store.
	Relays bool
}

// Cluster is a running system with its stand-ins.
type Cluster struct {
	Spec      Spec
	Dir       string
	Store     *Store
	Instances []*Instance
	Upstreams []*Upstream

	ports  *ports
	relays *relays
	// network is the first half of the loopback addresses of the instances.
	network string
	rows    *platform.Client

	mu        sync.Mutex
	processes []*Process
}

// New makes the folder of a cluster and starts the store and the upstreams.
// Close must be called even after an error.
func New(spec Spec) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "sequoia-harness-")
	if err != nil {
		return nil, err
	}
	c := &Cluster{Spec: spec, Dir: dir, ports: newPorts(), relays: newRelays(), network: network()}
	if err := c.startStore(); err != nil {
		return c, err
	}
	if err := c.startUpstreams(); err != nil {
		return c, err
	}
	return c, c.makeInstances()
}

// process makes a process that Close ends.
func (c *Cluster) process(name, binary string, args ...string) *Process {
	p := NewProcess(name, filepath.Join(c.Spec.Binaries, binary), c.Dir, args...)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes = append(c.processes, p)
	return p
}

// NewTool makes a process of a binary with arguments, such as sequoia-load. Its
// output goes to its log file, and Close ends it.
func (c *Cluster) NewTool(name, binary string, args ...string) *Process {
	p := c.process(name, binary, args...)
	p.tool = true
	return p
}

// Close ends all processes and relays. It removes the folder unless keep is set.
func (c *Cluster) Close(keep bool) {
	c.mu.Lock()
	all := append([]*Process(nil), c.processes...)
	c.mu.Unlock()
	var ending sync.WaitGroup
	for _, p := range all {
		ending.Add(1)
		go func() {
			defer ending.Done()
			_ = p.Kill()
		}()
	}
	ending.Wait()
	c.relays.close()
	if !keep {
		os.RemoveAll(c.Dir)
	}
}

// UnexpectedExits returns the processes that ended although nobody stopped them.
func (c *Cluster) UnexpectedExits() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for _, p := range c.processes {
		if p.unexpectedEnd() {
			names = append(names, fmt.Sprintf("%s (log %s): %s", p.Name, p.LogPath, p.LogTail(400)))
		}
	}
	return names
}
