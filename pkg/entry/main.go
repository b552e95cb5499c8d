package entry

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"foldarch.dev/foldarch/pkg/procconf"
	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"
)

// Exit codes of the program.
const (
	exitOK    = 0
	exitFault = 1
	exitUsage = 2
)

type commandLine struct {
	Config string `arg:"" help:"Settings of this process, in TOML."`
	Check  bool   `help:"Check the settings and stop."`
}

// Main runs the program foldarch-entry and returns its exit code.
func Main(args []string, errOut io.Writer) int {
	var c commandLine
	parser, err := kong.New(&c, kong.Name("foldarch-entry"), kong.Writers(errOut, errOut),
		kong.Description("Serves callers on one entry host and owns shards of its hall.\n\n"+
			"SIGTERM and SIGINT stop it as planned: shards are handed over, no request is cut.\n\n"+
			"Example: foldarch-entry /etc/foldarch/entry.toml"))
	if err != nil {
		return complain(errOut, err, exitFault)
	}
	if _, err := parser.Parse(args); err != nil {
		return complain(errOut, err, exitUsage)
	}
	cfg, err := procconf.Load(c.Config)
	if err != nil {
		return complain(errOut, err, exitUsage)
	}
	if c.Check {
		return exitOK
	}
	p, err := New(cfg, newLog(errOut, cfg.LogLevel))
	if err != nil {
		return complain(errOut, err, exitFault)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := p.Run(ctx); err != nil {
		return complain(errOut, err, exitFault)
	}
	return exitOK
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

func complain(w io.Writer, err error, code int) int {
	fmt.Fprintf(w, "foldarch-entry: %v\n", err)
	return code
}
