package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"foldarch.dev/foldarch/pkg/endpoint"
	"github.com/cockroachdb/errors"
)

// leavingGrace is how long after the start of leaving an endpoint may still be sent calls without a
// violation, because the entry hosts need time to notice that it leaves. The endpoint refuses these calls.
const leavingGrace = 3 * time.Second

// EndpointConfig describes one stand-in endpoint.
type EndpointConfig struct {
	ID          string
	Worker      string
	Slots       int
	CheckEpochs bool
}

// Endpoint is a stand-in for one instance of a service. A body such as "ms=20 text" is answered after 20 ms
// with the endpoint's id and the body. The answer to a body that contains "lose-answer" is lost: the call
// runs, but its connection is closed.
type Endpoint struct {
	cfg      EndpointConfig
	runLog   *RunLog
	listener net.Listener
	server   *http.Server

	mu           sync.Mutex
	idle         *sync.Cond
	inUse        int
	epoch        int64
	leavingSince time.Time
	stopped      bool
	inFlight     map[*Run]bool
}

// StartEndpoint starts an endpoint on a free port of the loopback interface.
func StartEndpoint(cfg EndpointConfig, log *RunLog) (*Endpoint, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrapf(err, "endpoint %s", cfg.ID)
	}
	e := &Endpoint{cfg: cfg, runLog: log, listener: l, inFlight: map[*Run]bool{}}
	e.idle = sync.NewCond(&e.mu)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+endpoint.HealthPath, e.handleHealth)
	mux.HandleFunc("POST "+endpoint.CallPath, e.handleCall)
	e.server = newServer(mux)
	go func() { _ = e.server.Serve(l) }()
	return e, nil
}

// Address returns the address of the endpoint.
func (e *Endpoint) Address() netip.AddrPort {
	return e.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Leave makes the endpoint report that it is leaving, and refuse new calls.
func (e *Endpoint) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leavingSince = time.Now()
}

// WaitIdle returns when no call is in flight or the endpoint was stopped, but not before leavingGrace has
// passed, in which the entry hosts notice that the endpoint is leaving.
func (e *Endpoint) WaitIdle() {
	time.Sleep(leavingGrace)
	e.mu.Lock()
	defer e.mu.Unlock()
	for e.inUse > 0 && !e.stopped {
		e.idle.Wait()
	}
}

// Stop stops the endpoint at once and interrupts the calls in flight. They count as violations if the task
// ended by draining ("done") or by the end of its lease ("lapsed"), but not if it was stopped or its worker
// was killed.
func (e *Endpoint) Stop(outcome string) {
	e.mu.Lock()
	e.stopped = true
	for run := range e.inFlight {
		e.runLog.End(run, "cut")
		if outcome == "done" || outcome == "lapsed" {
			e.runLog.AddViolation(InvariantNotCut, run.Key+" at "+e.cfg.ID+" ("+outcome+")")
		}
	}
	e.idle.Broadcast()
	e.mu.Unlock()
	_ = e.server.Close()
}

func (e *Endpoint) handleHealth(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	h := endpoint.Health{InUse: e.inUse, Leaving: !e.leavingSince.IsZero()}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(h)
}

func (e *Endpoint) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, "body", http.StatusBadRequest)
		return
	}
	run, refused := e.beginCall(r)
	if refused != "" {
		w.Header().Set(endpoint.RefusedHeader, refused)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	simulateWork(r.Context(), payloadDuration(string(body)))
	e.endCall(run)
	if strings.Contains(string(body), "lose-answer") {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, "%s %s", e.cfg.ID, body)
}

// simulateWork takes the time d. It does not end early when the caller disconnects, since a real service may
// not notice that either.
func simulateWork(_ context.Context, d time.Duration) {
	time.Sleep(d)
}

// beginCall starts to record a call, or returns the reason for which the endpoint refuses it. Calls that
// exceed the slots are accepted and counted as violations.
func (e *Endpoint) beginCall(r *http.Request) (*Run, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.leavingSince.IsZero() {
		if time.Since(e.leavingSince) > leavingGrace {
			e.runLog.AddViolation(InvariantLeaving, e.cfg.ID)
		}
		return nil, endpoint.RefusedLeaving
	}
	epoch, _ := strconv.ParseInt(r.Header.Get(endpoint.EpochHeader), 10, 64)
	if e.cfg.CheckEpochs && epoch < e.epoch {
		return nil, endpoint.RefusedStale
	}
	e.epoch = max(e.epoch, epoch)
	e.inUse++
	if e.inUse > e.cfg.Slots {
		e.runLog.AddViolation(InvariantCapacity, fmt.Sprintf("endpoint %s runs %d", e.cfg.ID, e.inUse))
	}
	run := e.runLog.Begin(Run{
		Kind: "call", Key: r.Header.Get(endpoint.KeyHeader), Where: e.cfg.ID,
		NotRepeatable: r.Header.Get(endpoint.NotRepeatableHeader) == "true",
	})
	e.inFlight[run] = true
	return run, ""
}

func (e *Endpoint) endCall(run *Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.inFlight, run)
	e.runLog.End(run, "done")
	e.inUse--
	e.idle.Broadcast()
}

// payloadDuration returns the N milliseconds of a payload that begins with "ms=N", or 0 for another payload.
func payloadDuration(payload string) time.Duration {
	var ms int64
	if _, err := fmt.Sscanf(payload, "ms=%d", &ms); err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
