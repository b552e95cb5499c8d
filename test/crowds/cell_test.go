package crowds_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/dialer"
	"foldarch.dev/foldarch/pkg/revision"
	"foldarch.dev/foldarch/pkg/standin"
	"foldarch.dev/foldarch/pkg/store"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
)

const (
	cellHall     = "north"
	servicePath  = "/v1/services/scoring/calls"
	healthPath   = "/healthz"
	callerHeader = "Foldarch-Caller"
	callerName   = "tester"
	octetStream  = "application/octet-stream"
)

// cellDocuments declare one service, whose requests may be as large as by default (largestBodyBytes), and one batch
// workload.
var cellDocuments = map[string]string{
	"cell.toml": "[[hall]]\nname = \"" + cellHall + "\"\nregion = \"r\"\n[team.t]\n" +
		"[rules]\ntime_limit = \"5s\"\n[rules.resources]\ncpu_millis = 1000\nmemory_mb = 1000\n",
	"scoring.toml": "kind = \"service\"\nteam = \"t\"\ninstances = 2\n",
	"fit.toml":     "kind = \"batch\"\nteam = \"t\"\n",
}

// callsOfService are calls of the service without a key.
var callsOfService = cellRequests("POST", servicePath, octetStream)

// newBatches are batch requests with a key each.
var newBatches = cellRequests("POST", "/v1/batches", "application/json", "Idempotency-Key: key")

// cellRequests returns requests to a path of a host of the cell.
func cellRequests(method, path, contentType string, lines ...string) requestLine {
	return requestLine{method, func() string { return path },
		append(lines, "Host: entry", "Content-Type: "+contentType, callerHeader+": "+callerName)}
}

// newCellHost starts the stand-ins of a small cell and its only entry host with the limits, and waits until the host
// serves calls.
func newCellHost(t *testing.T) *host {
	h := &host{WithT: NewWithT(t), t: t, log: &bytes.Buffer{}, exited: make(chan struct{})}
	h.serves, h.isReady = h.callService, h.checkHealth
	environment, err := standin.StartEnvironment(standin.EnvironmentConfig{
		Workers: standin.UniformWorkers([]cell.Hall{cellHall}, 2, cell.Resources{CPUMillis: 16000, MemoryMB: 65536}),
	})
	h.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(environment.Close)
	h.declareCell(environment.StoreAddress())
	h.callers, h.peers = freeCellAddresses(h)
	path := filepath.Join(t.TempDir(), "entry.toml")
	text := fmt.Sprintf("id = \"north-a\"\nhall = %q\ncallers_address = %q\npeer_address = %q\nstore = [%q]\n[limits]\nmemory_mb = %d\n",
		cellHall, h.callers, h.peers, environment.StoreAddress(), memoryMB)
	h.Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	// The process must have the limit of descriptors before it starts, since it may read it then.
	h.run(exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, maxDescriptors), entryBinary, path))
	h.Eventually(h.serves, "20s", "50ms").Should(BeTrue(), "the host serves calls")
	return h
}

// declareCell puts the declarations in force.
func (h *host) declareCell(storeAddress netip.AddrPort) {
	const callsPerSecond = 100
	clk := clock.System()
	s, err := store.New(store.Config{
		Addresses: []netip.AddrPort{storeAddress}, CallTimeout: time.Second,
		ReadsPerSecond: callsPerSecond, WritesPerSecond: callsPerSecond,
	}, dialer.New(nil, time.Second, metrics.NewCounter()), clk, metrics.NewRegistry())
	h.Expect(err).NotTo(HaveOccurred())
	_, err = revision.New(s, clk).Apply(context.Background(), revision.Head{}, cellDocuments, revision.Change{Author: callerName})
	h.Expect(err).NotTo(HaveOccurred())
}

// lastCellNumber is the number of the cell that got addresses last.
var lastCellNumber atomic.Uint32

// freeCellAddresses returns addresses for callers and peers on an IP address that no other process uses: those of
// emulated platforms and of outgoing connections lie in other subnets.
func freeCellAddresses(h *host) (callers, peers string) {
	const subnet, callersPort, peersPort = 8, 8080, 8081
	for {
		n := lastCellNumber.Add(1)
		ip := netip.AddrFrom4([4]byte{127, subnet, byte(os.Getpid()), byte(n)})
		callers, peers = netip.AddrPortFrom(ip, callersPort).String(), netip.AddrPortFrom(ip, peersPort).String()
		h.Expect(n).To(BeNumerically("<", 1<<8), "cells that one test process can address")
		if isFree(callers) && isFree(peers) {
			return callers, peers
		}
	}
}

func isFree(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = l.Close()
	return true
}

// callService calls the service and reports whether its endpoint has answered.
func (h *host) callService() bool {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	status, _ := send(client, h.newCall(ctx, []byte("ms=1 x")))
	return status == http.StatusOK
}

// newCall returns a request to call the service.
func (h *host) newCall(ctx context.Context, body []byte) *http.Request {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.callers+servicePath, bytes.NewReader(body))
	h.Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Content-Type", octetStream)
	r.Header.Set(callerHeader, callerName)
	return r
}

// checkHealth makes the load balancer's health check and reports whether it passed.
func (h *host) checkHealth() bool {
	status, _ := call(http.MethodGet, h.callers, healthPath, nil)
	return status == http.StatusOK
}

// Guards against memory or descriptors used up by heads that are too long.
func TestCrowdOfOversizedHeadsAtACell(t *testing.T) {
	h := newCellHost(t)
	h.withstand(crowdSize, h.callers, callsOfService.sendOversizedHead)
}

// Guards against memory or descriptors used up by heads without end.
func TestCrowdOfEndlessHeadsAtACell(t *testing.T) {
	h := newCellHost(t)
	h.withstand(crowdSize, h.callers, callsOfService.sendEndlessHead)
}

// Guards against memory or descriptors used up by empty lines before a request.
func TestCrowdOfEmptyLinesAtACell(t *testing.T) {
	h := newCellHost(t)
	h.withstand(crowdSize, h.callers, sendEmptyLines)
}

// Guards against memory used up by many large calls at once.
func TestCrowdOfWholeBodiesAtACell(t *testing.T) {
	h := newCellHost(t)
	h.withstand(crowdSize, h.callers, callsOfService.wholeBody(unusableBody(largeBodyBytes)))
}

// Guards against memory used up by many large batch requests at once.
func TestCrowdOfBatchRequestsAtACell(t *testing.T) {
	h := newCellHost(t)
	h.withstand(crowdSize, h.callers, newBatches.wholeBody(unknownBatch(largeBodyBytes)))
}

// Guards against memory or descriptors used up by bodies that do not end.
func TestCrowdOfUnfinishedBodiesAtACell(t *testing.T) {
	h := newCellHost(t)
	h.withstand(crowdSize, h.callers, callsOfService.sendUnfinishedBody)
}

// Guards against memory or descriptors used up by large chunks that do not end.
func TestCrowdOfLargeChunksAtACell(t *testing.T) {
	h := newCellHost(t)
	h.withstand(crowdSize, h.callers, callsOfService.sendLargeChunk)
}

// Guards against memory or descriptors used up by bodies in small chunks that do not end.
func TestCrowdOfSmallChunksAtACell(t *testing.T) {
	h := newCellHost(t)
	h.withstand(crowdSize, h.callers, callsOfService.sendSmallChunks)
}

// Guards against descriptors used up by connections that send nothing.
func TestCrowdOfSilentConnectionsAtACell(t *testing.T) {
	h := newCellHost(t)
	h.withstand(crowdSize, h.callers, staySilent)
}

// Guards against descriptors used up by bodies without an end at the health check.
func TestCrowdOfUnfinishedBodiesAtTheHealthCheckOfACell(t *testing.T) {
	h := newCellHost(t)
	h.withstand(crowdSize, h.callers, cellRequests("GET", healthPath, octetStream).sendUnfinishedBody)
}

// Guards against descriptors used up by operators' commands without an end.
func TestCrowdOfUnfinishedBodiesOfOperatorsOfACell(t *testing.T) {
	h := newCellHost(t)
	h.withstand(crowdSize, h.callers, cellRequests("POST", "/v1/operator/drain", "application/json").sendUnfinishedBody)
}

// Guards against descriptors used up by connections to the peer address that send nothing.
func TestCrowdOfSilentPeersOfACell(t *testing.T) {
	h := newCellHost(t)
	h.withstand(crowdSize, h.peers, staySilent)
}

// Guards against memory used up by frames between hosts that do not end.
func TestCrowdOfUnfinishedPeerFramesAtACell(t *testing.T) {
	h := newCellHost(t)
	h.withstand(crowdSize, h.peers, sendUnfinishedFrame)
}

// Guards against memory used up by messages between hosts that do not end.
func TestCrowdOfUnfinishedPeerMessagesAtACell(t *testing.T) {
	h := newCellHost(t)
	h.withstand(crowdSize, h.peers, sendUnfinishedMessage)
}

// Guards against memory or descriptors used up by bytes without end at the peer address.
func TestCrowdOfEndlessPeerBytesAtACell(t *testing.T) {
	h := newCellHost(t)
	h.withstand(crowdSize, h.peers, sendEndlessBytes)
}

// sendUnfinishedMessage sends the whole invocation of a call, and its message in pieces without the end.
func sendUnfinishedMessage(c net.Conn, _ int) {
	const frameWholeInvoke, frameMessage, stream, method = 0x03, 0x04, 1, "/foldarch.peer.Peer/Forward"
	text := append([]byte{frameWholeInvoke, stream, 1, byte(len(method))}, method...)
	sendWithoutEnd(c, binary.AppendUvarint(append(text, frameMessage, stream, 2), peerFrameBytes))
}

// staySilent sends nothing for as long as a crowd may send, so that the process has accepted the connections.
func staySilent(net.Conn, int) {
	time.Sleep(sendTime)
}

// unknownBatch returns a batch request of the given size for a workload that the cell does not have.
func unknownBatch(size int) []byte {
	const begin, end = `{"workload":"none","payload":"`, `"}`
	return fmt.Appendf(nil, "%s%s%s", begin, bytes.Repeat([]byte("a"), size-len(begin)-len(end)), end)
}
