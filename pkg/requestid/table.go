package requestid

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"sync"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/request"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// Limits bounds a table.
type Limits struct {
	// Records bounds the identifiers that are tracked at a time.
	Records int
	// AnswerBytes bounds the answers that are kept for resends.
	AnswerBytes int
}

// DefaultLimits allows 218 new identifiers per second for the whole lifetime
// and keeps the answers of the latest ones.
var DefaultLimits = Limits{Records: 1 << 17, AnswerBytes: 16 << 20}

// Table issues identifiers and records the outcomes of the requests that carry
// them.
type Table struct {
	instance    string
	incarnation uint64
	key         []byte
	limits      Limits
	now         func() time.Time
	start       time.Time

	mu     sync.Mutex
	serial uint64
	// records is keyed by serial, which is unique within the incarnation.
	records map[uint64]*record
	// expiry holds the records in the order of their first use.
	expiry []*record
	// kept holds the records with kept answers in the order of their completion.
	kept []*record
	// bytes is the size of the kept answers.
	bytes int
}

// record is the state of one identifier that was used.
type record struct {
	serial uint64
	issued time.Duration
	digest [sha256.Size]byte
	// done is closed when the execution ends.
	done    chan struct{}
	running bool
	code    result.Code
	detail  string
	answer  *request.Response
	// size is that of the kept answer, in bytes.
	size int
}

// New returns an empty table. The key must be random for each incarnation.
func New(instance string, incarnation uint64, key []byte, limits Limits, now func() time.Time) *Table {
	return &Table{
		instance:    instance,
		incarnation: incarnation,
		key:         key,
		limits:      limits,
		now:         now,
		start:       now(),
		records:     make(map[uint64]*record),
	}
}

// uptime returns the time since the start of the incarnation.
func (t *Table) uptime() time.Duration { return t.now().Sub(t.start) }

// Issue returns a new identifier for a service.
func (t *Table) Issue(service string) string {
	t.mu.Lock()
	t.serial++
	id := ID{Service: service, Instance: t.instance, Incarnation: t.incarnation, Serial: t.serial}
	id.Issued = t.uptime()
	t.mu.Unlock()
	id.mac = sign(t.key, id.payload())
	return id.String()
}

// verify checks that this incarnation issued id for the request's service.
func (t *Table) verify(id ID, service string) error {
	if id.Instance != t.instance || id.Incarnation != t.incarnation {
		return result.New(result.RequestIDOwnerGone, "incarnation %d of %s is gone", id.Incarnation, id.Instance)
	}
	mac := sign(t.key, id.payload())
	if !hmac.Equal(mac[:], id.mac[:]) {
		return malformed("wrong hash")
	}
	if id.Service != service {
		return result.New(result.RequestIDMismatch, "issued for service %s", id.Service)
	}
	return nil
}

// Do runs a request under its identifier at most once. A resend gets the
// recorded outcome; while the first execution runs it waits until ctx ends.
// "Not run" is final for an identifier: a first submission that was delayed on
// its way must not run after a resend was answered "not run", because the
// caller may have repeated the request under a new identifier.
func (t *Table) Do(ctx context.Context, req *request.Request, run func() (*request.Response, error)) (*request.Response, error) {
	id, err := Parse(req.ID)
	if err != nil {
		return nil, err
	}
	if err := t.verify(id, req.Service); err != nil {
		return nil, err
	}
	digest := digestOf(req)
	r, first, err := t.begin(id, digest)
	if err != nil {
		return nil, err
	}
	if first {
		return t.execute(r, run)
	}
	select {
	case <-r.done:
		return t.outcome(r)
	case <-ctx.Done():
		return nil, result.New(result.RequestIDInFlight, "the first execution has not ended")
	}
}

// begin finds or makes the record of an identifier; first is set when the
// caller is to run the request.
func (t *Table) begin(id ID, digest [sha256.Size]byte) (r *record, first bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	age := t.uptime() - id.Issued
	if age > Lifetime {
		return nil, false, result.New(result.RequestIDExpired, "issued %v ago", age.Round(time.Second))
	}
	t.expire()
	r, ok := t.records[id.Serial]
	if !ok {
		if len(t.records) >= t.limits.Records {
			return nil, false, result.New(result.RequestIDTableFull, "%d identifiers are tracked", len(t.records))
		}
		r = &record{serial: id.Serial, issued: id.Issued, digest: digest, running: true, done: make(chan struct{})}
		t.records[id.Serial] = r
		t.expiry = append(t.expiry, r)
		return r, true, nil
	}
	if r.digest != digest {
		return nil, false, result.New(result.RequestIDMismatch, "the identifier belongs to another method, path or body")
	}
	return r, false, nil
}

// execute runs the request and records its outcome. A panic leaves the outcome
// unknown.
func (t *Table) execute(r *record, run func() (*request.Response, error)) (resp *request.Response, err error) {
	err = result.New(result.Internal, "the execution did not return")
	defer func() { t.finish(r, resp, err) }()
	return run()
}

func (t *Table) finish(r *record, resp *request.Response, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.running = false
	r.code, r.detail = result.CodeOf(err), result.Detail(err)
	if err == nil && resp != nil {
		t.keep(r, resp)
	}
	close(r.done)
}

// keep stores an answer and drops the oldest ones beyond the byte bound.
func (t *Table) keep(r *record, resp *request.Response) {
	size := sizeOf(resp)
	if size > t.limits.AnswerBytes {
		return
	}
	r.answer, r.size = resp, size
	t.kept = append(t.kept, r)
	t.bytes += size
	for t.bytes > t.limits.AnswerBytes {
		t.drop(t.kept[0])
		t.trim()
	}
}

// trim removes leading entries whose answers are no longer kept.
func (t *Table) trim() {
	for len(t.kept) > 0 && t.kept[0].answer == nil {
		t.kept[0] = nil
		t.kept = t.kept[1:]
	}
}

// drop forgets the answer of a record and keeps its outcome.
func (t *Table) drop(r *record) {
	t.bytes -= r.size
	r.answer, r.size = nil, 0
}

// outcome returns what a finished record says to a resend.
func (t *Table) outcome(r *record) (*request.Response, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.code != result.OK {
		return nil, result.New(r.code, "recorded outcome: %s", r.detail)
	}
	if r.answer == nil {
		return nil, result.New(result.RequestIDConsumed, "the request is complete")
	}
	return r.answer, nil
}

// expire removes the records whose identifiers are no longer accepted. The
// order of first use is near the order of issue; a record behind a younger one
// only stays longer.
func (t *Table) expire() {
	uptime := t.uptime()
	for len(t.expiry) > 0 {
		r := t.expiry[0]
		if r.running || uptime-r.issued <= Lifetime {
			return
		}
		t.drop(r)
		delete(t.records, r.serial)
		t.expiry[0] = nil
		t.expiry = t.expiry[1:]
		t.trim()
	}
}

// digestOf identifies the request that an identifier is bound to.
func digestOf(req *request.Request) [sha256.Size]byte {
	h := sha256.New()
	var length [8]byte
	for _, part := range [][]byte{[]byte(req.Method), []byte(req.Path), req.Body} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	var digest [sha256.Size]byte
	h.Sum(digest[:0])
	return digest
}

func sizeOf(resp *request.Response) int {
	size := len(resp.Body) + len(resp.Upstream) + len(resp.Domain)
	for _, f := range resp.Header {
		size += len(f.Name) + len(f.Value)
	}
	return size
}

// Stats counts what a table holds.
type Stats struct {
	Issued      uint64 `json:"issued"`
	Records     int    `json:"records"`
	AnswerBytes int    `json:"answer_bytes"`
}

// Stats returns the present counts.
func (t *Table) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Stats{t.serial, len(t.records), t.bytes}
}
