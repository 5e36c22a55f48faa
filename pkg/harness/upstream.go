package harness

import (
	"net/http"

	"github.com/sequoiacove/sequoiacove/pkg/load"
	"github.com/sequoiacove/sequoiacove/pkg/platform"
	"github.com/sequoiacove/sequoiacove/pkg/request"
	"github.com/sequoiacove/sequoiacove/pkg/standin"
)

// Upstream is a running stand-in upstream.
type Upstream struct {
	*Process
	Record platform.Instance
	// Address is where the upstream itself listens; Record.Address may be that
	// of a relay in front of it.
	Address string
}

// UpstreamLog is the upstream's own log of executions.
type UpstreamLog struct {
	Executions  []load.Execution `json:"executions"`
	Started     int              `json:"started"`
	Shed        int              `json:"shed"`
	MaxInFlight int              `json:"max_in_flight"`
}

// Control replaces the faults of the upstream.
func (u *Upstream) Control(f standin.UpstreamFault) error {
	return call(http.MethodPost, "http://"+u.Address+"/control", "", f, nil)
}

// Log returns the upstream's own log.
func (u *Upstream) Log() (UpstreamLog, error) {
	var log UpstreamLog
	if err := call(http.MethodGet, "http://"+u.Address+"/log", "", nil, &log); err != nil {
		return log, err
	}
	for i := range log.Executions {
		log.Executions[i].Upstream = u.Record.ID
	}
	return log, nil
}

// ready tells whether the upstream answers.
func (u *Upstream) ready() error {
	return call(http.MethodGet, "http://"+u.Address+request.StatusPath, "", nil, nil)
}

// busy returns how many executions the upstream holds; it needs status figures
// without lag.
func (u *Upstream) busy() (int, error) {
	var status struct {
		InFlight int `json:"in_flight"`
		Queued   int `json:"queued"`
	}
	err := call(http.MethodGet, "http://"+u.Address+request.StatusPath, "", nil, &status)
	return status.InFlight + status.Queued, err
}
