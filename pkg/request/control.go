package request

import (
	"net/url"
	"path"
	"strings"
)

// Paths of the calls by which the system controls an upstream. Callers must not
// reach them: a caller could cancel another caller's execution.
const (
	controlRoot = "/.sequoia"
	// StatusPath is the path of a call for the state and load of an upstream.
	StatusPath = controlRoot + "/status"
	// ExecutionsPath is followed by the id of an execution to cancel.
	ExecutionsPath = controlRoot + "/executions/"
)

// maxPathUnescapings bounds the work on a path that is encoded several times.
const maxPathUnescapings = 3

// IsControlPath tells whether an upstream may take a path and query for a
// control call, also when it decodes and cleans the path first.
func IsControlPath(uri string) bool {
	p, _, _ := strings.Cut(uri, "?")
	for range maxPathUnescapings {
		cleaned := strings.ToLower(path.Clean("/" + strings.ReplaceAll(p, "\\", "/")))
		if cleaned == controlRoot || strings.HasPrefix(cleaned, controlRoot+"/") || strings.HasPrefix(cleaned, controlRoot+";") {
			return true
		}
		decoded, err := url.PathUnescape(p)
		if err != nil || decoded == p {
			return false
		}
		p = decoded
	}
	return false
}
