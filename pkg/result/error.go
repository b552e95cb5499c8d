package result

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Error is an error with a result code. All errors that reach callers and operators over the
// APIs are of this type.
type Error struct {
	Code    Code
	Message string
	// RetryAfter is how long to wait before a retry; 0 means that a retry is of no use.
	RetryAfter time.Duration
}

// New returns an error with a code and a message.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of the error with the given RetryAfter.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error returns the code, its name and the message, such as "201 overloaded: queue is full".
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", e.Code, e.Code, e.Message)
}

// From returns the Error in the chain of err. An error without a result code becomes Internal.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "%v", err)
}
