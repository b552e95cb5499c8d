// Package crowds_test runs a foldarch-entry process on an emulated platform with low limits and lets crowds of
// clients loose on it that send too much, too slowly or nothing.
package crowds_test

import (
	"bytes"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"foldarch.dev/foldarch/platform"
	"foldarch.dev/foldarch/platform/emulator"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

// Limits of the host under test.
const (
	memoryMB            = 96
	maxDescriptors      = 1000
	reservedDescriptors = 200 // of maxDescriptors, which the platform reserves for files
)

var entryBinary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "foldarch-crowds-")
	if err != nil {
		panic(err)
	}
	entryBinary = filepath.Join(dir, "foldarch-entry")
	build := exec.Command("go", "build", "-o", entryBinary, "foldarch.dev/foldarch/cmd/foldarch-entry")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s", out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// host is one entry host, on an emulated platform or in a small cell of foldarch's own.
type host struct {
	*WithT
	t        *testing.T
	serves   func() bool // whether an ordinary request is served
	isReady  func() bool // whether the health check passes
	callers  string      // addresses as HOST:PORT
	ready    string
	operator string
	peers    string
	pid      int
	log      *bytes.Buffer // may be read once exited is closed
	exited   chan struct{}
}

// newHost starts an emulated platform and one host with the limits, and waits until the host accepts jobs.
func newHost(t *testing.T) *host {
	h := &host{WithT: NewWithT(t), t: t, log: &bytes.Buffer{}, exited: make(chan struct{})}
	h.serves, h.isReady = h.submitJob, h.checkReady
	p, err := emulator.Start(emulator.Options{Workers: 4})
	h.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(p.Close)
	p.PutConfig(1)
	at, err := p.WriteSettings(t.TempDir(), "host-0", p.StoreAddress())
	h.Expect(err).NotTo(HaveOccurred())
	h.setLimits(at.Settings)
	cfg, err := platform.LoadSettings(at.Settings)
	h.Expect(err).NotTo(HaveOccurred())
	h.callers, h.ready, h.operator, h.peers = at.Frontend, at.Readiness, at.Operator, cfg.PeerAddress.String()
	h.start(at.Settings)
	h.Eventually(h.serves, "20s", "50ms").Should(BeTrue(), "the host accepts jobs")
	return h
}

// setLimits replaces the limits in a settings file.
func (h *host) setLimits(path string) {
	const emulated = "memoryMb = 284\n"
	text, err := os.ReadFile(path)
	h.Expect(err).NotTo(HaveOccurred())
	h.Expect(string(text)).To(ContainSubstring(emulated))
	limits := fmt.Sprintf("memoryMb = %d\nmaxFds = %d\n", memoryMB, maxDescriptors)
	h.Expect(os.WriteFile(path, []byte(strings.Replace(string(text), emulated, limits, 1)), 0o600)).To(Succeed())
}

// start starts the process on the platform.
func (h *host) start(settings string) {
	cmd := exec.Command(entryBinary, "platform", "--metrics", strconv.Itoa(emulator.OperatorPort))
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+settings)
	h.run(cmd)
	limit := unix.Rlimit{Cur: maxDescriptors, Max: maxDescriptors}
	h.Expect(unix.Prlimit(h.pid, unix.RLIMIT_NOFILE, &limit, nil)).To(Succeed())
}

// run starts the process, and kills it at the end of the test.
func (h *host) run(cmd *exec.Cmd) {
	cmd.Stdout, cmd.Stderr = h.log, h.log
	h.Expect(cmd.Start()).To(Succeed())
	h.pid = cmd.Process.Pid
	go func() {
		_, _ = fmt.Fprintln(h.log, "exited:", cmd.Wait())
		close(h.exited)
	}()
	h.t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGKILL)
		<-h.exited
		h.keepLog()
	})
}

// keepLog writes the log of a host whose test has failed to a file.
func (h *host) keepLog() {
	if !h.t.Failed() {
		return
	}
	path := filepath.Join(os.TempDir(), strings.ReplaceAll(h.t.Name(), "/", "_")+".log")
	_ = os.WriteFile(path, h.log.Bytes(), 0o600)
	h.t.Logf("the log of the host is in %s", path)
}

// isAlive reports whether the process has not ended.
func (h *host) isAlive() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// ip returns the address of the host, which no other process listens on.
func (h *host) ip() netip.Addr {
	return netip.MustParseAddrPort(h.callers).Addr()
}

// dial opens a connection to one of the host's listeners.
func dial(address string) (net.Conn, error) {
	return net.DialTimeout("tcp", address, answerTimeout)
}

// answerTimeout is how long a client waits before it tries again on another connection.
const answerTimeout = 3 * time.Second
