package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"foldarch.dev/foldarch/platform/emulator"
)

// maintenance is maintenanceS of the small deployments.
const maintenance = 2 * time.Second

// machineStates are the states of a machine as the service lists them.
const (
	machineUp     = "up"
	machineDown   = "down"
	machineUpkeep = "upkeep"
)

// machineService stands in for the platform's service of machines. It counts an upkeep as begun from the
// moment at which the machine goes down for it.
type machineService struct {
	rec      *record
	platform *emulator.Platform
	address  string
	// unanswered is called at each call for an upkeep; if it returns true, the call is left without an answer
	// and not done.
	unanswered func(machine int) bool

	mu    sync.Mutex
	state []string
	begun []bool
	calls []int
}

// newMachineService starts the service; its machines are those of the platform's workers.
func newMachineService(rec *record) (*machineService, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &machineService{
		rec: rec, address: l.Addr().String(), unanswered: func(int) bool { return false },
		state: make([]string, workerCount), begun: make([]bool, workerCount), calls: make([]int, workerCount),
	}
	for n := range m.state {
		m.state[n] = machineUp
	}
	go func() { _ = http.Serve(l, m) }()
	return m, nil
}

// ServeHTTP handles one call.
func (m *machineService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/machines":
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"machineFailures": m.list(), "nextToken": nil})
	case "/machine-upkeep":
		m.serveUpkeep(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (m *machineService) list() []map[string]any {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []map[string]any
	for n, state := range m.state {
		out = append(out, map[string]any{
			"machine": machineName(n), "pool": emulator.Pool, "state": state, "zone": emulator.Hall(0), "id": m.platform.Workers[n].ID(),
			"labels": []string{"a"}, "capacity": map[string]int{"cpu": emulator.WorkerCPUMillis, "memMb": emulator.WorkerMemoryMB},
		})
	}
	return out
}

func machineName(n int) string {
	return fmt.Sprintf("m%d", n)
}

func (m *machineService) serveUpkeep(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Machine string `json:"machine"`
		Wave    int64  `json:"rolloutWave"`
	}
	var n int
	err := json.NewDecoder(r.Body).Decode(&body)
	if _, scanErr := fmt.Sscanf(body.Machine, "m%d", &n); err != nil || scanErr != nil || n < 0 || n >= workerCount {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	m.calls[n]++
	m.mu.Unlock()
	call := fmt.Sprintf("call machine-upkeep of %s, wave %d, holder %s, token %s", body.Machine, body.Wave, r.Header.Get("X-Lease-Holder"), r.Header.Get("X-Fencing-Token"))
	if m.unanswered(n) {
		m.rec.line("%s: left without an answer, and not done", call)
		<-r.Context().Done()
		return
	}
	status, done := m.begin(n)
	m.rec.line("%s: answered %d, %s", call, status, done)
	w.WriteHeader(status)
	if status == http.StatusConflict {
		_, _ = w.Write([]byte(`{"reason":"busy"}`))
	}
}

// begin takes a machine down for its upkeep, unless that is done already or the machine is not up.
func (m *machineService) begin(n int) (status int, done string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.begun[n]:
		return http.StatusOK, "it was done before"
	case m.state[n] != machineUp:
		return http.StatusConflict, "it is " + m.state[n]
	}
	m.begun[n] = true
	m.takeDown(n, machineUpkeep, maintenance)
	return http.StatusOK, "the upkeep begins"
}

// takeDown ends what runs on a machine, which is up again after a time. The caller holds m.mu.
func (m *machineService) takeDown(n int, state string, downtime time.Duration) {
	m.state[n] = state
	m.platform.Workers[n].Crash(downtime)
	time.AfterFunc(downtime, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.state[n] = machineUp
		m.rec.line("machine %s is up again after %s (%s)", machineName(n), downtime, state)
	})
}

// crash ends the worker on a machine; the machine is down for a time.
func (m *machineService) crash(n int, downtime time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state[n] != machineUp {
		m.rec.line("machine %s is %s and does not crash", machineName(n), m.state[n])
		return
	}
	m.rec.line("machine %s crashes with its worker, for %s", machineName(n), downtime)
	m.takeDown(n, machineDown, downtime)
}

// notBegun lists those of the given machines whose upkeep has not begun.
func (m *machineService) notBegun(machines []int) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for _, n := range machines {
		if !m.begun[n] {
			out = append(out, machineName(n))
		}
	}
	return out
}
