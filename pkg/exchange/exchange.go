// Package exchange sends a request to an upstream over HTTP/1.1 and decides
// what is known of its execution afterwards.
//
// A request is written at most once per call. The outcome tells whether the
// upstream answered, certainly did not run the request, or may have run it. An
// answer counts only if it is whole and carries the identifier of the request,
// because a faulty upstream may send a second answer that arrives where the
// next one is expected.
package exchange

import (
	"time"
)

// Headers names the header fields that callers, instances and upstreams use.
type Headers struct {
	// RequestID identifies one submission of a caller; upstreams echo it.
	RequestID string
	// Deadline holds the milliseconds that the sender waits.
	Deadline string
	// AffinityKey names the object that a request concerns.
	AffinityKey string
	// Signature marks the answer of an upstream.
	Signature string
	// Target names the upstream that alone may run the request.
	Target string
	// Load holds the requests running and waiting, the slots and the slowness.
	Load string
	// NotRun marks an answer to a request that was not run.
	NotRun string
	// Upstream holds the id of the upstream that answers.
	Upstream string
	// ColdRemaining holds how long the upstream stays cold.
	ColdRemaining string
}

// Request is a caller's request as it is sent to upstreams.
type Request struct {
	ID     string
	Method string
	// Head is the request line and the header fields that are passed on,
	// without the blank line and without the fields set per attempt.
	Head []byte
	Body []byte
	// HasBody tells that the caller framed a body, also an empty one.
	HasBody bool
	// Idempotent requests may use connections that were idle for longer.
	Idempotent bool
}

// Target is the upstream of one attempt.
type Target struct {
	ID      string
	Address string
	Service string
	// SameRegion tells that the upstream is in the same region.
	SameRegion bool
	// MaxConnections is the number of connections that this instance may have
	// open to the upstream; 0 means no bound.
	MaxConnections int
}

// Outcome tells what is known of an execution.
type Outcome uint8

// Outcomes of an attempt.
const (
	// Answered means that the upstream's whole answer arrived.
	Answered Outcome = iota + 1
	// NotRun means that the upstream did not and will not run the request.
	NotRun
	// Unknown means that the upstream may have run the request.
	Unknown
)

// Reason tells how an attempt ended.
type Reason uint8

// Reasons of an outcome.
const (
	Complete Reason = iota
	// Shed means that the upstream refused the request for lack of room.
	Shed
	// Misdirected means that another upstream has the address.
	Misdirected
	// ConnectFailed means that no connection could be opened or nothing was sent.
	ConnectFailed
	// Lost means that the connection ended before an answer.
	Lost
	// Malformed means that the bytes received are no whole answer.
	Malformed
	// TimedOut means that no answer came before the deadline.
	TimedOut
	// Cancelled means that the caller of Do gave the attempt up.
	Cancelled
)

// String implements fmt.Stringer.
func (r Reason) String() string {
	return [...]string{"complete", "shed", "misdirected", "connect_failed", "lost", "malformed", "timed_out", "cancelled"}[r]
}

// Load is what an upstream tells of itself.
type Load struct {
	Known   bool
	Running int
	Waiting int
	Slots   int
	// Slowness is how long work takes at the moment, 1 as usual.
	Slowness float64
}

// Field is a header field.
type Field struct{ Name, Value string }

// Result is the end of an attempt.
type Result struct {
	Outcome Outcome
	Reason  Reason
	Status  int
	// Signed tells that the answer carries the upstream's signature.
	Signed bool
	// ConnectionClose tells that the upstream closes its connections.
	ConnectionClose bool
	Header          []Field
	Body            []byte
	Load            Load
	// NewConnection tells that a connection was opened for the attempt.
	NewConnection bool
	Elapsed       time.Duration
	Err           error
}

// gaveUp tells that the sender stopped waiting for the answer.
func (r *Result) gaveUp() bool { return r.Reason == TimedOut || r.Reason == Cancelled }
