package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/jobapi/jobsapi"
	"github.com/cockroachdb/errors"
)

// open returns a client of the host's API of jobs.
func (f hostFlag) open() (*jobsapi.Client, error) {
	client, err := jobsapi.NewClient("http://" + f.Host.String())
	return client, errors.Wrap(err, "entry host")
}

// ---------------------------------------------------------------- submit

// JobSubmitCommand hands in a job.
type JobSubmitCommand struct {
	hostFlag
	Queue string `required:"" help:"The queue, as the configuration names it." placeholder:"NAME"`
	jobArgument
	File string `arg:"" help:"The job in JSON (JobRequest in api/jobs.yaml); - for standard input."`
}

// Help gives an example.
func (JobSubmitCommand) Help() string {
	return "Handing in the same id again changes nothing.\n\nExample:\n\n" +
		"  echo '{\"spec\":\"alloy 7\",\"steps\":[{\"count\":4,\"cpu_millis\":500,\"memory_mb\":256}]}' |\n" +
		"    foldarch job submit --host 10.1.0.13:9100 --queue fits 5c0e7a21d94b36f8 -"
}

// Run hands the job in.
func (c JobSubmitCommand) Run(e *env) error {
	request, err := readJobRequest(c.File)
	if err != nil {
		return err
	}
	return c.call(e, c.ID, func(ctx context.Context, client *jobsapi.Client) (*jobsapi.JobStatus, error) {
		return client.SubmitJob(ctx, request, jobsapi.SubmitJobParams{Queue: c.Queue, ID: jobsapi.JobID(c.ID)})
	})
}

// readJobRequest reads a job from a file, or from standard input if the file is "-".
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

// ---------------------------------------------------------------- state and cancel

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

// JobCancelCommand ends a job.
type JobCancelCommand struct {
	hostFlag
	jobArgument
}

// Help gives an example.
func (JobCancelCommand) Help() string {
	return "Example:\n\n  foldarch job cancel --host 10.1.0.13:9100 5c0e7a21d94b36f8"
}

// Run has the job cancelled.
func (c JobCancelCommand) Run(e *env) error {
	return c.call(e, c.ID, func(ctx context.Context, client *jobsapi.Client) (*jobsapi.JobStatus, error) {
		return client.CancelJob(ctx, jobsapi.CancelJobParams{ID: jobsapi.JobID(c.ID)})
	})
}

// call makes one call about a job and prints its state.
func (f hostFlag) call(e *env, id string, do func(context.Context, *jobsapi.Client) (*jobsapi.JobStatus, error)) error {
	if _, err := job.ParseID(id); err != nil {
		return err
	}
	client, err := f.open()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	status, err := do(ctx, client)
	if err != nil {
		return problemError(err)
	}
	_, err = fmt.Fprintf(e.out, "%s %s\n", status.ID, status.State)
	return err
}

// problemError puts an answer that is not a success into words.
func problemError(err error) error {
	var p *jobsapi.ProblemStatusCodeWithHeaders
	if !errors.As(err, &p) {
		return err
	}
	return errors.Newf("%s (%d): %s", p.Response.Name, p.Response.Code, p.Response.Message)
}

// ---------------------------------------------------------------- queue

// JobQueueCommand counts what waits in a queue.
type JobQueueCommand struct {
	hostFlag
	Name string `arg:"" help:"The queue, as the configuration names it."`
}

// Help gives an example.
func (JobQueueCommand) Help() string {
	return "Example:\n\n  foldarch job queue --host 10.1.0.13:9100 fits"
}

// Run asks for the count.
func (c JobQueueCommand) Run(e *env) error {
	client, err := c.open()
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
