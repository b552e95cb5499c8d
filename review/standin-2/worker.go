package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const tick = 20 * time.Millisecond

// Reasons of a 409.
const (
	reasonFence = "fence"
	reasonOld   = "old"
	reasonLate  = "late"
)

// run is one run of a task on a worker.
type run struct {
	task     string
	number   int
	spec     taskSpec
	startAt  time.Time
	worked   time.Duration
	percent  int // share at which it works (run-pace)
	nextPace int
	paceAt   time.Time // when nextPace begins
	stopAt   time.Time // when it ends after a stop; zero without one
	overFrom time.Time // since when its tail has been over its target
}

// taskSpec is the behaviour of a task, as the text of its job tells it.
type taskSpec struct {
	serves bool
	quiet  bool // one of many tasks, which fill and don't stand in the record
	// failsFirst says that the first run of each task fails by the job's own fault.
	failsFirst bool
	target     float64 // ms, of a task that serves
	work       time.Duration
}

type ended struct {
	number int64
	task   string
	run    int
	how    string
}

// worker is one minion with the machine it runs on.
type worker struct {
	world   *world
	machine string
	server  *http.Server
	address string

	mu       sync.Mutex
	id       string
	lives    int
	startAt  time.Time
	down     bool
	token    int64
	deadline int64
	runs     map[string]*run
	endedRun map[string]int
	ends     []ended
	lastEnd  int64
	// doneTasks are the tasks that have ended done on this machine.
	doneTasks map[string]bool
	changed   chan struct{}
	ownTail   float64 // tail of its serving tasks without what fills, as a share of the target
	// lateShare of its orders is left unanswered and carried out late.
	lateShare float64
}

func newWorker(w *world, n int) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	x := &worker{world: w, doneTasks: map[string]bool{}, machine: fmt.Sprintf("m-%d", n), address: l.Addr().String()}
	x.begin()
	x.server = &http.Server{Handler: x}
	go func() { _ = x.server.Serve(l) }()
	go x.keep()
	return x, nil
}

// begin begins a life of the minion.
func (x *worker) begin() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lives++
	x.id = fmt.Sprintf("i-%s-%d", x.machine, x.lives)
	if x.world.keepIDs {
		x.id = "i-" + x.machine
	}
	x.startAt, x.down, x.token, x.deadline, x.lastEnd = time.Now(), false, 0, 0, 0
	x.runs, x.endedRun, x.ends, x.changed = map[string]*run{}, map[string]int{}, nil, make(chan struct{})
}

// keep writes the minion's entry with each beat and lets its tasks work.
func (x *worker) keep() {
	last := time.Now()
	for written := (time.Time{}); ; time.Sleep(tick) {
		now := time.Now()
		if now.Sub(written) >= beat {
			written = now
			x.writeEntry()
		}
		x.work(now, now.Sub(last))
		last = now
	}
}

func (x *worker) writeEntry() {
	x.mu.Lock()
	if x.down {
		x.mu.Unlock()
		return
	}
	entry := map[string]any{
		"service": "pool-1", "address": x.address, "zone": "hall-1", "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"sequence": time.Since(x.startAt).Milliseconds(), "capacity": map[string]int{"cpu": 16000, "memMb": 65536, "gpu": 0},
		"labels": []string{"a", "r1-1"}, "machine": x.machine,
	}
	x.addBirth(entry)
	text, _ := json.Marshal(entry)
	id := x.id
	x.mu.Unlock()
	x.world.platform.Store.Put("servers/"+id, text)
}

// addBirth adds the beginning of the minion's life to what it says of itself. The caller holds the lock.
func (x *worker) addBirth(body map[string]any) {
	if x.world.keepIDs {
		body["born"] = x.startAt.UnixMilli()
	}
}

func (x *worker) clock() int64 {
	return time.Since(x.startAt).Milliseconds() + 1000
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"runId"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadlineMs"`
	Token    int64  `json:"fencingToken"`
	LastSeen int64  `json:"lastSeen"`
	WaitMs   int64  `json:"waitMs"`
	Percent  int    `json:"percent"`
}

// ServeHTTP takes an order.
func (x *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	x.mu.Lock()
	id, down, late, life := x.id, x.down, x.lateShare, x.lives
	x.mu.Unlock()
	if down {
		<-r.Context().Done()
		return
	}
	if r.Header.Get("X-Expect-Instance") != id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path != "/hold" && x.world.draw() < late {
		delay := 2*time.Second + time.Duration(x.world.draw()*float64(10*time.Second))
		x.world.note("%s %s leaves an order unanswered: %s %s run %d percent %d", x.machine, id, r.URL.Path, o.Task, o.Run, o.Percent)
		time.AfterFunc(delay, func() { x.carryOutLate(r.URL.Path, o, life) })
		<-r.Context().Done()
		return
	}
	status, reason := x.carryOut(r.URL.Path, o)
	if r.URL.Path == "/hold" && status == http.StatusOK {
		x.awaitEnd(r, o)
	}
	x.answer(out, r.URL.Path, status, reason)
}

func (x *worker) carryOutLate(path string, o order, life int) {
	x.mu.Lock()
	gone := x.down || x.lives != life
	x.mu.Unlock()
	if gone {
		return
	}
	status, reason := x.carryOut(path, o)
	x.world.note("%s carries out late: %s %s run %d percent %d token %d: %d %s", x.machine, path, o.Task, o.Run, o.Percent, o.Token, status, reason)
}

func (x *worker) answer(out http.ResponseWriter, path string, status int, reason string) {
	x.mu.Lock()
	body := map[string]any{"clockMs": x.clock()}
	if reason != "" {
		body["reason"] = reason
	}
	if path == "/hold" && status == http.StatusOK {
		body["active"], body["finished"] = x.lists()
		x.addBirth(body)
	}
	x.mu.Unlock()
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(body)
}

// lists returns the two lists of the minion. The caller holds the lock.
func (x *worker) lists() (active, finished [][]any) {
	active, finished = [][]any{}, [][]any{}
	for _, r := range x.runs {
		active = append(active, []any{r.task, r.number, "", x.done(r), x.figure(r)})
	}
	for _, e := range x.ends[:min(len(x.ends), 500)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	return active, finished
}

// carryOut carries an order out and returns the status and the reason of a 409.
func (x *worker) carryOut(path string, o order) (int, string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if o.Token < x.token {
		return http.StatusConflict, reasonFence
	}
	x.token = o.Token
	if o.Deadline > 0 {
		x.deadline = max(x.deadline, min(o.Deadline, x.clock()+maxHold.Milliseconds()))
	}
	r, there := x.runs[o.Task]
	switch path {
	case "/hold":
		for len(x.ends) > 0 && x.ends[0].number <= o.LastSeen {
			x.ends = x.ends[1:]
		}
		return http.StatusOK, ""
	case "/run-start":
		return x.start(r, o)
	case "/run-stop":
		if !there || r.number != o.Run {
			return http.StatusConflict, reasonOld
		}
		if r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(stopGrace / 4)
		}
		return http.StatusOK, ""
	case "/pace":
		if !there || r.number != o.Run {
			return http.StatusConflict, reasonOld
		}
		r.nextPace, r.paceAt = o.Percent, time.Now().Add(ratePeriod)
		x.world.note("%s pace %s run %d: %d percent", x.machine, o.Task, o.Run, o.Percent)
		return http.StatusOK, ""
	}
	return http.StatusBadRequest, ""
}

func (x *worker) start(r *run, o order) (int, string) {
	switch {
	case r != nil && r.number == o.Run:
		return http.StatusOK, ""
	case r != nil, o.Run <= x.endedRun[o.Task]:
		return http.StatusConflict, reasonOld
	case o.Deadline <= x.clock():
		return http.StatusConflict, reasonLate
	}
	x.runs[o.Task] = &run{task: o.Task, number: o.Run, spec: parseSpec(o.Spec, stepOf(o.Task)), startAt: time.Now(), percent: 100, nextPace: 100}
	if !x.runs[o.Task].spec.quiet {
		x.world.note("%s starts %s run %d", x.machine, o.Task, o.Run)
	}
	return http.StatusOK, ""
}

// parseSpec reads "serve target=MS", "fill ms=MS" or "steps", of which the second step takes less time.
func parseSpec(text string, step int) taskSpec {
	var s taskSpec
	for _, field := range strings.Fields(text) {
		name, value, _ := strings.Cut(field, "=")
		var n float64
		_, _ = fmt.Sscan(value, &n)
		switch name {
		case "serve":
			s.serves = true
		case "target":
			s.target = n
		case "ms":
			s.work = time.Duration(n) * time.Millisecond
		case "flood":
			s.quiet = true
		case "failsfirst":
			s.failsFirst = true
		case "steps":
			s.work = firstStep
			if step == 1 {
				s.work = secondStep
			}
		}
	}
	return s
}

// stepOf returns the step in the name of a task, ID.K.STEP.INDEX.
func stepOf(task string) int {
	var n int
	if parts := strings.Split(task, "."); len(parts) == 4 {
		_, _ = fmt.Sscan(parts[2], &n)
	}
	return n
}

// awaitEnd waits until there is an end to list, for as long as the hold wants.
func (x *worker) awaitEnd(r *http.Request, o order) {
	limit := time.NewTimer(time.Duration(o.WaitMs) * time.Millisecond)
	defer limit.Stop()
	for {
		x.mu.Lock()
		listed, changed := len(x.ends) > 0, x.changed
		x.mu.Unlock()
		if listed {
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			return
		case <-r.Context().Done():
			return
		}
	}
}

// end ends a run. The caller holds the lock.
func (x *worker) end(r *run, how string) {
	delete(x.runs, r.task)
	x.endedRun[r.task] = max(x.endedRun[r.task], r.number)
	x.lastEnd++
	if how == "done" && !r.spec.quiet {
		x.doneTasks[r.task] = true
	}
	x.ends = append(x.ends, ended{x.lastEnd, r.task, r.number, how})
	close(x.changed)
	x.changed = make(chan struct{})
	if !r.spec.quiet {
		x.world.note("%s ends %s run %d: %s", x.machine, r.task, r.number, how)
	}
}

const startTime = 300 * time.Millisecond // until a task that lasts is at work

// done returns the percent that a run lists. The caller holds the lock.
func (x *worker) done(r *run) int {
	switch {
	case r.spec.serves && time.Since(r.startAt) < startTime:
		return 0
	case r.spec.serves:
		return 100
	}
	return min(int(100*r.worked/max(r.spec.work, 1)), 99)
}

// howDone returns how a run ends whose work is done. The caller holds the lock.
func (x *worker) howDone(r *run) string {
	if r.spec.failsFirst && x.world.isFirstRun(r.task) {
		return "failed"
	}
	return "done"
}

// filling is the sum of the shares at which what fills works. The caller holds the lock.
func (x *worker) filling() float64 {
	sum := 0.0
	for _, r := range x.runs {
		if !r.spec.serves {
			sum += float64(r.percent) / 100
		}
	}
	return sum
}

// disturbance is what one task that fills at its full share adds to the tail of a serving one, as a share of
// the target.
const disturbance = 0.45

// tail is the tail of a serving task in ms. The caller holds the lock.
func (x *worker) tail(r *run) float64 {
	return r.spec.target * (x.ownTail + disturbance*x.filling())
}

// figure is the fifth entry of a listed run: the tail in ms, or the processor in use. The caller holds the lock.
func (x *worker) figure(r *run) int {
	if r.spec.serves {
		return int(x.tail(r) * (0.98 + 0.04*x.world.draw()))
	}
	return 10 * r.percent
}

// work lets the tasks work for a time.
func (x *worker) work(now time.Time, by time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.down {
		return
	}
	lapsed := x.clock() > x.deadline
	for _, r := range x.runs {
		if !r.paceAt.IsZero() && now.After(r.paceAt) {
			r.percent, r.paceAt = r.nextPace, time.Time{}
		}
		r.worked += time.Duration(float64(by) * float64(r.percent) / 100)
		switch {
		case lapsed:
			x.end(r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			x.end(r, "stopped")
		case !r.spec.serves && r.worked >= r.spec.work:
			x.end(r, x.howDone(r))
		}
	}
	for _, r := range x.runs {
		switch over := r.spec.serves && x.tail(r) > r.spec.target && x.ownTail < 1 && x.filling() > 0; {
		case !over:
			r.overFrom = time.Time{}
		case r.overFrom.IsZero():
			r.overFrom = now
		}
	}
}
