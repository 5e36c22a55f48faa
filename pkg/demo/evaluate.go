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

// evaluate audits the logs, prints the results and collects violated invariants.
func (d *demoRun) evaluate() error {
	audit, err := d.cluster.Audit(d.reports[bookings.Name], d.reports[deposits.Name])
	if err != nil {
		return err
	}
	d.violations = append(d.violations, audit.Violations...)
	for _, exit := range d.cluster.UnexpectedExits() {
		d.addViolation("process exited unexpectedly: %s", exit)
	}
	if err := d.printShares(); err != nil {
		return err
	}
	d.printLatency()
	d.printOutcomes(audit)
	d.printf("drains: upstream %.2f s, instance %.2f s", d.upstreamDrainTime.Seconds(), d.instanceDrainTime.Seconds())
	if len(d.violations) == 0 {
		d.printf("all invariants held")
	}
	return nil
}

// printShares prints the shares of the bookings service per second and checks that
// they stayed within the cap and reached their final value.
func (d *demoRun) printShares() error {
	executions, err := d.cluster.Executions(bookings.Name)
	if err != nil {
		return err
	}
	report := d.reports[bookings.Name]
	windows := load.CountRequestsByWindow(report.Records, executions, d.cluster.RegionOf, time.Second.Microseconds())
	d.printf("\nshare of %s per second; the cap is %.0f percentage points per second, with a rounding tolerance of one request per instance:",
		bookings.Name, regionShareCapPerSecond*100)
	if err := d.printWindows(windows); err != nil {
		return err
	}
	for _, violation := range load.CheckCap(windows, []string{sourceRegion, destinationRegion}, regionShareCapPerSecond, 1, len(d.cluster.Instances)) {
		d.addViolation("cap: %s", violation)
	}
	last := windows[len(windows)-1]
	if tolerance := 2 * float64(len(d.cluster.Instances)) / float64(last.Total); last.Share(sourceRegion) > finalSourceShare+tolerance {
		d.addViolation("share shift incomplete: %s still has %.3f", sourceRegion, last.Share(sourceRegion))
	}
	return nil
}

// printWindows prints the windows during the share shift and the number of the
// other windows.
func (d *demoRun) printWindows(windows []load.Window) error {
	table := tabwriter.NewWriter(d.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "second\trequests\t%s\t%s\tchange\tallowed\t\n", sourceRegion, destinationRegion)
	first := int(timeBeforeOperations/time.Second) - 1
	last := min(first+int(shareShiftTime/time.Second), len(windows)-1)
	for n := first; n <= last; n++ {
		w := windows[n]
		change := w.Share(sourceRegion) - windows[n-1].Share(sourceRegion)
		allowed := regionShareCapPerSecond + d.roundingTolerance(w) + d.roundingTolerance(windows[n-1])
		fmt.Fprintf(table, "%d\t%d\t%.1f%%\t%.1f%%\t%+.1f\t%.1f\t\n",
			n, w.Total, 100*w.Share(sourceRegion), 100*w.Share(destinationRegion), 100*change, 100*allowed)
	}
	fmt.Fprintf(table, "%d more\t\t\t\t\t\t\n", len(windows)-(last-first+1))
	return table.Flush()
}

// roundingTolerance returns the rounding tolerance of a window: one request per
// instance, as a fraction of the window's requests.
func (d *demoRun) roundingTolerance(w load.Window) float64 {
	return float64(len(d.cluster.Instances)) / float64(max(w.Total, 1))
}

func (d *demoRun) printLatency() {
	table := tabwriter.NewWriter(d.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "\nservice\trequests\tcount\tp50 ms\tp99 ms\tp99.9 ms\tmax ms\t")
	for _, service := range []string{bookings.Name, deposits.Name} {
		summary := d.reports[service].Summary()
		for _, group := range sortedKeys(summary.Latency) {
			q := summary.Latency[group]
			fmt.Fprintf(table, "%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t\n", service, group, q.Count, q.P50, q.P99, q.P999, q.Max)
		}
	}
	table.Flush()
}

func (d *demoRun) printOutcomes(audit load.Audit) {
	requests, refused, unknown := 0, 0, 0
	statuses := make(map[int]int)
	for _, service := range []string{bookings.Name, deposits.Name} {
		summary := d.reports[service].Summary()
		requests += summary.SentCount
		refused += summary.Outcomes[result.NotRun.String()]
		unknown += summary.Outcomes[result.Unknown.String()]
		for status, n := range summary.Statuses {
			statuses[status] += n
		}
		if summary.DroppedCount > 0 {
			d.addViolation("%s: %d requests were not sent because too many were in flight", service, summary.DroppedCount)
		}
	}
	d.printf("\nrequests %d, executions %d, refused (not run) %d, outcome unknown %d", requests, audit.ExecutionCount, refused, unknown)
	for _, status := range sortedKeys(statuses) {
		d.printf("  status %d: %d", status, statuses[status])
	}
	d.printf("executions per non-idempotent request: %v", audit.NonIdempotentByExecutionCount)
	if refused+unknown > 0 {
		d.addViolation("planned operations caused %d refusals and %d unknown outcomes", refused, unknown)
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
