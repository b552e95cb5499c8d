package e2e

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/standin"
	. "github.com/onsi/gomega"
)

// figuresFileVariable names the environment variable with the path of the file that measured figures are
// appended to, one "name value unit" per line. The script bench/run sets it.
const figuresFileVariable = "FOLDARCH_FIGURES"

func recordFigure(b *testing.B, name string, value float64, unit string) {
	b.Helper()
	line := fmt.Sprintf("%s %.4g %s", name, value, unit)
	b.Log(line)
	path := os.Getenv(figuresFileVariable)
	if path == "" {
		return
	}
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	Expect(err).NotTo(HaveOccurred())
	defer f.Close()
	_, err = fmt.Fprintln(f, line)
	Expect(err).NotTo(HaveOccurred())
}

func median(values []float64) float64 {
	return quantile(values, 0.5)
}

// rssMB returns the resident memory of a process.
func (p *process) rssMB() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	Expect(err).NotTo(HaveOccurred())
	for _, line := range strings.Split(string(text), "\n") {
		var kb float64
		if _, err := fmt.Sscanf(line, "VmRSS: %f kB", &kb); err == nil {
			return kb / 1024
		}
	}
	return 0
}

// cpuTime returns the processor time that a process has used.
func (p *process) cpuTime() time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	Expect(err).NotTo(HaveOccurred())
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	var user, system int64
	_, err = fmt.Sscan(fields[11]+" "+fields[12], &user, &system)
	Expect(err).NotTo(HaveOccurred())
	const ticksPerSecond = 100
	return time.Duration(user+system) * time.Second / ticksPerSecond
}

// BenchmarkEntryOverhead compares calls through an entry host that owns the shard with the same calls made
// directly to an endpoint. The two kinds alternate.
func BenchmarkEntryOverhead(b *testing.B) {
	RegisterTestingT(b)
	c := newCell(b, []string{"north"}, 2, 1, "")
	c.apply()
	c.awaitEndpoints(4)
	e, err := standin.StartEndpoint(standin.EndpointConfig{ID: "direct", Slots: 100}, standin.NewRunLog())
	Expect(err).NotTo(HaveOccurred())
	defer e.Stop("killed")
	keepAliveClient := &http.Client{Timeout: time.Minute}
	timed := func(url string) float64 {
		req, err := http.NewRequest(http.MethodPost, url, strings.NewReader("ms=1 x"))
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Content-Type", "application/octet-stream")
		req.Header.Set("Foldarch-Caller", "bench")
		begin := time.Now()
		resp, err := keepAliveClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		_ = resp.Body.Close()
		return float64(time.Since(begin).Microseconds())
	}
	through := fmt.Sprintf("http://%s/v1/services/scoring/calls", c.entries["north-a"].callersAddress)
	for b.Loop() {
		var direct, entry []float64
		for range 2000 {
			direct = append(direct, timed(fmt.Sprintf("http://%s/", e.Address())))
			entry = append(entry, timed(through))
		}
		recordFigure(b, "entry_overhead_ratio", median(entry)/median(direct), "x_direct")
		recordFigure(b, "entry_overhead_us", median(entry)-median(direct), "us")
		recordFigure(b, "entry_rss_mb", c.entries["north-a"].rssMB(), "MB")
	}
}

// BenchmarkAtRest measures the load of the store and the hosts by an idle cell.
func BenchmarkAtRest(b *testing.B) {
	RegisterTestingT(b)
	c := newCell(b, halls, 4, 2, "")
	c.apply()
	c.awaitEndpoints(4)
	for b.Loop() {
		time.Sleep(3 * time.Second) // until the start is complete
		const window = 10 * time.Second
		var before, after standin.StoreCounts
		c.readRunLog("counts", &before)
		cpu := c.entries["north-a"].cpuTime()
		time.Sleep(window)
		c.readRunLog("counts", &after)
		recordFigure(b, "store_writes_per_s_at_rest", float64(after.Writes-before.Writes)/window.Seconds(), "1/s")
		recordFigure(b, "store_reads_per_s_at_rest", float64(after.Reads-before.Reads)/window.Seconds(), "1/s")
		recordFigure(b, "control_cpu_pct_at_rest", 100*float64(c.entries["north-a"].cpuTime()-cpu)/float64(window), "pct_of_core")
		recordFigure(b, "node_control_rss_mb", c.entries["north-a"].rssMB(), "MB")
	}
}

// BenchmarkFailover kills and pauses owners and measures how long it takes until their shard places tasks
// again: until a batch request that is submitted at once has run.
func BenchmarkFailover(b *testing.B) {
	RegisterTestingT(b)
	c := newCell(b, halls, 4, 2, "")
	c.apply()
	c.awaitEndpoints(4)
	for b.Loop() {
		var killed []float64
		for i := range 6 {
			owner := c.stableOwner("north-a")
			other := "north-a"
			if owner == other {
				other = "north-b"
			}
			begin := time.Now()
			c.entries[owner].kill()
			c.runBatch(other, fmt.Sprintf("north/%d", i))
			killed = append(killed, float64(time.Since(begin).Milliseconds()))
			c.start(owner)
		}
		recordFigure(b, "failover_ms", median(killed), "ms")
		recordFigure(b, "failover_ms_worst", quantile(killed, 1), "ms")
		var paused []float64
		for i := range 4 {
			owner := c.stableOwner("north-a")
			other := "north-a"
			if owner == other {
				other = "north-b"
			}
			begin := time.Now()
			c.entries[owner].signal(syscall.SIGSTOP)
			c.runBatch(other, fmt.Sprintf("north/p%d", i))
			paused = append(paused, float64(time.Since(begin).Milliseconds()))
			c.entries[owner].signal(syscall.SIGCONT)
		}
		recordFigure(b, "failover_paused_ms", median(paused), "ms")
	}
}

// stableOwner waits until the owner of a hall has a successor and returns the owner.
func (c *cell) stableOwner(seenBy string) string {
	var owner string
	Eventually(func() string {
		s, err := c.readStatus(seenBy)
		if err != nil || len(s.Shards) == 0 || len(s.Peers) == 0 {
			return ""
		}
		owner = s.Shards[0].Owner
		o, err := c.readStatus(owner)
		if err != nil || len(o.Shards) == 0 || !o.Shards[0].Authority {
			return ""
		}
		return o.Shards[0].Successor
	}, maxWait).ShouldNot(BeEmpty())
	time.Sleep(1500 * time.Millisecond) // so that several grants follow, as in a steady state
	return owner
}

// runBatch submits a batch request until it is accepted and waits until it has run.
func (c *cell) runBatch(via, key string) {
	var id string
	Eventually(func() int {
		s, r := c.submitBatch(via, "fit", key, "ms=1 x")
		id = s.ID
		return r.status
	}, maxWait, "5ms").Should(Equal(http.StatusAccepted))
	Eventually(c.batchState(via, id), maxWait, "5ms").Should(Equal("done"))
}

// BenchmarkConfigInForce measures the time from the acceptance of a settings change until all processes use
// it, with slow connections of one hall.
func BenchmarkConfigInForce(b *testing.B) {
	RegisterTestingT(b)
	c := newCell(b, halls, 2, 2, "")
	c.apply()
	c.awaitEndpoints(4)
	for ends, r := range c.relays {
		if hallOf(ends[0]) == "south" {
			r.setDelay(300 * time.Millisecond) // in each direction, to the store and the other halls
		}
	}
	for b.Loop() {
		var took []float64
		for i := range 40 {
			c.writeDeclaration("scoring.toml", fmt.Sprintf("kind = \"service\"\nteam = \"t\"\ninstances = 6\n[rules]\nqueue = %d\n", 100+i))
			out, err := c.foldarch("apply", "--store", c.store.String(), c.declDir)
			Expect(err).NotTo(HaveOccurred(), out)
			begin := time.Now()
			for _, id := range c.entryIDs {
				Eventually(func() int64 {
					s, err := c.readStatus(id)
					if err != nil {
						return 0
					}
					return s.Revision
				}, maxWait, "1ms").Should(Equal(int64(i + 2)))
			}
			took = append(took, float64(time.Since(begin).Microseconds())/1000)
		}
		recordFigure(b, "config_in_force_ms", quantile(took, 0.99), "ms_p99")
	}
}

// BenchmarkOutage compares the throughput of a cell during a store outage with that before it, under the same
// load.
func BenchmarkOutage(b *testing.B) {
	RegisterTestingT(b)
	c := newCell(b, halls, 4, 2, "")
	c.apply()
	c.awaitEndpoints(4)
	for b.Loop() {
		t := c.startTraffic(12, 1)
		rate := func() float64 {
			const window = 8 * time.Second
			begin := t.answeredCalls()
			time.Sleep(window)
			return float64(t.answeredCalls()-begin) / window.Seconds()
		}
		time.Sleep(2 * time.Second)
		var before, after standin.StoreCounts
		c.readRunLog("counts", &before)
		up := rate()
		c.readRunLog("counts", &after)
		recordFigure(b, "store_writes_per_s", float64(after.Writes-before.Writes)/8, "1/s")
		recordFigure(b, "store_reads_per_s", float64(after.Reads-before.Reads)/8, "1/s")
		c.injectFault("store", standin.StoreFaults{Down: true})
		down := rate()
		recordFigure(b, "outage_goodput_ratio", down/up, "x_before")
		c.injectFault("store", standin.StoreFaults{})
		t.expectNoViolations()
		b.Log(t.summary())
	}
}

// BenchmarkCutHall compares the throughput of a hall that is cut off from the store and the other halls with
// that before, for two kinds of requests: ticks with keys of the hall, and repeatable requests without a key.
func BenchmarkCutHall(b *testing.B) {
	RegisterTestingT(b)
	c := newCell(b, halls, 4, 2, "")
	c.apply()
	c.awaitEndpoints(4)
	for b.Loop() {
		const window = 8 * time.Second
		n := 0
		round := func() (ticks, repeatable float64) {
			for end := time.Now().Add(window); time.Now().Before(end); n++ {
				via := []string{"north-a", "north-b"}[n%2]
				issued := fmt.Sprint(time.Now().UnixMilli())
				if c.call(via, "ticks", fmt.Sprintf("north/%d", n), "ms=5 x", "Foldarch-Issued-At", issued).ok() {
					ticks++
				}
				if c.call(via, "scoring", "", "ms=5 x").ok() {
					repeatable++
				}
			}
			return ticks, repeatable
		}
		time.Sleep(2 * time.Second)
		ticksBefore, repeatableBefore := round()
		c.cutHall("north", true, true, false, true)
		ticksCut, repeatableCut := round()
		c.cutHall("north", true, true, false, false)
		recordFigure(b, "cut_hall_goodput_ratio_ticks", ticksCut/ticksBefore, "x_before")
		recordFigure(b, "cut_hall_goodput_ratio_repeatable", repeatableCut/repeatableBefore, "x_before")
		c.expectNoViolations()
	}
}

// answeredCalls returns the number of calls that succeeded.
func (t *traffic) answeredCalls() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, s := range t.sent {
		if s.batch == "" && s.reply.ok() {
			n++
		}
	}
	return n
}

func quantile(values []float64, q float64) float64 {
	sorted := append([]float64(nil), values...)
	slices.Sort(sorted)
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// BenchmarkProgramSize measures the size of the executable foldarch-entry, for docs/design/one-program.md.
func BenchmarkProgramSize(b *testing.B) {
	RegisterTestingT(b)
	dir, err := programs()
	Expect(err).NotTo(HaveOccurred())
	for b.Loop() {
		info, err := os.Stat(filepath.Join(dir, "foldarch-entry"))
		Expect(err).NotTo(HaveOccurred())
		recordFigure(b, "entry_program_mb", float64(info.Size())/(1<<20), "MB")
	}
}
