package entry

import (
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/sequoiacove/sequoiacove/pkg/requestid"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// maxIDsPerCall bounds the identifiers of one call.
const maxIDsPerCall = 100

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

// issuedIDs is the answer to a call for identifiers.
type issuedIDs struct {
	ExpiresMS int64    `json:"expires_ms"`
	IDs       []string `json:"ids"`
}

func (e *Entry) serveRequestIDs(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	ids, err := e.issue(string(args.Peek("service")), string(args.Peek("count")))
	if err != nil {
		refuse(ctx, err)
		return
	}
	writeJSON(ctx, ids)
}

// parseCount reads the number of identifiers that a caller wants.
func parseCount(text string) (int, error) {
	if text == "" {
		return 1, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > maxIDsPerCall {
		return 0, result.New(result.BadRequest, "count must be 1 to %d", maxIDsPerCall)
	}
	return n, nil
}
