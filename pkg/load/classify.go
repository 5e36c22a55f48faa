package load

import (
	"net/http"
	"strings"

	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/platform"
	"github.com/sequoiacove/sequoiacove/platform/platformtest"
)

// Faults of a response with a success status.
const (
	FaultWrongResponse = "answer of another request"
	FaultBodyMismatch  = "the upstream received another body than the one sent, or its answer was changed"
	FaultUnsigned      = "success without the signature of an upstream"
)

const maxDetailBytes = 200

// signatureHeader is the header that identifies responses of upstreams.
var signatureHeader = platform.Headers().Signature

// notRunStatuses are the statuses that guarantee that the request has not run and
// will not run later.
var notRunStatuses = map[int]bool{http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true}

// classifyResponse converts a complete HTTP response into the result of an
// attempt. Truncated bodies, such as those shorter than Content-Length, need no
// check here because net/http has already rejected them.
func classifyResponse(id, path, sentBody string, resp *http.Response, body string) attemptResult {
	a := attemptResult{outcome: result.Unknown, status: resp.StatusCode, upstream: platformtest.SignedBy(resp.Header.Get(signatureHeader))}
	switch {
	case resp.StatusCode < http.StatusMultipleChoices:
		a.outcome, a.fault = result.Complete, checkResponse(id, path, sentBody, resp, body)
	case notRunStatuses[resp.StatusCode]:
		a.outcome = result.NotRun
	case resp.StatusCode < http.StatusInternalServerError:
		a.outcome, a.notRetryable = result.NotRun, true
	}
	if a.outcome != result.Complete || a.fault != "" {
		a.detail = body[:min(len(body), maxDetailBytes)]
	}
	return a
}

// checkResponse compares the response of a stand-in upstream with the request and
// returns the fault found, or "".
func checkResponse(id, path, sentBody string, resp *http.Response, body string) string {
	switch {
	case resp.Header.Get(signatureHeader) == "":
		return FaultUnsigned
	case !strings.HasPrefix(body, platformtest.ResponseBody(id, path, "")):
		return FaultWrongResponse
	case body != platformtest.ResponseBody(id, path, sentBody):
		return FaultBodyMismatch
	}
	return ""
}

// requestBody returns a body of about size bytes that repeats the token. A comparison
// with the received body therefore detects parts of another request's body and parts
// at the wrong offset.
func requestBody(planned PlannedRequest, size int) string {
	line := planned.Token + "\n"
	return strings.Repeat(line, max(1, size/len(line)))
}
