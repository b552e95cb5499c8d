package procconf

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
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

// Limits are the limits of one process on its load on the store, on request size and on memory.
type Limits struct {
	StoreReadsPerSecond  float64 `toml:"store_reads_per_s"`
	StoreWritesPerSecond float64 `toml:"store_writes_per_s"`
	// CellWritesPerSecond is the rate of store writes that all processes of the cell together may use for
	// batch requests.
	CellWritesPerSecond float64 `toml:"cell_writes_per_s"`
	MaxBodyKB           int64   `toml:"max_body_kb"`
	MemoryMB            int64   `toml:"memory_mb"`
}

// Times are lease durations, intervals and time limits.
type Times struct {
	TaskLease   tomlfile.Duration `toml:"task_lease"`
	ReportEvery tomlfile.Duration `toml:"report_every"`
	KeyWindow   tomlfile.Duration `toml:"key_window"`
	LeaveGrace  tomlfile.Duration `toml:"leave_grace"`
}

// DefaultEntry returns the default settings of an entry host. Settings without a default are zero.
func DefaultEntry() Entry {
	return Entry{
		LogLevel: "info",
		Limits: Limits{
			StoreReadsPerSecond: 25, StoreWritesPerSecond: 8, CellWritesPerSecond: 50,
			MaxBodyKB: 1024, MemoryMB: 24,
		},
		Times: Times{
			TaskLease: tomlfile.Duration(12 * time.Second), ReportEvery: tomlfile.Duration(3 * time.Second),
			KeyWindow: tomlfile.Duration(2 * time.Minute), LeaveGrace: tomlfile.Duration(time.Second),
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
	{"routes", func(c Entry) bool { return len(c.RouteTable()) == len(c.Routes) }, `each side must be an address, such as "10.0.0.7:8081"`},
	{"times.task_lease", func(c Entry) bool { return c.Times.TaskLease >= 3*c.Times.ReportEvery }, "must be three times report_every or more"},
}
