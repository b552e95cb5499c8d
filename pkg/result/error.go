package result

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Error is a failure with a result code. It is the only error that crosses a border of
// the system.
type Error struct {
	Code    Code
	Message string
	// RetryAfter is when to come back; 0 says that it makes no sense.
	RetryAfter time.Duration
}

// New returns an error with a code and a message.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy that says when to come back.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error returns the code, its name and the message.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", e.Code, e.Code, e.Message)
}

// From returns err as an Error. An error without a code becomes Internal.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "%v", err)
}
