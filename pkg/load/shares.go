package load

import (
	"fmt"
	"math"
	"sort"
)

// NoLocation is the location of requests that no upstream started to execute.
const NoLocation = ""

// Window counts the requests whose intended send time lies in one time window, by
// the location of their first execution. A location is a region or failure domain.
type Window struct {
	StartUnixUS int64
	Total       int
	ByLocation  map[string]int
}

// Share returns the fraction of the window's requests that ran in a location.
func (w Window) Share(location string) float64 {
	if w.Total == 0 {
		return 0
	}
	return float64(w.ByLocation[location]) / float64(w.Total)
}

// CountRequestsByWindow counts each record once, in the window of its intended send time
// and at the location of its first execution. Requests without an execution, such as
// refused ones, count at NoLocation. Further executions of a request (hedges and
// retries) are not counted. The last window is omitted because it may be incomplete.
func CountRequestsByWindow(records []Record, executions []Execution, locationOf func(upstream string) string, windowUS int64) []Window {
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
		location := NoLocation
		if e, ok := first[r.Token]; ok {
			location = locationOf(e.Upstream)
		}
		windows[index].Total++
		windows[index].ByLocation[location]++
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
		if current, ok := first[token]; !ok || e.StartUnixUS < current.StartUnixUS {
			first[token] = e
		}
	}
	return first
}

// MaxConcurrent returns the maximum number of concurrent executions in each
// location.
func MaxConcurrent(executions []Execution, locationOf func(upstream string) string) map[string]int {
	type change struct {
		at       int64
		location string
		step     int
	}
	var changes []change
	for _, e := range executions {
		if e.Ran() && e.EndUnixUS > e.StartUnixUS {
			location := locationOf(e.Upstream)
			changes = append(changes, change{e.StartUnixUS, location, 1}, change{e.EndUnixUS, location, -1})
		}
	}
	// At equal times, ends sort before starts, because a slot can be reused at once.
	sort.Slice(changes, func(i, j int) bool {
		if changes[i].at != changes[j].at {
			return changes[i].at < changes[j].at
		}
		return changes[i].step < changes[j].step
	})
	running, highest := make(map[string]int), make(map[string]int)
	for _, c := range changes {
		running[c.location] += c.step
		highest[c.location] = max(highest[c.location], running[c.location])
	}
	return highest
}

// MaxRoundingWithTransfers is the maximum rounding error per instance, in requests,
// while the instance transfers requests between domains. An instance's credit for a
// location (requests due minus requests sent) ranges from -2, after a transfer, to 1, so
// the error is at most 3. Without transfers the rounding error is at most 1.
const MaxRoundingWithTransfers = 3

// CheckCap compares every pair of windows and returns the violations of the share
// cap. The share of a location may change by at most the cap times the time
// between the windows, plus a rounding error of one request per instance in each
// window, because each instance can only send whole requests to a location.
func CheckCap(windows []Window, locations []string, capPerSecond, windowSeconds float64, instanceCount int) []string {
	return compareWindows(windows, locations, capPerSecond*windowSeconds, instanceCount, math.Abs)
}

// CheckGrowth is like CheckCap but checks only rising shares, and allows a rounding
// error of MaxRoundingWithTransfers requests per instance. When a location becomes
// unreachable its share may drop immediately: its requests are refused or transferred
// to other locations. The transfers need the larger rounding error.
func CheckGrowth(windows []Window, locations []string, capPerSecond, windowSeconds float64, instanceCount int) []string {
	return compareWindows(windows, locations, capPerSecond*windowSeconds, instanceCount*MaxRoundingWithTransfers, func(change float64) float64 { return change })
}

func compareWindows(windows []Window, locations []string, capPerWindow float64, roundingRequests int, magnitude func(float64) float64) []string {
	var violations []string
	for i, early := range windows {
		for j := i + 1; j < len(windows); j++ {
			late := windows[j]
			if early.Total == 0 || late.Total == 0 {
				continue
			}
			rounding := float64(roundingRequests)/float64(early.Total) + float64(roundingRequests)/float64(late.Total)
			allowed := capPerWindow*float64(j-i) + rounding
			for _, location := range locations {
				if change := magnitude(late.Share(location) - early.Share(location)); change > allowed {
					violations = append(violations, fmt.Sprintf("%s: share %.3f in window %d, %.3f in window %d: changed by %.3f, allowed %.3f",
						location, early.Share(location), i, late.Share(location), j, change, allowed))
				}
			}
		}
	}
	return violations
}
