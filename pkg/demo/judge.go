package demo

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/load"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// judge compares the logs, prints the table and collects broken invariants.
func (d *run) judge() error {
	audit, err := d.cluster.Audit(d.reports[bookings.Name], d.reports[deposits.Name])
	if err != nil {
		return err
	}
	d.broken = append(d.broken, audit.Violations...)
	for _, ended := range d.cluster.UnexpectedExits() {
		d.breaks("a process ended by itself: %s", ended)
	}
	if err := d.printShares(); err != nil {
		return err
	}
	d.printLatency()
	d.printOutcomes(audit)
	d.say("drains: upstream %.2f s, instance %.2f s", d.upstreamDrain.Seconds(), d.instanceDrain.Seconds())
	if len(d.broken) == 0 {
		d.say("all invariants held")
	}
	return nil
}

func (d *run) printShares() error {
	executions, err := d.cluster.Executions(bookings.Name)
	if err != nil {
		return err
	}
	report := d.reports[bookings.Name]
	windows := load.Windows(report.Records, executions, d.cluster.RegionOf, time.Second.Microseconds())
	d.say("\nshare of %s by second; the cap is %.0f points per second, counted to one request per instance:",
		bookings.Name, regionCap*100)
	if err := d.printWindows(windows); err != nil {
		return err
	}
	for _, broken := range load.CheckCap(windows, []string{home, away}, regionCap, 1, len(d.cluster.Instances)) {
		d.breaks("cap: %s", broken)
	}
	last := windows[len(windows)-1]
	if tolerance := 2 * float64(len(d.cluster.Instances)) / float64(last.Total); last.Share(home) > movedShare+tolerance {
		d.breaks("the move did not arrive: %s has %.3f", home, last.Share(home))
	}
	return nil
}

// printWindows prints the seconds of the move and counts the others.
func (d *run) printWindows(windows []load.Window) error {
	table := tabwriter.NewWriter(d.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "second\trequests\t%s\t%s\tchange\tallowed\t\n", home, away)
	first := int(steady/time.Second) - 1
	last := min(first+int(moveTime/time.Second), len(windows)-1)
	for n := first; n <= last; n++ {
		w := windows[n]
		change := w.Share(home) - windows[n-1].Share(home)
		allowed := regionCap + d.rounding(w) + d.rounding(windows[n-1])
		fmt.Fprintf(table, "%d\t%d\t%.1f%%\t%.1f%%\t%+.1f\t%.1f\t\n",
			n, w.Total, 100*w.Share(home), 100*w.Share(away), 100*change, 100*allowed)
	}
	fmt.Fprintf(table, "%d more\t\t\t\t\t\t\n", len(windows)-(last-first+1))
	return table.Flush()
}

// rounding is the share of one request per instance.
func (d *run) rounding(w load.Window) float64 {
	return float64(len(d.cluster.Instances)) / float64(max(w.Total, 1))
}

func (d *run) printLatency() {
	table := tabwriter.NewWriter(d.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "\nservice\trequests\tcount\tp50 ms\tp99 ms\tp99.9 ms\tmax ms\t")
	for _, service := range []string{bookings.Name, deposits.Name} {
		summary := d.reports[service].Summary()
		for _, group := range sorted(summary.Latency) {
			q := summary.Latency[group]
			fmt.Fprintf(table, "%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t\n", service, group, q.Count, q.P50, q.P99, q.P999, q.Max)
		}
	}
	table.Flush()
}

func (d *run) printOutcomes(audit load.Audit) {
	requests, refused, unknown := 0, 0, 0
	statuses := make(map[int]int)
	for _, service := range []string{bookings.Name, deposits.Name} {
		summary := d.reports[service].Summary()
		requests += summary.Sent
		refused += summary.Outcomes[result.NotRun.String()]
		unknown += summary.Outcomes[result.Unknown.String()]
		for status, n := range summary.Statuses {
			statuses[status] += n
		}
		if summary.Dropped > 0 {
			d.breaks("%s: %d requests could not be sent", service, summary.Dropped)
		}
	}
	d.say("\nrequests %d, executions %d, refused as not run %d, outcome unknown %d", requests, audit.Executions, refused, unknown)
	for _, status := range sorted(statuses) {
		d.say("  status %d: %d", status, statuses[status])
	}
	d.say("executions per non-idempotent request: %v", audit.PerWrite)
	if refused+unknown > 0 {
		d.breaks("planned operations cost %d refusals and %d unknown outcomes", refused, unknown)
	}
}

func sorted[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
