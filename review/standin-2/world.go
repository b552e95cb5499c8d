package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"foldarch.dev/foldarch/platform/emulator"
)

// Bounds of the site hanbit-ops, which the settings of the hosts carry.
const (
	beat        = 1500 * time.Millisecond
	contact     = 3000 * time.Millisecond
	maxHold     = 6000 * time.Millisecond
	stopGrace   = 400 * time.Millisecond
	ratePeriod  = 100 * time.Millisecond
	impact      = 4000 * time.Millisecond
	maintenance = 2000 * time.Millisecond
	hostCount   = 3
)

// world is the platform of a case.
type world struct {
	platform  *emulator.Platform
	hosts     []emulator.Host
	workers   []*worker
	cloud     *cloud
	trouble   bool
	dir       string
	keepIDs   bool // minions start again under their ids and tell when they were born
	jobs      map[string]*jobWatch
	endedOnce map[string]bool // tasks of which a run has ended; by mu
	began     time.Time

	mu     sync.Mutex
	random *rand.Rand
	record *os.File
}

// newWorld starts the platform's store and writes the settings of the hosts.
func newWorld(dir, record string, trouble bool, seed uint64) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	p, err := emulator.Start(emulator.Options{UnknownClients: true})
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, jobs: map[string]*jobWatch{}, endedOnce: map[string]bool{}, platform: p, trouble: trouble, began: time.Now(), random: rand.New(rand.NewPCG(seed, 1)), record: f}
	w.note("seed %d, trouble %t", seed, trouble)
	if w.cloud, err = newCloud(w); err != nil {
		return nil, err
	}
	for n := range hostCount {
		h, err := p.WriteSettings(dir, fmt.Sprintf("host-%d", n+1), p.StoreAddress())
		if err != nil {
			return nil, err
		}
		if err := w.writeSettings(h, n); err != nil {
			return nil, err
		}
		w.hosts = append(w.hosts, h)
		fmt.Printf("host %s %s\n", h.Name, h.Settings)
	}
	return w, nil
}

// writeSettings writes the settings of a host with the bounds of the site.
func (w *world) writeSettings(h emulator.Host, n int) error {
	ip := h.Frontend[:strings.LastIndex(h.Frontend, ":")]
	text := fmt.Sprintf(`nodeName = %q
role = "entry"
machineClass = "edge"
serves = ["edge"]
ip = %q
zone = "hall-%d"
region = "region-1"
internalPortRange = [7720, 7735]
bootstrap = true
discovery = "platform"
entryPoint = "vip"
heartbeatMs = %d
commands = "invocation"
recommendation = ""
[listenAddrs]
frontend = %q
ready = %q
[limits]
cpuShare = 0.4
cpuCores = 1
memoryMb = 284
maxFds = 4200
linkMbps = 1000.0
[bounds]
contactMs = %d
drainMs = 2000
graceS = 6
configApplyMs = 2000
maxHoldMs = %d
stopGraceMs = %d
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
status_s = 120
restoreMs = 250
noticeMs = 4500
maintenanceS = 2
fencingEnforced = false
leaseMs = 3000
ratePeriodMs = %d
impactMs = %d
[cloudApi]
address = %q
ratePerS = 60.0
dutyPerS = 60.0
[platform]
address = %q
form = "kv"
writes_per_s = 400
reads_per_s = 2000
historyS = 20
value_bytes = 1048576
ttl_min_ms = 1000
`, h.Name, ip, n+1, beat.Milliseconds(), h.Frontend, h.Readiness, contact.Milliseconds(), maxHold.Milliseconds(), stopGrace.Milliseconds(),
		ratePeriod.Milliseconds(), impact.Milliseconds(), w.cloud.address, w.platform.StoreAddress())
	return os.WriteFile(h.Settings, []byte(text), 0o600)
}

// putConfig writes the operator's configuration: two queues of one service.
func (w *world) putConfig() {
	route := func(name string, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": "jobs.example", "pathPrefix": "/" + name + "/", "service": "pool-1", "priority": priority,
			"maxAttempts": 4, "extension": 2.2, "targetLatencyMs": 1000,
		}
	}
	text, _ := json.Marshal(map[string]any{
		"version": 1, "routes": []any{route("serve", 1), route("fill", 2)}, "services": []any{map[string]any{"name": "pool-1", "constraints": false}},
	})
	w.platform.Store.Put("op/config", text)
}

// at returns the seconds since the case began.
func (w *world) at(t time.Time) float64 {
	return t.Sub(w.began).Seconds()
}

// note writes a line into the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f %s\n", w.at(time.Now()), fmt.Sprintf(format, args...))
}

// draw returns a random number from 0 to 1.
func (w *world) draw() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.Float64()
}

func (w *world) close() {
	_ = w.record.Close()
}

// call sends one request of a client to a host, and returns the status and the body.
func (w *world) call(host int, method, path, body string) (int, string) {
	r, err := http.NewRequest(method, "http://"+w.hosts[host%len(w.hosts)].Frontend+path, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	r.Host = "jobs.example"
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Ms", "3000")
	client := http.Client{Timeout: 3 * time.Second}
	res, err := client.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = res.Body.Close() }()
	text := make([]byte, 256)
	n, _ := res.Body.Read(text)
	return res.StatusCode, strings.TrimSpace(string(text[:n]))
}

// submit hands a job in until it is accepted; it returns false if it was not within 15 seconds.
func (w *world) submit(queue, id string, body map[string]any) bool {
	text, _ := json.Marshal(body)
	for n := range 60 {
		status, _ := w.call(n, http.MethodPost, "/"+queue+"/"+id, string(text))
		if status == http.StatusOK {
			w.note("job %s accepted: %s", id, text)
			return true
		}
		time.Sleep(250 * time.Millisecond)
	}
	w.note("job %s was not accepted", id)
	return false
}

// until waits until a condition holds; it returns false if it does not within the limit.
func until(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}
