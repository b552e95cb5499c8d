package cli

import (
	"net/netip"
)

// JobCommand lists the subcommands for jobs on the platform.
type JobCommand struct {
	Show      JobShowCommand      `cmd:"" default:"withargs" help:"Show the state of a job at the owner of the pool, and what it waits for."`
	Submit    JobSubmitCommand    `cmd:"" help:"Submit a job of steps."`
	State     JobStateCommand     `cmd:"" help:"Show how far a job is, also one that has ended."`
	Cancel    JobCancelCommand    `cmd:"" help:"End a job."`
	Customers JobCustomersCommand `cmd:"" help:"List the customers with what they have running and waiting."`
	Queue     JobQueueCommand     `cmd:"" help:"Count the jobs of a queue that have not begun."`
}

// hostFlag is the flag --host, the operators' address of an entry host on the platform.
type hostFlag struct {
	Host netip.AddrPort `required:"" env:"FOLDARCH_HOST" help:"Operators' address of any entry host, such as 10.1.0.13:9100." placeholder:"ADDRESS"`
}

// jobArgument is the job id as a positional argument.
type jobArgument struct {
	ID string `arg:"" help:"The job's id, 16 hexadecimal digits."`
}
