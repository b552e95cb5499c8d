package local

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/dialer"
	"foldarch.dev/foldarch/pkg/entry"
	"foldarch.dev/foldarch/pkg/procconf"
	"foldarch.dev/foldarch/pkg/revision"
	"foldarch.dev/foldarch/pkg/settings"
	"foldarch.dev/foldarch/pkg/standin"
	"foldarch.dev/foldarch/pkg/store"
	"foldarch.dev/foldarch/pkg/tomlfile"
	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

const (
	entryHostsPerHall = 2
	workersPerHall    = 4
	readyTimeout      = 30 * time.Second
	readyPollInterval = 50 * time.Millisecond
	leaveGrace        = 50 * time.Millisecond
)

var (
	halls          = []cell.Hall{"seoul-1", "seoul-2", "derby-1"}
	workerCapacity = cell.Resources{CPUMillis: 16000, MemoryMB: 65536}
)

// localCell is a cell whose entry hosts and stand-ins all run in this process.
type localCell struct {
	out              io.Writer
	standIns         *standin.Environment
	processes        []*entry.Process
	configs          []procconf.Entry
	decisions        *decisionCounter
	cancel           context.CancelFunc
	runningProcesses sync.WaitGroup
}

// startCell starts the stand-ins and the entry hosts. The caller has to call close.
func startCell(out io.Writer) (*localCell, error) {
	environment, err := standin.StartEnvironment(standin.EnvironmentConfig{Workers: standin.UniformWorkers(halls, workersPerHall, workerCapacity)})
	if err != nil {
		return nil, err
	}
	c := &localCell{out: out, standIns: environment, decisions: &decisionCounter{}}
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	if err := c.startEntries(ctx); err != nil {
		c.close()
		return nil, err
	}
	fmt.Fprintf(out, "a cell of %d entry hosts and %d workers in %d halls, on the loopback interface\n",
		len(c.processes), len(environment.Workers), len(halls))
	return c, nil
}

// startEntries starts entryHostsPerHall entry hosts in each hall.
func (c *localCell) startEntries(ctx context.Context) error {
	addresses, err := findFreeAddresses(2 * entryHostsPerHall * len(halls))
	if err != nil {
		return err
	}
	var peers []netip.AddrPort
	for i := 1; i < len(addresses); i += 2 {
		peers = append(peers, addresses[i])
	}
	for i, hall := range halls {
		for n := range entryHostsPerHall {
			cfg := procconf.DefaultEntry()
			at := 2 * (i*entryHostsPerHall + n)
			cfg.ID, cfg.Hall = fmt.Sprintf("%s-%c", hall, 'a'+n), hall
			cfg.CallersAddress, cfg.PeerAddress = addresses[at], addresses[at+1]
			cfg.Store, cfg.Peers = []netip.AddrPort{c.standIns.StoreAddress()}, peers
			cfg.Times.LeaveGrace = tomlfile.Duration(leaveGrace)
			cfg.Limits.MemoryMB = 1024 // all entry hosts share this process
			if err := c.startEntry(ctx, cfg); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *localCell) startEntry(ctx context.Context, cfg procconf.Entry) error {
	p, err := entry.New(cfg, c.decisions.newLogger())
	if err != nil {
		return err
	}
	c.processes = append(c.processes, p)
	c.configs = append(c.configs, cfg)
	c.runningProcesses.Go(func() {
		if err := p.Run(ctx); err != nil {
			fmt.Fprintf(c.out, "entry host %s: %v\n", cfg.ID, err)
		}
	})
	return nil
}

// The ports of the entry hosts are below the range from which the kernel takes local ports of outgoing
// connections, so that no such connection takes a port between findFreeAddresses and the start of the entry
// host.
const (
	firstPort = 30000
	lastPort  = 32000
)

// findFreeAddresses returns n loopback addresses with ports that nothing listens on.
func findFreeAddresses(n int) ([]netip.AddrPort, error) {
	var addresses []netip.AddrPort
	for port := firstPort; port < lastPort && len(addresses) < n; port++ {
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port))
		if l, err := net.Listen("tcp", address.String()); err == nil {
			_ = l.Close()
			addresses = append(addresses, address)
		}
	}
	if len(addresses) < n {
		return nil, errors.Newf("no %d free ports from %d to %d", n, firstPort, lastPort)
	}
	return addresses, nil
}

// close stops the entry hosts, waits for them to end, and stops the stand-ins.
func (c *localCell) close() {
	c.cancel()
	c.runningProcesses.Wait()
	c.standIns.Close()
}

func (c *localCell) callersAddresses() []netip.AddrPort {
	var list []netip.AddrPort
	for _, cfg := range c.configs {
		list = append(list, cfg.CallersAddress)
	}
	return list
}

// applyDeclarations puts the embedded declarations in force.
func (c *localCell) applyDeclarations() error {
	docs, err := bundledDocuments()
	if err != nil {
		return err
	}
	clk := clock.System()
	s, err := store.New(store.Config{
		Addresses: []netip.AddrPort{c.standIns.StoreAddress()}, CallTimeout: time.Second,
		ReadsPerSecond: 100, WritesPerSecond: 100,
	}, dialer.New(nil, time.Second, metrics.NewCounter()), clk, metrics.NewRegistry())
	if err != nil {
		return err
	}
	_, err = revision.New(s, clk).Apply(context.Background(), revision.Head{}, docs, revision.Change{Author: "local", Note: "the bundled declarations"})
	return err
}

// waitUntilReady waits until all instances of all services run, at most readyTimeout.
func (c *localCell) waitUntilReady() error {
	docs, err := bundledDocuments()
	if err != nil {
		return err
	}
	tree, faults := settings.Parse(docs)
	if len(faults) > 0 {
		return errors.Newf("bundled declarations: %s", faults[0])
	}
	wanted := 0
	for _, w := range tree.Workloads {
		wanted += w.Instances
	}
	for begin := time.Now(); time.Since(begin) < readyTimeout; time.Sleep(readyPollInterval) {
		if c.countEndpoints() == wanted {
			fmt.Fprintf(c.out, "%d instances of services are placed and accept requests after %.1f s\n", wanted, time.Since(begin).Seconds())
			return nil
		}
	}
	return errors.Newf("%d of %d instances run after %s", c.countEndpoints(), wanted, readyTimeout)
}

// countEndpoints returns the number of endpoints that the entry hosts route to.
func (c *localCell) countEndpoints() int {
	n := 0
	for _, p := range c.processes {
		for _, s := range p.ShardStatuses() {
			n += s.Endpoints
		}
	}
	return n
}

// decisionCounter is a logrus hook that counts the log events of placement and routing decisions.
type decisionCounter struct {
	mu         sync.Mutex
	placements int
	routes     int
}

// newLogger returns a logger that prints nothing and whose events are counted.
func (d *decisionCounter) newLogger() *logrus.Entry {
	l := logrus.New()
	l.SetOutput(io.Discard)
	l.AddHook(d)
	return logrus.NewEntry(l)
}

// Levels implements logrus.Hook.
func (d *decisionCounter) Levels() []logrus.Level {
	return []logrus.Level{logrus.InfoLevel}
}

// Fire implements logrus.Hook.
func (d *decisionCounter) Fire(e *logrus.Entry) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch e.Message {
	case "placement":
		d.placements++
	case "route":
		d.routes++
	}
	return nil
}

func (d *decisionCounter) counts() (placements, routes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.placements, d.routes
}
