package shard

import (
	"context"
	"strings"
	"time"

	"foldarch.dev/foldarch/pkg/batch"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/placement"
	"foldarch.dev/foldarch/pkg/settings"
	"foldarch.dev/foldarch/pkg/store"
	"foldarch.dev/foldarch/pkg/worker"
	"github.com/sirupsen/logrus"
)

const (
	placementInterval = 200 * time.Millisecond
	// maxDecisions limits the placement decisions that are made in one turn under the lock.
	maxDecisions = 128
	// intentBackoffAttempt is the attempt number passed to store.Backoff after an intention to
	// start a request could not be stored; it sets the length of the delay.
	intentBackoffAttempt = 5
	// firstReportsTimeout is how long the first owner of a shard waits for the reports of
	// all workers.
	firstReportsTimeout = 2 * time.Second
)

// updateInstances determines which service tasks the shard has to run, ends those that are
// no longer wanted and queues those that are missing.
func (e *Engine) updateInstances() {
	desired := map[string]settings.Workload{}
	for _, w := range e.tree.Sorted() {
		if w.Kind != settings.KindService {
			continue
		}
		for _, i := range settings.DistributeInstances(w, e.tree.Layout) {
			if i.Shard == e.cfg.Shard {
				desired[i.Task] = w
			}
		}
	}
	for id := range e.desired {
		if _, ok := desired[id]; !ok {
			e.endInstance(id)
		}
	}
	e.desired = desired
	e.submitDesired()
	e.drainDisallowed()
}

// submitDesired queues the service tasks that run nowhere. It does nothing until recovery
// is complete, because before that a task may already run on a worker that has not
// reported yet.
func (e *Engine) submitDesired() {
	if e.recovery.complete {
		e.submitServices()
	}
}

func (e *Engine) submitServices() {
	for id, w := range e.desired {
		e.placer.Submit(newTask(w, id), e.now())
	}
}

// drainDisallowed drains the service tasks on workers where the place rules no longer
// allow them.
func (e *Engine) drainDisallowed() {
	for id, w := range e.desired {
		workerID, ok := e.placer.WorkerOf(id)
		if !ok {
			continue
		}
		controller := e.workers[workerID]
		if allowed, reason := w.Place.Allows(controller.site()); !allowed {
			e.log("drain", logrus.Fields{"task": id, "worker": workerID, "reason": reason})
			controller.drain(id)
		}
	}
}

// endInstance ends a service task that the settings no longer contain.
func (e *Engine) endInstance(id string) {
	if e.placer.Withdraw(id) {
		return
	}
	if workerID, ok := e.placer.WorkerOf(id); ok {
		e.workers[workerID].drain(id)
	}
}

func newTask(w settings.Workload, id string) placement.Task {
	return placement.Task{
		ID: id, Workload: w.Name, Team: w.Team, Class: w.Class, Policy: w.Policy,
		Resources: w.Resources, Place: w.Place, Repeatable: w.Repeatable,
	}
}

// newBatchTask returns the task of a batch request. Its deadline is the end of the
// workload's window after the submission, which sets its order in the queue.
func (e *Engine) newBatchTask(r batch.Record, w settings.Workload) placement.Task {
	t := newTask(w, string(r.ID))
	t.Repeatable = !r.NotRepeatable
	t.Deadline = e.now().Add(r.At.Add(w.Window).Sub(e.deps.Clock.Wall()))
	return t
}

// runPlacement places waiting tasks at each interval and whenever wake is called.
func (e *Engine) runPlacement(ctx context.Context) {
	ticker := time.NewTicker(placementInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-e.wakePlacement:
		}
		e.placeTasks(ctx)
	}
}

func (e *Engine) placeTasks(ctx context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.checkRecovery()
	if e.tree == nil || !e.authorized() {
		return
	}
	for _, d := range e.placer.Next(e.now(), maxDecisions) {
		e.logPlacement(d)
		if d.Kind == placement.Preempt {
			e.workers[d.Worker].stop(d.Task.ID)
			continue
		}
		e.start(ctx, d)
	}
}

// checkRecovery completes the recovery of a new owner once every task that may still run
// is known: all workers have reported, or the leases of those that have not have expired.
// It then queues the service tasks and batch requests that run nowhere.
func (e *Engine) checkRecovery() {
	r := &e.recovery
	if r.complete || !r.hostsKnown || e.tree == nil {
		return
	}
	if !e.allReported() && e.now() < e.reportDeadline() {
		return
	}
	if !r.batchesLoaded {
		e.submitServices() // service tasks do not depend on the batch requests in the store
		return
	}
	r.complete = true
	e.log("recovered", logrus.Fields{"took_ms": e.now().Sub(e.startedAt).Milliseconds(), "workers": len(e.workers)})
	e.submitDesired()
	for _, record := range e.batches.Unfinished() {
		e.resumeBatch(record)
	}
}

func (e *Engine) allReported() bool {
	for _, w := range e.workers {
		if !w.reported {
			return false
		}
	}
	return true
}

// reportDeadline is until when the owner waits for workers that have not reported: until
// the leases that a previous owner gave have certainly expired. The first owner of a shard
// waits only for firstReportsTimeout, so that it does not place all tasks on the worker
// that reports first.
func (e *Engine) reportDeadline() clock.Time {
	if !e.recovery.inherited {
		return e.startedAt.Add(firstReportsTimeout)
	}
	return e.startedAt.Add(e.cfg.TaskLease + e.cfg.MaxTransitTime + 2*clockMargin)
}

// resumeBatch decides about a batch request that has not ended and was not found on a
// worker. It is queued again, unless the request is not repeatable and the previous owner
// stored the intention to start it: then its outcome is unknown.
func (e *Engine) resumeBatch(r batch.Record) {
	w, ok := e.tree.Workloads[r.Workload]
	if _, placed := e.placer.WorkerOf(string(r.ID)); placed || !ok {
		return
	}
	if r.NotRepeatable && r.StartIntended {
		e.storeBatchEnd(batch.End{ID: r.ID, State: batch.Unknown, Result: "the former owner may have started it"}, nil)
		return
	}
	e.placer.Submit(e.newBatchTask(r, w), e.now())
}

// start passes a placed task to its worker's controller. For a batch request that is not
// repeatable, the intention to start it is stored first.
func (e *Engine) start(ctx context.Context, d placement.Decision) {
	controller := e.workers[d.Worker]
	task := worker.Task{ID: d.Task.ID, Workload: d.Task.Workload, Resources: d.Task.Resources}
	if w, ok := e.desired[d.Task.ID]; ok {
		task.Service, task.Slots = true, w.Slots
		controller.start(task)
		return
	}
	record, ok := e.batches.Get(batch.ID(d.Task.ID))
	if !ok {
		e.placer.End(d.Task.ID)
		return
	}
	task.Payload = record.Payload
	if !record.NotRepeatable || record.StartIntended {
		controller.start(task)
		return
	}
	e.goroutines.Go(func() { e.storeIntent(ctx, controller, task) })
}

// storeIntent stores the intention to start a request that is not repeatable, and then
// starts it. When the write fails, or when it is unknown whether it succeeded, the task
// returns to the queue: this owner knows that it did not start the task.
func (e *Engine) storeIntent(ctx context.Context, controller *workerController, task worker.Task) {
	err := e.journal.Append(ctx, batch.Entry{Starting: batch.ID(task.ID)})
	if err != nil {
		_ = store.Backoff(ctx, intentBackoffAttempt) // avoids a busy loop of placements while the store is down
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err == nil {
		e.batches.Apply(batch.Entry{Starting: batch.ID(task.ID)})
		controller.start(task)
		return
	}
	e.log("intention_failed", logrus.Fields{"task": task.ID, "error": err})
	e.handleTaskGone(task.ID)
}

// handleTaskGone processes that a task certainly no longer runs, or never started. If the
// task is still wanted it is queued again.
func (e *Engine) handleTaskGone(id string) {
	started := false
	if workerID, ok := e.placer.WorkerOf(id); ok {
		started = e.workers[workerID].removeTask(id) != notSent
	}
	e.placer.End(id)
	if w, ok := e.desired[id]; ok {
		e.placer.Submit(newTask(w, id), e.now())
		e.wake()
		return
	}
	if !isServiceTask(id) {
		e.handleBatchGone(batch.ID(id), started)
	}
}

// isServiceTask distinguishes the ids of service tasks ("scoring/seoul-1/0") from those of
// batch requests ("seoul-1.0.93c1…").
func isServiceTask(id string) bool {
	return strings.Contains(id, "/")
}

// handleBatchGone queues a batch request again whose task is gone, unless its end is being
// stored. The outcome is unknown when the task was started and the request is not repeatable.
func (e *Engine) handleBatchGone(id batch.ID, started bool) {
	r, ok := e.batches.Get(id)
	if !ok || r.State.Ended() || e.storingEnd[id] {
		return
	}
	if r.NotRepeatable && started {
		e.storeBatchEnd(batch.End{ID: id, State: batch.Unknown, Worker: r.Worker, Result: "its worker was lost"}, nil)
		return
	}
	e.batches.SetPlacement(id, batch.Waiting, "")
	if w, ok := e.tree.Workloads[r.Workload]; ok {
		e.placer.Submit(e.newBatchTask(r, w), e.now())
		e.wake()
	}
}

func (e *Engine) logPlacement(d placement.Decision) {
	decision := "start"
	if d.Kind == placement.Preempt {
		decision = "preempt"
	}
	e.log("placement", logrus.Fields{
		"decision": decision, "task": d.Task.ID, "workload": d.Task.Workload, "team": d.Task.Team,
		"class": d.Task.Class, "worker": d.Worker, "for": d.For, "examined": d.Examined,
		"waited_ms": e.now().Sub(d.Task.Since).Milliseconds(),
	})
}

func (e *Engine) log(event string, fields logrus.Fields) {
	e.deps.Log.WithFields(fields).Info(event)
}
