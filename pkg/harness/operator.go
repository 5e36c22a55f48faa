package harness

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/description"
)

// OperatorToken is the token of the operator that the harness writes into
// every settings file.
const OperatorToken = "harness-operator-token"

// Patch is a patch towards an agent's operator API.
type Patch struct {
	BaseVersion uint64                `json:"base_version"`
	PatchID     string                `json:"patch_id"`
	Kind        description.PatchKind `json:"kind"`
	Patch       json.RawMessage       `json:"patch"`
}

// Accepted is the answer to an accepted patch.
type Accepted struct {
	Version  uint64 `json:"version"`
	Hash     string `json:"hash"`
	Replayed bool   `json:"replayed"`
}

// Current is the version in force at an agent.
type Current struct {
	Version     uint64          `json:"version"`
	Hash        string          `json:"hash"`
	Description json.RawMessage `json:"description"`
	PatchID     string          `json:"patch_id"`
}

// Drain is the drain state of an upstream or instance.
type Drain struct {
	ID       string `json:"id"`
	State    string `json:"state"`
	InFlight int    `json:"in_flight"`
}

// operate calls the operator API of an instance's agent.
func (i *Instance) operate(method, path string, body, reply any) error {
	return call(method, "http://"+i.OperatorAddress+path, OperatorToken, body, reply)
}

// Patch sends a patch to the agent of the instance.
func (i *Instance) Patch(p Patch) (Accepted, error) {
	var accepted Accepted
	err := i.operate(http.MethodPost, "/v1/config/patches", p, &accepted)
	return accepted, err
}

// Merge sends a merge patch of any JSON value on top of base.
func (i *Instance) Merge(base uint64, id string, value any) (Accepted, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return Accepted{}, err
	}
	return i.Patch(Patch{BaseVersion: base, PatchID: id, Kind: description.MergePatch, Patch: encoded})
}

// Current returns the version in force at the instance's agent.
func (i *Instance) Current() (Current, error) {
	var current Current
	err := i.operate(http.MethodGet, "/v1/config/current", nil, &current)
	return current, err
}

// Members returns the member table of the instance's agent.
func (i *Instance) Members() ([]cluster.Member, error) {
	var answer json.RawMessage
	if err := i.operate(http.MethodGet, "/v1/members", nil, &answer); err != nil {
		return nil, err
	}
	return decodeMembers(answer)
}

// decodeMembers accepts a plain list or an object with the key members.
func decodeMembers(answer json.RawMessage) ([]cluster.Member, error) {
	var list []cluster.Member
	if json.Unmarshal(answer, &list) == nil {
		return list, nil
	}
	var object struct {
		Members []cluster.Member `json:"members"`
	}
	if err := json.Unmarshal(answer, &object); err != nil {
		return nil, fmt.Errorf("member table: %w", err)
	}
	return object.Members, nil
}

// Drain returns the drain state of an upstream or instance.
func (i *Instance) Drain(id string) (Drain, error) {
	var drain Drain
	err := i.operate(http.MethodGet, "/v1/drains/"+id, nil, &drain)
	return drain, err
}
