package operatorapi

import (
	"encoding/json"
	"strconv"

	"github.com/sequoiacove/sequoiacove/pkg/configstore"
	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/operator"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// defaultHistoryLimit is the maximum number of versions that a history request returns
// if it sets no limit.
const defaultHistoryLimit = 20

// parseProposal decodes the patch in the body of a request.
func (c *call) parseProposal() (configstore.Proposal, error) {
	var in operator.PatchRequest
	if err := json.Unmarshal(c.httpCtx.PostBody(), &in); err != nil {
		return configstore.Proposal{}, result.New(result.PatchMalformed, "%v", err)
	}
	if len(in.Patch) == 0 {
		return configstore.Proposal{}, result.New(result.PatchMalformed, "patch is missing")
	}
	return configstore.Proposal{
		BaseVersion: in.BaseVersion,
		PatchID:     in.PatchID,
		Kind:        in.Kind,
		Patch:       in.Patch,
		Operator:    c.operator,
	}, nil
}

// patch accepts a patch, applies the new version on this instance and starts its
// distribution to the other instances. The response is sent without waiting for the
// distribution to complete.
func (p *API) patch(c *call) (any, error) {
	proposal, err := c.parseProposal()
	if err != nil {
		return nil, err
	}
	accepted, err := p.config.Store.Accept(c.ctx, proposal)
	if err != nil {
		c.currentVersion = accepted.Version.Number
		p.logFailedPatch(c, proposal, err)
		return nil, err
	}
	version := accepted.Version
	// Replayed patches are applied too: another instance may have accepted the patch
	// and crashed before it distributed the version.
	p.localInstance.ApplyVersion(version)
	if !accepted.Replayed {
		event.Log(p.config.Logger, event.PatchAccepted, "version", version.Number, "operator", c.operator, "patch_id", proposal.PatchID)
	}
	return operator.PatchReply{Version: version.Number, Hash: version.Hash, Replayed: accepted.Replayed}, nil
}

// logFailedPatch logs a patch that was rejected or whose outcome is unknown.
func (p *API) logFailedPatch(c *call, proposal configstore.Proposal, err error) {
	id := event.PatchRejected
	if result.OutcomeOf(err) == result.Unknown {
		id = event.PatchOutcomeUnknown
	}
	event.Log(p.config.Logger, id, "operator", c.operator, "patch_id", truncate(proposal.PatchID), "error", result.Detail(err))
}

func (p *API) validate(c *call) (any, error) {
	proposal, err := c.parseProposal()
	if err != nil {
		return nil, err
	}
	if proposal.PatchID == "" {
		// The store rejects a proposal without a patch id, even for validation.
		proposal.PatchID = "validate"
	}
	diff, err := p.config.Store.Validate(c.ctx, proposal)
	if err != nil {
		if result.CodeOf(err) == result.VersionConflict {
			c.currentVersion = p.localInstance.Current().Number
		}
		return nil, err
	}
	return operator.ValidateReply{Diff: append([]string{}, diff...)}, nil
}

// current returns the version in force on this instance without reading the store.
func (p *API) current(*call) (any, error) {
	return operator.NewVersion(p.localInstance.Current(), true), nil
}

func (p *API) versions(c *call) (any, error) {
	before, err := c.uintParam("before", 0)
	if err != nil {
		return nil, err
	}
	limit, err := c.uintParam("limit", defaultHistoryLimit)
	if err != nil {
		return nil, err
	}
	history, err := p.config.Store.History(c.ctx, before, int(min(limit, configstore.MaxHistoryPage)))
	if err != nil {
		return nil, err
	}
	reply := operator.VersionsReply{Versions: []operator.Version{}}
	for _, v := range history {
		reply.Versions = append(reply.Versions, operator.NewVersion(v, false))
	}
	return reply, nil
}

func (p *API) version(c *call) (any, error) {
	number, err := strconv.ParseUint(c.pathArg, 10, 64)
	if err != nil {
		return nil, result.New(result.BadRequest, "%q is not a version number", truncate(c.pathArg))
	}
	if current := p.localInstance.Current(); number == current.Number {
		return operator.NewVersion(current, true), nil
	}
	v, err := p.config.Store.Load(c.ctx, number)
	if err != nil {
		return nil, err
	}
	return operator.NewVersion(v, true), nil
}

// uintParam parses a query parameter as an unsigned integer. It returns fallback if
// the parameter is absent.
func (c *call) uintParam(name string, fallback uint64) (uint64, error) {
	text := c.query(name)
	if text == "" {
		return fallback, nil
	}
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, result.New(result.BadRequest, "%s must be a non-negative integer", name)
	}
	return v, nil
}
