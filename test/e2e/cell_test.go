package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"foldarch.dev/foldarch/pkg/entry/entryapi"
	"foldarch.dev/foldarch/pkg/standin"
	. "github.com/onsi/gomega"
)

// maxWait is the timeout for awaited events. It is far longer than any of them takes, so that an event that
// is missing by then will never occur.
const maxWait = "40s"

// client opens a new connection for each call, so that no call depends on a connection of an earlier one.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 30 * time.Second}

// cell is a cell whose entry hosts and stand-ins are separate processes.
type cell struct {
	dir           string
	store         netip.AddrPort
	admin         netip.AddrPort
	entries       map[string]*process
	entryIDs      []string
	standIns      *process
	declDir       string
	extraSettings string // further lines of the settings files of the entry hosts
	relays        map[[2]string]*relay
}

// process is a running program.
type process struct {
	id             string
	cmd            *exec.Cmd
	callersAddress netip.AddrPort
	peerAddress    netip.AddrPort
	settingsFile   string
	exited         chan struct{}
	log            *logBuffer
}

// logBuffer collects the output of a process.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

const (
	// firstPort and portRange give the range of ports that tests use. It lies below the range that the kernel
	// uses for outgoing connections, so that none of those can take a port between its choice and its use.
	firstPort = 15000
	portRange = 15000
)

var nextPort = os.Getpid() * 101 % portRange

// freePorts returns addresses with ports that no process listens on.
func freePorts(n int) []netip.AddrPort {
	var ports []netip.AddrPort
	for len(ports) < n {
		nextPort = (nextPort + 1) % portRange
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		ports = append(ports, netip.MustParseAddrPort(address))
	}
	return ports
}

// testContext is the part of ginkgo.GinkgoT, testing.T and testing.B that a cell needs.
type testContext interface {
	TempDir() string
	Cleanup(func())
	Failed() bool
	Logf(format string, args ...any)
}

// newCell starts the stand-ins, with the given number of workers per hall, and the given number of entry
// hosts in each hall. The lines of extra are added to the settings files of the entry hosts.
func newCell(t testContext, halls []string, workers, hosts int, extra string) *cell {
	c := &cell{dir: t.TempDir(), entries: map[string]*process{}, extraSettings: extra}
	ports := freePorts(2)
	c.store, c.admin = ports[0], ports[1]
	c.standIns = c.spawn("standin", "foldarch-standin", "--store", c.store.String(), "--admin", c.admin.String(),
		"--halls", strings.Join(halls, ","), "--workers", fmt.Sprint(workers))
	Eventually(c.standIns.log.String, maxWait).Should(ContainSubstring("store 127"))
	addresses := freePorts(2 * len(halls) * hosts)
	for _, hall := range halls {
		for i := range hosts {
			p := &process{id: fmt.Sprintf("%s-%c", hall, 'a'+i), callersAddress: addresses[0], peerAddress: addresses[1]}
			addresses = addresses[2:]
			c.entries[p.id] = p
			c.entryIDs = append(c.entryIDs, p.id)
		}
	}
	c.startRelays(t)
	for _, id := range c.entryIDs {
		c.configure(id)
		c.start(id)
	}
	c.declare(halls)
	t.Cleanup(func() { c.close(t) })
	return c
}

func (c *cell) configure(id string) {
	p := c.entries[id]
	var peers []string
	for _, other := range c.entries {
		if other.id != id {
			peers = append(peers, fmt.Sprintf("%q", other.peerAddress))
		}
	}
	p.settingsFile = filepath.Join(c.dir, id+".toml")
	text := fmt.Sprintf("id = %q\nhall = %q\ncallers_address = %q\npeer_address = %q\nstore = [%q]\npeers = [%s]\n%s",
		id, id[:len(id)-2], p.callersAddress, p.peerAddress, c.store, strings.Join(peers, ", "), c.extraSettings+c.routeSettings(id))
	Expect(os.WriteFile(p.settingsFile, []byte(text), 0o600)).To(Succeed())
}

// declare writes declarations of a repeatable service (scoring), a service that is not repeatable (ticks) and
// two batch workloads: fit, which is repeatable, and publish, which is not.
func (c *cell) declare(halls []string) {
	c.declDir = filepath.Join(c.dir, "declarations")
	text := ""
	for _, h := range halls {
		text += fmt.Sprintf("[[hall]]\nname = %q\nregion = \"r\"\n", h)
	}
	c.writeDeclaration("cell.toml", text+"[team.t]\n[rules]\ntime_limit = \"5s\"\n[rules.resources]\ncpu_millis = 1000\nmemory_mb = 1000\n")
	n := 2 * len(halls)
	c.writeDeclaration("scoring.toml", fmt.Sprintf("kind = \"service\"\nteam = \"t\"\ninstances = %d\n", n))
	c.writeDeclaration("ticks.toml", fmt.Sprintf("kind = \"service\"\nteam = \"t\"\ninstances = %d\n[rules]\nrepeatable = false\n", n))
	c.writeDeclaration("fit.toml", "kind = \"batch\"\nteam = \"t\"\n")
	c.writeDeclaration("publish.toml", "kind = \"batch\"\nteam = \"t\"\n[rules]\nrepeatable = false\n")
}

func (c *cell) writeDeclaration(file, text string) {
	path := filepath.Join(c.declDir, file)
	Expect(os.MkdirAll(filepath.Dir(path), 0o700)).To(Succeed())
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
}

func (c *cell) spawn(id, program string, args ...string) *process {
	p := &process{id: id}
	p.run(program, args...)
	return p
}

func (p *process) run(program string, args ...string) {
	p.log = &logBuffer{}
	p.exited = make(chan struct{})
	dir, err := programs()
	Expect(err).NotTo(HaveOccurred())
	p.cmd = exec.Command(filepath.Join(dir, program), args...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	Expect(p.cmd.Start()).To(Succeed())
	cmd, exited := p.cmd, p.exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
}

func (c *cell) start(id string) {
	c.entries[id].run("foldarch-entry", c.entries[id].settingsFile)
}

func (p *process) signal(s syscall.Signal) {
	Expect(p.cmd.Process.Signal(s)).To(Succeed())
}

// kill sends SIGKILL to a process and waits until it has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	Eventually(p.exited, maxWait).Should(BeClosed())
}

func (c *cell) close(t testContext) {
	if t.Failed() {
		for _, id := range c.entryIDs {
			t.Logf("--- %s\n%s", id, c.entries[id].log)
		}
	}
	for _, p := range c.entries {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
	}
	_ = c.standIns.cmd.Process.Kill()
}

// foldarch runs the command foldarch and returns its output.
func (c *cell) foldarch(args ...string) (string, error) {
	dir, err := programs()
	if err != nil {
		return "", err
	}
	out, err := exec.Command(filepath.Join(dir, "foldarch"), args...).CombinedOutput()
	return string(out), err
}

// apply applies the declarations and waits until all processes use them and all endpoints run.
func (c *cell) apply() {
	var last string
	Eventually(func() error {
		out, err := c.foldarch("apply", "--store", c.store.String(), "--entry", c.entries[c.entryIDs[0]].callersAddress.String(), "--wait", c.declDir)
		last = out
		return err
	}, maxWait).Should(Succeed(), func() string { return last })
}

// awaitEndpoints waits until the owner of every hall knows the given number of endpoints.
func (c *cell) awaitEndpoints(endpoints int) {
	for _, id := range c.entryIDs {
		Eventually(func() (int, error) { return c.endpointsSeenBy(id) }, maxWait).Should(Equal(endpoints), id)
	}
}

func (c *cell) readStatus(id string) (*entryapi.ProcessStatus, error) {
	api, err := entryapi.NewClient("http://"+c.entries[id].callersAddress.String(), entryapi.WithClient(client))
	if err != nil {
		return nil, err
	}
	return api.ReadCellStatus(context.Background())
}

// endpointsSeenBy returns the number of endpoints of the owner that the given process names.
func (c *cell) endpointsSeenBy(id string) (int, error) {
	owner, err := c.ownerOf(id)
	if err != nil {
		return 0, err
	}
	s, err := c.readStatus(owner)
	if err != nil || len(s.Shards) == 0 || !s.Shards[0].Authority {
		return 0, err
	}
	return s.Shards[0].Endpoints, nil
}

// ownerOf returns the owner of the hall of a process, according to that process.
func (c *cell) ownerOf(id string) (string, error) {
	s, err := c.readStatus(id)
	if err != nil {
		return "", err
	}
	if len(s.Shards) == 0 || c.entries[s.Shards[0].Owner] == nil {
		return "", fmt.Errorf("%s knows no owner", id)
	}
	return s.Shards[0].Owner, nil
}

// reply is the answer that a caller got.
type reply struct {
	status  int
	body    string
	problem entryapi.Problem
	err     error
}

func (r reply) ok() bool { return r.err == nil && r.status == http.StatusOK }

// call sends a request to a service through one entry host.
func (c *cell) call(id, service, key, body string, headers ...string) reply {
	req, err := http.NewRequest(http.MethodPost,
		fmt.Sprintf("http://%s/v1/services/%s/calls", c.entries[id].callersAddress, service), strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	req.Header.Set("Content-Type", "application/octet-stream")
	req.Header.Set("Foldarch-Caller", "tester")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	return send(req)
}

func send(req *http.Request) reply {
	resp, err := client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	r := reply{status: resp.StatusCode, body: string(data), err: err}
	if resp.StatusCode >= http.StatusBadRequest {
		_ = r.problem.UnmarshalJSON(data)
	}
	return r
}

// submitBatch submits a batch request through one entry host.
func (c *cell) submitBatch(id, workload, key, payload string) (entryapi.BatchStatus, reply) {
	text, err := json.Marshal(map[string]string{"workload": workload, "payload": payload})
	Expect(err).NotTo(HaveOccurred())
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/v1/batches", c.entries[id].callersAddress), bytes.NewReader(text))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Foldarch-Caller", "tester")
	req.Header.Set("Idempotency-Key", key)
	return batchReply(send(req))
}

func (c *cell) readBatch(id, batch, caller string) (entryapi.BatchStatus, reply) {
	req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/v1/batches/%s", c.entries[id].callersAddress, batch), nil)
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Foldarch-Caller", caller)
	return batchReply(send(req))
}

func batchReply(r reply) (entryapi.BatchStatus, reply) {
	var s entryapi.BatchStatus
	if r.err == nil && r.status < http.StatusBadRequest {
		r.err = s.UnmarshalJSON([]byte(r.body))
	}
	return s, r
}

// batchState returns a function for Eventually that returns the state of a batch request, or the error if
// there is none.
func (c *cell) batchState(id, batch string) func() string {
	return func() string {
		s, r := c.readBatch(id, batch, "tester")
		if r.err != nil || r.status != http.StatusOK {
			return fmt.Sprintf("%d %s %v", r.status, r.body, r.err)
		}
		return string(s.State)
	}
}

// injectFault sets a fault of the stand-ins; a zero value ends it.
func (c *cell) injectFault(what string, v any) {
	text, err := json.Marshal(v)
	Expect(err).NotTo(HaveOccurred())
	resp, err := client.Post(fmt.Sprintf("http://%s/faults/%s", c.admin, what), "application/json", bytes.NewReader(text))
	Expect(err).NotTo(HaveOccurred())
	_ = resp.Body.Close()
	Expect(resp.StatusCode).To(Equal(http.StatusOK))
}

// readRunLog decodes a part of the run log, or another document, of the stand-ins.
func (c *cell) readRunLog(path string, v any) {
	resp, err := client.Get(fmt.Sprintf("http://%s/%s", c.admin, path))
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	Expect(json.NewDecoder(resp.Body).Decode(v)).To(Succeed())
}

// expectNoViolations checks that the stand-ins have detected no violation.
func (c *cell) expectNoViolations() {
	var v standin.CheckResult
	c.readRunLog("verdict", &v)
	Expect(v.Violations).To(BeEmpty(), strings.Join(v.Notes, "\n"))
}

// runCount returns how often workers and endpoints ran the request with a key.
func (c *cell) runCount(key string) int {
	var runs []standin.Run
	c.readRunLog("runs", &runs)
	n := 0
	for _, r := range runs {
		if r.Key == key {
			n++
		}
	}
	return n
}
