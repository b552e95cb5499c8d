package procconf

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const validConfig = `id = "a"
hall = "h"
callers_address = "127.0.0.1:1"
peer_address = "127.0.0.1:2"
store = ["127.0.0.1:3"]
`

func TestParse(t *testing.T) {
	g := NewWithT(t)
	cfg, err := Parse("e.toml", validConfig+"[times]\nkey_window = \"3m\"\n[routes]\n\"10.0.0.1:5\" = \"10.0.0.2:6\"\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(time.Duration(cfg.Times.KeyWindow)).To(Equal(3 * time.Minute))
	g.Expect(cfg.Times.TaskLease).To(Equal(DefaultEntry().Times.TaskLease))
	g.Expect(cfg.RouteTable()).To(Equal(map[netip.AddrPort]netip.AddrPort{
		netip.MustParseAddrPort("10.0.0.1:5"): netip.MustParseAddrPort("10.0.0.2:6"),
	}))
}

func TestParseErrorsNameFileLineAndKey(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"unknown key":    {validConfig + "calers_address = 3\n", `e.toml:6: calers_address: unknown key, did you mean "callers_address"?`},
		"unknown table":  {validConfig + "[limit]\n", `e.toml:6: limit: unknown key, did you mean "limits"?`},
		"missing":        {"hall = \"h\"\n", `e.toml:1: id: is required`},
		"wrong address":  {"id = \"a\"\ncallers_address = \"here\"\n", `e.toml:2: callers_address`},
		"wrong unit":     {validConfig + "[times]\ntask_lease = \"12\"\n", `e.toml:7: times.task_lease: "12" is not a duration`},
		"lease short":    {validConfig + "[times]\ntask_lease = \"3s\"\n", `e.toml:7: times.task_lease: must be three times report_every or more`},
		"one port":       {"id = \"a\"\nhall = \"h\"\ncallers_address = \"127.0.0.1:1\"\npeer_address = \"127.0.0.1:1\"\nstore = [\"127.0.0.1:3\"]\n", `e.toml:4: peer_address: must differ`},
		"no descriptors": {validConfig + "[limits]\nmax_descriptors = 100\n", `e.toml:7: limits.max_descriptors: must be 256 or more`},
		"few clients":    {validConfig + "[limits]\nclient_connections = 3\n", `e.toml:7: limits.client_connections: must be 0, which derives it, or 16 or more`},
		"small heads":    {validConfig + "[limits]\nclient_head_kb = 1\n", `e.toml:7: limits.client_head_kb: must be 4 or more`},
		"short body":     {validConfig + "[times]\nclient_body = \"1s\"\n", `e.toml:7: times.client_body: must be 2s or more`},
		"short idle":     {validConfig + "[times]\nclient_idle = \"1s\"\n", `e.toml:7: times.client_idle: must be 30s or more`},
		"wrong route":    {validConfig + "[routes]\nhere = \"10.0.0.2:6\"\n", `e.toml:6: routes: each side must be an address`},
		"not UTF-8":      {validConfig + "# \xff\n", `e.toml:6: : the text is not UTF-8`},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("e.toml", c.text)
			NewWithT(t).Expect(err).To(MatchError(ContainSubstring(c.want)))
		})
	}
}
