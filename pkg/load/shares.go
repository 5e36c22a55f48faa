package load

import (
	"fmt"
	"math"
	"sort"
)

// NoLocation is the place of requests that no upstream began to execute.
const NoLocation = ""

// Window counts the requests that were due in one window, by the place of
// their first execution.
type Window struct {
	StartUnixUS int64
	Total       int
	ByLocation  map[string]int
}

// Share returns the part of the window's requests that ran in a place.
func (w Window) Share(place string) float64 {
	if w.Total == 0 {
		return 0
	}
	return float64(w.ByLocation[place]) / float64(w.Total)
}

// Windows counts records by the window of their intended send time and by the
// place of their first execution. Refused requests count in the total, and
// hedges and retries do not count. The last window is left out, because it may
// be incomplete.
func Windows(records []Record, executions []Execution, placeOf func(upstream string) string, windowUS int64) []Window {
	first := firstExecutions(executions)
	start := int64(math.MaxInt64)
	for _, r := range records {
		start = min(start, r.IntendedUnixUS)
	}
	var windows []Window
	for _, r := range records {
		index := int((r.IntendedUnixUS - start) / windowUS)
		for len(windows) <= index {
			windows = append(windows, Window{StartUnixUS: start + int64(len(windows))*windowUS, ByLocation: make(map[string]int)})
		}
		place := NoLocation
		if e, ok := first[r.Token]; ok {
			place = placeOf(e.Upstream)
		}
		windows[index].Total++
		windows[index].ByLocation[place]++
	}
	if len(windows) == 0 {
		return nil
	}
	return windows[:len(windows)-1]
}

func firstExecutions(executions []Execution) map[string]Execution {
	first := make(map[string]Execution)
	for _, e := range executions {
		token := TokenOf(e.Path)
		if !e.Ran() || token == "" {
			continue
		}
		if known, ok := first[token]; !ok || e.StartUnixUS < known.StartUnixUS {
			first[token] = e
		}
	}
	return first
}

// MaxConcurrent returns the highest number of executions that ran at one time
// in each place.
func MaxConcurrent(executions []Execution, placeOf func(upstream string) string) map[string]int {
	type change struct {
		at    int64
		place string
		step  int
	}
	var changes []change
	for _, e := range executions {
		if e.Ran() && e.EndUnixUS > e.StartUnixUS {
			place := placeOf(e.Upstream)
			changes = append(changes, change{e.StartUnixUS, place, 1}, change{e.EndUnixUS, place, -1})
		}
	}
	// At equal times ends come first: the slot was free when the next began.
	sort.Slice(changes, func(i, j int) bool {
		if changes[i].at != changes[j].at {
			return changes[i].at < changes[j].at
		}
		return changes[i].step < changes[j].step
	})
	running, highest := make(map[string]int), make(map[string]int)
	for _, c := range changes {
		running[c.place] += c.step
		highest[c.place] = max(highest[c.place], running[c.place])
	}
	return highest
}

// RoundingWithTransfers is the rounding of one instance, in requests,
// while it transfers requests between domains: a place's credit is at least -2
// after a transfer and at most 1. Without transfers it is 1.
const RoundingWithTransfers = 3

// CheckCap compares every pair of windows: the share of a place may differ by
// at most the cap times the time between the windows, and by the rounding of
// the choosers in each window, which is one request for each instance.
func CheckCap(windows []Window, places []string, capPerSecond, windowSeconds float64, instances int) []string {
	return compareWindows(windows, places, capPerSecond*windowSeconds, instances, math.Abs)
}

// CheckGrowth is CheckCap for rising shares alone. While a place is
// unreachable its requests are refused, so its executed share falls at once.
// Some of them are transferred to other places.
func CheckGrowth(windows []Window, places []string, capPerSecond, windowSeconds float64, instances int) []string {
	return compareWindows(windows, places, capPerSecond*windowSeconds, instances*RoundingWithTransfers, func(moved float64) float64 { return moved })
}

func compareWindows(windows []Window, places []string, capPerWindow float64, requests int, size func(float64) float64) []string {
	var broken []string
	for i, early := range windows {
		for j := i + 1; j < len(windows); j++ {
			late := windows[j]
			if early.Total == 0 || late.Total == 0 {
				continue
			}
			rounding := float64(requests)/float64(early.Total) + float64(requests)/float64(late.Total)
			allowed := capPerWindow*float64(j-i) + rounding
			for _, place := range places {
				if moved := size(late.Share(place) - early.Share(place)); moved > allowed {
					broken = append(broken, fmt.Sprintf("%s: share %.3f in window %d, %.3f in window %d: moved %.3f, allowed %.3f",
						place, early.Share(place), i, late.Share(place), j, moved, allowed))
				}
			}
		}
	}
	return broken
}
