package shard

import (
	"context"
	"maps"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/placement"
	"foldarch.dev/foldarch/pkg/settings"
	"foldarch.dev/foldarch/pkg/store"
	"foldarch.dev/foldarch/pkg/worker"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

const (
	// commandTimeout bounds one exchange with a worker.
	commandTimeout = time.Second
	// While a batch task runs, its worker is asked again after a part of the time that
	// the task has taken so far: its end is known late by that part at most.
	pollPart  = 4
	pollLeast = 100 * time.Millisecond
)

// workerDuty speaks with one worker. Its fields are guarded by the engine's lock.
type workerDuty struct {
	engine *Engine
	host   store.Host
	wakeUp chan struct{}

	leaving  bool
	status   worker.Status
	clocked  bool // status holds the worker's clock, so that commands can be sent
	reported bool // the worker has answered a command of this epoch
	sequence int64
	started  clock.Time // when a batch task was last started
	// lapse is when all leases that were given to the worker have ended for certain.
	lapse clock.Time

	tasks    map[string]progress
	starting map[string]worker.Task
	draining map[string]bool
	drained  map[string]bool // the drain was ordered before
	stopping map[string]bool
	forget   map[string]bool
}

// progress says how far the start of a task has come.
type progress int

const (
	placedOnly   progress = iota // nothing was sent: the task certainly does not run
	sent                         // it may run
	acknowledged                 // the worker has taken it
)

func newWorkerDuty(e *Engine, h store.Host) *workerDuty {
	return &workerDuty{
		engine: e, host: h, wakeUp: make(chan struct{}, 1),
		tasks: map[string]progress{}, starting: map[string]worker.Task{}, draining: map[string]bool{},
		drained: map[string]bool{}, stopping: map[string]bool{}, forget: map[string]bool{},
	}
}

func (w *workerDuty) site() settings.Site {
	s := settings.Site{Hall: w.status.Hall, Rack: w.status.Rack, Labels: w.status.Labels}
	if h, ok := w.engine.tree.Layout.Hall(s.Hall); ok {
		s.Region = h.Region
	}
	return s
}

func (w *workerDuty) start(t worker.Task) {
	w.tasks[t.ID] = placedOnly
	if !t.Service {
		w.started = w.engine.now()
	}
	w.starting[t.ID] = t
	w.wake()
}

func (w *workerDuty) drain(id string) {
	w.engine.router.Leaving(id)
	if w.drained[id] {
		return
	}
	w.draining[id], w.drained[id] = true, true
	w.wake()
}

// drop forgets a task that no longer runs, and returns how far its start had come.
func (w *workerDuty) drop(id string) progress {
	p := w.tasks[id]
	delete(w.tasks, id)
	delete(w.starting, id)
	delete(w.draining, id)
	delete(w.drained, id)
	delete(w.stopping, id)
	return p
}

func (w *workerDuty) stop(id string) {
	w.stopping[id] = true
	w.wake()
}

func (w *workerDuty) wake() {
	select {
	case w.wakeUp <- struct{}{}:
	default:
	}
}

// run is the duty of one worker.
func (w *workerDuty) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-w.wakeUp:
		}
		err := w.exchange(ctx)
		timer.Reset(w.nextExchange(err))
	}
}

// nextExchange is how long to wait for the next report. A batch task that was started a
// short while ago may be a short one, so that its end is asked for soon, and ever less
// often the longer it takes.
func (w *workerDuty) nextExchange(err error) time.Duration {
	e := w.engine
	most := e.cfg.ReportEvery
	if err != nil {
		return min(most, commandTimeout)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !w.runsBatch() {
		return most
	}
	return min(max(e.now().Sub(w.started)/pollPart, pollLeast), most)
}

func (w *workerDuty) runsBatch() bool {
	for id := range w.tasks {
		if !isServiceTask(id) {
			return true
		}
	}
	return false
}

// exchange sends one set of commands and takes the worker's report in.
func (w *workerDuty) exchange(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	e := w.engine
	if err := w.readClock(ctx); err != nil {
		w.failed(err)
		return err
	}
	e.mu.Lock()
	cmds, ok := w.commands()
	address := w.host.Address
	e.mu.Unlock()
	if !ok || !e.authorized() {
		return nil
	}
	status, err := e.deps.Workers.Command(ctx, address, cmds)
	if err != nil {
		w.failed(err)
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	w.answered(cmds, status)
	return nil
}

// readClock asks for a status when the worker's clock is not known.
func (w *workerDuty) readClock(ctx context.Context) error {
	e := w.engine
	e.mu.Lock()
	clocked, address := w.clocked, w.host.Address
	e.mu.Unlock()
	if clocked {
		return nil
	}
	status, err := e.deps.Workers.Status(ctx, address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	w.status, w.clocked = status, true
	return nil
}

// commands builds what is to be sent now, under the authority that there is.
func (w *workerDuty) commands() (worker.Commands, bool) {
	e := w.engine
	epoch, until, ok := e.deps.Authority()
	if !ok || epoch != e.cfg.Epoch {
		return worker.Commands{}, false
	}
	w.sequence++
	w.lapse = max(w.lapse, until.Add(e.cfg.TaskLease+margin))
	cmds := worker.Commands{
		Shard: e.cfg.Shard, Epoch: epoch, Sequence: w.sequence, ValidUntil: until,
		Known: w.status, Lease: e.cfg.TaskLease,
		Drain:  slices.Sorted(maps.Keys(w.draining)),
		Stop:   slices.Sorted(maps.Keys(w.stopping)),
		Forget: slices.Sorted(maps.Keys(w.forget)),
	}
	for _, id := range slices.Sorted(maps.Keys(w.starting)) {
		cmds.Start = append(cmds.Start, w.starting[id])
		w.tasks[id] = sent
	}
	for _, id := range slices.Sorted(maps.Keys(w.tasks)) {
		if w.tasks[id] == acknowledged {
			cmds.Renew = append(cmds.Renew, id)
		}
	}
	return cmds, true
}

// failed takes in that an exchange failed. When every lease has lapsed, the tasks on the
// worker have certainly ended.
func (w *workerDuty) failed(err error) {
	e := w.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	if errors.Is(err, worker.ErrStale) {
		w.clocked = false // the clock may have jumped with a restart of the worker
	}
	if !w.reported || e.now() <= w.lapse {
		return
	}
	e.log("worker_lost", logrus.Fields{"worker": w.host.ID, "tasks": len(w.tasks), "error": err})
	w.reported, w.clocked = false, false
	for _, id := range slices.Sorted(maps.Keys(w.tasks)) {
		e.removeEndpoint(id)
		e.gone(id)
	}
	e.placer.RemoveWorker(w.host.ID)
	w.tasks, w.starting = map[string]progress{}, map[string]worker.Task{}
	w.draining, w.drained, w.stopping = map[string]bool{}, map[string]bool{}, map[string]bool{}
}

// answered takes a report in. The caller holds the engine's lock.
func (w *workerDuty) answered(cmds worker.Commands, status worker.Status) {
	w.acknowledge(cmds)
	w.status = status
	e := w.engine
	e.placer.PutWorker(placement.Worker{ID: w.host.ID, Site: w.site(), Capacity: status.Capacity})
	w.reported = true
	w.leaving = w.leaving || status.Draining
	e.placer.CloseWorker(w.host.ID, w.leaving)
	seen := make(map[string]bool, len(status.Tasks))
	for _, r := range status.Tasks {
		seen[r.ID] = true
		e.reportedTask(w, r)
	}
	for _, id := range slices.Sorted(maps.Keys(w.tasks)) {
		if w.tasks[id] == acknowledged && !seen[id] {
			e.removeEndpoint(id)
			e.gone(id)
		}
	}
	if w.leaving {
		e.drainWorker(w)
	}
	e.wake()
}

// acknowledge marks what the worker has taken.
func (w *workerDuty) acknowledge(cmds worker.Commands) {
	for _, t := range cmds.Start {
		delete(w.starting, t.ID)
		if _, ok := w.tasks[t.ID]; ok {
			w.tasks[t.ID] = acknowledged
		}
	}
	for _, id := range cmds.Drain {
		delete(w.draining, id)
	}
	for _, id := range cmds.Stop {
		delete(w.stopping, id)
	}
	for _, id := range cmds.Forget {
		delete(w.forget, id)
	}
}
