package load

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// movedShares makes 200 requests a second whose share in "south" rises by step
// per second, from 0.1 in the second window on.
func movedShares(seconds int, step float64) []Execution {
	var list []Execution
	for s := range seconds {
		south := int(200 * (0.1 + step*float64(max(0, s-1))))
		for n := range 200 {
			upstream := "north-1"
			if n < south {
				upstream = "south-1"
			}
			list = append(list, Execution{Upstream: upstream, Path: fmt.Sprintf("/read/%d-%d", s, n), Result: "done",
				StartUnixUS: int64(s)*1e6 + int64(n)*4000})
		}
	}
	return list
}

func placeOf(upstream string) string { return upstream[:5] }

// Guards against a cap check that accepts a move above the cap or reports one
// at the cap.
func TestCheckCap(t *testing.T) {
	check := func(step float64) []string {
		windows := Windows(movedShares(8, step), placeOf, 0, 1e6)
		require.Len(t, windows, 7)
		return CheckCap(windows, []string{"north", "south"}, 0.05, 1, 2)
	}
	require.Empty(t, check(0.05))
	require.NotEmpty(t, check(0.07))
}

// Guards against hedges, retries and shed requests that count as traffic.
func TestWindowsCountRequestsOnce(t *testing.T) {
	windows := Windows([]Execution{
		{Upstream: "south-1", Path: "/read/a", Result: "done", StartUnixUS: 20},
		{Upstream: "north-1", Path: "/read/a", Result: "cancelled", StartUnixUS: 10},
		{Upstream: "north-1", Path: "/read/b", Result: ResultShed, StartUnixUS: 30},
		{Upstream: "north-1", Path: "/read/c", Result: "done", StartUnixUS: 150},
	}, placeOf, 0, 100)
	require.Len(t, windows, 1)
	require.Equal(t, 1, windows[0].Total)
	require.Equal(t, map[string]int{"north": 1}, windows[0].ByPlace)
}
