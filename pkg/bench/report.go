package bench

import (
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"

	"github.com/sequoiacove/sequoiacove/pkg/load"
)

// targetBound is the lower or upper bound that a measurement is to meet.
type targetBound struct {
	value float64
	// atLeast makes value a lower instead of an upper bound.
	atLeast bool
	// none means that the measurement has no target.
	none bool
}

func atMost(v float64) targetBound  { return targetBound{value: v} }
func atLeast(v float64) targetBound { return targetBound{value: v, atLeast: true} }

var noTarget = targetBound{none: true}

func (b targetBound) met(v float64) bool {
	if b.atLeast {
		return v >= b.value
	}
	return v <= b.value
}

func (b targetBound) String() string {
	switch {
	case b.none:
		return ""
	case b.atLeast:
		return fmt.Sprintf("≥ %.3g", b.value)
	default:
		return fmt.Sprintf("≤ %.3g", b.value)
	}
}

// measurement holds the values of one measure over the runs of a scenario with one size
// and variant.
type measurement struct {
	scenario string
	size     string
	variant  string
	measure  string
	target   targetBound
	values   []float64
}

// Report collects the measurements and invariant violations of all scenarios.
type Report struct {
	measurements []*measurement
	byKey        map[string]*measurement
	violations   []string
}

// NewReport returns an empty report.
func NewReport() *Report { return &Report{byKey: make(map[string]*measurement)} }

// measurementRecorder adds the measurements of one variant to a report.
type measurementRecorder struct {
	report   *Report
	scenario string
	size     string
	variant  string
}

func (rec measurementRecorder) add(measure string, v float64, target targetBound) {
	key := fmt.Sprintf("%s|%s|%s|%s", rec.scenario, rec.size, rec.variant, measure)
	f := rec.report.byKey[key]
	if f == nil {
		f = &measurement{scenario: rec.scenario, size: rec.size, variant: rec.variant, measure: measure, target: target}
		rec.report.byKey[key] = f
		rec.report.measurements = append(rec.report.measurements, f)
	}
	f.values = append(f.values, v)
}

func (rec measurementRecorder) addViolations(a load.Audit) {
	for _, v := range a.Violations {
		rec.report.violations = append(rec.report.violations, fmt.Sprintf("%s %s %s: %s", rec.scenario, rec.size, rec.variant, v))
	}
}

// HasViolations reports whether a run violated an invariant.
func (r *Report) HasViolations() bool { return len(r.violations) > 0 }

// Write writes a Markdown table for each scenario and size. A cell shows the
// median over the runs and, for several runs, their range. The target applies to
// the first variant (measuredVariant).
func (r *Report) Write(w io.Writer) {
	for _, group := range r.groups() {
		group.write(w)
	}
	for _, v := range r.violations {
		fmt.Fprintln(w, "INVARIANT VIOLATED:", v)
	}
}

// group holds the measurements of one scenario and size.
type group struct {
	title        string
	variants     []string
	measures     []string
	measurements map[string]*measurement
}

func (r *Report) groups() []*group {
	var groups []*group
	for _, f := range r.measurements {
		title := f.scenario + " " + f.size
		if len(groups) == 0 || groups[len(groups)-1].title != title {
			groups = append(groups, &group{title: title, measurements: make(map[string]*measurement)})
		}
		g := groups[len(groups)-1]
		g.variants = appendUnique(g.variants, f.variant)
		g.measures = appendUnique(g.measures, f.measure)
		g.measurements[f.variant+"|"+f.measure] = f
	}
	return groups
}

func appendUnique(list []string, s string) []string {
	if slices.Contains(list, s) {
		return list
	}
	return append(list, s)
}

func (g *group) write(w io.Writer) {
	fmt.Fprintf(w, "\n| %s | target | met | %s |\n", g.title, strings.Join(g.variants, " | "))
	fmt.Fprintf(w, "|---|---|---|%s\n", strings.Repeat("---|", len(g.variants)))
	for _, m := range g.measures {
		target, met, cells := "", "", ""
		for _, v := range g.variants {
			f := g.measurements[v+"|"+m]
			if f == nil {
				cells += " |"
				continue
			}
			cells += " " + f.formatCell() + " |"
			if !f.target.none {
				target, met = f.target.String(), map[bool]string{true: "yes", false: "no"}[f.target.met(f.median())]
			}
		}
		fmt.Fprintf(w, "| %s | %s | %s |%s\n", m, target, met, cells)
	}
}

func (f *measurement) median() float64 {
	sorted := append([]float64(nil), f.values...)
	sort.Float64s(sorted)
	return sorted[len(sorted)/2]
}

func (f *measurement) formatCell() string {
	if len(f.values) == 1 {
		return fmt.Sprintf("%.3f", f.values[0])
	}
	return fmt.Sprintf("%.3f (%.3f to %.3f)", f.median(), slices.Min(f.values), slices.Max(f.values))
}
