package load

import (
	"fmt"
	"sort"

	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/platform/platformtest"
)

// Execution is one record of an upstream's own log.
type Execution = platformtest.Execution

// Audit is the comparison of callers' outcomes with the upstreams' logs.
type Audit struct {
	// Violations lists broken guarantees, at most maxViolations of them.
	Violations []string
	// ViolationCount counts all violations.
	ViolationCount int
	// Executions is how many executions began for the audited requests.
	Executions int
	// WritesByExecutions maps a number of executions to the count of non-idempotent
	// requests that had it.
	WritesByExecutions map[int]int
}

const maxViolations = 20

// Auditor compares records with executions.
type Auditor struct {
	byToken map[string][]Execution
	// LostLogs names upstreams whose log is lost, so that the absence of an
	// execution proves nothing there.
	LostLogs map[string]bool
}

// NewAuditor indexes the executions that upstreams recorded.
func NewAuditor(executions []Execution) *Auditor {
	a := &Auditor{byToken: make(map[string][]Execution), LostLogs: make(map[string]bool)}
	for _, e := range executions {
		if !e.Ran() {
			continue
		}
		if token := TokenOf(e.Path); token != "" {
			a.byToken[token] = append(a.byToken[token], e)
		}
	}
	return a
}

// Check compares every record: a complete answer belongs to its request and
// was executed where it says, "not run" has no execution, and a request that
// is not idempotent has at most one.
func (a *Auditor) Check(records []Record) Audit {
	audit := Audit{WritesByExecutions: make(map[int]int)}
	for _, record := range records {
		runs := a.byToken[record.Token]
		audit.Executions += len(runs)
		if !record.Idempotent {
			audit.WritesByExecutions[len(runs)]++
		}
		for _, problem := range a.problems(record, runs) {
			audit.add(record, runs, problem)
		}
	}
	return audit
}

func (a *Auditor) problems(record Record, runs []Execution) []string {
	var list []string
	if record.Fault != "" {
		list = append(list, record.Fault)
	}
	if !record.Idempotent && len(runs) > 1 {
		list = append(list, "not idempotent but executed more than once")
	}
	switch record.Outcome {
	case result.NotRun.String():
		if len(runs) > 0 {
			list = append(list, "answered not_run but executed")
		}
	case result.Complete.String():
		if !a.LostLogs[record.Upstream] && !executedAt(runs, record.Upstream) {
			list = append(list, "answered complete but not executed at the named upstream")
		}
	}
	return list
}

func executedAt(runs []Execution, upstream string) bool {
	for _, run := range runs {
		if run.Upstream == upstream {
			return true
		}
	}
	return false
}

func (a *Audit) add(record Record, runs []Execution, problem string) {
	a.ViolationCount++
	if len(a.Violations) >= maxViolations {
		return
	}
	where := make([]string, 0, len(runs))
	for _, run := range runs {
		where = append(where, fmt.Sprintf("%s %s %s", run.Upstream, run.Result, run.ID))
	}
	sort.Strings(where)
	a.Violations = append(a.Violations, fmt.Sprintf("%s (%s, status %d, %d sends, upstream %q): %s; executions %v",
		record.Token, record.Outcome, record.Status, record.Attempts, record.Upstream, problem, where))
}
