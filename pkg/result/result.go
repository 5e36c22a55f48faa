// Package result defines the numbered result codes that the system returns to
// callers, operators and peers.
//
// Each code maps to one of three outcomes. Complete means that the request was
// executed and that its whole response was received. NotRun means that the
// request was not executed, so a retry is safe. Unknown means that the request
// may have been executed. Errors carry a code and a detail text; CodeOf, OutcomeOf
// and Detail read them from a wrapped error.
package result

import (
	"fmt"

	"github.com/juju/errors"
)

// Outcome states whether a request was executed.
type Outcome uint8

// The three outcomes of a request.
const (
	Complete Outcome = iota + 1
	NotRun
	Unknown
)

// String returns the outcome as it appears on the wire.
func (o Outcome) String() string {
	switch o {
	case Complete:
		return "complete"
	case NotRun:
		return "not_run"
	default:
		return "unknown"
	}
}

// Code is a numbered result code; docs/result-codes.md lists all of them.
type Code uint16

// Info describes a result code.
type Info struct {
	Code    Code
	Name    string
	Outcome Outcome
	// HTTPStatus is the HTTP status returned with the code.
	HTTPStatus int
	// Text explains the code and what the recipient can do.
	Text string
}

// Error is an error that carries a result code.
type Error struct {
	Code   Code
	Detail string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", e.Code, Lookup(e.Code).Name, e.Detail)
}

// New returns an error with a result code and a formatted detail.
func New(code Code, format string, args ...any) error {
	return errors.Trace(&Error{Code: code, Detail: fmt.Sprintf(format, args...)})
}

// CodeOf returns the result code of err: OK for nil, Internal when err carries
// no code.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return Internal
}

// Detail returns the detail text of err without its stack and code, or the whole
// message of an error that carries no code.
func Detail(err error) string {
	if err == nil {
		return ""
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Detail
	}
	return err.Error()
}

// OutcomeOf returns the outcome of the result code of err.
func OutcomeOf(err error) Outcome { return Lookup(CodeOf(err)).Outcome }

var byCode = func() map[Code]Info {
	m := make(map[Code]Info, len(catalogue))
	for _, info := range catalogue {
		m[info.Code] = info
	}
	return m
}()

// Lookup returns the catalogue entry of a code. For an unlisted code it returns
// the entry of Internal, whose outcome is Unknown.
func Lookup(code Code) Info {
	if info, ok := byCode[code]; ok {
		return info
	}
	return byCode[Internal]
}

// Catalogue returns all result codes in ascending order.
func Catalogue() []Info { return append([]Info(nil), catalogue...) }
