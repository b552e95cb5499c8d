package crowds_test

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/gomega"
)

const (
	sampleInterval = 50 * time.Millisecond
	// tcpListen is the state of a listening socket in /proc/net/tcp, where the queue lengths have another meaning.
	tcpListen = "0A"
)

// usage is what a process uses of its machine.
type usage struct {
	residentBytes int64
	unreadBytes   int64 // arrived on its connections and not read by the process
	unsentBytes   int64 // written by the process and not acknowledged by its clients
	descriptors   int
}

// usageMeter records the peak usage of a host's process.
type usageMeter struct {
	host *host
	stop chan struct{}
	done sync.WaitGroup

	mu          sync.Mutex
	memoryBytes int64 // resident, unread and unsent at one time
	unreadBytes int64
	unsentBytes int64
	descriptors int
}

// startMeter starts to sample the usage of the process.
func (h *host) startMeter() *usageMeter {
	m := &usageMeter{host: h, stop: make(chan struct{})}
	m.done.Go(func() {
		t := time.NewTicker(sampleInterval)
		defer t.Stop()
		for {
			m.sample()
			select {
			case <-m.stop:
				return
			case <-t.C:
			}
		}
	})
	return m
}

func (m *usageMeter) sample() {
	u, err := m.host.usage()
	if err != nil {
		return // the process has ended, which the test checks
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.memoryBytes = max(m.memoryBytes, u.residentBytes+u.unreadBytes+u.unsentBytes)
	m.unreadBytes = max(m.unreadBytes, u.unreadBytes)
	m.unsentBytes = max(m.unsentBytes, u.unsentBytes)
	m.descriptors = max(m.descriptors, u.descriptors)
}

// finish ends the sampling and adds the peak of the resident memory that the kernel has recorded.
func (m *usageMeter) finish() {
	close(m.stop)
	m.done.Wait()
	m.sample()
	if peak, err := m.host.statusBytes("VmHWM"); err == nil {
		m.memoryBytes = max(m.memoryBytes, peak)
	}
}

// usage returns the present usage of the process.
func (h *host) usage() (usage, error) {
	resident, err := h.statusBytes("VmRSS")
	if err != nil {
		return usage{}, err
	}
	files, err := os.ReadDir(h.proc("fd"))
	if err != nil {
		return usage{}, err
	}
	unread, unsent, err := h.queued(h.socketInodes())
	return usage{residentBytes: resident, unreadBytes: unread, unsentBytes: unsent, descriptors: len(files)}, err
}

func (h *host) proc(file string) string {
	return fmt.Sprintf("/proc/%d/%s", h.pid, file)
}

// statusBytes returns a size from the status of the process, such as VmRSS.
func (h *host) statusBytes(key string) (int64, error) {
	text, err := os.ReadFile(h.proc("status"))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) >= 2 && fields[0] == key+":" {
			kilobytes, err := strconv.ParseInt(fields[1], 10, 64)
			return kilobytes << 10, err
		}
	}
	return 0, fmt.Errorf("the status of process %d has no %s", h.pid, key)
}

// socketInodes returns the inodes of the sockets that the process has open.
func (h *host) socketInodes() map[string]bool {
	out := map[string]bool{}
	files, _ := os.ReadDir(h.proc("fd"))
	for _, f := range files {
		target, err := os.Readlink(h.proc("fd/" + f.Name()))
		if inode, ok := strings.CutPrefix(target, "socket:["); err == nil && ok {
			out[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return out
}

// queued returns how many bytes have arrived and are not read, and how many are sent and not acknowledged, on the
// sockets with the given inodes and on connections to the host that its process has not accepted.
func (h *host) queued(inodes map[string]bool) (unread, unsent int64, err error) {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, 0, err
	}
	lines := bufio.NewScanner(bytes.NewReader(text))
	lines.Scan() // the headings
	for lines.Scan() {
		f := strings.Fields(lines.Text())
		if len(f) < 10 || f[3] == tcpListen || !inodes[f[9]] && kernelAddress(f[1]) != h.ip() {
			continue
		}
		sending, received, _ := strings.Cut(f[4], ":")
		tx, err := strconv.ParseInt(sending, 16, 64)
		if err != nil {
			return 0, 0, err
		}
		rx, err := strconv.ParseInt(received, 16, 64)
		if err != nil {
			return 0, 0, err
		}
		unsent += tx
		unread += rx
	}
	return unread, unsent, lines.Err()
}

// kernelAddress returns the IP address in a field of /proc/net/tcp: "0100007F:1F90" gives 127.0.0.1. On an error
// it returns the zero address.
func kernelAddress(field string) netip.Addr {
	text, _, _ := strings.Cut(field, ":")
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != 4 {
		return netip.Addr{}
	}
	var out [4]byte
	binary.NativeEndian.PutUint32(out[:], binary.BigEndian.Uint32(raw))
	return netip.AddrFrom4(out)
}

// expectWithinLimits checks the peak usage against the limits in the host's settings.
func (m *usageMeter) expectWithinLimits() {
	m.host.Expect(m.memoryBytes).To(BeNumerically("<=", int64(memoryMB)<<20), "resident, unread and unsent bytes")
	m.host.Expect(m.descriptors).To(BeNumerically("<=", maxDescriptors-reservedDescriptors), "open descriptors")
}
