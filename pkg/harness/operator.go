package harness

import (
	"encoding/json"
	"net/http"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/description"
	"github.com/sequoiacove/sequoiacove/pkg/operator"
)

// OperatorToken is the token of the operator that the harness writes into
// every settings file.
const OperatorToken = "harness-operator-token"

// operate sends one request to the operator API of an instance's agent.
// operator.Client would repeat it at other agents.
func (i *Instance) operate(method, path string, body, reply any) error {
	return call(method, "http://"+i.OperatorAddress+path, OperatorToken, body, reply)
}

// Merge sends a merge patch of any JSON value on top of base.
func (i *Instance) Merge(base uint64, id string, value any) (accepted operator.PatchReply, err error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return accepted, err
	}
	patch := operator.PatchRequest{BaseVersion: base, PatchID: id, Kind: description.MergePatch, Patch: encoded}
	err = i.operate(http.MethodPost, operator.PathPatches, patch, &accepted)
	return accepted, err
}

// Current returns the version in force at the instance's agent.
func (i *Instance) Current() (current operator.Version, err error) {
	err = i.operate(http.MethodGet, operator.PathCurrent, nil, &current)
	return current, err
}

// Members returns the member table of the instance's agent.
func (i *Instance) Members() ([]cluster.Member, error) {
	var reply operator.MembersReply
	err := i.operate(http.MethodGet, operator.PathMembers, nil, &reply)
	return reply.Members, err
}

// Drain returns the drain state of an upstream or instance.
func (i *Instance) Drain(id string) (drain operator.Drain, err error) {
	err = i.operate(http.MethodGet, operator.PathDrains+id, nil, &drain)
	return drain, err
}
