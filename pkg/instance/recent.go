package instance

import (
	"sync"
	"time"
)

// keptRequests is the number of requests whose ends are kept for operators:
// those that were refused, failed, abandoned or answered late.
const maxRecentRequests = 512

// endedRequest is the end of a request with what decided it.
type finishedRequest struct {
	requestID  string
	finishedAt time.Time
	outcome    string
	// lines holds the alternating names and values of the request's log lines:
	// one for each attempt that failed, the last one for the end.
	logLines [][]any
}

// requestReport is the end of a request as operators see it.
type requestReport struct {
	Request string    `json:"request"`
	Ended   time.Time `json:"ended"`
	Outcome string    `json:"outcome"`
	// Lines holds the fields of the request's log lines, the end last.
	Lines []map[string]any `json:"lines"`
}

// recentRequests keeps the last ends by the identifiers of the requests.
type recentRequests struct {
	mu   sync.Mutex
	byID map[string]*finishedRequest
	// order holds the identifiers, the oldest at next.
	order []string
	next  int
}

func newRecentRequests() *recentRequests {
	return &recentRequests{byID: make(map[string]*finishedRequest), order: make([]string, maxRecentRequests)}
}

// add keeps an end in place of the oldest one.
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
