package result

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/ogen-go/ogen/ogenerrors"
)

// Problem is a failure as the APIs write it.
type Problem struct {
	Status       int    `json:"-"` // HTTP status
	Code         Code   `json:"code"`
	Name         string `json:"name"`
	Message      string `json:"message"`
	Ran          Ran    `json:"ran"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"` // 0 says that coming back makes no sense
}

// ProblemOf describes an error; one without a result code is Internal.
func ProblemOf(err error) Problem {
	e := From(err)
	row := e.Code.Row()
	return Problem{
		Status: row.Status, Code: e.Code, Name: row.Name, Message: e.Message, Ran: row.Ran,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
	}
}

// RetryAfterSeconds is when to come back in whole seconds, rounded up.
func (p Problem) RetryAfterSeconds() int {
	const second = int64(time.Second / time.Millisecond)
	return int((p.RetryAfterMs + second - 1) / second)
}

// WriteMalformed answers a request that a generated decoder refuses.
func WriteMalformed(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	code := Malformed
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		code = BodyTooLarge
	}
	p := ProblemOf(New(code, "%v", err))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(max(p.Status, ogenerrors.ErrorCode(err)))
	_ = json.NewEncoder(w).Encode(p)
}
