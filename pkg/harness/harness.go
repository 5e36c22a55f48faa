// Package harness runs the real binaries of the system with stand-ins around
// them, for the demo and the process tests.
//
// A Cluster owns a temporary folder with settings, certificates and logs, and
// every process it started. Each failure domain has a loopback address of its
// own, so that relays between instances can tell domains apart and cut them
// from each other. Close ends all processes by their ids; the kernel ends them
// when the harness itself dies.
package harness

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"github.com/sequoiacove/sequoiacove/pkg/peer/peertest"
)

// Domain is a failure domain of a Spec.
type Domain struct {
	Region string
	Name   string
	// Instances is the number of entry instances.
	Instances int
}

// Service is a service of a Spec; every domain has the same upstreams of it.
type Service struct {
	Name      string
	Upstreams int
	Slots     int
	// Cold is the number of first executions that run slower.
	Cold int
}

// Spec describes a cluster.
type Spec struct {
	// Binaries is the folder with the built binaries.
	Binaries string
	Domains  []Domain
	Services []Service
	// Description is the first configuration, as JSON.
	Description []byte
	// Relays puts a relay in front of every peer, upstream and platform
	// address.
	Relays bool
	// Settings are further settings of each instance: section, key, value.
	Settings [][3]string
}

// Cluster is a running system with its stand-ins.
type Cluster struct {
	Spec      Spec
	Dir       string
	Platform  *Platform
	Instances []*Instance
	Upstreams []*Upstream

	ports     *ports
	authority *peertest.Authority
	relays    *relays

	mu        sync.Mutex
	processes []*Process
}

// New makes the folder of a cluster and starts the platform and the upstreams.
// Close must be called even after an error.
func New(spec Spec) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "sequoia-harness-")
	if err != nil {
		return nil, err
	}
	c := &Cluster{Spec: spec, Dir: dir, ports: newPorts(), relays: newRelays()}
	if c.authority, err = newAuthority(); err != nil {
		return c, err
	}
	if err := c.startPlatform(); err != nil {
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

// Tool makes a process of a binary with arguments, such as sequoia-load. Its
// output goes to its log file, and Close ends it.
func (c *Cluster) Tool(name, binary string, args ...string) *Process {
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

// Ended returns the processes that ended although nobody stopped them.
func (c *Cluster) Ended() []string {
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

func newAuthority() (*peertest.Authority, error) {
	return peertest.NewAuthority(peertest.DefaultLifetime)
}
