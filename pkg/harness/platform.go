package harness

import (
	"net/http"

	"github.com/sequoiacove/sequoiacove/pkg/platform"
	"github.com/sequoiacove/sequoiacove/pkg/standin"
)

// Platform is the running stand-in platform.
type Platform struct {
	*Process
	Address string
}

// Register puts an instance into the platform's list.
func (p *Platform) Register(i platform.Instance) error {
	return call(http.MethodPut, "http://"+p.Address+"/instances/"+i.ID, "", i, nil)
}

// Deregister removes an instance from the platform's list.
func (p *Platform) Deregister(id string) error {
	return call(http.MethodDelete, "http://"+p.Address+"/instances/"+id, "", nil, nil)
}

// Fault changes the platform's faults.
func (p *Platform) Fault(f standin.PlatformFaults) error {
	return call(http.MethodPost, "http://"+p.Address+"/faults", "", f, nil)
}

// Stats returns the counts of calls so far.
func (p *Platform) Stats() (standin.PlatformStats, error) {
	var stats standin.PlatformStats
	err := call(http.MethodGet, "http://"+p.Address+"/stats", "", nil, &stats)
	return stats, err
}

// ready tells whether the platform answers.
func (p *Platform) ready() error {
	_, err := p.Stats()
	return err
}
