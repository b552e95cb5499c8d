package cli

import (
	"context"

	"foldarch.dev/foldarch/pkg/jobapi/jobsapi"
)

// JobStateCommand shows how far a job is.
type JobStateCommand struct {
	hostFlag
	jobArgument
}

// Help gives an example.
func (JobStateCommand) Help() string {
	return "Example:\n\n  foldarch job state --host 10.1.0.13:9100 5c0e7a21d94b36f8"
}

// Run asks for the state.
func (c JobStateCommand) Run(e *env) error {
	return c.call(e, c.ID, func(ctx context.Context, client *jobsapi.Client) (*jobsapi.JobStatus, error) {
		return client.ReadJob(ctx, jobsapi.ReadJobParams{ID: jobsapi.JobID(c.ID)})
	})
}
