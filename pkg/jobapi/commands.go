package jobapi

import (
	"context"

	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/jobapi/jobsapi"
	"foldarch.dev/foldarch/pkg/result"
)

// SubmitJob stores a job. Submitting the same job again changes nothing.
func (h *handler) SubmitJob(ctx context.Context, req *jobsapi.JobRequest, params jobsapi.SubmitJobParams) (*jobsapi.JobStatus, error) {
	q, c, err := h.findQueue(params.Queue, params.CustomerKey.Value)
	if err != nil {
		return nil, err
	}
	j := toJob(job.ID(params.ID), req)
	if err := j.Validate(); err != nil {
		return nil, result.New(result.Malformed, "%v", err)
	}
	if err := h.Submit(ctx, c, q, j); err != nil {
		return nil, toResult(err)
	}
	return &jobsapi.JobStatus{ID: params.ID, State: jobsapi.JobStatusStateQueued}, nil
}

// CancelJob cancels a job.
func (h *handler) CancelJob(ctx context.Context, params jobsapi.CancelJobParams) (*jobsapi.JobStatus, error) {
	if err := h.Cancel(ctx, operatorCaller, job.ID(params.ID)); err != nil {
		return nil, toResult(err)
	}
	return &jobsapi.JobStatus{ID: params.ID, State: jobsapi.JobStatusStateCancelled}, nil
}
