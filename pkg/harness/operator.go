package harness

import (
	"encoding/json"
	"net/http"

	"github.com/sequoiacove/sequoiacove/pkg/description"
	"github.com/sequoiacove/sequoiacove/pkg/operator"
	"github.com/sequoiacove/sequoiacove/platform"
)

// OperatorToken is the operator token that the harness writes into every settings
// file.
const OperatorToken = "harness-operator-token"

// callOperatorAPI sends one request to the operator API of this instance. It does
// not use operator.Client, which would retry at other instances.
func (i *Instance) callOperatorAPI(method, path string, body, reply any) error {
	return doJSON(method, "http://"+i.AdminAddress+path, OperatorToken, body, reply)
}

// SubmitMergePatch submits value, encoded as JSON, as a merge patch to the version
// base of the description; id is the patch id.
func (i *Instance) SubmitMergePatch(base uint64, id string, value any) (accepted operator.PatchReply, err error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return accepted, err
	}
	patch := operator.PatchRequest{BaseVersion: base, PatchID: id, Kind: description.MergePatch, Patch: encoded}
	err = i.callOperatorAPI(http.MethodPost, operator.PathPatches, patch, &accepted)
	return accepted, err
}

// DrainState returns the drain state of an upstream or instance.
func (i *Instance) DrainState(id string) (drain operator.DrainReply, err error) {
	err = i.callOperatorAPI(http.MethodGet, operator.PathDrains+id, nil, &drain)
	return drain, err
}

// State is the part of an instance's state dump that tests read.
type State struct {
	// DescriptionVersion is the version of the operators' description in force.
	DescriptionVersion uint64 `json:"description"`
	KnownUpstreams     int    `json:"upstreams"`
	// DirectivesRevision and UpstreamsRevision are the states of the tables, with their era.
	DirectivesRevision string `json:"directives_revision"`
	UpstreamsRevision  string `json:"upstreams_revision"`
	// Members are the other live instances.
	Members []struct {
		ID string
		// State is memberServing for a member that serves.
		State int
	} `json:"members"`
}

// memberServing is the value of a member's State in the dump while it serves.
const memberServing = 2

// State returns the state dump of the instance.
func (i *Instance) State() (state State, err error) {
	err = doJSON(http.MethodGet, "http://"+i.AdminAddress+"/state", "", nil, &state)
	return state, err
}

// CheckReady returns nil if the instance's readiness check passes.
func (i *Instance) CheckReady() error {
	return doJSON(http.MethodGet, "http://"+i.ReadyAddress+platform.Paths().Readiness, "", nil, nil)
}
