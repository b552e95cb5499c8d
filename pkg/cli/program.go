package cli

import (
	"io"
	"net/netip"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/dialer"
	"foldarch.dev/foldarch/pkg/program"
	"foldarch.dev/foldarch/pkg/revision"
	"foldarch.dev/foldarch/pkg/store"
	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
)

const programName = "foldarch"

const (
	storeTimeout        = 2 * time.Second
	storeCallsPerSecond = 50
	commandTimeout      = 30 * time.Second
)

// Program lists the subcommands.
type Program struct {
	Validate ValidateCommand `cmd:"" help:"Check a directory of declarations and name every fault."`
	Plan     PlanCommand     `cmd:"" help:"Show what apply would change, and which workloads it reaches."`
	Apply    ApplyCommand    `cmd:"" help:"Put a directory of declarations in force."`
	History  HistoryCommand  `cmd:"" help:"List the revisions of the settings."`
	Rollback RollbackCommand `cmd:"" help:"Put an earlier revision in force again, as a new one."`
	Status   StatusCommand   `cmd:"" help:"Show halls, owners, epochs, workers, queues and the revision in force."`
	Explain  ExplainCommand  `cmd:"" help:"Show the rules of a workload, where each came from, and what was decided."`
	Drain    DrainCommand    `cmd:"" help:"Make a worker or an entry host leave without cutting a request."`
	Release  ReleaseCommand  `cmd:"" help:"Free a shard whose owner and successor are known to have ended."`
	Replay   ReplayCommand   `cmd:"" help:"Run a recorded trace through the decisions and print them."`
	Job      JobCommand      `cmd:"" help:"Submit, show, cancel and count jobs on the platform."`
	Local    LocalCommand    `cmd:"" help:"Run a small cell in this process with recorded traffic."`
}

// commandEnv is passed to the method Run of every subcommand.
type commandEnv struct {
	out io.Writer
	clk clock.Clock
}

// storeFlags are the flags of the subcommands that use the platform store directly.
type storeFlags struct {
	Store []netip.AddrPort `required:"" env:"FOLDARCH_STORE" help:"Addresses of the platform store, such as 10.0.0.1:7000." placeholder:"ADDRESS"`
}

// entryFlags are the flags of the subcommands that call an entry host.
type entryFlags struct {
	Entry netip.AddrPort `required:"" env:"FOLDARCH_ENTRY" help:"Callers' address of an entry host, such as 10.0.0.7:8080." placeholder:"ADDRESS"`
	JSON  bool           `help:"Print JSON."`
}

// Main runs the program foldarch and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	var p Program
	parser, err := kong.New(&p, kong.Name(programName),
		kong.Description("Declares what a foldarch cell runs, and inspects it.\n\n"+
			"Example: foldarch apply --store 127.0.0.1:7000 --author kim --note \"more scoring\" declarations"),
		kong.Writers(out, errOut), kong.UsageOnError(), kong.Exit(func(int) {}))
	if err != nil {
		return program.ReportError(errOut, programName, err, program.ExitFailure)
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		return program.ReportError(errOut, programName, err, program.ExitUsage)
	}
	if ctx.Command() == "" {
		return program.ExitOK // --help was printed
	}
	if err := ctx.Run(&commandEnv{out: out, clk: clock.System()}); err != nil {
		return program.ReportError(errOut, programName, err, program.ExitFailure)
	}
	return program.ExitOK
}

// openStore returns a client of the platform store.
func (f storeFlags) openStore(clk clock.Clock) (*store.Store, error) {
	s, err := store.New(store.Config{
		Addresses: f.Store, CallTimeout: storeTimeout, ReadsPerSecond: storeCallsPerSecond, WritesPerSecond: storeCallsPerSecond,
	}, dialer.New(nil, storeTimeout, metrics.NewCounter()), clk, metrics.NewRegistry())
	return s, errors.Wrap(err, "platform store")
}

// openRepository returns the repository of the settings' revisions in the platform store.
func (f storeFlags) openRepository(clk clock.Clock) (*revision.Repository, error) {
	s, err := f.openStore(clk)
	if err != nil {
		return nil, err
	}
	return revision.New(s, clk), nil
}
