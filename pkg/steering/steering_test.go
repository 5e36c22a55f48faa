package steering

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a shorter prefix that takes precedence over a longer one, a match
// with a route of another host, and a match within the query.
func TestMatchTakesLongestPrefix(t *testing.T) {
	c := &Config{}
	short := &Route{Name: "short", Host: "a.example", Prefix: "/x/"}
	long := &Route{Name: "long", Host: "a.example", Prefix: "/x/y/"}
	c.SetRoutes([]*Route{short, long})
	require.Equal(t, long, c.Match("a.example", "/x/y/1"))
	require.Equal(t, long, c.Match("A.example:80", "/x/y/1?q"))
	require.Equal(t, short, c.Match("a.example", "/x/1"))
	require.Nil(t, c.Match("b.example", "/x/1"))
	require.Nil(t, c.Match("a.example", "/z?u=/x/"))
	require.Nil(t, c.Match("a.example", "/x"))
}

// Guards against a region restriction that is not applied.
func TestAllowsRegion(t *testing.T) {
	require.True(t, (&Route{}).AllowsRegion("north"))
	require.True(t, (&Route{AllowedRegions: []string{"north"}}).AllowsRegion("north"))
	require.False(t, (&Route{AllowedRegions: []string{"north"}}).AllowsRegion("south"))
}
