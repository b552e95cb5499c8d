package cli

import (
	"context"
	"io"
	"os"

	"foldarch.dev/foldarch/pkg/jobapi/jobsapi"
	"github.com/cockroachdb/errors"
)

// JobSubmitCommand submits a job to a queue.
type JobSubmitCommand struct {
	hostFlag
	Queue string `required:"" help:"The queue, as the configuration names it." placeholder:"NAME"`
	Key   string `env:"FOLDARCH_KEY" help:"A key of the customer whose job it is; needed unless the queue is public." placeholder:"KEY"`
	jobArgument
	File string `arg:"" help:"The job in JSON (JobRequest in api/jobs.yaml); - for standard input."`
}

// Help returns the detailed help text with an example; kong calls it.
func (JobSubmitCommand) Help() string {
	return "Submitting the same id again changes nothing.\n\nExample:\n\n" +
		"  echo '{\"spec\":\"alloy 7\",\"steps\":[{\"count\":4,\"cpu_millis\":500,\"memory_mb\":256}]}' |\n" +
		"    foldarch job submit --host 10.1.0.13:9100 --queue fits 5c0e7a21d94b36f8 -"
}

// Run submits the job and prints its state.
func (c JobSubmitCommand) Run(e *commandEnv) error {
	request, err := readJobRequest(c.File)
	if err != nil {
		return err
	}
	return c.callJobAPI(e, c.ID, func(ctx context.Context, client *jobsapi.Client) (*jobsapi.JobStatus, error) {
		return client.SubmitJob(ctx, request, c.submitParams())
	})
}

func (c JobSubmitCommand) submitParams() jobsapi.SubmitJobParams {
	p := jobsapi.SubmitJobParams{Queue: c.Queue, ID: jobsapi.JobID(c.ID)}
	if c.Key != "" {
		p.CustomerKey = jobsapi.NewOptString(c.Key)
	}
	return p
}

// readJobRequest reads and validates a job from a file, or from standard input if file is "-".
func readJobRequest(file string) (*jobsapi.JobRequest, error) {
	in := os.Stdin
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, err
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	text, err := io.ReadAll(in)
	if err != nil {
		return nil, errors.Wrap(err, file)
	}
	var r jobsapi.JobRequest
	if err := r.UnmarshalJSON(text); err != nil {
		return nil, errors.Wrap(err, file)
	}
	return &r, errors.Wrap(r.Validate(), file)
}
