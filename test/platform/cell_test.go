// Package platform_test runs foldarch-entry as separate processes on an emulated platform and injects faults
// from outside: signals to the processes and faults of the network, the store and the workers.
package platform_test

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/jobstore"
	"foldarch.dev/foldarch/platform/emulator"
	. "github.com/onsi/gomega"
)

var (
	soakSeed    = flag.Uint64("soak.seed", 1, "first seed of the soak")
	soakSeeds   = flag.Int("soak.seeds", 1, "number of seeds that the soak runs")
	soakSeconds = flag.Int("soak.seconds", 12, "duration of each seed in seconds")
	otherBuild  = flag.String("build.other", "", "path of a foldarch-entry of another build, which every second host runs")
)

var defaultBuild string

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "foldarch-platform-")
	if err != nil {
		panic(err)
	}
	defaultBuild = filepath.Join(dir, "foldarch-entry")
	build := exec.Command("go", "build", "-o", defaultBuild, "foldarch.dev/foldarch/cmd/foldarch-entry")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s", out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is the foldarch-entry process of one host.
type process struct {
	host   emulator.Host
	binary string // path of the executable
	cmd    *exec.Cmd
	log    *bytes.Buffer
	done   chan struct{}
}

// cell is an emulated platform with the entry hosts that run on it.
type cell struct {
	*WithT
	t       *testing.T
	p       *emulator.Platform
	callers *emulator.LoadGenerator
	dir     string

	mu            sync.Mutex
	hosts         []*process
	logs          []*bytes.Buffer
	reservedHosts map[int]bool // hosts that a fault of the soak is being injected into

	storeLinks  []*link // one per host, to the store
	workerLinks []*link // one per worker, shared by all hosts
}

// newLink starts a link to the target address and closes it at the end of the test.
func (c *cell) newLink(target string) *link {
	k, err := newLink(target)
	c.Expect(err).NotTo(HaveOccurred())
	k.disturbed = c.recordDisruption
	c.t.Cleanup(k.close)
	return k
}

// recordDisruption records that something is disturbed now.
func (c *cell) recordDisruption() {
	if c.p != nil {
		c.p.Checker.RecordDisruption()
	}
}

// reserveHost reserves a host for one fault and reports false if another fault has reserved it.
func (c *cell) reserveHost(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reservedHosts[n] {
		return false
	}
	c.reservedHosts[n] = true
	return true
}

func (c *cell) releaseHost(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.reservedHosts, n)
}

// newCell starts an emulated platform and the hosts and waits until all hosts are ready and one owns the
// pool.
func newCell(t *testing.T, hosts int, o emulator.Options) *cell {
	t.Parallel()
	c := &cell{WithT: NewWithT(t), t: t, dir: t.TempDir(), reservedHosts: map[int]bool{}}
	o.AdvertisedAddress = func(address string) string {
		k := c.newLink(address)
		c.workerLinks = append(c.workerLinks, k)
		return k.address()
	}
	if o.Owner == nil {
		o.Owner = storedOwner
	}
	p, err := emulator.Start(o)
	c.Expect(err).NotTo(HaveOccurred())
	c.p = p
	t.Cleanup(p.Close)
	p.PutConfig(1)
	var frontends []string
	for n := range hosts {
		k := c.newLink(p.StoreAddress())
		c.storeLinks = append(c.storeLinks, k)
		h, err := p.WriteSettings(c.dir, fmt.Sprintf("host-%d", n), k.address())
		c.Expect(err).NotTo(HaveOccurred())
		c.hosts = append(c.hosts, &process{host: h, binary: initialBuild(n)})
		c.start(n)
		frontends = append(frontends, h.Frontend)
	}
	c.callers = emulator.NewLoadGenerator(p, frontends)
	t.Cleanup(c.stopAll)
	for n := range hosts {
		c.awaitReady(n)
	}
	c.Eventually(c.owner, "10s", "20ms").Should(BeNumerically(">=", 0))
	return c
}

// start starts the process of a host.
func (c *cell) start(n int) {
	c.recordDisruption()
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.hosts[n]
	p.log = &bytes.Buffer{}
	c.logs = append(c.logs, p.log)
	p.cmd = exec.Command(p.binary, "platform", "--metrics", strconv.Itoa(emulator.OperatorPort))
	p.cmd.Env = append(os.Environ(), "FOLDARCH_NODE_FILE="+p.host.Settings)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	c.Expect(p.cmd.Start()).To(Succeed())
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(p.cmd, p.done)
}

func (c *cell) awaitReady(n int) {
	c.Eventually(func() bool { return c.ready(n) }, "10s", "20ms").Should(BeTrue(), "host %d", n)
}

func (c *cell) ready(n int) bool {
	res, err := http.Get("http://" + c.hosts[n].host.Readiness + "/readyz")
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode == http.StatusOK
}

// signal sends a signal to the process of a host.
func (c *cell) signal(n int, s syscall.Signal) {
	c.recordDisruption()
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.hosts[n].cmd.Process.Signal(s)
}

// kill sends SIGKILL to the process of a host and waits until it has exited.
func (c *cell) kill(n int) {
	c.signal(n, syscall.SIGKILL)
	c.mu.Lock()
	done := c.hosts[n].done
	c.mu.Unlock()
	<-done
}

// terminate sends SIGTERM to the process of a host and waits until it has exited.
func (c *cell) terminate(n int) {
	c.signal(n, syscall.SIGTERM)
	c.mu.Lock()
	done := c.hosts[n].done
	c.mu.Unlock()
	c.Eventually(done, "8s").Should(BeClosed(), "host %d exits within its grace period", n)
}

func (c *cell) stopAll() {
	for n := range c.hosts {
		c.signal(n, syscall.SIGCONT)
		c.kill(n)
	}
	if !c.t.Failed() {
		return
	}
	path := filepath.Join(os.TempDir(), strings.ReplaceAll(c.t.Name(), "/", "_")+".log")
	var output bytes.Buffer
	for _, l := range c.logs {
		output.Write(l.Bytes())
	}
	_ = os.WriteFile(path, output.Bytes(), 0o600)
	c.t.Logf("logs of the hosts are in %s", path)
}

// storedOwner returns the term of the pool's owner according to the store's record, empty if there is none.
func storedOwner(s *emulator.Store) string {
	holder, ok := storedOwnerRecord(s)
	if !ok {
		return ""
	}
	return strconv.FormatInt(holder.Term, 10)
}

// storedOwnerRecord returns the store's record of the owner; ok is false if there is none.
func storedOwnerRecord(s *emulator.Store) (r jobstore.OwnerRecord, ok bool) {
	err := json.Unmarshal(s.Value(jobstore.OwnerRecordKey), &r)
	return r, err == nil
}

// owner returns the index of the host that owns the pool according to the store's record, or -1 if there is
// none.
func (c *cell) owner() int {
	holder, ok := storedOwnerRecord(c.p.Store)
	if !ok {
		return -1
	}
	for n, h := range c.hosts {
		if h.host.Name == holder.Name {
			return n
		}
	}
	return -1
}

// startLoad submits jobs at a constant rate until ctx ends. The result is done when all calls have returned.
func (c *cell) startLoad(ctx context.Context, perSecond int, jobs ...jobKind) *sync.WaitGroup {
	var submissions sync.WaitGroup
	submissions.Go(func() {
		tick := time.NewTicker(time.Second / time.Duration(perSecond))
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			k := jobs[n%len(jobs)]
			submissions.Go(func() { c.callers.Submit(context.Background(), k.spec, k.steps) })
		}
	})
	return &submissions
}

// jobKind is a kind of job that tests submit.
type jobKind struct {
	spec  string
	steps []emulator.Step
}

var (
	quickJob = jobKind{"ms=150", []emulator.Step{{Count: 2, CPU: 1000, MemoryMB: 1000, Estimate: 150}}}
	chainJob = jobKind{"ms=300 fail=0.05", []emulator.Step{
		{Count: 3, CPU: 500, MemoryMB: 500, Estimate: 300}, {Count: 2, CPU: 500, MemoryMB: 500, Estimate: 300, After: []int{0}},
	}}
	crashJob  = jobKind{"ms=300 crash=1", []emulator.Step{{Count: 1, CPU: 1000, MemoryMB: 1000, Estimate: 300}}}
	crashGang = jobKind{"ms=300 gang=2 crash=1", []emulator.Step{{Count: 2, CPU: 1000, MemoryMB: 1000, Estimate: 300, Gang: true}}}
	gangJob   = jobKind{"ms=600 gang=4", []emulator.Step{{Count: 4, CPU: 1500, MemoryMB: 2000, Estimate: 600, Gang: true}}}
)

// awaitJobs waits until all accepted jobs have ended and checks that the platform saw no violations. No more jobs
// are submitted and nothing is disturbed from then on.
func (c *cell) awaitJobs(within time.Duration) emulator.Counts {
	c.p.Checker.EndTraffic()
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	open := c.callers.AwaitJobs(ctx)
	counts := c.callers.Counts()
	c.t.Logf("%+v, %d starts, %d done, %d store calls, longest idle %s", counts, c.p.Checker.Starts(), c.p.Checker.Ends("done"), c.p.Store.Calls(), c.p.Checker.LongestIdle())
	c.Expect(c.p.Checker.Violations()).To(BeEmpty())
	c.Expect(open).To(BeEmpty(), "accepted jobs that have not ended")
	return counts
}
