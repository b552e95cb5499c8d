package entry

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"foldarch.dev/foldarch/pkg/clientlimit"
	"foldarch.dev/foldarch/pkg/jobhost"
	"foldarch.dev/foldarch/pkg/logring"
	"foldarch.dev/foldarch/pkg/procconf"
	"foldarch.dev/foldarch/pkg/program"
	"foldarch.dev/foldarch/platform"
	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

const (
	programName = "foldarch-entry"
	// maxQueuedLogLines bounds the log lines that wait to be written. Further ones are dropped.
	maxQueuedLogLines = 4096
)

type commandLine struct {
	Serve    serveCommand    `cmd:"" default:"withargs" help:"Serve a cell of foldarch's own."`
	Platform platformCommand `cmd:"" help:"Serve the jobs of the users' platform."`
	Check    checkCommand    `cmd:"" help:"Check a settings file of the platform and stop."`
}

type serveCommand struct {
	Config string `arg:"" help:"Settings of this process, in TOML."`
	Check  bool   `help:"Check the settings and stop."`
}

type platformCommand struct {
	Metrics uint16              `help:"Port for counters and latencies, as text at /metrics; 0 for none." placeholder:"PORT"`
	Clients clientlimit.Options `embed:"" prefix:"client-"`
}

// Validate checks the limits for clients.
func (c platformCommand) Validate() error {
	return c.Clients.Validate()
}

type checkCommand struct {
	File string `arg:"" help:"A settings file of the platform."`
}

// usageError is an error in the command line or in the settings. It ends the program with
// program.ExitUsage.
type usageError struct {
	error
}

// Main runs the program foldarch-entry and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	var c commandLine
	parser, err := kong.New(&c, kong.Name(programName), kong.Writers(errOut, errOut),
		kong.Description("Serves callers on one entry host.\n\n"+
			"SIGTERM and SIGINT begin a planned stop: the shards are handed over and requests in flight are finished.\n\n"+
			"Examples:\n  foldarch-entry /etc/foldarch/entry.toml\n  foldarch-entry check node.toml\n"+
			"  "+platform.SettingsVariable+"=node.toml foldarch-entry platform"))
	if err != nil {
		return program.ReportError(errOut, programName, err, program.ExitFailure)
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		return program.ReportError(errOut, programName, err, program.ExitUsage)
	}
	ctx.Bind(streams{out, errOut})
	err = ctx.Run()
	if usage := (usageError{}); errors.As(err, &usage) {
		return program.ReportError(errOut, programName, err, program.ExitUsage)
	}
	if err != nil {
		return program.ReportError(errOut, programName, err, program.ExitFailure)
	}
	return program.ExitOK
}

// streams are the outputs of the program's commands.
type streams struct {
	out, errOut io.Writer
}

// Run serves a cell of services and batch workloads until SIGTERM or SIGINT arrives.
func (c serveCommand) Run(s streams) error {
	cfg, err := procconf.Load(c.Config)
	if err != nil {
		return usageError{err}
	}
	if c.Check {
		return nil
	}
	p, err := New(cfg, newLog(s.errOut, cfg.LogLevel))
	if err != nil {
		return err
	}
	ctx, stop := stopSignal()
	defer stop()
	return p.Run(ctx)
}

// Run serves the platform's jobs until SIGTERM or SIGINT arrives.
func (c platformCommand) Run(s streams) error {
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		return usageError{errors.Newf("the environment variable %s names no settings file", platform.SettingsVariable)}
	}
	cfg, err := platform.LoadSettings(path)
	if err != nil {
		return usageError{err}
	}
	signal.Ignore(syscall.SIGHUP) // it would end the process if it arrived before the settings are watched
	w := logring.New(s.out, maxQueuedLogLines)
	defer w.Close()
	ctx, stop := stopSignal()
	defer stop()
	return jobhost.New(cfg, c.Clients, newLog(w, logrus.InfoLevel.String())).Run(ctx, path, c.Metrics)
}

// Run checks a settings file and prints its warnings.
func (c checkCommand) Run(s streams) error {
	cfg, err := platform.LoadSettings(c.File)
	if err != nil {
		return usageError{err}
	}
	for _, warning := range cfg.Warnings {
		if _, err := fmt.Fprintf(s.out, "%s: warning: %s\n", c.File, warning); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(s.out, "%s: host %s in %s, no faults\n", c.File, cfg.Name, cfg.Zone)
	return err
}

// stopSignal returns a context that ends when SIGTERM or SIGINT arrives. It also ignores SIGPIPE,
// so that a closed standard output does not end the process.
func stopSignal() (context.Context, context.CancelFunc) {
	signal.Ignore(syscall.SIGPIPE)
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// newLog returns a log that writes one line of key=value pairs for each event.
func newLog(w io.Writer, level string) *logrus.Entry {
	l := logrus.New()
	l.SetOutput(w)
	l.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	if parsed, err := logrus.ParseLevel(level); err == nil {
		l.SetLevel(parsed)
	}
	return logrus.NewEntry(l)
}
