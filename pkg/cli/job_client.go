package cli

import (
	"context"
	"fmt"

	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/jobapi/jobsapi"
	"github.com/cockroachdb/errors"
)

// newClient returns a client of the job API at the host's address.
func (f hostFlag) newClient() (*jobsapi.Client, error) {
	client, err := jobsapi.NewClient("http://" + f.Host.String())
	return client, errors.Wrap(err, "entry host")
}

// callJobAPI checks the job id, makes one call of the job API with do, and prints the state of the job.
func (f hostFlag) callJobAPI(e *commandEnv, id string, do func(context.Context, *jobsapi.Client) (*jobsapi.JobStatus, error)) error {
	if _, err := job.ParseID(id); err != nil {
		return err
	}
	client, err := f.newClient()
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

// problemError turns a problem response of the job API into an error with its name, code and message. Other
// errors are returned as they are.
func problemError(err error) error {
	var p *jobsapi.ProblemStatusCodeWithHeaders
	if !errors.As(err, &p) {
		return err
	}
	return errors.Newf("%s (%d): %s", p.Response.Name, p.Response.Code, p.Response.Message)
}
