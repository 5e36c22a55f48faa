// Package operator defines the messages of the operator API and its client.
//
// docs/protocols.md describes the calls. The client knows several instances and
// goes on to the next one when one cannot be reached or cannot serve. A patch
// whose outcome is unknown is repeated with the same patch id, which makes the
// repeat safe; a refusal of a repeat settles the outcome only when it proves
// that no earlier attempt can take effect any more.
package operator

import (
	"encoding/json"
	"fmt"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/description"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// MaxBodyBytes bounds a request: a patch of the largest size and its envelope.
const MaxBodyBytes = description.MaxBytes + 4096

// Paths of the operator API.
const (
	PathPrefix   = "/v1/"
	PathPatches  = "/v1/config/patches"
	PathValidate = "/v1/config/validate"
	PathCurrent  = "/v1/config/current"
	PathVersions = "/v1/config/versions"
	PathMembers  = "/v1/members"
	PathMoves    = "/v1/moves/"
	PathDrains   = "/v1/drains/"
	PathExplain  = "/v1/explain"
	PathState    = "/v1/state"
	PathRequests = "/v1/requests/"
)

// PatchRequest submits or validates a patch.
type PatchRequest struct {
	BaseVersion uint64                `json:"base_version"`
	PatchID     string                `json:"patch_id"`
	Kind        description.PatchKind `json:"kind"`
	Patch       json.RawMessage       `json:"patch"`
}

// PatchReply names the version that a patch created.
type PatchReply struct {
	Version  uint64 `json:"version"`
	Hash     string `json:"hash"`
	Replayed bool   `json:"replayed"`
}

// ValidateReply holds one line per value that a patch would change.
type ValidateReply struct {
	Diff []string `json:"diff"`
}

// Version is an accepted version, with or without its description.
type Version struct {
	Version        uint64          `json:"version"`
	Hash           string          `json:"hash"`
	Description    json.RawMessage `json:"description,omitempty"`
	Operator       string          `json:"operator"`
	PatchID        string          `json:"patch_id"`
	AcceptedUnixMS int64           `json:"accepted_unix_ms"`
}

// NewVersion converts a version; body adds the description.
func NewVersion(v cluster.Version, withDescription bool) Version {
	out := Version{
		Version:        v.Number,
		Hash:           v.Hash,
		Operator:       v.Operator,
		PatchID:        v.PatchID,
		AcceptedUnixMS: v.AcceptedUnixMS,
	}
	if withDescription && len(v.Body) > 0 {
		out.Description = json.RawMessage(v.Body)
	}
	return out
}

// VersionsReply is one page of the history.
type VersionsReply struct {
	Versions []Version `json:"versions"`
}

// MembersReply lists the live instances as one of them sees it.
type MembersReply struct {
	// Instance is the instance whose view this is.
	Instance string           `json:"instance"`
	Members  []cluster.Member `json:"members"`
}

// Move compares the target shares of a service with those in effect.
type Move struct {
	Service string `json:"service"`
	Version uint64 `json:"version"`
	// Target is rescaled to the reachable failure domains.
	Target map[string]float64 `json:"target"`
	// Unreachable holds the failure domains with a configured share but
	// without a live instance.
	Unreachable []string       `json:"unreachable"`
	Instances   []MoveInstance `json:"instances"`
	Finished    bool           `json:"finished"`
}

// MoveInstance holds the shares in effect on one instance.
type MoveInstance struct {
	ID       string             `json:"id"`
	Domain   string             `json:"domain"`
	Version  uint64             `json:"version"`
	Shares   map[string]float64 `json:"shares"`
	Finished bool               `json:"finished"`
}

// DrainState tells how far a drain is.
type DrainState string

// States of a drain.
const (
	DrainServing  DrainState = "serving"
	DrainDraining DrainState = "draining"
	DrainDrained  DrainState = "drained"
)

// Drain is the state of an upstream or instance on its way out of use.
type Drain struct {
	ID       string     `json:"id"`
	State    DrainState `json:"state"`
	InFlight int        `json:"in_flight"`
}

// ErrorBody is the body of every refusal.
type ErrorBody struct {
	Code           result.Code `json:"code"`
	Name           string      `json:"name"`
	Outcome        string      `json:"outcome"`
	Detail         string      `json:"detail"`
	CurrentVersion uint64      `json:"current_version,omitempty"`
}

// NewErrorBody describes err; current is the current version, or 0.
func NewErrorBody(err error, current uint64) ErrorBody {
	info := result.Lookup(result.CodeOf(err))
	return ErrorBody{
		Code:           info.Code,
		Name:           info.Name,
		Outcome:        info.Outcome.String(),
		Detail:         result.Detail(err),
		CurrentVersion: current,
	}
}

// RemoteError is the refusal of an instance.
type RemoteError struct {
	Body    ErrorBody
	Address string
}

// Error implements error.
func (e *RemoteError) Error() string {
	text := fmt.Sprintf("%d %s (%s): %s", e.Body.Code, e.Body.Name, e.Body.Outcome, e.Body.Detail)
	if e.Body.CurrentVersion > 0 {
		text += fmt.Sprintf(" (current version %d)", e.Body.CurrentVersion)
	}
	return text
}

// Unwrap gives result.CodeOf the code.
func (e *RemoteError) Unwrap() error {
	return &result.Error{Code: e.Body.Code, Detail: e.Body.Detail}
}
