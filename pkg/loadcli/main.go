package loadcli

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"foldarch.dev/foldarch/pkg/load"
	"foldarch.dev/foldarch/pkg/program"
	"github.com/alecthomas/kong"
)

const programName = "foldarch-load"

// commandLine lists the subcommands.
type commandLine struct {
	Run     runCommand     `cmd:"" help:"Run an experiment and write its result."`
	Compare compareCommand `cmd:"" help:"Compare two results."`
}

type runCommand struct {
	Experiment string `arg:"" help:"Experiment, in TOML."`
	Result     string `help:"File for the result, in JSON." placeholder:"FILE"`
	Plot       string `help:"File for a plot, .png or .svg." placeholder:"FILE"`
}

type compareCommand struct {
	A string `arg:"" help:"A result."`
	B string `arg:"" help:"Another result."`
}

// Main runs the program foldarch-load and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	var c commandLine
	parser, err := kong.New(&c, kong.Name(programName), kong.Writers(out, errOut), kong.Exit(func(int) {}),
		kong.Description("Drives a running cell, open-loop, and measures what callers see.\n\n"+
			"Example: foldarch-load run --result before.json --plot before.png examples/load.toml"))
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
	ctx.BindTo(out, (*io.Writer)(nil))
	if err := ctx.Run(); err != nil {
		return program.ReportError(errOut, programName, err, program.ExitFailure)
	}
	return program.ExitOK
}

// Run runs the experiment and prints its result. An interrupt (SIGINT or SIGTERM) ends the run early; what
// was measured until then is printed and saved.
func (c runCommand) Run(out io.Writer) error {
	e, err := load.ReadExperiment(c.Experiment)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	r := load.Run(ctx, load.Target{Entries: e.Entries}, e.Events(), load.Options{Speed: 1, KeepRecordedWork: true, BatchGrace: time.Duration(e.BatchGrace)})
	r.Print(out)
	if c.Result != "" {
		if err := r.Save(c.Result); err != nil {
			return err
		}
	}
	if c.Plot != "" {
		return Plot(r, c.Plot)
	}
	return nil
}

// Run prints the comparison of the two results.
func (c compareCommand) Run(out io.Writer) error {
	a, err := load.ReadResult(c.A)
	if err != nil {
		return err
	}
	b, err := load.ReadResult(c.B)
	if err != nil {
		return err
	}
	load.Compare(out, a, b)
	return nil
}
