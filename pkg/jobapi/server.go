package jobapi

import (
	"context"
	"net/http"
	"time"

	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/jobapi/jobsapi"
	"foldarch.dev/foldarch/pkg/queue"
	"foldarch.dev/foldarch/pkg/result"
	"foldarch.dev/foldarch/platform"
	"github.com/cockroachdb/errors"
)

// retryAfter is when a refused caller may come back.
const retryAfter = time.Second

// New returns the handler of all paths under /v1/.
func New(jobs platform.Jobs) (http.Handler, error) {
	s, err := jobsapi.NewServer(&handler{jobs}, jobsapi.WithErrorHandler(result.WriteMalformed))
	return s, errors.Wrap(err, "jobs API")
}

type handler struct {
	platform.Jobs
}

// SubmitJob keeps a job; handing it in again changes nothing.
func (h *handler) SubmitJob(ctx context.Context, req *jobsapi.JobRequest, params jobsapi.SubmitJobParams) (*jobsapi.JobStatus, error) {
	q, err := h.queue(params.Queue)
	if err != nil {
		return nil, err
	}
	j := jobOf(job.ID(params.ID), req)
	if err := j.Validate(); err != nil {
		return nil, result.New(result.Malformed, "%v", err)
	}
	if err := h.Submit(ctx, q, j); err != nil {
		return nil, resultOf(err)
	}
	return &jobsapi.JobStatus{ID: params.ID, State: jobsapi.JobStatusStateQueued}, nil
}

// ReadJob tells how far a job is.
func (h *handler) ReadJob(ctx context.Context, params jobsapi.ReadJobParams) (*jobsapi.JobStatus, error) {
	state, err := h.State(ctx, job.ID(params.ID))
	if err != nil {
		return nil, resultOf(err)
	}
	return &jobsapi.JobStatus{ID: params.ID, State: jobsapi.JobStatusState(state)}, nil
}

// CancelJob ends a job.
func (h *handler) CancelJob(ctx context.Context, params jobsapi.CancelJobParams) (*jobsapi.JobStatus, error) {
	if err := h.Cancel(ctx, job.ID(params.ID)); err != nil {
		return nil, resultOf(err)
	}
	return &jobsapi.JobStatus{ID: params.ID, State: jobsapi.JobStatusStateCancelled}, nil
}

// ReadQueue counts what waits in a queue.
func (h *handler) ReadQueue(ctx context.Context, params jobsapi.ReadQueueParams) (*jobsapi.QueueStatus, error) {
	q, err := h.queue(params.Queue)
	if err != nil {
		return nil, err
	}
	pending, err := h.Pending(ctx, q)
	if err != nil {
		return nil, resultOf(err)
	}
	return &jobsapi.QueueStatus{Queue: q.Name, Pending: pending}, nil
}

// queue returns a queue of the configuration in force.
func (h *handler) queue(name string) (queue.Queue, error) {
	cfg := h.Config()
	if cfg == nil {
		return queue.Queue{}, result.New(result.NotReady, "%s", result.NotReady.Row().Text).WithRetryAfter(retryAfter)
	}
	q, ok := cfg.Queue(name)
	if !ok {
		return queue.Queue{}, result.New(result.UnknownQueue, "configuration %d has no queue %q", cfg.Version, name)
	}
	return q, nil
}

// resultOf gives a failure its result code.
func resultOf(err error) error {
	switch {
	case errors.Is(err, platform.ErrNoJob):
		return result.New(result.UnknownJob, "%v", err)
	case errors.Is(err, platform.ErrRefused):
		return result.New(result.StoreDown, "%v", err).WithRetryAfter(retryAfter)
	}
	return result.New(result.OutcomeUnknown, "%v", err).WithRetryAfter(retryAfter)
}

// NewError writes a result as the API's problem.
func (h *handler) NewError(_ context.Context, err error) *jobsapi.ProblemStatusCodeWithHeaders {
	p := result.ProblemOf(err)
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
