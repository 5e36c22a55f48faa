package entry

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against one caller using up an instance, a limit that one address
// shares with another, and state that grows with every address ever seen.
func TestCallerLimits(t *testing.T) {
	now := time.Unix(0, 0)
	c := newCallerLimits(10)
	a, b := netip.MustParseAddr("127.0.0.1"), netip.MustParseAddr("127.0.0.2")
	allowed := 0
	for range 100 {
		if c.allow(a, now) {
			allowed++
		}
	}
	require.Equal(t, 10, allowed)
	require.True(t, c.allow(b, now))
	require.True(t, c.allow(a, now.Add(100*time.Millisecond)))
	require.False(t, c.allow(a, now.Add(100*time.Millisecond)))
	require.True(t, c.allow(netip.MustParseAddr("127.0.0.3"), now.Add(5*time.Second)))
	require.Len(t, c.byIP, 1, "idle addresses are forgotten")
	require.True(t, newCallerLimits(0).allow(a, now))
}
