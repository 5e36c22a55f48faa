package exchange

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/httpio/httpiotest"
)

// signedFields are the fields that make a response that to request 1.
const signedFields = "X-Id: 1\r\nX-Signature: s\r\n"

// receive returns the result of a request that an upstream answers with the given text.
func receive(t *testing.T, response string) *Result {
	address := httpiotest.Serve(t, func(*http.Request) string { return response })
	return do(testClient(), &upstream{address: address}, "1", time.Second)
}

// requireMalformed requires that none of the responses is taken for an answer.
func requireMalformed(t *testing.T, responses map[string]httpiotest.Response) {
	for name, response := range responses {
		t.Run(name, func(t *testing.T) {
			r := receive(t, response.With(signedFields, "abc"))
			require.Equal(t, Unknown, r.Outcome, "status %d, body %q", r.Status, r.Body)
			require.Equal(t, Malformed, r.Reason, "%v", r.Err)
			require.Empty(t, r.Body)
		})
	}
}

// Guards against a status that is none and reaches the caller as 200.
func TestResponseWithInvalidStatusIsNoAnswer(t *testing.T) {
	requireMalformed(t, httpiotest.InvalidStatus)
}

// Guards against a name of a field that is none and reaches the caller, or moves the end of
// the head or of the body.
func TestResponseWithInvalidFieldNameIsNoAnswer(t *testing.T) {
	requireMalformed(t, httpiotest.InvalidFields())
}

// Guards against a response whose framing is ambiguous and that is taken for complete.
func TestResponseWithBrokenFramingIsNoAnswer(t *testing.T) {
	for name, response := range httpiotest.BrokenFraming {
		r := receive(t, response.With(signedFields, "abc"))
		require.Equal(t, Unknown, r.Outcome, "%s: status %d, body %q", name, r.Status, r.Body)
		require.Empty(t, r.Body, name)
	}
}

// Guards against text of an upstream that decides how its broken response is counted: as a
// lost connection, which lowers the time for which idle connections are kept.
func TestTextOfBrokenResponseDoesNotMatter(t *testing.T) {
	for _, text := range []string{"EOF", "reset", "closed"} {
		requireMalformed(t, map[string]httpiotest.Response{
			"status " + text:  httpiotest.Response("HTTP/1.1 " + text + "\r\n{fields}Content-Length: {length}\r\n\r\n{body}"),
			"name " + text:    httpiotest.Response("HTTP/1.1 200 OK\r\n{fields}" + text + " : 1\r\nContent-Length: {length}\r\n\r\n{body}"),
			"value " + text:   httpiotest.Response("HTTP/1.1 200 OK\r\n{fields}X-A: " + text + "\x01\r\nContent-Length: {length}\r\n\r\n{body}"),
			"length " + text:  httpiotest.Response("HTTP/1.1 200 OK\r\n{fields}Content-Length: " + text + "\r\n\r\n{body}"),
			"trailer " + text: httpiotest.Response("HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{chunked}X-A: " + text + "\x01\r\n\r\n"),
		})
	}
}

// Guards against valid responses that the checks refuse.
func TestUnusualResponsesAreAnswers(t *testing.T) {
	for name, response := range httpiotest.Valid {
		t.Run(name, func(t *testing.T) {
			r := receive(t, response.With(signedFields, "abc"))
			require.Equal(t, Answered, r.Outcome, "%v", r.Err)
			require.Equal(t, http.StatusOK, r.Status)
			require.Equal(t, "abc", string(r.Body))
		})
	}
	for _, status := range []string{"201", "299", "304", "404", "418", "599", "600", "999"} {
		r := receive(t, "HTTP/1.1 "+status+"\r\n"+signedFields+"Content-Length: 0\r\n\r\n")
		require.Equal(t, Answered, r.Outcome, "%v", r.Err)
	}
}
