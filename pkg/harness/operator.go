package harness

import (
	"encoding/json"
	"net/http"

	"github.com/sequoiacove/sequoiacove/pkg/description"
	"github.com/sequoiacove/sequoiacove/pkg/operator"
	"github.com/sequoiacove/sequoiacove/platform"
)

// OperatorToken is the token of the operator that the harness writes into
// every settings file.
const OperatorToken = "harness-operator-token"

// operate sends one request to the operator API of an instance.
// operator.Client would repeat it at other instances.
func (i *Instance) operate(method, path string, body, reply any) error {
	return call(method, "http://"+i.AdminAddress+path, OperatorToken, body, reply)
}

// SubmitMergePatch sends a merge patch of any JSON value on top of base.
func (i *Instance) SubmitMergePatch(base uint64, id string, value any) (accepted operator.PatchReply, err error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return accepted, err
	}
	patch := operator.PatchRequest{BaseVersion: base, PatchID: id, Kind: description.MergePatch, Patch: encoded}
	err = i.operate(http.MethodPost, operator.PathPatches, patch, &accepted)
	return accepted, err
}

// Drain returns the drain state of an upstream or instance.
func (i *Instance) Drain(id string) (drain operator.Drain, err error) {
	err = i.operate(http.MethodGet, operator.PathDrains+id, nil, &drain)
	return drain, err
}

// State is the part of an instance's state dump that tests look at.
type State struct {
	// Description is the version of the operators' description in force.
	Description uint64 `json:"description"`
	Upstreams   int    `json:"upstreams"`
	// Members are the other live instances.
	Members []struct {
		ID string
		// State is 2 for a member that serves.
		State int
	} `json:"members"`
}

// serving is the state of a member that serves.
const serving = 2

// State returns the state dump of the instance.
func (i *Instance) State() (state State, err error) {
	err = call(http.MethodGet, "http://"+i.AdminAddress+"/state", "", nil, &state)
	return state, err
}

// Ready returns nil if the instance says that it can serve.
func (i *Instance) Ready() error {
	return call(http.MethodGet, "http://"+i.ReadyAddress+platform.Paths().Ready, "", nil, nil)
}
