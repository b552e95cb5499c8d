package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// States of a machine.
const (
	stateUp     = "up"
	stateUpkeep = "upkeep"
)

// cloud is the platform's service of machines.
type cloud struct {
	world   *world
	address string

	mu    sync.Mutex
	state map[string]string         // by machine
	waves map[int64]map[string]bool // the machines of each wave
	begun map[int64]map[string]bool // the machines of each wave whose upkeep has begun
	// silentUntil is until when it neither does nor answers anything. silenceOn is how long it falls silent
	// when the next upkeep is asked for; 0 for not at all.
	silentUntil time.Time
	silenceOn   time.Duration
}

func newCloud(w *world) (*cloud, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &cloud{world: w, address: l.Addr().String(), state: map[string]string{}, waves: map[int64]map[string]bool{}, begun: map[int64]map[string]bool{}}
	server := &http.Server{Handler: c}
	go func() { _ = server.Serve(l) }()
	return c, nil
}

// ServeHTTP answers a list or takes the upkeep of a machine.
func (c *cloud) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	var body struct {
		Machine string `json:"machine"`
		Wave    int64  `json:"rolloutWave"`
	}
	upkeep := r.URL.Path == "/machine-upkeep"
	if upkeep && json.NewDecoder(r.Body).Decode(&body) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	if upkeep && c.silenceOn > 0 {
		c.silentUntil, c.silenceOn = time.Now().Add(c.silenceOn), 0
		c.world.note("the service of machines is silent until %.3f", c.world.at(c.silentUntil))
	}
	silent := time.Now().Before(c.silentUntil)
	c.mu.Unlock()
	if silent {
		c.world.note("no answer to %s %s wave %d, and nothing done", r.URL.Path, body.Machine, body.Wave)
		<-r.Context().Done()
		return
	}
	out.Header().Set("Content-Type", "application/json")
	if !upkeep {
		_ = json.NewEncoder(out).Encode(map[string]any{"machineFailures": c.list(), "nextToken": nil})
		return
	}
	status, reason := c.begin(body.Machine, body.Wave)
	c.world.note("upkeep of %s for wave %d by %s, token %s: %d %s", body.Machine, body.Wave, r.Header.Get("X-Lease-Holder"), r.Header.Get("X-Fencing-Token"), status, reason)
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(map[string]string{"reason": reason})
}

func (c *cloud) list() []map[string]any {
	c.mu.Lock()
	defer c.mu.Unlock()
	var rows []map[string]any
	for _, x := range c.world.workers {
		x.mu.Lock()
		id := x.id
		x.mu.Unlock()
		rows = append(rows, map[string]any{
			"machine": x.machine, "pool": "pool-1", "state": c.stateOf(x.machine), "zone": "hall-1", "labels": []string{"a", "r1-1"},
			"capacity": map[string]int{"cpu": 16000, "memMb": 65536, "gpu": 0}, "id": id,
		})
	}
	return rows
}

// stateOf is the state of a machine. The caller holds the lock.
func (c *cloud) stateOf(machine string) string {
	if s := c.state[machine]; s != "" {
		return s
	}
	return stateUp
}

// begin begins the upkeep of a machine and returns the status and the reason of a 409.
func (c *cloud) begin(machine string, wave int64) (int, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.waves[wave][machine]:
		return http.StatusConflict, "wave"
	case c.begun[wave][machine]:
		return http.StatusOK, ""
	case c.stateOf(machine) != stateUp:
		return http.StatusConflict, "busy"
	}
	for _, x := range c.world.workers {
		if x.machine != machine {
			continue
		}
		c.begun[wave][machine] = true
		c.state[machine] = stateUpkeep
		x.mu.Lock()
		x.down = true
		x.runs = map[string]*run{}
		old := x.id
		x.mu.Unlock()
		c.world.platform.Store.Remove("servers/" + old)
		time.AfterFunc(maintenance, func() {
			x.begin()
			c.mu.Lock()
			defer c.mu.Unlock()
			c.state[machine] = stateUp
		})
		return http.StatusOK, ""
	}
	return http.StatusBadRequest, ""
}
