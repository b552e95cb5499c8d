package cli

import (
	"context"
	"fmt"

	"foldarch.dev/foldarch/pkg/jobapi/jobsapi"
)

// JobQueueCommand counts the jobs of a queue that have not begun.
type JobQueueCommand struct {
	hostFlag
	Name string `arg:"" help:"The queue, as the configuration names it."`
}

// Help returns the detailed help text with an example; kong calls it.
func (JobQueueCommand) Help() string {
	return "Example:\n\n  foldarch job queue --host 10.1.0.13:9100 fits"
}

// Run prints the count.
func (c JobQueueCommand) Run(e *commandEnv) error {
	client, err := c.newClient()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	status, err := client.ReadQueue(ctx, jobsapi.ReadQueueParams{Queue: c.Name})
	if err != nil {
		return problemError(err)
	}
	_, err = fmt.Fprintf(e.out, "%s: %d pending\n", status.Queue, status.Pending)
	return err
}
