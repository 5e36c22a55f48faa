// Package exchange sends requests to upstreams over HTTP/1.1 and determines
// whether each request was executed.
//
// A request is written at most once per call. The outcome states whether the
// upstream responded, did not execute the request, or may have executed it. A
// response is accepted only if it is complete and carries the identifier of the
// request, because a faulty upstream may send a second response that would
// otherwise be taken for the response to the next request.
//
// A Client keeps a pool of connections per upstream. Upstreams may drop idle
// connections without closing them, so the Client estimates per service how long
// a connection may be idle and still be reused.
package exchange

import (
	"time"
)

// Headers holds the names of the header fields exchanged between callers,
// instances and upstreams.
type Headers struct {
	// RequestID identifies one submission of a caller's request; upstreams echo
	// it.
	RequestID string
	// Deadline holds the remaining time until the sender's timeout, in
	// milliseconds.
	Deadline string
	// AffinityKey identifies the object that a request concerns.
	AffinityKey string
	// Signature marks a response as that of an upstream.
	Signature string
	// Target holds the id of the only upstream that may execute the request.
	Target string
	// Load holds the numbers of running and waiting requests, the number of
	// slots and the slowness.
	Load string
	// NotRun marks the response to a request that was not executed.
	NotRun string
	// Upstream holds the id of the responding upstream.
	Upstream string
	// ColdRemaining holds the remaining warm-up time of the upstream.
	ColdRemaining string
	// RateLimit holds the number of requests per second that the upstream takes from all
	// instances together.
	RateLimit string
	// Leaving is set to leavingValue in the responses of an upstream that leaves.
	Leaving string
}

// Request is a caller's request in the form that is forwarded to upstreams.
type Request struct {
	ID     string
	Method string
	// Head is the request line and the forwarded header fields, without the
	// final blank line and the fields that are set per attempt.
	Head []byte
	Body []byte
	// HasBody reports whether the caller sent a body, which may be empty.
	HasBody bool
	// Idempotent requests may reuse connections with a longer idle time.
	Idempotent bool
}

// Target is the upstream of one attempt.
type Target struct {
	ID      string
	Address string
	Service string
	// SameRegion reports whether the upstream is in the region of this instance.
	SameRegion bool
	// MaxConnections limits the connections of this instance to the upstream; 0
	// means no limit. Idle connections are closed to stay within it. Connections
	// in use are not closed, so it can be exceeded.
	MaxConnections int
	// ExpiresAt is the time after which the request may no longer be sent, because the
	// choice of the upstream is out of date; the zero time means no limit.
	ExpiresAt time.Time
	// OutOfDate, if set, reports whether the choice of the upstream is out of date for
	// another reason: the process was paused after it.
	OutOfDate func() bool
}

// Outcome states whether an upstream executed the request of an attempt.
type Outcome uint8

// Outcomes of an attempt.
const (
	// Answered means that a complete response of the upstream was received.
	Answered Outcome = iota + 1
	// NotRun means that the upstream did not and will not execute the request.
	NotRun
	// Unknown means that the upstream may have executed the request.
	Unknown
)

// Reason is the cause of the outcome of an attempt.
type Reason uint8

// Reasons of an outcome.
const (
	Complete Reason = iota
	// Shed means that the upstream rejected the request because of overload.
	Shed
	// Misdirected means that the address now belongs to another upstream.
	Misdirected
	// ConnectFailed means that no connection could be opened or nothing was sent.
	ConnectFailed
	// ConnectionLost means that the connection ended before a complete response.
	ConnectionLost
	// Malformed means that no valid response to the request was received.
	Malformed
	// TimedOut means that no response was received before the deadline.
	TimedOut
	// Cancelled means that the context of the attempt was cancelled.
	Cancelled
	// Expired means that the choice of the upstream was out of date before the request was
	// sent (Target.ExpiresAt, Target.OutOfDate).
	Expired
	// Silent means that no byte arrived on any kept connection for longer than responses
	// usually take, and that a new connection may deliver.
	Silent
	// OutOfTime means that the deadline passed before a connection was open.
	OutOfTime
)

// String implements fmt.Stringer.
func (r Reason) String() string {
	return [...]string{"complete", "shed", "misdirected", "connect_failed", "lost", "malformed", "timed_out", "cancelled", "expired", "silent", "out_of_time"}[r]
}

// Load is the load report of an upstream.
type Load struct {
	// Known reports whether the response had a valid load report.
	Known   bool
	Running int
	Waiting int
	// Slots is the number of requests that the upstream executes at the same time.
	Slots int
	// Slowness is the current service time as a multiple of the usual one: 1 is
	// normal, 2 is twice the usual service time.
	Slowness float64
}

// Field is a header field.
type Field struct{ Name, Value string }

// unreadableRateLimit is the rate limit of a response that states one that is not a number.
const unreadableRateLimit = -1

// Result holds the outcome of an attempt and the response, if one was received.
type Result struct {
	Outcome Outcome
	Reason  Reason
	Status  int
	// Signed reports whether the response carries the upstream's signature.
	Signed bool
	// ConnectionClose reports whether the upstream closes the connection after
	// the response.
	ConnectionClose bool
	Header          []Field
	Body            []byte
	Load            Load
	// RateLimit is the number of requests per second that the upstream states to take
	// from all instances together, 0 if it states none, or unreadableRateLimit.
	RateLimit float64
	// Leaving is set if the response says that the upstream leaves.
	Leaving bool
	// RetryAfter is the time for which an upstream that refused the request with status 503
	// wants no further one of this instance, 0 if it states none.
	RetryAfter time.Duration
	// NewConnection reports whether the attempt opened a new connection.
	NewConnection bool
	// ConnectTime is how long the attempt took to open its connection, 0 if it reused
	// one.
	ConnectTime time.Duration
	Elapsed     time.Duration
	Err         error
}

// stoppedWaiting reports whether the sender stopped waiting for the response.
func (r *Result) stoppedWaiting() bool { return r.Reason == TimedOut || r.Reason == Cancelled }
