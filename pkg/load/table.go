package load

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
)

// WriteTable prints the summary for a terminal.
func (s Summary) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "service %s: %d requests in %.1f s, %d not sent, %d settled by repeats\n",
		s.Service, s.Sent, float64(s.ElapsedMS)/1000, s.Dropped, s.Settled)
	fmt.Fprintln(t, "group\tcount\tp50 ms\tp90 ms\tp99 ms\tp99.9 ms\tmax ms")
	for _, name := range keys(s.Latency) {
		q := s.Latency[name]
		fmt.Fprintf(t, "%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\n", name, q.Count, q.P50, q.P90, q.P99, q.P999, q.Max)
	}
	writeCounts(t, "outcome", s.Outcomes)
	writeCounts(t, "code", s.Codes)
	writeCounts(t, "domain", s.Domains)
	writeCounts(t, "fault", s.Faults)
	return t.Flush()
}

func writeCounts(w io.Writer, title string, counts map[string]int) {
	for _, name := range keys(counts) {
		fmt.Fprintf(w, "%s\t%s\t%d\n", title, name, counts[name])
	}
}

func keys[V any](m map[string]V) []string {
	list := make([]string, 0, len(m))
	for key := range m {
		list = append(list, key)
	}
	sort.Strings(list)
	return list
}
