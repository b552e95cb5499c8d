package procconf

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clientlimit"
	"foldarch.dev/foldarch/pkg/tomlfile"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// Entry holds the settings of one entry host. docs/settings.md lists them.
type Entry struct {
	ID             string           `toml:"id"`
	Hall           cell.Hall        `toml:"hall"`
	CallersAddress netip.AddrPort   `toml:"callers_address"`
	PeerAddress    netip.AddrPort   `toml:"peer_address"`
	Store          []netip.AddrPort `toml:"store"`
	Peers          []netip.AddrPort `toml:"peers"`
	LogLevel       string           `toml:"log_level"`
	Limits         Limits           `toml:"limits"`
	Times          Times            `toml:"times"`
	// Routes maps addresses to the addresses to which connections are opened instead (package dialer). Its
	// keys are strings because the TOML library supports no other type of key.
	Routes map[string]netip.AddrPort `toml:"routes"`
}

// RouteTable returns the routes with parsed keys. It omits keys that are no address; Parse reports them as
// errors.
func (c Entry) RouteTable() map[netip.AddrPort]netip.AddrPort {
	table := make(map[netip.AddrPort]netip.AddrPort, len(c.Routes))
	for from, to := range c.Routes {
		if address, err := netip.ParseAddrPort(from); err == nil {
			table[address] = to
		}
	}
	return table
}

// Limits are the limits of one process on its load on the store, on request size, on its use of its machine and on
// clients.
type Limits struct {
	StoreReadsPerSecond  float64 `toml:"store_reads_per_s"`
	StoreWritesPerSecond float64 `toml:"store_writes_per_s"`
	// CellWritesPerSecond is the rate of store writes that all processes of the cell together may use for
	// batch requests.
	CellWritesPerSecond float64 `toml:"cell_writes_per_s"`
	MaxBodyKB           int64   `toml:"max_body_kb"`
	// MemoryMB is the memory that the process may use, and MaxDescriptors the number of descriptors, unless the
	// system allows it less. The limits for clients follow from them.
	MemoryMB       int64 `toml:"memory_mb"`
	MaxDescriptors int   `toml:"max_descriptors"`
	// ClientConnections is the largest number of callers' connections; 0 derives it.
	ClientConnections int `toml:"client_connections"`
	ClientHeadKB      int `toml:"client_head_kb"`
}

// Times are lease durations, intervals and time limits.
type Times struct {
	TaskLease   tomlfile.Duration `toml:"task_lease"`
	ReportEvery tomlfile.Duration `toml:"report_every"`
	KeyWindow   tomlfile.Duration `toml:"key_window"`
	LeaveGrace  tomlfile.Duration `toml:"leave_grace"`
	ClientBody  tomlfile.Duration `toml:"client_body"`
	ClientIdle  tomlfile.Duration `toml:"client_idle"`
}

// ClientOptions returns the limits for clients that are set.
func (c Entry) ClientOptions() clientlimit.Options {
	return clientlimit.Options{
		Connections: c.Limits.ClientConnections, HeadKB: c.Limits.ClientHeadKB,
		BodyTime: time.Duration(c.Times.ClientBody), IdleTime: time.Duration(c.Times.ClientIdle),
	}
}

// clientBodyTime is longer than on the users' platform, since bodies may be four times as large.
const clientBodyTime = 10 * time.Second

// DefaultEntry returns the default settings of an entry host. Settings without a default are zero.
func DefaultEntry() Entry {
	clients := clientlimit.DefaultOptions()
	return Entry{
		LogLevel: "info",
		Limits: Limits{
			StoreReadsPerSecond: 25, StoreWritesPerSecond: 8, CellWritesPerSecond: 50,
			MaxBodyKB: 1024, MemoryMB: 256, MaxDescriptors: 4096, ClientConnections: clients.Connections, ClientHeadKB: clients.HeadKB,
		},
		Times: Times{
			TaskLease: tomlfile.Duration(12 * time.Second), ReportEvery: tomlfile.Duration(3 * time.Second),
			KeyWindow: tomlfile.Duration(2 * time.Minute), LeaveGrace: tomlfile.Duration(time.Second),
			ClientBody: tomlfile.Duration(clientBodyTime), ClientIdle: tomlfile.Duration(clients.IdleTime),
		},
	}
}

// Load reads and validates the settings of an entry host. The error lists every invalid setting with file,
// line and key.
func Load(path string) (Entry, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Entry{}, errors.Wrap(err, "process settings")
	}
	return Parse(path, string(text))
}

// Parse is like Load for a text already read; path is used only in error messages.
func Parse(path, text string) (Entry, error) {
	cfg := DefaultEntry()
	var faults []string
	for _, p := range tomlfile.Decode(text, &cfg) {
		faults = append(faults, fmt.Sprintf("%s:%d: %s: %s", path, p.Line, p.Key, p.Text))
	}
	if len(faults) == 0 {
		for _, c := range checks {
			if !c.ok(cfg) {
				faults = append(faults, fmt.Sprintf("%s:%d: %s: %s", path, tomlfile.LineOf(text, c.key), c.key, c.text))
			}
		}
	}
	if len(faults) > 0 {
		return Entry{}, errors.New(strings.Join(faults, "\n"))
	}
	return cfg, nil
}

// minDescriptors leaves connections for callers and peers beside the files and the process's own calls.
const minDescriptors = 256

// checks are the conditions that the settings of an entry host must satisfy.
var checks = []struct {
	key  string
	ok   func(Entry) bool
	text string
}{
	{"id", func(c Entry) bool { return c.ID != "" }, "is required"},
	{"hall", func(c Entry) bool { return c.Hall != "" && !strings.Contains(string(c.Hall), "/") }, "is required, without a slash"},
	{"callers_address", func(c Entry) bool { return c.CallersAddress.IsValid() }, `is required, such as "10.0.0.7:8080"`},
	{"peer_address", func(c Entry) bool { return c.PeerAddress.IsValid() }, `is required, such as "10.0.0.7:8081"`},
	{"peer_address", func(c Entry) bool { return c.PeerAddress != c.CallersAddress }, "must differ from callers_address"},
	{"store", func(c Entry) bool { return len(c.Store) > 0 }, "needs at least one address"},
	{"log_level", func(c Entry) bool { _, err := logrus.ParseLevel(c.LogLevel); return err == nil }, `must be "debug", "info", "warning" or "error"`},
	{"limits.store_reads_per_s", func(c Entry) bool { return c.Limits.StoreReadsPerSecond >= 1 }, "must be 1 or more"},
	{"limits.store_writes_per_s", func(c Entry) bool { return c.Limits.StoreWritesPerSecond >= 1 }, "must be 1 or more"},
	{"limits.cell_writes_per_s", func(c Entry) bool { return c.Limits.CellWritesPerSecond >= 1 }, "must be 1 or more"},
	{"limits.max_body_kb", func(c Entry) bool { return c.Limits.MaxBodyKB > 0 }, "must be above zero"},
	{"limits.memory_mb", func(c Entry) bool { return c.Limits.MemoryMB >= 16 }, "must be 16 or more"},
	{"limits.max_descriptors", func(c Entry) bool { return c.Limits.MaxDescriptors >= minDescriptors }, fmt.Sprintf("must be %d or more", minDescriptors)},
	{"limits.client_connections", func(c Entry) bool {
		return c.Limits.ClientConnections == 0 || c.Limits.ClientConnections >= clientlimit.MinConnections
	}, fmt.Sprintf("must be 0, which derives it, or %d or more", clientlimit.MinConnections)},
	{"limits.client_head_kb", func(c Entry) bool { return c.Limits.ClientHeadKB >= clientlimit.MinHeadKB }, fmt.Sprintf("must be %d or more", clientlimit.MinHeadKB)},
	{"routes", func(c Entry) bool { return len(c.RouteTable()) == len(c.Routes) }, `each side must be an address, such as "10.0.0.7:8081"`},
	{"times.task_lease", func(c Entry) bool { return c.Times.TaskLease >= 3*c.Times.ReportEvery }, "must be three times report_every or more"},
	{"times.client_body", func(c Entry) bool { return time.Duration(c.Times.ClientBody) >= clientlimit.MinBodyTime }, fmt.Sprintf("must be %s or more", clientlimit.MinBodyTime)},
	{"times.client_idle", func(c Entry) bool { return time.Duration(c.Times.ClientIdle) >= clientlimit.MinIdleTime }, fmt.Sprintf("must be %s or more", clientlimit.MinIdleTime)},
}
