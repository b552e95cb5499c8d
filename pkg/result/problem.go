package result

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"foldarch.dev/foldarch/pkg/clientlimit"
	"github.com/cockroachdb/errors"
	"github.com/ogen-go/ogen/ogenerrors"
)

// Problem is the JSON body of an error response of the APIs.
type Problem struct {
	Status       int    `json:"-"` // HTTP status
	Code         Code   `json:"code"`
	Name         string `json:"name"`
	Message      string `json:"message"`
	Ran          Ran    `json:"ran"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"` // 0 means that a retry is of no use
}

// NewProblem returns the problem for an error. An error without a result code becomes Internal.
func NewProblem(err error) Problem {
	e := From(err)
	info := e.Code.Info()
	return Problem{
		Status: info.Status, Code: e.Code, Name: info.Name, Message: e.Message, Ran: info.Ran,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
	}
}

// RetryAfterSeconds returns RetryAfterMs in whole seconds, rounded up, as the Retry-After
// header needs it.
func (p Problem) RetryAfterSeconds() int {
	const second = int64(time.Second / time.Millisecond)
	return int((p.RetryAfterMs + second - 1) / second)
}

// busyRetryAfter is after how long a caller may try again whose body was not read.
const busyRetryAfter = time.Second

// WriteMalformed writes the response to a request that the generated server could not decode.
func WriteMalformed(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	code := Malformed
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		code = BodyTooLarge
	}
	e := New(code, "%v", err)
	if clientlimit.IsUnread(err) {
		e = New(Overloaded, "%v", err).WithRetryAfter(busyRetryAfter)
	}
	p := NewProblem(e)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(max(p.Status, ogenerrors.ErrorCode(err)))
	_ = json.NewEncoder(w).Encode(p)
}
