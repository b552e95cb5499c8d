package cli

import (
	"fmt"
	"io"

	"foldarch.dev/foldarch/pkg/dispatch"
	"foldarch.dev/foldarch/pkg/job"
	"github.com/cockroachdb/errors"
)

// JobShowCommand shows the state of a job on the platform, as its pool's owner has it.
type JobShowCommand struct {
	hostFlag
	jobArgument
	JSON bool `help:"Print JSON."`
}

// Help returns the detailed help text with an example; kong calls it.
func (JobShowCommand) Help() string {
	return "Example:\n\n  foldarch job --host 10.1.0.13:9100 5c0e7a21d94b36f8"
}

// Run prints the state of the job, its steps and their runs, or JSON.
func (c JobShowCommand) Run(e *commandEnv) error {
	id, err := job.ParseID(c.ID)
	if err != nil {
		return err
	}
	body, err := c.queryOwner("/jobs/" + string(id))
	if err != nil {
		return errors.Wrapf(err, "job %s", id)
	}
	return printResponse(e, body, c.JSON, printExplanation)
}

// formatTimeLeft returns a text such as ", 812 ms left", or ", 90 ms late" for a negative ms. It returns ""
// for 0, which is the value of a step without a time objective.
func formatTimeLeft(ms int64) string {
	switch {
	case ms > 0:
		return fmt.Sprintf(", %d ms left", ms)
	case ms < 0:
		return fmt.Sprintf(", %d ms late", -ms)
	}
	return ""
}

func printExplanation(out io.Writer, x dispatch.Explanation) {
	fmt.Fprintf(out, "job %s in queue %s: %s\n", x.Job, x.Queue, x.State)
	if x.Customer != "" {
		fmt.Fprintf(out, "of customer %s\n", x.Customer)
	}
	if x.Blocked != "" {
		fmt.Fprintf(out, "held back: %s\n", x.Blocked)
	}
	if x.FinishedTimes > 0 {
		fmt.Fprintf(out, "%d times done\n", x.FinishedTimes)
	}
	for _, s := range x.Steps {
		fmt.Fprintf(out, "\nstep %s: %d of %d done, %d failures%s\n", s.Step, s.Done, s.Count, s.Failures, formatTimeLeft(s.LeftMs))
		if s.WaitReason != "" {
			fmt.Fprintf(out, "    waits for %s\n", s.WaitReason)
		}
		for _, r := range s.Runs {
			fmt.Fprintf(out, "    task %d run %d on %s: %s, %d%%\n", r.Task, r.Run, r.Worker, r.State, r.Percent)
		}
	}
}
