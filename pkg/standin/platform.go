package standin

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"foldarch.dev/foldarch/platform/emulator"
)

// platformCommand emulates the users' platform, and writes a settings file for each entry host. Each
// line that it prints tells of one host: its settings, and where operators reach it.
//
//	host host-1 settings /tmp/try/host-1.toml operators 127.40.0.1:9100
type platformCommand struct {
	Hosts   int `default:"3" help:"Entry hosts."`
	Workers int `default:"6" help:"Workers, of 8 processors and 32 GB each."`
	// Customers has the configuration name two: north, with the key "north-key" and a quota of four processors, and south, with
	// "south-key" and without a quota.
	Customers bool   `help:"Name two customers, whose keys calls need: north-key (quota of 4 processors) and south-key."`
	Dir       string `required:"" type:"existingdir" help:"Where the settings of the hosts are written."`
}

// northQuota is what customer north may have running, in thousandths of a processor.
const northQuota = 4000

// Run starts the emulated platform and waits for a signal. It is an error if a promise of the platform
// was broken meanwhile.
func (c platformCommand) Run(s streams) error {
	o := emulator.Options{Workers: c.Workers, OtherCallers: true}
	if c.Customers {
		o.Customers = []emulator.Customer{
			{Name: "north", Keys: []string{"north-key"}, Weight: 5, CPU: northQuota, MemoryMB: emulator.MemoryMB},
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
			return errors.Wrap(err, "settings of a host")
		}
		fmt.Fprintf(s.out, "host %s settings %s operators %s\n", h.Name, h.Settings, h.Figures)
	}
	awaitSignal()
	if faults := p.Ledger.Faults(); len(faults) > 0 {
		return errors.Newf("promises broken: %v", faults)
	}
	fmt.Fprintln(s.out, "no task ran twice")
	return nil
}
