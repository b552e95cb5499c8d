package e2e

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// controlBytes returns how many bytes of control traffic a process has exchanged.
func (c *cell) controlBytes(id string) float64 {
	resp, err := client.Get(fmt.Sprintf("http://%s/metrics", c.entries[id].callersAddress))
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var metrics map[string]struct{ Count float64 }
	Expect(json.NewDecoder(resp.Body).Decode(&metrics)).To(Succeed())
	return metrics["control.bytes"].Count
}

// cellSize is the size and load of a cell to measure.
type cellSize struct {
	workers, tasks, hosts int
	startsPerSecond       int
}

// ownerCost is what the owner of a hall uses for control.
type ownerCost struct {
	cpuPct, rssMB, bytesPerSecond float64
}

// measureOwner runs a cell of one hall and measures the cost of its owner. The interval of the workers'
// reports is the default, as in production.
func measureOwner(b *testing.B, s cellSize) ownerCost {
	c := newCell(b, []string{"north"}, s.workers, s.hosts, "")
	c.writeDeclaration("scoring.toml", fmt.Sprintf("kind = \"service\"\nteam = \"t\"\ninstances = %d\n[rules.resources]\ncpu_millis = 100\nmemory_mb = 100\n", s.tasks))
	c.writeDeclaration("ticks.toml", "kind = \"batch\"\nteam = \"t\"\n")
	c.apply()
	c.awaitEndpoints(s.tasks)
	owner, err := c.ownerOf("north-a")
	Expect(err).NotTo(HaveOccurred())
	time.Sleep(4 * time.Second)
	const window = 12 * time.Second
	cpu, bytes := c.entries[owner].cpuTime(), c.controlBytes(owner)
	c.submitAtRate(window, s.startsPerSecond, owner)
	return ownerCost{
		cpuPct:         100 * float64(c.entries[owner].cpuTime()-cpu) / float64(window),
		rssMB:          c.entries[owner].rssMB(),
		bytesPerSecond: (c.controlBytes(owner) - bytes) / window.Seconds(),
	}
}

// submitAtRate submits batch requests at a constant rate per second during the window.
func (c *cell) submitAtRate(window time.Duration, rate int, via string) {
	if rate == 0 {
		time.Sleep(window)
		return
	}
	var senders sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for i, end := 0, time.Now().Add(window); time.Now().Before(end); i++ {
		<-ticker.C
		senders.Go(func() { c.submitBatch(via, "fit", fmt.Sprintf("s%d-%d", rate, i), "ms=100 x") })
	}
	senders.Wait()
}

// fitLine returns the slope and the intercept of the least-squares line through the points.
func fitLine(xs, ys []float64) (perUnit, base float64) {
	var sx, sy, sxx, sxy float64
	n := float64(len(xs))
	for i := range xs {
		sx, sy, sxx, sxy = sx+xs[i], sy+ys[i], sxx+xs[i]*xs[i], sxy+xs[i]*ys[i]
	}
	perUnit = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return perUnit, (sy - perUnit*sx) / n
}

// BenchmarkSlopes measures how the control cost of a hall's owner grows with the number of workers, tasks,
// hosts and starts per second, at four sizes each. docs/CAPACITY.md uses the slopes.
func BenchmarkSlopes(b *testing.B) {
	RegisterTestingT(b)
	series := []struct {
		name  string
		sizes []cellSize
		x     func(cellSize) float64
	}{
		{"workers", []cellSize{{5, 4, 2, 0}, {20, 4, 2, 0}, {40, 4, 2, 0}, {80, 4, 2, 0}}, func(s cellSize) float64 { return float64(s.workers) }},
		{"tasks", []cellSize{{10, 4, 2, 0}, {10, 50, 2, 0}, {10, 100, 2, 0}, {10, 200, 2, 0}}, func(s cellSize) float64 { return float64(s.tasks) }},
		{"hosts", []cellSize{{5, 4, 2, 0}, {5, 4, 4, 0}, {5, 4, 6, 0}, {5, 4, 9, 0}}, func(s cellSize) float64 { return float64(s.hosts) }},
		{"starts", []cellSize{{10, 4, 2, 0}, {10, 4, 2, 5}, {10, 4, 2, 10}, {10, 4, 2, 20}}, func(s cellSize) float64 { return float64(s.startsPerSecond) }},
	}
	for _, test := range series {
		b.Run(test.name, func(b *testing.B) {
			RegisterTestingT(b)
			var xs, cpu, rss, bytes []float64
			for _, s := range test.sizes {
				got := measureOwner(b, s)
				b.Logf("%s %v: cpu %.2f %% rss %.1f MB %.0f B/s", test.name, s, got.cpuPct, got.rssMB, got.bytesPerSecond)
				xs = append(xs, test.x(s))
				cpu, rss, bytes = append(cpu, got.cpuPct), append(rss, got.rssMB), append(bytes, got.bytesPerSecond)
			}
			for what, ys := range map[string][]float64{"control_cpu_pct": cpu, "control_rss_mb": rss, "control_bytes_per_s": bytes} {
				perUnit, base := fitLine(xs, ys)
				recordFigure(b, fmt.Sprintf("%s_per_%s", what, test.name[:len(test.name)-1]), perUnit, "per_unit")
				recordFigure(b, fmt.Sprintf("%s_base_%s", what, test.name), base, "base")
			}
		})
	}
}
