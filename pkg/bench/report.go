package bench

import (
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"

	"github.com/sequoiacove/sequoiacove/pkg/load"
)

// bound is what a figure should meet.
type bound struct {
	value float64
	// atLeast makes value a lower bound.
	atLeast bool
	none    bool
}

func atMost(v float64) bound  { return bound{value: v} }
func atLeast(v float64) bound { return bound{value: v, atLeast: true} }

var noTarget = bound{none: true}

func (t bound) met(v float64) bool {
	if t.atLeast {
		return v >= t.value
	}
	return v <= t.value
}

func (t bound) String() string {
	switch {
	case t.none:
		return ""
	case t.atLeast:
		return fmt.Sprintf("≥ %.3g", t.value)
	default:
		return fmt.Sprintf("≤ %.3g", t.value)
	}
}

// figure is one measured value over the runs of a scenario.
type figure struct {
	scenario string
	size     string
	variant  string
	measure  string
	target   bound
	values   []float64
}

// Report collects the figures and violated invariants of all scenarios.
type Report struct {
	figures    []*figure
	byKey      map[string]*figure
	violations []string
}

// NewReport returns an empty report.
func NewReport() *Report { return &Report{byKey: make(map[string]*figure)} }

// figureRecorder adds the figures of one variant in one run.
type figureRecorder struct {
	report   *Report
	scenario string
	size     string
	variant  string
}

func (c figureRecorder) add(measure string, v float64, t bound) {
	key := fmt.Sprintf("%s|%s|%s|%s", c.scenario, c.size, c.variant, measure)
	f := c.report.byKey[key]
	if f == nil {
		f = &figure{scenario: c.scenario, size: c.size, variant: c.variant, measure: measure, target: t}
		c.report.byKey[key] = f
		c.report.figures = append(c.report.figures, f)
	}
	f.values = append(f.values, v)
}

func (c figureRecorder) addViolations(a load.Audit) {
	for _, v := range a.Violations {
		c.report.violations = append(c.report.violations, fmt.Sprintf("%s %s %s: %s", c.scenario, c.size, c.variant, v))
	}
}

// HasViolations tells whether a run violated an invariant.
func (r *Report) HasViolations() bool { return len(r.violations) > 0 }

// Write prints a Markdown table for each scenario and size. A cell shows the
// median of the runs and, for several runs, their range; the target applies to
// the first variant.
func (r *Report) Write(w io.Writer) {
	for _, group := range r.groups() {
		group.write(w)
	}
	for _, v := range r.violations {
		fmt.Fprintln(w, "INVARIANT VIOLATED:", v)
	}
}

// group is the figures of one scenario and size.
type group struct {
	title    string
	variants []string
	measures []string
	figures  map[string]*figure
}

func (r *Report) groups() []*group {
	var groups []*group
	for _, f := range r.figures {
		title := f.scenario + " " + f.size
		if len(groups) == 0 || groups[len(groups)-1].title != title {
			groups = append(groups, &group{title: title, figures: make(map[string]*figure)})
		}
		g := groups[len(groups)-1]
		g.variants = appendUnique(g.variants, f.variant)
		g.measures = appendUnique(g.measures, f.measure)
		g.figures[f.variant+"|"+f.measure] = f
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
		limit, met, cells := "", "", ""
		for _, v := range g.variants {
			f := g.figures[v+"|"+m]
			if f == nil {
				cells += " |"
				continue
			}
			cells += " " + f.formatCell() + " |"
			if !f.target.none {
				limit, met = f.target.String(), map[bool]string{true: "yes", false: "no"}[f.target.met(f.median())]
			}
		}
		fmt.Fprintf(w, "| %s | %s | %s |%s\n", m, limit, met, cells)
	}
}

func (f *figure) median() float64 {
	sorted := append([]float64(nil), f.values...)
	sort.Float64s(sorted)
	return sorted[len(sorted)/2]
}

func (f *figure) formatCell() string {
	if len(f.values) == 1 {
		return fmt.Sprintf("%.3f", f.values[0])
	}
	return fmt.Sprintf("%.3f (%.3f to %.3f)", f.median(), slices.Min(f.values), slices.Max(f.values))
}
