package load

import (
	"fmt"
	"sort"

	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/platform/platformtest"
)

// Execution is one entry of an upstream's execution log.
type Execution = platformtest.Execution

// Audit is the result of comparing callers' outcomes with the upstreams' logs.
type Audit struct {
	// Violations describes the first maxViolations violated guarantees.
	Violations []string
	// ViolationCount is the total number of violations.
	ViolationCount int
	// ExecutionCount is the number of executions started for the audited requests.
	ExecutionCount int
	// NonIdempotentByExecutionCount maps a number of executions to the number of
	// non-idempotent requests with that number of executions.
	NonIdempotentByExecutionCount map[int]int
}

const maxViolations = 20

// Auditor compares records with executions.
type Auditor struct {
	executionsByToken map[string][]Execution
	// LogLost reports for each upstream, by ID, whether its log was lost. An execution
	// missing from a lost log is not a violation.
	LogLost map[string]bool
}

// NewAuditor indexes the executions that upstreams recorded.
func NewAuditor(executions []Execution) *Auditor {
	a := &Auditor{executionsByToken: make(map[string][]Execution), LogLost: make(map[string]bool)}
	for _, e := range executions {
		if !e.Ran() {
			continue
		}
		if token := TokenOf(e.Path); token != "" {
			a.executionsByToken[token] = append(a.executionsByToken[token], e)
		}
	}
	return a
}

// Check verifies the guarantees for every record and counts the violations. A record
// with a Fault, such as the response of another request, is a violation. A request with
// the outcome Complete must have been executed by the upstream named in the response,
// unless the log of that upstream was lost. A request with the outcome NotRun must not
// have been executed. A non-idempotent request must not have been executed more than
// once.
func (a *Auditor) Check(records []Record) Audit {
	audit := Audit{NonIdempotentByExecutionCount: make(map[int]int)}
	for _, record := range records {
		executions := a.executionsByToken[record.Token]
		audit.ExecutionCount += len(executions)
		if !record.Idempotent {
			audit.NonIdempotentByExecutionCount[len(executions)]++
		}
		for _, violation := range a.violations(record, executions) {
			audit.add(record, executions, violation)
		}
	}
	return audit
}

func (a *Auditor) violations(record Record, executions []Execution) []string {
	var list []string
	if record.Fault != "" {
		list = append(list, record.Fault)
	}
	if !record.Idempotent && len(executions) > 1 {
		list = append(list, "not idempotent but executed more than once")
	}
	switch record.Outcome {
	case result.NotRun.String():
		if len(executions) > 0 {
			list = append(list, "answered not_run but executed")
		}
	case result.Complete.String():
		if !a.LogLost[record.Upstream] && !executedAt(executions, record.Upstream) {
			list = append(list, "answered complete but not executed at the named upstream")
		}
	}
	return list
}

func executedAt(executions []Execution, upstream string) bool {
	for _, execution := range executions {
		if execution.Upstream == upstream {
			return true
		}
	}
	return false
}

func (a *Audit) add(record Record, executions []Execution, violation string) {
	a.ViolationCount++
	if len(a.Violations) >= maxViolations {
		return
	}
	details := make([]string, 0, len(executions))
	for _, execution := range executions {
		details = append(details, fmt.Sprintf("%s %s %s", execution.Upstream, execution.Result, execution.ID))
	}
	sort.Strings(details)
	a.Violations = append(a.Violations, fmt.Sprintf("%s (%s, status %d, %d attempts, upstream %q): %s; executions %v",
		record.Token, record.Outcome, record.Status, record.Attempts, record.Upstream, violation, details))
}
