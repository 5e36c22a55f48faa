package instance

import (
	"sync"
	"time"
)

// maxRecentRequests is the number of refused, failed, abandoned or late requests
// that are kept for operators.
const maxRecentRequests = 512

// finishedRequest is the outcome of a request with its log lines.
type finishedRequest struct {
	requestID  string
	finishedAt time.Time
	outcome    string
	// logLines holds the alternating names and values of the request's log
	// lines: one per failed attempt, and the outcome last.
	logLines [][]any
}

// requestReport is a finished request as the operator API returns it.
type requestReport struct {
	Request string    `json:"request"`
	Ended   time.Time `json:"ended"`
	Outcome string    `json:"outcome"`
	// Lines holds the fields of the request's log lines, the outcome last.
	Lines []map[string]any `json:"lines"`
}

// recentRequests is a ring buffer of finished requests, indexed by request ID.
type recentRequests struct {
	mu   sync.Mutex
	byID map[string]*finishedRequest
	// order holds the request IDs; the oldest is at index next.
	order []string
	next  int
}

func newRecentRequests() *recentRequests {
	return &recentRequests{byID: make(map[string]*finishedRequest), order: make([]string, maxRecentRequests)}
}

// add stores a finished request, in place of the oldest one if the buffer is full.
func (r *recentRequests) add(e *finishedRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byID, r.order[r.next])
	r.order[r.next] = e.requestID
	r.next = (r.next + 1) % len(r.order)
	r.byID[e.requestID] = e
}

func (r *recentRequests) get(id string) (requestReport, bool) {
	r.mu.Lock()
	e := r.byID[id]
	r.mu.Unlock()
	if e == nil {
		return requestReport{}, false
	}
	report := requestReport{Request: e.requestID, Ended: e.finishedAt, Outcome: e.outcome}
	for _, args := range e.logLines {
		fields := make(map[string]any, len(args)/2)
		for i := 0; i+1 < len(args); i += 2 {
			if name, ok := args[i].(string); ok {
				fields[name] = args[i+1]
			}
		}
		report.Lines = append(report.Lines, fields)
	}
	return report, true
}
