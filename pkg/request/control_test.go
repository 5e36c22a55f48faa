package request

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against callers that reach an upstream's control calls, also by paths
// that the upstream decodes or cleans.
func TestIsControlPath(t *testing.T) {
	for _, p := range []string{
		"/.sequoia/status", "/.sequoia", "//.sequoia/executions/1", "/a/../.sequoia/status", "/./.sequoia/status?x=1",
		"/%2esequoia/status", "/%252esequoia/status", "/.SEQUOIA/status", "/a/%2e%2e/.sequoia/status", "/.sequoia;x/status", "\\.sequoia\\status",
	} {
		require.True(t, IsControlPath(p), p)
	}
	for _, p := range []string{"/", "/status", "/executions/1", "/.sequoias", "/x/.sequoia/status", "/search?next=/.sequoia/status", "/%zz"} {
		require.False(t, IsControlPath(p), p)
	}
}
