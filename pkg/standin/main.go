package standin

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/program"
	"github.com/alecthomas/kong"
)

const adminHeaderTimeout = 5 * time.Second

const programName = "foldarch-standin"

type commandLine struct {
	Store        netip.AddrPort `default:"127.0.0.1:7000" help:"Where the platform store listens."`
	Admin        netip.AddrPort `default:"127.0.0.1:7001" help:"Where faults are switched and the ledger is read."`
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
			"Example: foldarch-standin --halls seoul-1,seoul-2 --workers 4"))
	if err != nil {
		return program.Complain(errOut, programName, err, program.ExitFault)
	}
	if _, err := parser.Parse(args); err != nil {
		return program.Complain(errOut, programName, err, program.ExitUsage)
	}
	if err := c.run(out); err != nil {
		return program.Complain(errOut, programName, err, program.ExitFault)
	}
	return program.ExitOK
}

func (c commandLine) run(out io.Writer) error {
	var halls []cell.Hall
	for _, h := range c.Halls {
		halls = append(halls, cell.Hall(h))
	}
	workers := Uniform(halls, c.Workers, cell.Resources{CPUMillis: c.CPUMillis, MemoryMB: c.MemoryMB, Accelerators: c.Accelerators})
	for i := range workers {
		workers[i].CheckEpochs = c.CheckEpochs
	}
	farm, err := StartFarm(FarmConfig{StoreAddress: c.Store, Workers: workers})
	if err != nil {
		return err
	}
	defer farm.Close()
	l, err := net.Listen("tcp", c.Admin.String())
	if err != nil {
		return err
	}
	admin := &http.Server{Handler: farm.AdminHandler(), ReadHeaderTimeout: adminHeaderTimeout}
	go func() { _ = admin.Serve(l) }()
	defer admin.Close()
	fmt.Fprintf(out, "store %s admin %s workers %d\n", farm.StoreAddress(), l.Addr(), len(workers))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
	return nil
}
