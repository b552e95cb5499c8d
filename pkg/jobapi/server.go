package jobapi

import (
	"context"
	"net/http"
	"time"

	"foldarch.dev/foldarch/pkg/customer"
	"foldarch.dev/foldarch/pkg/jobapi/jobsapi"
	"foldarch.dev/foldarch/pkg/queue"
	"foldarch.dev/foldarch/pkg/result"
	"foldarch.dev/foldarch/platform"
	"github.com/cockroachdb/errors"
)

// retryAfter is after how long a refused caller may try again.
const retryAfter = time.Second

// New returns the handler of all paths under /v1/.
func New(jobs platform.JobService) (http.Handler, error) {
	s, err := jobsapi.NewServer(&handler{jobs}, jobsapi.WithErrorHandler(result.WriteMalformed))
	return s, errors.Wrap(err, "jobs API")
}

type handler struct {
	platform.JobService
}

// operatorCaller is the caller of requests that may concern the jobs of any customer.
var operatorCaller = customer.NewCaller(nil, customer.Call{QueueKnown: true, Key: customer.KeyNotNeeded}, true)

// findQueue returns a queue of the configuration in force and the caller that is admitted to it. The
// caller is the customer of the key or, without a key, an operator.
func (h *handler) findQueue(name, key string) (queue.Queue, customer.Caller, error) {
	cfg := h.Config()
	if cfg == nil {
		return queue.Queue{}, customer.Caller{}, result.New(result.NotReady, "%s", result.NotReady.Info().Text).WithRetryAfter(retryAfter)
	}
	call := platform.CallInfo{RequestedQueue: name, Operator: true}
	if key != "" {
		call.APIKeys = []string{key}
	}
	q, ok := cfg.Queue(name)
	if ok {
		call.Queue = &q
	}
	c, err := h.Admit(cfg, call)
	if err != nil {
		return queue.Queue{}, c, toResult(err)
	}
	return q, c, nil
}

// toResult converts an error to one with a result code.
func toResult(err error) error {
	var refused *platform.RefusedError
	switch {
	case errors.Is(err, platform.ErrInvalid):
		return result.New(result.Malformed, "%v", err)
	case errors.Is(err, platform.ErrNoQueue):
		return result.New(result.UnknownQueue, "%v", err)
	case errors.Is(err, platform.ErrUnauthenticated):
		return result.New(result.Unauthenticated, "%v", err)
	case errors.Is(err, platform.ErrForbidden):
		return result.New(result.NotYours, "%v", err)
	case errors.Is(err, platform.ErrNoJob):
		return result.New(result.UnknownJob, "%v", err)
	case errors.As(err, &refused):
		code := result.Overloaded
		if refused.NotStored {
			code = result.StoreDown
		}
		return result.New(code, "%v", err).WithRetryAfter(refused.RetryAfter)
	case errors.Is(err, platform.ErrRefused):
		return result.New(result.StoreDown, "%v", err).WithRetryAfter(retryAfter)
	}
	return result.New(result.OutcomeUnknown, "%v", err).WithRetryAfter(retryAfter)
}

// NewError converts an error to the API's problem response.
func (h *handler) NewError(_ context.Context, err error) *jobsapi.ProblemStatusCodeWithHeaders {
	p := result.NewProblem(err)
	out := &jobsapi.ProblemStatusCodeWithHeaders{
		StatusCode: p.Status,
		Response:   jobsapi.Problem{Code: int(p.Code), Name: p.Name, Message: p.Message, Ran: jobsapi.ProblemRan(p.Ran)},
	}
	if p.RetryAfterMs > 0 {
		out.RetryAfter = jobsapi.NewOptInt(p.RetryAfterSeconds())
		out.Response.RetryAfterMs = jobsapi.NewOptInt64(p.RetryAfterMs)
	}
	return out
}
