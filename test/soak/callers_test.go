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

// record is what is known of one request.
type record struct {
	unsafe bool
	status int
	runs   int
}

// records collects what callers and upstreams see.
type records struct {
	mu     sync.Mutex
	byID   map[string]*record
	broken []string
	// left holds the upstreams that have left for so long that they must get
	// nothing.
	left map[string]bool
	next atomic.Int64
	good atomic.Int64
	all  atomic.Int64
}

func newRecords() *records { return &records{byID: make(map[string]*record)} }

// get returns the record of a request; the caller holds the lock.
func (r *records) get(id string) *record {
	x := r.byID[id]
	if x == nil {
		x = &record{}
		r.byID[id] = x
	}
	return x
}

func (r *records) ran(id, upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.left[upstream] {
		r.broken = append(r.broken, fmt.Sprintf("%s reached %s, which has left", id, upstream))
	}
	r.get(id).runs++
}

func (r *records) breach(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

func (r *records) ended(id string, unsafe bool, status int) {
	r.all.Add(1)
	if status == http.StatusOK {
		r.good.Add(1)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.get(id)
	x.unsafe, x.status = unsafe, status
}

// statuses counts all requests by the status of their answer, 0 for none.
func (r *records) statuses() map[int]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make(map[int]int)
	for _, x := range r.byID {
		counts[x.status]++
	}
	return counts
}

// judge returns the breaches of at-most-once and of "not run" over all requests.
func (r *records) judge() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	broken := append([]string(nil), r.broken...)
	for id, x := range r.byID {
		refused := x.status == http.StatusServiceUnavailable || x.status == http.StatusTooManyRequests
		if x.unsafe && x.runs > 1 {
			broken = append(broken, fmt.Sprintf("%s ran %d times", id, x.runs))
		}
		if x.unsafe && refused && x.runs > 0 {
			broken = append(broken, fmt.Sprintf("%s was refused as not run and ran", id))
		}
		if x.status == http.StatusOK && x.runs == 0 {
			broken = append(broken, fmt.Sprintf("%s was answered and did not run", id))
		}
	}
	return broken
}

// call sends requests on connections to one instance after the other until
// stop is closed. Connections stay open for many requests, also while their
// instance leaves.
func (w *world) call(seed uint64, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(seed, 2))
	for {
		select {
		case <-stop:
			return
		default:
		}
		i := w.instances[rng.IntN(len(w.instances))]
		c, err := net.DialTimeout("tcp4", i.caller(), time.Second)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		w.converse(rng, c, stop)
		_ = c.Close()
	}
}

// converse sends up to 50 requests on a connection.
func (w *world) converse(rng *rand.Rand, c net.Conn, stop <-chan struct{}) {
	b := bufio.NewReader(c)
	for range 1 + rng.IntN(50) {
		select {
		case <-stop:
			return
		default:
		}
		unsafe := rng.IntN(3) == 0
		status, closes := w.request(rng, c, b, unsafe)
		if status == 0 || closes {
			return
		}
		time.Sleep(time.Duration(rng.IntN(10)) * time.Millisecond)
	}
}

// request sends one request and checks its answer; status 0 means that the
// connection ended first.
func (w *world) request(rng *rand.Rand, c net.Conn, b *bufio.Reader, unsafe bool) (status int, closes bool) {
	h := platform.Headers()
	id := fmt.Sprintf("q%d", w.records.next.Add(1))
	method, path, body := "GET", "/safe/x"+id, ""
	if unsafe {
		method, path, body = "POST", "/unsafe/x"+id, strings.Repeat("b", rng.IntN(20000))
	}
	if c.SetDeadline(time.Now().Add(4*time.Second)) != nil {
		return 0, true
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 3000\r\n%s: %d\r\n", method, path, host, h.RequestID, id, h.Deadline, h.AffinityKey, rng.IntN(40))
	if unsafe {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	defer func() { w.records.ended(id, unsafe, status) }()
	if _, err := io.WriteString(c, text+"\r\n"+body); err != nil {
		return 0, true
	}
	r, err := http.ReadResponse(b, nil)
	if err != nil {
		return 0, true
	}
	got, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, true
	}
	if want := id + "|" + path + "|" + body; r.StatusCode == http.StatusOK && string(got) != want {
		w.records.breach("%s got the answer %.60q", id, got)
	}
	if r.StatusCode == http.StatusOK && !strings.HasPrefix(r.Header.Get(h.Signature), id+".") {
		w.records.breach("%s got a success without its signature", id)
	}
	if r.StatusCode >= 400 && r.StatusCode < 500 && r.StatusCode != http.StatusTooManyRequests {
		w.records.breach("%s was denied with %d", id, r.StatusCode)
	}
	return r.StatusCode, r.Close
}
