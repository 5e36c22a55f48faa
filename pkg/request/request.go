// Package request holds the request and response types that the request path
// passes from the caller API through routing and admission to an upstream.
package request

import (
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// Limits on what a caller or an upstream may send.
const (
	MaxBodyBytes     = 4 << 20
	MaxHeaderBytes   = 32 << 10
	MaxHeaderFields  = 64
	MaxPathBytes     = 4 << 10
	MaxServiceBytes  = 64
	MaxResponseBytes = 16 << 20
	// MaxDeadline is the longest time that a request may take.
	MaxDeadline = 5 * time.Minute
	// DefaultDeadline applies to requests that name no deadline.
	DefaultDeadline = 10 * time.Second
)

// Header names between callers, the system and upstreams.
const (
	HeaderOutcome     = "Sequoia-Outcome"
	HeaderCode        = "Sequoia-Code"
	HeaderDeadline    = "Sequoia-Deadline-Ms"
	HeaderIdempotent  = "Sequoia-Idempotent"
	HeaderRequestID   = "Sequoia-Request-Id"
	HeaderExecution   = "Sequoia-Execution"
	HeaderNotRun      = "Sequoia-Not-Run"
	HeaderLeaving     = "Sequoia-Leaving"
	HeaderUpstream    = "Sequoia-Upstream"
	HeaderDomain      = "Sequoia-Domain"
	HeaderCallerToken = "Sequoia-Caller-Token"
)

// Field is one header field.
type Field struct {
	Name  string `cbor:"n"`
	Value string `cbor:"v"`
}

// Request is a caller's request on its way to an upstream.
type Request struct {
	// ID is the request identifier that the system issued, or empty.
	ID      string `cbor:"id,omitempty"`
	Service string `cbor:"svc"`
	Method  string `cbor:"m"`
	// Path is the path and query as the upstream receives it.
	Path       string  `cbor:"p"`
	Header     []Field `cbor:"h,omitempty"`
	Body       []byte  `cbor:"b,omitempty"`
	Idempotent bool    `cbor:"idem"`
	// Deadline is on the local clock; peers receive the remaining time instead.
	Deadline time.Time `cbor:"-"`
	// Trace is unique per submission and becomes part of the execution id that
	// the upstream sees.
	Trace string `cbor:"t"`
}

// Route returns the key under which the cost of the request is learned: the
// method and the first path segment.
func (r *Request) Route() string {
	path := r.Path
	for i := 1; i < len(path); i++ {
		if path[i] == '/' || path[i] == '?' {
			path = path[:i]
			break
		}
	}
	return r.Method + " " + path
}

// Response is a complete answer of an upstream.
type Response struct {
	Status   int     `cbor:"s"`
	Header   []Field `cbor:"h,omitempty"`
	Body     []byte  `cbor:"b,omitempty"`
	Upstream string  `cbor:"u"`
	Domain   string  `cbor:"d"`
	// Attempts counts the executions that were started for the request.
	Attempts int `cbor:"a"`
}

// Reply is a response or a refusal as it travels between instances.
type Reply struct {
	Trace    string      `cbor:"t"`
	Code     result.Code `cbor:"c"`
	Detail   string      `cbor:"e,omitempty"`
	Response *Response   `cbor:"r,omitempty"`
}

// NewReply builds the reply for a response or error.
func NewReply(trace string, resp *Response, err error) *Reply {
	if err != nil {
		return &Reply{Trace: trace, Code: result.CodeOf(err), Detail: result.Detail(err)}
	}
	return &Reply{Trace: trace, Code: result.OK, Response: resp}
}

// Result returns the response or the error that the reply stands for.
func (r *Reply) Result() (*Response, error) {
	if r.Code != result.OK {
		return nil, result.New(r.Code, "%s", r.Detail)
	}
	if r.Response == nil {
		return nil, result.New(result.PeerProtocol, "reply without response")
	}
	return r.Response, nil
}
