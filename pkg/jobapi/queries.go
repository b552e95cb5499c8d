package jobapi

import (
	"context"

	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/jobapi/jobsapi"
)

// ReadJob returns the state of a job.
func (h *handler) ReadJob(ctx context.Context, params jobsapi.ReadJobParams) (*jobsapi.JobStatus, error) {
	state, err := h.State(ctx, operatorCaller, job.ID(params.ID))
	if err != nil {
		return nil, toResult(err)
	}
	return &jobsapi.JobStatus{ID: params.ID, State: jobsapi.JobStatusState(state)}, nil
}

// ReadQueue returns the number of waiting jobs of a queue.
func (h *handler) ReadQueue(ctx context.Context, params jobsapi.ReadQueueParams) (*jobsapi.QueueStatus, error) {
	q, _, err := h.findQueue(params.Queue, "")
	if err != nil {
		return nil, err
	}
	pending, err := h.Pending(ctx, q)
	if err != nil {
		return nil, toResult(err)
	}
	return &jobsapi.QueueStatus{Queue: q.Name, Pending: pending}, nil
}
