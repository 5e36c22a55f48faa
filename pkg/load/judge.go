package load

import (
	"net/http"
	"strings"

	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/platform"
	"github.com/sequoiacove/sequoiacove/platform/platformtest"
)

// Faults of an answer that claims to be complete.
const (
	FaultForeign  = "answer of another request"
	FaultBody     = "the upstream received another body than the one sent, or its answer was changed"
	FaultUnsigned = "success without the signature of an upstream"
)

const maxDetail = 200

// signatureHeader marks the answers of upstreams.
var signatureHeader = platform.Headers().Signature

// notRunStatuses promise that the request has not run and never will.
var notRunStatuses = map[int]bool{http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true}

// judge turns a whole HTTP answer into the result of a submission. net/http has
// already refused a body that is shorter than its framing says.
func judge(id, path, sent string, resp *http.Response, body string) attempt {
	a := attempt{outcome: result.Unknown, status: resp.StatusCode, upstream: platformtest.SignedBy(resp.Header.Get(signatureHeader))}
	switch {
	case resp.StatusCode < http.StatusMultipleChoices:
		a.outcome, a.fault = result.Complete, checkAnswer(id, path, sent, resp, body)
	case notRunStatuses[resp.StatusCode]:
		a.outcome = result.NotRun
	case resp.StatusCode < http.StatusInternalServerError:
		a.outcome, a.denied = result.NotRun, true
	}
	if a.outcome != result.Complete || a.fault != "" {
		a.detail = body[:min(len(body), maxDetail)]
	}
	return a
}

// checkAnswer compares the answer of a stand-in upstream with the request.
func checkAnswer(id, path, sent string, resp *http.Response, body string) string {
	switch {
	case resp.Header.Get(signatureHeader) == "":
		return FaultUnsigned
	case !strings.HasPrefix(body, platformtest.ResponseBody(id, path, "")):
		return FaultForeign
	case body != platformtest.ResponseBody(id, path, sent):
		return FaultBody
	}
	return ""
}

// bodyOf returns a body of about size bytes that names the request throughout,
// so that mixed or shifted parts show.
func bodyOf(item Item, size int) string {
	unit := item.Token + "\n"
	return strings.Repeat(unit, max(1, size/len(unit)))
}
