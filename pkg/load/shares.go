package load

import (
	"fmt"
	"math"
	"sort"
)

// Window counts the requests that began in one window, by place.
type Window struct {
	StartUnixUS int64
	Total       int
	ByPlace     map[string]int
}

// Share returns the part of the window's requests that ran in a place.
func (w Window) Share(place string) float64 {
	if w.Total == 0 {
		return 0
	}
	return float64(w.ByPlace[place]) / float64(w.Total)
}

// Windows counts requests by the window and place of their first execution.
// Later executions of a request, which are hedges and retries, are left out.
// The last window is left out, because it may be incomplete.
func Windows(executions []Execution, placeOf func(upstream string) string, fromUnixUS, windowUS int64) []Window {
	sorted := append([]Execution(nil), executions...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].StartUnixUS < sorted[j].StartUnixUS })
	var windows []Window
	seen := make(map[string]bool)
	for _, e := range sorted {
		token := TokenOf(e.Path)
		if !e.Ran() || token == "" || seen[token] || e.StartUnixUS < fromUnixUS {
			continue
		}
		seen[token] = true
		index := int((e.StartUnixUS - fromUnixUS) / windowUS)
		for len(windows) <= index {
			windows = append(windows, Window{StartUnixUS: fromUnixUS + int64(len(windows))*windowUS, ByPlace: make(map[string]int)})
		}
		windows[index].Total++
		windows[index].ByPlace[placeOf(e.Upstream)]++
	}
	if len(windows) == 0 {
		return nil
	}
	return windows[:len(windows)-1]
}

// CheckCap compares every pair of windows: the share of a place may differ by
// at most the cap times the time between the windows, and by the rounding of
// the choosers, which is one request per entry instance in each window.
func CheckCap(windows []Window, places []string, capPerSecond, windowSeconds float64, entries int) []string {
	var broken []string
	for i, early := range windows {
		for j := i + 1; j < len(windows); j++ {
			late := windows[j]
			if early.Total == 0 || late.Total == 0 {
				continue
			}
			allowed := capPerSecond*windowSeconds*float64(j-i) +
				float64(entries)/float64(early.Total) + float64(entries)/float64(late.Total)
			for _, place := range places {
				moved := math.Abs(late.Share(place) - early.Share(place))
				if moved > allowed {
					broken = append(broken, fmt.Sprintf("%s: share %.3f in window %d, %.3f in window %d: moved %.3f, allowed %.3f",
						place, early.Share(place), i, late.Share(place), j, moved, allowed))
				}
			}
		}
	}
	return broken
}
