package cli

import (
	"context"

	"foldarch.dev/foldarch/pkg/jobapi/jobsapi"
)

// JobStateCommand shows the state of a job, also of one that has ended.
type JobStateCommand struct {
	hostFlag
	jobArgument
}

// Help returns the detailed help text with an example; kong calls it.
func (JobStateCommand) Help() string {
	return "Example:\n\n  foldarch job state --host 10.1.0.13:9100 5c0e7a21d94b36f8"
}

// Run prints the state.
func (c JobStateCommand) Run(e *commandEnv) error {
	return c.callJobAPI(e, c.ID, func(ctx context.Context, client *jobsapi.Client) (*jobsapi.JobStatus, error) {
		return client.ReadJob(ctx, jobsapi.ReadJobParams{ID: jobsapi.JobID(c.ID)})
	})
}
