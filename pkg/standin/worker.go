package standin

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/worker"
	"foldarch.dev/foldarch/pkg/worker/workerapi"
	"github.com/google/uuid"
)

// WorkerConfig describes one stand-in worker.
type WorkerConfig struct {
	ID       string
	Hall     cell.Hall
	Rack     string
	Labels   []string
	Capacity cell.Resources
	// CheckEpochs makes the endpoints on the worker refuse calls with a lower epoch than they have seen.
	CheckEpochs bool
}

// Worker is a stand-in worker. It refuses commands of an earlier epoch, commands that arrive after their
// deadline and commands for another incarnation, and ends a task when its lease expires.
type Worker struct {
	cfg         WorkerConfig
	runLog      *RunLog
	incarnation string
	startTime   time.Time

	mu            sync.Mutex
	tasks         map[string]*task
	epochs        map[string]int64 // by shard: of the last commands
	sequence      map[string]int64 // by shard: of the last commands in the current epoch
	draining      bool
	dead          bool
	delay         time.Duration
	answersToLose int // commands that are still to lose their answer
}

type task struct {
	spec        workerapi.TaskSpec
	epoch       int64
	state       workerapi.TaskState
	result      string
	leaseExpiry time.Time
	run         *Run
	endpoint    *Endpoint
	stop        chan struct{}
}

// NewWorker returns a worker without tasks.
func NewWorker(cfg WorkerConfig, log *RunLog) *Worker {
	return &Worker{
		cfg: cfg, runLog: log, incarnation: uuid.NewString(), startTime: time.Now(),
		tasks: map[string]*task{}, epochs: map[string]int64{}, sequence: map[string]int64{},
	}
}

// Handler returns the HTTP handler of the worker, which applies the faults.
func (w *Worker) Handler() (http.Handler, error) {
	inner, err := workerapi.NewServer(w)
	if err != nil {
		return nil, err
	}
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		delay, lose, dead := w.admit(r.Method == http.MethodPost)
		time.Sleep(delay)
		if dead {
			panic(http.ErrAbortHandler)
		}
		if lose {
			inner.ServeHTTP(discardResponse{http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		inner.ServeHTTP(rw, r)
	}), nil
}

// admit returns the faults that apply to a call: lose says that its answer is to be lost, and dead that the
// worker is killed and does not answer.
func (w *Worker) admit(command bool) (delay time.Duration, lose, dead bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if command && w.answersToLose > 0 {
		w.answersToLose--
		lose = true
	}
	return w.delay, lose, w.dead
}

// LoseAnswers makes the next n command calls take effect without an answer.
func (w *Worker) LoseAnswers(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answersToLose = n
}

// Kill ends all tasks and makes the worker stop answering, like a host that lost its power.
func (w *Worker) Kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead = true
	for id := range w.tasks {
		w.endTask(id, "killed")
	}
}

// Revive makes a killed worker answer again, without tasks, with a new incarnation id and a clock that begins anew.
func (w *Worker) Revive() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead = false
	w.incarnation, w.startTime = uuid.NewString(), time.Now()
	w.tasks, w.epochs, w.sequence = map[string]*task{}, map[string]int64{}, map[string]int64{}
}

// Drain makes the worker report that it is draining.
func (w *Worker) Drain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.draining = true
}

// ReadStatus implements workerapi.Handler.
func (w *Worker) ReadStatus(context.Context) (*workerapi.Status, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buildStatus(), nil
}

// SendCommands implements workerapi.Handler. It carries out all commands of a call, or refuses all with
// Stale.
func (w *Worker) SendCommands(_ context.Context, c *workerapi.Commands) (workerapi.SendCommandsRes, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isStale(c) {
		return &workerapi.Stale{Incarnation: w.incarnation, Epoch: w.epochs[c.Shard], ClockMs: w.uptimeMs()}, nil
	}
	w.epochs[c.Shard] = c.Epoch
	w.sequence[c.Shard] = c.Sequence
	for _, id := range c.Renew {
		w.renewLease(id, c)
	}
	for _, id := range c.Drain {
		w.drainTask(id)
	}
	for _, id := range c.Stop {
		if _, ok := w.tasks[id]; ok {
			w.endTask(id, worker.ResultStopped)
		}
	}
	for _, id := range c.Forget {
		w.forgetTask(id)
	}
	for _, spec := range c.Start {
		w.startTask(spec, c.Epoch)
	}
	return w.buildStatus(), nil
}

// isStale reports whether commands are for another incarnation, come from a previous owner (a lower epoch), are
// a repetition or older than the last ones (the sequence), or arrive after their deadline.
func (w *Worker) isStale(c *workerapi.Commands) bool {
	known := w.epochs[c.Shard]
	repeated := c.Epoch == known && c.Sequence <= w.sequence[c.Shard]
	return c.Incarnation != w.incarnation || c.Epoch < known || repeated || w.uptimeMs() > c.NotAfterMs
}

// Tick ends and forgets the tasks whose lease has expired.
func (w *Worker) Tick() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for id, t := range w.tasks {
		if t.running() && now.After(t.leaseExpiry) {
			w.endTask(id, "lapsed")
			delete(w.tasks, id)
		}
	}
}

func (t *task) running() bool {
	return t.state == workerapi.TaskStateRunning || t.state == workerapi.TaskStateDraining
}

// uptimeMs returns the clock of the worker: the milliseconds since its incarnation started.
func (w *Worker) uptimeMs() int64 {
	return time.Since(w.startTime).Milliseconds()
}

func (w *Worker) renewLease(id string, c *workerapi.Commands) {
	if t, ok := w.tasks[id]; ok && t.running() {
		t.epoch = c.Epoch
		t.leaseExpiry = time.Now().Add(time.Duration(c.LeaseMs) * time.Millisecond)
	}
}

func (w *Worker) forgetTask(id string) {
	if t, ok := w.tasks[id]; ok && !t.running() {
		delete(w.tasks, id)
	}
}

// startTask starts a task, even if it exceeds the capacity of the worker. A task that the worker already has
// is not started again.
func (w *Worker) startTask(spec workerapi.TaskSpec, epoch int64) {
	if _, ok := w.tasks[spec.ID]; ok {
		return
	}
	t := &task{
		spec: spec, epoch: epoch, state: workerapi.TaskStateRunning, stop: make(chan struct{}),
		leaseExpiry: time.Now().Add(time.Duration(spec.LeaseMs) * time.Millisecond),
	}
	w.tasks[spec.ID] = t
	w.checkCapacity(spec.ID)
	if spec.Kind == workerapi.TaskSpecKindService {
		w.startService(t)
		return
	}
	t.run = w.runLog.Begin(Run{
		Kind: "batch", Key: spec.ID, Where: w.cfg.ID,
		NotRepeatable: strings.Contains(spec.Payload, "not-repeatable"),
	})
	go w.runBatch(t)
}

// checkCapacity records a violation if the running tasks, with the new task id, exceed the capacity.
func (w *Worker) checkCapacity(id string) {
	var used cell.Resources
	for _, t := range w.tasks {
		if t.running() {
			used = used.Add(cell.Resources(convertResources(t.spec.Resources)))
		}
	}
	if !used.Fits(w.cfg.Capacity) {
		w.runLog.AddViolation(InvariantCapacity, "worker "+w.cfg.ID+" holds "+used.String()+" after "+id)
	}
}

func convertResources(r workerapi.Resources) cell.Resources {
	return cell.Resources{CPUMillis: r.CPUMillis, MemoryMB: r.MemoryMB, Accelerators: r.Accelerators}
}

func (w *Worker) startService(t *task) {
	e, err := StartEndpoint(EndpointConfig{
		ID: t.spec.ID, Worker: w.cfg.ID, Slots: t.spec.Slots, CheckEpochs: w.cfg.CheckEpochs,
	}, w.runLog)
	if err != nil {
		t.state = workerapi.TaskStateFailed
		t.result = err.Error()
		return
	}
	t.endpoint = e
	t.run = w.runLog.Begin(Run{Kind: "service", Key: t.spec.ID, Where: w.cfg.ID})
}

// runBatch runs a batch task. A payload such as "ms=50 text" takes 50 ms, and the result is "done: " and the
// payload.
func (w *Worker) runBatch(t *task) {
	timer := time.NewTimer(payloadDuration(t.spec.Payload))
	defer timer.Stop()
	select {
	case <-t.stop:
		return
	case <-timer.C:
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !t.running() {
		return
	}
	t.state = workerapi.TaskStateDone
	t.result = "done: " + t.spec.Payload
	w.runLog.End(t.run, "done")
}

// drainTask makes the endpoint of a service task leave, and ends the task when the endpoint has no more
// calls.
func (w *Worker) drainTask(id string) {
	t, ok := w.tasks[id]
	if !ok || t.state != workerapi.TaskStateRunning {
		return
	}
	t.state = workerapi.TaskStateDraining
	if t.endpoint == nil {
		return // a batch task runs to its end
	}
	t.endpoint.Leave()
	go func() {
		t.endpoint.WaitIdle()
		w.mu.Lock()
		defer w.mu.Unlock()
		if t.running() {
			w.endTask(id, "done")
			t.state = workerapi.TaskStateDone
		}
	}()
}

// endTask stops a running task at once, with outcome as its result.
func (w *Worker) endTask(id, outcome string) {
	t := w.tasks[id]
	if !t.running() {
		return
	}
	t.state = workerapi.TaskStateFailed
	t.result = outcome
	close(t.stop)
	if t.endpoint != nil {
		t.endpoint.Stop(outcome)
	}
	if t.run != nil {
		w.runLog.End(t.run, outcome)
	}
}

func (w *Worker) buildStatus() *workerapi.Status {
	s := &workerapi.Status{
		Worker: w.cfg.ID, Incarnation: w.incarnation, Hall: string(w.cfg.Hall), Rack: w.cfg.Rack,
		Labels:  append([]string{}, w.cfg.Labels...),
		ClockMs: w.uptimeMs(), Draining: w.draining, Tasks: []workerapi.Task{},
		Capacity: workerapi.Resources{
			CPUMillis: w.cfg.Capacity.CPUMillis, MemoryMB: w.cfg.Capacity.MemoryMB,
			Accelerators: w.cfg.Capacity.Accelerators,
		},
	}
	for _, t := range w.tasks {
		s.Tasks = append(s.Tasks, t.toAPI())
	}
	return s
}

func (t *task) toAPI() workerapi.Task {
	r := workerapi.Task{
		ID: t.spec.ID, Workload: t.spec.Workload, Kind: workerapi.TaskKind(t.spec.Kind),
		Resources: t.spec.Resources, State: t.state, Epoch: t.epoch,
		Slots: workerapi.NewOptInt(t.spec.Slots),
	}
	if t.endpoint != nil {
		r.Endpoint = workerapi.NewOptString(t.endpoint.Address().String())
	}
	if t.result != "" {
		r.Result = workerapi.NewOptString(t.result)
	}
	return r
}
