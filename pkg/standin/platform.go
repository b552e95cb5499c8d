package standin

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"foldarch.dev/foldarch/platform/emulator"
)

// platformCommand emulates the platform of an installation and writes a settings file for each entry host.
// For each host it prints a line with the settings file and the operators' address:
//
//	host host-1 settings /tmp/try/host-1.toml operators 127.40.0.1:9100
type platformCommand struct {
	Hosts   int `default:"3" help:"Entry hosts."`
	Workers int `default:"6" help:"Workers, of 8 processors and 32 GB each."`
	// Customers adds two customers to the configuration: north, with the key "north-key" and a quota of four
	// processors, and south, with the key "south-key" and without a quota.
	Customers bool   `help:"Name two customers, whose keys calls need: north-key (quota of 4 processors) and south-key."`
	Dir       string `required:"" type:"existingdir" help:"Where the settings of the hosts are written."`
}

// northQuotaMillis is the CPU quota of customer north, in thousandths of a processor.
const northQuotaMillis = 4000

// Run starts the emulated platform and runs until SIGINT or SIGTERM. It returns an error if the emulator's
// checker saw a violated invariant, such as a task that ran twice.
func (c platformCommand) Run(s streams) error {
	o := emulator.Options{Workers: c.Workers, UnknownClients: true}
	if c.Customers {
		o.Customers = []emulator.Customer{
			{Name: "north", Keys: []string{"north-key"}, Weight: 5, CPU: northQuotaMillis, MemoryMB: emulator.WorkerMemoryMB},
			{Name: "south", Keys: []string{"south-key"}, Weight: 5},
		}
	}
	p, err := emulator.Start(o)
	if err != nil {
		return errors.Wrap(err, "emulated platform")
	}
	defer p.Close()
	p.PutConfig(1)
	for n := range c.Hosts {
		h, err := p.WriteSettings(c.Dir, fmt.Sprintf("host-%d", n+1), p.StoreAddress())
		if err != nil {
			return errors.Wrap(err, "write settings of a host")
		}
		fmt.Fprintf(s.out, "host %s settings %s operators %s\n", h.Name, h.Settings, h.Operator)
	}
	waitForSignal()
	if violations := p.Checker.Violations(); len(violations) > 0 {
		return errors.Newf("invariants violated: %v", violations)
	}
	fmt.Fprintln(s.out, "no task ran twice")
	return nil
}
