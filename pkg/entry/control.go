package entry

import (
	"encoding/json"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/linkbudget"
	"github.com/sequoiacove/sequoiacove/pkg/requestid"
	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/pkg/routing"
)

// ExplainRequest asks where a request would go from this instance.
type ExplainRequest struct {
	Service string `cbor:"s" json:"service"`
	Method  string `cbor:"m" json:"method"`
	Path    string `cbor:"p" json:"path"`
}

// Explanation is the answer to an ExplainRequest.
type Explanation struct {
	Instance     string               `cbor:"i" json:"instance"`
	Service      string               `cbor:"s" json:"service"`
	Version      uint64               `cbor:"v" json:"version"`
	Idempotent   bool                 `cbor:"id" json:"idempotent"`
	Detached     bool                 `cbor:"dt" json:"detached"`
	Stale        bool                 `cbor:"st" json:"stale"`
	Destinations []ExplainDestination `cbor:"d" json:"destinations"`
}

// ExplainDestination is a failure domain that a request may go to; Instances
// are tried in order.
type ExplainDestination struct {
	routing.Destination
	Instances []string `cbor:"in" json:"instances"`
}

// Explain tells where requests of a service go and why.
func (e *Entry) Explain(q ExplainRequest) (*Explanation, error) {
	v := e.view.Load()
	if v == nil {
		return nil, result.New(result.NoConfiguration, "no version has arrived")
	}
	destinations, err := e.routes.Explain(q.Service)
	if err != nil {
		return nil, err
	}
	x := &Explanation{
		Instance:   e.opt.Instance,
		Service:    q.Service,
		Version:    v.version.Number,
		Idempotent: v.description.Services[q.Service].Idempotent(q.Method),
		Detached:   v.detached,
		Stale:      e.gate.staleFor.Load() > 0,
	}
	for _, d := range destinations {
		x.Destinations = append(x.Destinations, ExplainDestination{d, v.instanceIDs(q.Service, d.Domain)})
	}
	return x, nil
}

func (v *view) instanceIDs(service, domain string) []string {
	ids := []string{}
	for _, m := range v.ranked(service, domain) {
		if len(ids) < maxInstances {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// Actions of a ControlRequest.
const (
	// ControlInFlight asks for the work on an upstream, or of this entry when
	// the id is that of the instance.
	ControlInFlight = "in_flight"
	// ControlLeave starts a graceful stop.
	ControlLeave = "leave"
)

// ControlRequest is a command of the agent.
type ControlRequest struct {
	Action string `cbor:"a" json:"action"`
	ID     string `cbor:"id,omitempty" json:"id,omitempty"`
}

// ControlReply is the answer to a ControlRequest.
type ControlReply struct {
	InFlight int  `cbor:"n" json:"in_flight"`
	Leaving  bool `cbor:"lv" json:"leaving"`
}

// Control carries out a command of the agent.
func (e *Entry) Control(q ControlRequest) (*ControlReply, error) {
	reply := &ControlReply{}
	switch q.Action {
	case ControlInFlight:
		reply.InFlight = e.inFlightOn(q.ID)
	case ControlLeave:
		e.Leave()
	default:
		return nil, result.New(result.PeerProtocol, "unknown action %q", printable(q.Action))
	}
	reply.Leaving = e.gate.leaving.Load()
	return reply, nil
}

// inFlightOn counts the executions on an upstream, or the requests of this entry
// when id is that of the instance.
func (e *Entry) inFlightOn(id string) int {
	if id == e.opt.Instance {
		return int(e.inFlight.Load())
	}
	return e.opt.Admission.InFlight(id)
}

// stateDump is the dump for operators.
type stateDump struct {
	Instance    string             `json:"instance"`
	Incarnation uint64             `json:"incarnation"`
	Version     uint64             `json:"version"`
	Hash        string             `json:"hash"`
	Detached    bool               `json:"detached"`
	Stale       bool               `json:"stale"`
	Leaving     bool               `json:"leaving"`
	InFlight    int64              `json:"in_flight"`
	Members     int                `json:"members"`
	Shares      cluster.Shares     `json:"shares"`
	Links       []linkbudget.State `json:"links"`
	RequestIDs  requestid.Stats    `json:"request_ids"`
	Admission   any                `json:"admission"`
}

// State returns the state dump as JSON.
func (e *Entry) State() ([]byte, error) { return json.Marshal(e.state()) }

func (e *Entry) state() any {
	s := stateDump{
		Instance:    e.opt.Instance,
		Incarnation: e.incarnation,
		Detached:    e.gate.detached.Load(),
		Stale:       e.gate.staleFor.Load() > 0,
		Leaving:     e.gate.leaving.Load(),
		InFlight:    e.inFlight.Load(),
		Shares:      e.routes.Shares(),
		Links:       e.budgets.State(e.opt.Now()),
		RequestIDs:  e.ids.Stats(),
		Admission:   e.opt.Admission.State(),
	}
	if v := e.view.Load(); v != nil {
		s.Version, s.Hash, s.Members = v.version.Number, v.version.Hash, len(v.byID)
	}
	return s
}
