// Package operator defines the messages of the operator API and a client for it.
//
// docs/protocols.md describes the calls. The client is given several instances and
// fails over to the next one if an instance is unreachable or cannot serve. A patch
// whose outcome is unknown is retried with the same patch id, which makes the retry
// idempotent. If a retry is rejected, the patch counts as rejected only if the error
// proves that no earlier attempt can still take effect; otherwise its outcome
// remains unknown.
package operator

import (
	"encoding/json"
	"fmt"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/description"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// MaxBodyBytes is the maximum size of a request body: the largest patch plus its
// envelope.
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

// PatchRequest is the body of a request that submits or validates a patch.
type PatchRequest struct {
	BaseVersion uint64                `json:"base_version"`
	PatchID     string                `json:"patch_id"`
	Kind        description.PatchKind `json:"kind"`
	Patch       json.RawMessage       `json:"patch"`
}

// PatchReply identifies the version that a patch created.
type PatchReply struct {
	Version uint64 `json:"version"`
	Hash    string `json:"hash"`
	// Replayed is set if an earlier submission of the patch created the version.
	Replayed bool `json:"replayed"`
}

// ValidateReply holds one line for each value that a patch would change.
type ValidateReply struct {
	Diff []string `json:"diff"`
}

// Version is an accepted version of the description. Description is empty in lists
// of versions.
type Version struct {
	Version        uint64          `json:"version"`
	Hash           string          `json:"hash"`
	Description    json.RawMessage `json:"description,omitempty"`
	Operator       string          `json:"operator"`
	PatchID        string          `json:"patch_id"`
	AcceptedUnixMS int64           `json:"accepted_unix_ms"`
}

// NewVersion returns the API form of v. The description is included if
// withDescription is set.
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

// VersionsReply is one page of the version history.
type VersionsReply struct {
	Versions []Version `json:"versions"`
}

// MembersReply lists the live instances as seen by one instance.
type MembersReply struct {
	// Instance is the id of the instance that reports the list.
	Instance string           `json:"instance"`
	Members  []cluster.Member `json:"members"`
}

// MoveReply is the progress of a traffic shift: the target shares of a service and the
// shares in effect on each instance.
type MoveReply struct {
	Service string `json:"service"`
	Version uint64 `json:"version"`
	// Target holds the configured shares, rescaled to the reachable failure
	// domains.
	Target map[string]float64 `json:"target"`
	// Unreachable lists the failure domains that have a configured share but no
	// live instance.
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

// DrainState is the drain state of an upstream or instance.
type DrainState string

// Drain states. DrainServing means that the upstream or instance is not being drained.
const (
	DrainServing  DrainState = "serving"
	DrainDraining DrainState = "draining"
	DrainDrained  DrainState = "drained"
)

// DrainReply holds the drain state and the requests in flight of an upstream or instance.
type DrainReply struct {
	ID       string     `json:"id"`
	State    DrainState `json:"state"`
	InFlight int        `json:"in_flight"`
}

// ErrorBody is the body of every error response.
type ErrorBody struct {
	Code           result.Code `json:"code"`
	Name           string      `json:"name"`
	Outcome        string      `json:"outcome"`
	Detail         string      `json:"detail"`
	CurrentVersion uint64      `json:"current_version,omitempty"`
}

// NewErrorBody returns the error body for err. current is the number of the current
// version, or 0 to omit the number.
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

// RemoteError is an error response from an instance.
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

// Unwrap returns a result.Error with the code and detail of the response, so that
// result.CodeOf returns that code.
func (e *RemoteError) Unwrap() error {
	return &result.Error{Code: e.Body.Code, Detail: e.Body.Detail}
}
