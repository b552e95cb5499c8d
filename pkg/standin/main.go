package standin

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/program"
	"github.com/alecthomas/kong"
)

const programName = "foldarch-standin"

// commandLine lists the commands of the program.
type commandLine struct {
	Cell     cellCommand     `cmd:"" default:"withargs" help:"Stand-ins for a cell: store, workers and endpoints."`
	Platform platformCommand `cmd:"" help:"An emulated platform: store, workers and settings of entry hosts."`
}

// cellCommand runs the stand-ins of a cell: store, workers and endpoints.
type cellCommand struct {
	Store        netip.AddrPort `default:"127.0.0.1:7000" help:"Where the platform store listens."`
	Admin        netip.AddrPort `default:"127.0.0.1:7001" help:"Where the admin API listens: it sets faults and returns the run log."`
	Halls        []string       `default:"seoul-1,seoul-2,seoul-3" help:"Halls."`
	Workers      int            `default:"4" help:"Workers in each hall."`
	CPUMillis    int64          `default:"16000" help:"Processors of a worker, in thousandths."`
	MemoryMB     int64          `default:"65536" help:"Memory of a worker."`
	Accelerators int64          `default:"0" help:"Accelerators of a worker."`
	CheckEpochs  bool           `default:"true" negatable:"" help:"Endpoints refuse a lower epoch than they have seen."`
}

// Main runs the program foldarch-standin and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	var c commandLine
	parser, err := kong.New(&c, kong.Name(programName), kong.Writers(out, errOut),
		kong.Description("Runs stand-ins for the platform store, workers and endpoints. For tests and try-outs only.\n\n"+
			"Example: foldarch-standin --halls seoul-1,seoul-2 --workers 4\n"+
			"Example: foldarch-standin platform --hosts 3 --dir /tmp/try"))
	if err != nil {
		return program.ReportError(errOut, programName, err, program.ExitFailure)
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		return program.ReportError(errOut, programName, err, program.ExitUsage)
	}
	if err := ctx.Run(streams{out}); err != nil {
		return program.ReportError(errOut, programName, err, program.ExitFailure)
	}
	return program.ExitOK
}

// streams are the outputs of a command.
type streams struct {
	out io.Writer
}

// Run starts the stand-ins and the admin API, prints their addresses, and runs until SIGINT or SIGTERM.
func (c cellCommand) Run(s streams) error {
	var halls []cell.Hall
	for _, h := range c.Halls {
		halls = append(halls, cell.Hall(h))
	}
	workers := UniformWorkers(halls, c.Workers, cell.Resources{CPUMillis: c.CPUMillis, MemoryMB: c.MemoryMB, Accelerators: c.Accelerators})
	for i := range workers {
		workers[i].CheckEpochs = c.CheckEpochs
	}
	environment, err := StartEnvironment(EnvironmentConfig{StoreAddress: c.Store, Workers: workers})
	if err != nil {
		return err
	}
	defer environment.Close()
	l, err := net.Listen("tcp", c.Admin.String())
	if err != nil {
		return err
	}
	admin := newServer(environment.AdminHandler())
	go func() { _ = admin.Serve(l) }()
	defer admin.Close()
	fmt.Fprintf(s.out, "store %s admin %s workers %d\n", environment.StoreAddress(), l.Addr(), len(workers))
	waitForSignal()
	return nil
}

// waitForSignal returns on SIGINT or SIGTERM.
func waitForSignal() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
}
