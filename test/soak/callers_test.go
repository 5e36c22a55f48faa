package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sequoiacove/sequoiacove/platform"
)

// requestRecord holds what callers and upstreams observed of one request.
type requestRecord struct {
	nonIdempotent  bool
	status         int
	executionCount int
}

// requestRecorder records the requests seen by callers and upstreams, and all violations
// of the guarantees.
type requestRecorder struct {
	// mu guards byID, violations and departed.
	mu         sync.Mutex
	byID       map[string]*requestRecord
	violations []string
	// departed holds the ids of the upstreams that must not receive requests anymore,
	// because propagationTimeout has passed since they left.
	departed       map[string]bool
	nextID         atomic.Int64
	succeededCount atomic.Int64
	requestCount   atomic.Int64
}

func newRequestRecorder() *requestRecorder {
	return &requestRecorder{byID: make(map[string]*requestRecord)}
}

// recordOf returns the record of a request and creates it if needed. r.mu must be held.
func (r *requestRecorder) recordOf(id string) *requestRecord {
	record := r.byID[id]
	if record == nil {
		record = &requestRecord{}
		r.byID[id] = record
	}
	return record
}

func (r *requestRecorder) recordExecution(id, upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.departed[upstream] {
		r.violations = append(r.violations, fmt.Sprintf("request %s ran on upstream %s, which has left", id, upstream))
	}
	r.recordOf(id).executionCount++
}

func (r *requestRecorder) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

func (r *requestRecorder) recordResult(id string, nonIdempotent bool, status int) {
	r.requestCount.Add(1)
	if status == http.StatusOK {
		r.succeededCount.Add(1)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.recordOf(id)
	record.nonIdempotent, record.status = nonIdempotent, status
}

// countByStatus counts all requests by response status. Requests without a response
// count as status 0.
func (r *requestRecorder) countByStatus() map[int]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make(map[int]int)
	for _, record := range r.byID {
		counts[record.status]++
	}
	return counts
}

// allViolations returns the recorded violations and checks the guarantees for each
// request: a non-idempotent request runs at most once, a non-idempotent request that was
// rejected as not run does not run, and a request that succeeds has run.
func (r *requestRecorder) allViolations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	violations := append([]string(nil), r.violations...)
	for id, record := range r.byID {
		rejected := record.status == http.StatusServiceUnavailable || record.status == http.StatusTooManyRequests
		if record.nonIdempotent && record.executionCount > 1 {
			violations = append(violations, fmt.Sprintf("non-idempotent request %s ran %d times", id, record.executionCount))
		}
		if record.nonIdempotent && rejected && record.executionCount > 0 {
			violations = append(violations, fmt.Sprintf("non-idempotent request %s was rejected as not run but ran", id))
		}
		if record.status == http.StatusOK && record.executionCount == 0 {
			violations = append(violations, fmt.Sprintf("request %s succeeded but did not run", id))
		}
	}
	return violations
}

// runCaller sends requests to random instances until stop is closed. It has one connection
// at a time and uses it for many requests, even while the instance drains.
func (env *environment) runCaller(seed uint64, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(seed, 2))
	for {
		select {
		case <-stop:
			return
		default:
		}
		i := env.instances[rng.IntN(len(env.instances))]
		c, err := net.DialTimeout("tcp4", i.callerAddr(), time.Second)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		env.sendRequests(rng, c, stop)
		_ = c.Close()
	}
}

// sendRequests sends up to 50 requests on one connection. It returns early if a request
// gets no response, if the instance closes the connection, or if stop is closed.
func (env *environment) sendRequests(rng *rand.Rand, c net.Conn, stop <-chan struct{}) {
	reader := bufio.NewReader(c)
	for range 1 + rng.IntN(50) {
		select {
		case <-stop:
			return
		default:
		}
		nonIdempotent := rng.IntN(3) == 0
		status, connClose := env.sendRequest(rng, c, reader, nonIdempotent)
		if status == 0 || connClose {
			return
		}
		time.Sleep(time.Duration(rng.IntN(10)) * time.Millisecond)
	}
}

// sendRequest sends one request and checks the response. Status 0 means that there was no
// complete response. connClose reports whether the connection must not be used again.
func (env *environment) sendRequest(rng *rand.Rand, c net.Conn, reader *bufio.Reader, nonIdempotent bool) (status int, connClose bool) {
	h := platform.Headers()
	id := fmt.Sprintf("q%d", env.requestRecorder.nextID.Add(1))
	method, path, body := "GET", "/safe/x"+id, ""
	if nonIdempotent {
		method, path, body = "POST", "/unsafe/x"+id, strings.Repeat("b", rng.IntN(20000))
	}
	if c.SetDeadline(time.Now().Add(4*time.Second)) != nil {
		return 0, true
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 3000\r\n%s: %d\r\n", method, path, host, h.RequestID, id, h.Deadline, h.AffinityKey, rng.IntN(40))
	if nonIdempotent {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	defer func() { env.requestRecorder.recordResult(id, nonIdempotent, status) }()
	if _, err := io.WriteString(c, head+"\r\n"+body); err != nil {
		return 0, true
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, true
	}
	gotBody, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, true
	}
	if want := id + "|" + path + "|" + body; resp.StatusCode == http.StatusOK && string(gotBody) != want {
		env.requestRecorder.addViolation("request %s got the wrong response %.60q", id, gotBody)
	}
	if resp.StatusCode == http.StatusOK && !strings.HasPrefix(resp.Header.Get(h.Signature), id+".") {
		env.requestRecorder.addViolation("request %s succeeded without a valid response signature", id)
	}
	if resp.StatusCode >= 400 && resp.StatusCode < 500 && resp.StatusCode != http.StatusTooManyRequests {
		env.requestRecorder.addViolation("request %s got the unexpected status %d", id, resp.StatusCode)
	}
	return resp.StatusCode, resp.Close
}
