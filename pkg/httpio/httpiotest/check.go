package httpiotest

import (
	"maps"
	"net/http"
	"testing"
)

// Broken returns all responses that no reader may take for an answer.
func Broken() map[string]Response {
	all := make(map[string]Response)
	for _, group := range []map[string]Response{InvalidStatus, BrokenFraming, InvalidFields()} {
		maps.Copy(all, group)
	}
	return all
}

// CheckReader runs call against a server that sends the responses of Broken, which have to
// fail, and those of Valid, which must not. Each has the given field lines, each ended by
// CRLF, and body.
func CheckReader(t *testing.T, fields, body string, call func(address string) error) {
	run := func(kind string, responses map[string]Response, fails bool) {
		for name, response := range responses {
			t.Run(kind+"/"+name, func(t *testing.T) {
				address := Serve(t, func(*http.Request) string { return response.With(fields, body) })
				if err := call(address); (err != nil) != fails {
					t.Fatalf("error %v", err)
				}
			})
		}
	}
	run("broken", Broken(), true)
	run("valid", Valid, false)
}
