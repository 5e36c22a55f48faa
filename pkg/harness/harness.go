// Package harness runs the system's real binaries against stand-ins for the store
// and the upstreams. The demo and the process tests use it.
//
// A Cluster owns a temporary directory with settings and logs, and all processes
// that it started. Each instance has its own loopback address, so that the relays
// between instances can identify the failure domain of a sender and partition
// domains. Close kills all processes by their ids. If the process that runs the
// harness dies, the kernel kills them.
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
	Region        string
	Name          string
	InstanceCount int
}

// Service is a service of a Spec. Every failure domain has the same number of
// upstreams of the service.
type Service struct {
	Name               string
	UpstreamsPerDomain int
	SlotsPerUpstream   int // number of requests that an upstream executes concurrently
}

// Host returns the host name of the service's routes.
func (s Service) Host() string { return s.Name + ".example" }

// Spec is the configuration of a Cluster.
type Spec struct {
	// Binaries is the directory of the built binaries.
	Binaries string
	Domains  []Domain
	Services []Service
	// TargetLatency and Timeout apply to all routes.
	TargetLatency time.Duration
	Timeout       time.Duration
	// MemoryMB is the memory of an instance, 0 for the default of its settings.
	MemoryMB int
	// GracePeriod is the maximum duration of an instance's graceful shutdown.
	GracePeriod time.Duration
	// Description is the operators' initial description, as JSON.
	Description []byte
	// UseRelays is set to put fault-injecting relays in front of every instance's mesh
	// address, every upstream and the store.
	UseRelays bool
}

// Cluster is a set of instances with their stand-in store and upstreams.
type Cluster struct {
	Spec      Spec
	Dir       string
	Store     *Store
	Instances []*Instance
	Upstreams []*Upstream

	ports  *portAllocator
	relays *relays
	// loopbackPrefix is the first two octets of the cluster's loopback addresses.
	loopbackPrefix string
	storeClient    *platform.Client

	mu        sync.Mutex
	processes []*Process
}

// New creates the directory of a cluster, starts the store and the upstreams, and
// writes the settings of the instances; Start starts the instances. If New returns
// a Cluster, even together with an error, Close must be called.
func New(spec Spec) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "sequoia-harness-")
	if err != nil {
		return nil, err
	}
	c := &Cluster{Spec: spec, Dir: dir, ports: newPortAllocator(), relays: newRelays(), loopbackPrefix: newLoopbackPrefix()}
	if err := c.startStore(); err != nil {
		return c, err
	}
	if err := c.startUpstreams(); err != nil {
		return c, err
	}
	return c, c.createInstances()
}

// newProcess returns an unstarted process that Close kills.
func (c *Cluster) newProcess(name, binary string, args ...string) *Process {
	p := NewProcess(name, filepath.Join(c.Spec.Binaries, binary), c.Dir, args...)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes = append(c.processes, p)
	return p
}

// NewTool returns an unstarted process of a binary that exits by itself, such as
// sequoia-load. Its output goes to its log file, and Close kills it.
func (c *Cluster) NewTool(name, binary string, args ...string) *Process {
	p := c.newProcess(name, binary, args...)
	p.exitsByItself = true
	return p
}

// Close kills all processes and closes all relays. It removes the directory unless
// keepDir is set.
func (c *Cluster) Close(keepDir bool) {
	c.mu.Lock()
	all := append([]*Process(nil), c.processes...)
	c.mu.Unlock()
	var kills sync.WaitGroup
	for _, p := range all {
		kills.Add(1)
		go func() {
			defer kills.Done()
			_ = p.Kill()
		}()
	}
	kills.Wait()
	c.relays.close()
	if !keepDir {
		os.RemoveAll(c.Dir)
	}
}

// UnexpectedExits describes the processes that exited without having been asked
// to stop, with the end of their logs.
func (c *Cluster) UnexpectedExits() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var exits []string
	for _, p := range c.processes {
		if p.exitedUnexpectedly() {
			exits = append(exits, fmt.Sprintf("%s (log %s): %s", p.Name, p.LogPath, p.LogTail(400)))
		}
	}
	return exits
}
