package load

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// WriteTable writes the summary as an aligned text table.
func (s Summary) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%s: %d requests in %.1f s, %d not sent, %d attempts\n",
		s.Host, s.SentCount, float64(s.ElapsedMS)/1000, s.DroppedCount, s.Attempts)
	fmt.Fprintln(t, "group\tcount\tp50 ms\tp90 ms\tp99 ms\tp99.9 ms\tmax ms")
	for _, name := range sortedKeys(s.Latency) {
		q := s.Latency[name]
		fmt.Fprintf(t, "%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\n", name, q.Count, q.P50, q.P90, q.P99, q.P999, q.Max)
	}
	writeCounts(t, "outcome", s.Outcomes)
	writeCounts(t, "status", s.Statuses)
	writeCounts(t, "fault", s.Faults)
	return t.Flush()
}

func writeCounts[K cmp.Ordered](w io.Writer, title string, counts map[K]int) {
	for _, name := range sortedKeys(counts) {
		fmt.Fprintf(w, "%s\t%v\t%d\n", title, name, counts[name])
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
