package bench

import (
	"fmt"

	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/pkg/standin"
)

// audit compares what callers were told with the logs of the upstreams.
type audit struct {
	// executions counts started executions, distinct the requests they belong to.
	executions int
	distinct   int
	shed       int
	violations []string
}

// maxViolations bounds the listed violations of a run.
const maxViolations = 5

func (a *audit) violate(format string, args ...any) {
	if len(a.violations) < maxViolations {
		a.violations = append(a.violations, fmt.Sprintf(format, args...))
	}
}

// extra returns the executions beyond one per request as a part of all.
func (a *audit) extra() float64 {
	if a.distinct == 0 {
		return 0
	}
	return float64(a.executions-a.distinct) / float64(a.distinct)
}

func (f *fleet) audit(outcomes []observed) *audit {
	a := &audit{}
	runs := make(map[string]int)
	for _, d := range f.domains {
		for _, u := range d.upstreams {
			for _, e := range u.Log().Executions {
				if e.Result == standin.UpstreamShed {
					a.shed++
					continue
				}
				runs[e.Trace]++
				a.executions++
			}
		}
	}
	a.distinct = len(runs)
	for i := range outcomes {
		a.check(&outcomes[i], runs[outcomes[i].trace])
	}
	return a
}

func (a *audit) check(o *observed, runs int) {
	switch {
	case o.wrong:
		a.violate("%s got the answer to another request", o.trace)
	case result.Lookup(o.code).Outcome == result.NotRun && runs > 0:
		a.violate("%s was refused as not run (%d) but ran %d times", o.trace, o.code, runs)
	case o.code == result.OK && runs == 0:
		a.violate("%s is complete but no upstream ran it", o.trace)
	case !o.idempotent && runs > 1:
		a.violate("%s is not idempotent but ran %d times", o.trace, runs)
	}
}
