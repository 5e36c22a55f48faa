package entry

import (
	"github.com/sequoiacove/sequoiacove/pkg/requestid"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// issue returns new identifiers. An instance that leaves issues none: it would
// be gone before they are used, and their outcome would then be unknown.
func (e *Entry) issue(service, countText string) (*issuedIDs, error) {
	v, err := e.admit()
	if err != nil {
		return nil, err
	}
	if e.gate.leaving.Load() || v.description.InstanceDrained(e.opt.Instance) {
		return nil, result.New(result.Stopping, "instance %s is leaving", e.opt.Instance)
	}
	if _, ok := v.description.Services[service]; !ok {
		return nil, result.New(result.UnknownService, "no service %q", printable(service))
	}
	count, err := parseCount(countText)
	if err != nil {
		return nil, err
	}
	ids := &issuedIDs{ExpiresMS: requestid.Lifetime.Milliseconds()}
	for range count {
		ids.IDs = append(ids.IDs, e.ids.Issue(service))
	}
	return ids, nil
}

// aboutThisMessage tells whether a refusal would meet every message like this
// one, so that an earlier submission of it cannot have run either.
func aboutThisMessage(err error) bool {
	switch result.CodeOf(err) {
	case result.BadRequest, result.BodyTooLarge, result.RequestIDMalformed,
		result.RequestIDNotRequired, result.RequestIDMismatch:
		return true
	}
	return false
}
