package load

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/sequoiacove/sequoiacove/pkg/request"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// Faults of an answer that claims to be complete.
const (
	FaultForeign = "answer of another request"
	FaultBody    = "the upstream received another body than the one sent"
	FaultNoCode  = "answer without outcome and code"
	FaultClash   = "outcome and code disagree"
)

const maxDetail = 200

// judge turns a whole HTTP answer into the result of a submission. net/http has
// already refused a body that is shorter than its framing says. bodyBytes is the
// size of the body that was sent.
func judge(item Item, resp *http.Response, body []byte, bodyBytes int) attempt {
	number, err := strconv.ParseUint(resp.Header.Get(request.HeaderCode), 10, 16)
	outcome := resp.Header.Get(request.HeaderOutcome)
	if err != nil || outcome == "" {
		return attempt{outcome: result.Unknown, code: result.PeerProtocol, fault: FaultNoCode,
			detail: fmt.Sprintf("status %d: %s", resp.StatusCode, shorten(body))}
	}
	code := result.Code(number)
	a := attempt{
		outcome: result.Lookup(code).Outcome, code: code,
		upstream: resp.Header.Get(request.HeaderUpstream),
		domain:   resp.Header.Get(request.HeaderDomain),
	}
	if a.outcome.String() != outcome {
		a.fault = FaultClash
	}
	if a.outcome != result.Complete {
		a.detail = shorten(body)
		return a
	}
	if resp.StatusCode == http.StatusOK {
		a.fault = checkAnswer(item, body, bodyBytes)
	}
	if a.fault != "" {
		a.detail = shorten(body)
	}
	return a
}

// checkAnswer compares the answer of a stand-in upstream with the request.
func checkAnswer(item Item, body []byte, sent int) string {
	var answer struct {
		Path      string `json:"path"`
		BodyBytes int    `json:"body_bytes"`
	}
	if json.Unmarshal(body, &answer) != nil || answer.Path != item.Path() {
		return FaultForeign
	}
	if answer.BodyBytes != sent {
		return FaultBody
	}
	return ""
}

func shorten(body []byte) string {
	var refusal struct {
		Detail string `json:"detail"`
	}
	if json.Unmarshal(body, &refusal) == nil && refusal.Detail != "" {
		return refusal.Detail
	}
	return string(body[:min(len(body), maxDetail)])
}

// bodyOf returns a body of about size bytes that names the request throughout,
// so that mixed or shifted parts show.
func bodyOf(item Item, size int) string {
	unit := item.Token + "\n"
	return strings.Repeat(unit, max(1, size/len(unit)))
}
