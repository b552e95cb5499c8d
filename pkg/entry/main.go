package entry

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"foldarch.dev/foldarch/pkg/procconf"
	"foldarch.dev/foldarch/pkg/program"
	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"
)

const programName = "foldarch-entry"

type commandLine struct {
	Config string `arg:"" help:"Settings of this process, in TOML."`
	Check  bool   `help:"Check the settings and stop."`
}

// Main runs the program foldarch-entry and returns its exit code.
func Main(args []string, errOut io.Writer) int {
	var c commandLine
	parser, err := kong.New(&c, kong.Name(programName), kong.Writers(errOut, errOut),
		kong.Description("Serves callers on one entry host and owns shards of its hall.\n\n"+
			"SIGTERM and SIGINT stop it as planned: shards are handed over, no request is cut.\n\n"+
			"Example: foldarch-entry /etc/foldarch/entry.toml"))
	if err != nil {
		return program.Complain(errOut, programName, err, program.ExitFault)
	}
	if _, err := parser.Parse(args); err != nil {
		return program.Complain(errOut, programName, err, program.ExitUsage)
	}
	cfg, err := procconf.Load(c.Config)
	if err != nil {
		return program.Complain(errOut, programName, err, program.ExitUsage)
	}
	if c.Check {
		return program.ExitOK
	}
	p, err := New(cfg, newLog(errOut, cfg.LogLevel))
	if err != nil {
		return program.Complain(errOut, programName, err, program.ExitFault)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := p.Run(ctx); err != nil {
		return program.Complain(errOut, programName, err, program.ExitFault)
	}
	return program.ExitOK
}

// newLog returns a log of one key=value line an event.
func newLog(w io.Writer, level string) *logrus.Entry {
	l := logrus.New()
	l.SetOutput(w)
	l.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	if parsed, err := logrus.ParseLevel(level); err == nil {
		l.SetLevel(parsed)
	}
	return logrus.NewEntry(l)
}
