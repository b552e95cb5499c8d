package cli

import (
	"context"

	"foldarch.dev/foldarch/pkg/jobapi/jobsapi"
)

// JobCancelCommand cancels a job.
type JobCancelCommand struct {
	hostFlag
	jobArgument
}

// Help returns the detailed help text with an example; kong calls it.
func (JobCancelCommand) Help() string {
	return "Example:\n\n  foldarch job cancel --host 10.1.0.13:9100 5c0e7a21d94b36f8"
}

// Run cancels the job and prints its state.
func (c JobCancelCommand) Run(e *commandEnv) error {
	return c.callJobAPI(e, c.ID, func(ctx context.Context, client *jobsapi.Client) (*jobsapi.JobStatus, error) {
		return client.CancelJob(ctx, jobsapi.CancelJobParams{ID: jobsapi.JobID(c.ID)})
	})
}
