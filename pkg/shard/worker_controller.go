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
	// exchangeTimeout limits one exchange with a worker.
	exchangeTimeout = time.Second
	// pollDivisor sets how often a worker with batch tasks is polled: after the time since a
	// batch task was last started on it, divided by pollDivisor. The end of that task is
	// thus noticed late by at most a quarter of its run time.
	pollDivisor = 4
	// minPollInterval is the shortest interval that results from pollDivisor.
	minPollInterval = 100 * time.Millisecond
)

// workerController sends commands to one worker and processes its reports. Its fields are
// guarded by the engine's lock.
type workerController struct {
	engine       *Engine
	host         store.Host
	wakeExchange chan struct{}

	leaving        bool // the worker is being drained and takes no new tasks
	status         worker.Status
	clockKnown     bool // status holds the worker's clock, so that commands can be sent
	reported       bool // the worker has answered a command of this epoch and was not lost since
	sequence       int64
	lastBatchStart clock.Time // when a batch task was last started
	// leasesExpire is when all leases that were given to the worker have certainly expired.
	leasesExpire clock.Time

	tasks map[string]startState // the tasks that are placed on the worker

	// The maps of pending commands, by task id, hold what the worker has not acknowledged yet.
	pendingStarts  map[string]worker.Task
	firstSends     []string // starts that were sent for the first time with the last commands
	pendingDrains  map[string]bool
	drainRequested map[string]bool // tasks for which a drain was requested, acknowledged or not
	pendingStops   map[string]bool
	pendingForgets map[string]bool // ended tasks whose result the worker need not keep
}

// startState says how far the start of a task has come.
type startState int

const (
	notSent      startState = iota // not sent to the worker: the task certainly does not run
	sent                           // sent to the worker: the task may run
	acknowledged                   // accepted by the worker
)

func newWorkerController(e *Engine, h store.Host) *workerController {
	return &workerController{
		engine: e, host: h, wakeExchange: make(chan struct{}, 1),
		tasks: map[string]startState{}, pendingStarts: map[string]worker.Task{}, pendingDrains: map[string]bool{},
		drainRequested: map[string]bool{}, pendingStops: map[string]bool{}, pendingForgets: map[string]bool{},
	}
}

func (w *workerController) site() settings.Site {
	s := settings.Site{Hall: w.status.Hall, Rack: w.status.Rack, Labels: w.status.Labels}
	if h, ok := w.engine.tree.Layout.Hall(s.Hall); ok {
		s.Region = h.Region
	}
	return s
}

func (w *workerController) start(t worker.Task) {
	w.tasks[t.ID] = notSent
	if !t.Service {
		w.lastBatchStart = w.engine.now()
	}
	w.pendingStarts[t.ID] = t
	w.wake()
}

func (w *workerController) drain(id string) {
	w.engine.router.MarkLeaving(id)
	if w.drainRequested[id] {
		return
	}
	w.pendingDrains[id], w.drainRequested[id] = true, true
	w.wake()
}

// removeTask removes a task that no longer runs, and returns how far its start had come.
func (w *workerController) removeTask(id string) startState {
	state := w.tasks[id]
	delete(w.tasks, id)
	delete(w.pendingStarts, id)
	delete(w.pendingDrains, id)
	delete(w.drainRequested, id)
	delete(w.pendingStops, id)
	return state
}

func (w *workerController) stop(id string) {
	w.pendingStops[id] = true
	w.wake()
}

// wake makes the controller exchange commands and a report with the worker
// without waiting for its next interval.
func (w *workerController) wake() {
	select {
	case w.wakeExchange <- struct{}{}:
	default:
	}
}

// run exchanges commands and reports with the worker until ctx ends.
func (w *workerController) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-w.wakeExchange:
		}
		err := w.exchange(ctx)
		timer.Reset(w.exchangeDelay(err))
	}
}

// exchangeDelay returns how long to wait until the next exchange; err is the error of the
// last one. A batch task that was started recently may be short, so the worker is polled
// soon, and less and less often the longer the task takes.
func (w *workerController) exchangeDelay(err error) time.Duration {
	e := w.engine
	longest := e.cfg.ReportEvery
	if err != nil {
		return min(longest, exchangeTimeout)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !w.hasBatchTask() {
		return longest
	}
	return min(max(e.now().Sub(w.lastBatchStart)/pollDivisor, minPollInterval), longest)
}

func (w *workerController) hasBatchTask() bool {
	for id := range w.tasks {
		if !isServiceTask(id) {
			return true
		}
	}
	return false
}

// exchange sends one set of commands to the worker and processes the report that it returns.
func (w *workerController) exchange(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	e := w.engine
	if err := w.readClock(ctx); err != nil {
		w.handleFailure(err)
		return err
	}
	e.mu.Lock()
	cmds, ok := w.buildCommands()
	address := w.host.Address
	e.mu.Unlock()
	if !ok || !e.authorized() {
		return nil
	}
	status, err := e.deps.Workers.Command(ctx, address, cmds)
	if err != nil {
		if errors.IsAny(err, worker.ErrStale, worker.ErrUnreachable) {
			w.markFirstSendsNotSent()
		}
		w.handleFailure(err)
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	w.handleStatus(cmds, status)
	return nil
}

// markFirstSendsNotSent records that the last commands were certainly not carried out. Starts that had been sent before
// may have been.
func (w *workerController) markFirstSendsNotSent() {
	w.engine.mu.Lock()
	defer w.engine.mu.Unlock()
	for _, id := range w.firstSends {
		if w.tasks[id] == sent {
			w.tasks[id] = notSent
		}
	}
}

// readClock requests the worker's status when its clock is not known.
func (w *workerController) readClock(ctx context.Context) error {
	e := w.engine
	e.mu.Lock()
	clockKnown, address := w.clockKnown, w.host.Address
	e.mu.Unlock()
	if clockKnown {
		return nil
	}
	status, err := e.deps.Workers.Status(ctx, address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if w.status.Incarnation != "" && w.status.Incarnation != status.Incarnation {
		w.handleRestart(status.Incarnation)
	}
	w.status, w.clockKnown = status, true
	return nil
}

// handleRestart processes that another incarnation of the worker has answered. The tasks of the earlier one have ended.
// A start that it did not answer counts as carried out, so it is not sent to the next one. The caller holds
// the engine's lock.
func (w *workerController) handleRestart(incarnation string) {
	e := w.engine
	e.log("worker_restarted", logrus.Fields{"worker": w.host.ID, "tasks": len(w.tasks), "incarnation": incarnation})
	for _, id := range slices.Sorted(maps.Keys(w.tasks)) {
		if w.tasks[id] != notSent {
			e.removeEndpoint(id)
			e.handleTaskGone(id)
		}
	}
}

// buildCommands returns the commands to be sent now. They are valid until the engine's
// authority ends; there are none, and the result is false, once it has ended. The caller
// holds the engine's lock.
func (w *workerController) buildCommands() (worker.Commands, bool) {
	e := w.engine
	epoch, until, ok := e.deps.Authority()
	if !ok || epoch != e.cfg.Epoch {
		return worker.Commands{}, false
	}
	w.sequence++
	w.leasesExpire = max(w.leasesExpire, until.Add(e.cfg.TaskLease+clockMargin))
	cmds := worker.Commands{
		Shard: e.cfg.Shard, Epoch: epoch, Sequence: w.sequence, ValidUntil: until,
		LastStatus: w.status, Lease: e.cfg.TaskLease,
		Drain:  slices.Sorted(maps.Keys(w.pendingDrains)),
		Stop:   slices.Sorted(maps.Keys(w.pendingStops)),
		Forget: slices.Sorted(maps.Keys(w.pendingForgets)),
	}
	w.firstSends = nil
	for _, id := range slices.Sorted(maps.Keys(w.pendingStarts)) {
		cmds.Start = append(cmds.Start, w.pendingStarts[id])
		if w.tasks[id] == notSent {
			w.firstSends = append(w.firstSends, id)
		}
		w.tasks[id] = sent
	}
	for _, id := range slices.Sorted(maps.Keys(w.tasks)) {
		if w.tasks[id] == acknowledged {
			cmds.Renew = append(cmds.Renew, id)
		}
	}
	return cmds, true
}

// handleFailure processes a failed exchange. Once all leases that were given to the worker
// have expired, its tasks have certainly ended, and the worker is removed from placement.
func (w *workerController) handleFailure(err error) {
	e := w.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	if errors.Is(err, worker.ErrStale) {
		w.clockKnown = false // the clock that the commands were based on may be that of an earlier incarnation
	}
	if errors.Is(err, worker.ErrRestarted) {
		w.wake()
	}
	if !w.reported || e.now() <= w.leasesExpire {
		return
	}
	e.log("worker_lost", logrus.Fields{"worker": w.host.ID, "tasks": len(w.tasks), "error": err})
	w.reported, w.clockKnown = false, false
	for _, id := range slices.Sorted(maps.Keys(w.tasks)) {
		e.removeEndpoint(id)
		e.handleTaskGone(id)
	}
	e.placer.RemoveWorker(w.host.ID)
	w.tasks, w.pendingStarts = map[string]startState{}, map[string]worker.Task{}
	w.pendingDrains, w.drainRequested, w.pendingStops = map[string]bool{}, map[string]bool{}, map[string]bool{}
}

// handleStatus processes the worker's answer to cmds. The caller holds the engine's lock.
func (w *workerController) handleStatus(cmds worker.Commands, status worker.Status) {
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
		e.handleReport(w, r)
	}
	for _, id := range slices.Sorted(maps.Keys(w.tasks)) {
		if w.tasks[id] == acknowledged && !seen[id] {
			e.removeEndpoint(id)
			e.handleTaskGone(id)
		}
	}
	if w.leaving {
		e.drainWorker(w)
	}
	e.wake()
}

// acknowledge removes the commands that the worker has answered from the pending ones, and
// marks the started tasks as accepted.
func (w *workerController) acknowledge(cmds worker.Commands) {
	for _, t := range cmds.Start {
		delete(w.pendingStarts, t.ID)
		if _, ok := w.tasks[t.ID]; ok {
			w.tasks[t.ID] = acknowledged
		}
	}
	for _, id := range cmds.Drain {
		delete(w.pendingDrains, id)
	}
	for _, id := range cmds.Stop {
		delete(w.pendingStops, id)
	}
	for _, id := range cmds.Forget {
		delete(w.pendingForgets, id)
	}
}
