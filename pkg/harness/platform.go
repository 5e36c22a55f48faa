package harness

import (
	"net/http"

	"github.com/sequoiacove/sequoiacove/pkg/platform"
)

// Platform is the running stand-in platform.
type Platform struct {
	*Process
	Address string
}

// PlatformFaults is the body of the stand-in's fault call.
type PlatformFaults struct {
	// Mode is none, down, slow or lose_answers.
	Mode            string `json:"mode"`
	DelayMS         int    `json:"delay_ms,omitempty"`
	ListLagMS       int    `json:"list_lag_ms,omitempty"`
	DropAfterWrites int    `json:"drop_after_writes,omitempty"`
}

// PlatformStats counts the calls that the table and the object store received.
type PlatformStats struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
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
func (p *Platform) Fault(f PlatformFaults) error {
	return call(http.MethodPost, "http://"+p.Address+"/faults", "", f, nil)
}

// Stats returns the counts of calls so far.
func (p *Platform) Stats() (PlatformStats, error) {
	var stats PlatformStats
	err := call(http.MethodGet, "http://"+p.Address+"/stats", "", nil, &stats)
	return stats, err
}

// ready tells whether the platform answers.
func (p *Platform) ready() error {
	_, err := p.Stats()
	return err
}
