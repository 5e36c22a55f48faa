package instance

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an instance that advertises a wildcard mesh address, at which
// other instances cannot reach it.
func TestMeshAddressMustNameHost(t *testing.T) {
	text := `[instance]
id = a
region = n
domain = n-a
[regions]
n-a = n
[listen]
callers = 127.0.0.1:7000
readiness = 127.0.0.1:7001
mesh = MESH
[mesh]
advertised = ADVERTISED
[store]
address = 127.0.0.1:8000
`
	parse := func(mesh, advertised string) error {
		_, err := ParseSettings([]byte(strings.NewReplacer("MESH", mesh, "ADVERTISED", advertised).Replace(text)))
		return err
	}
	require.NoError(t, parse("127.0.0.1:7003", ""))
	require.NoError(t, parse("0.0.0.0:7003", "127.0.0.1:7003"))
	require.ErrorContains(t, parse("0.0.0.0:7003", ""), "[mesh] advertised")
	require.ErrorContains(t, parse("127.0.0.1:7003", "0.0.0.0:7003"), "[mesh] advertised")
}
