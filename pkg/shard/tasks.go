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
	placeEvery = 200 * time.Millisecond
	// placeMost bounds the decisions made under the lock at a time.
	placeMost = 128
	// intentionPause is the attempt whose pause follows an intention that was not stored.
	intentionPause = 5
	// firstReports is how long the first owner of a shard waits for all workers.
	firstReports = 2 * time.Second
)

// putInstances works out which service tasks the shard has to run and brings them about.
func (e *Engine) putInstances() {
	desired := map[string]settings.Workload{}
	for _, w := range e.tree.Sorted() {
		if w.Kind != settings.KindService {
			continue
		}
		for _, i := range settings.InstancesOf(w, e.tree.Layout) {
			if i.Shard == e.cfg.Shard {
				desired[i.Task] = w
			}
		}
	}
	for id := range e.desired {
		if _, ok := desired[id]; !ok {
			e.unwant(id)
		}
	}
	e.desired = desired
	e.submitDesired()
	e.drainMisplaced()
}

// submitDesired lets the service tasks that run nowhere wait for a place. Before a new
// owner knows what runs, it must not start anything that may run already.
func (e *Engine) submitDesired() {
	if e.recovery.settled {
		e.submitServices()
	}
}

func (e *Engine) submitServices() {
	for id, w := range e.desired {
		e.placer.Submit(taskOf(w, id), e.now())
	}
}

// drainMisplaced drains the service tasks that run where the rules no longer allow it.
func (e *Engine) drainMisplaced() {
	for id, w := range e.desired {
		workerID, ok := e.placer.WorkerOf(id)
		if !ok {
			continue
		}
		duty := e.workers[workerID]
		if allowed, reason := w.Place.Allows(duty.site()); !allowed {
			e.log("drain", logrus.Fields{"task": id, "worker": workerID, "reason": reason})
			duty.drain(id)
		}
	}
}

// unwant ends a service task that the settings no longer ask for.
func (e *Engine) unwant(id string) {
	if e.placer.Withdraw(id) {
		return
	}
	if workerID, ok := e.placer.WorkerOf(id); ok {
		e.workers[workerID].drain(id)
	}
}

func taskOf(w settings.Workload, id string) placement.Task {
	return placement.Task{
		ID: id, Workload: w.Name, Team: w.Team, Class: w.Class, Policy: w.Policy,
		Resources: w.Resources, Place: w.Place, Repeatable: w.Repeatable,
	}
}

// batchTaskOf is the task of a batch request; its deadline orders it among others.
func (e *Engine) batchTaskOf(r batch.Record, w settings.Workload) placement.Task {
	t := taskOf(w, string(r.ID))
	t.Repeatable = !r.NotRepeatable
	t.Deadline = e.now().Add(r.At.Add(w.Window).Sub(e.deps.Clock.Wall()))
	return t
}

// place is the duty that decides which waiting task starts where.
func (e *Engine) place(ctx context.Context) {
	ticker := time.NewTicker(placeEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-e.kick:
		}
		e.placeOnce(ctx)
	}
}

func (e *Engine) placeOnce(ctx context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.checkSettled()
	if e.tree == nil || !e.authorized() {
		return
	}
	for _, d := range e.placer.Next(e.now(), placeMost) {
		e.logPlacement(d)
		if d.Kind == placement.Preempt {
			e.workers[d.Worker].stop(d.Task.ID)
			continue
		}
		e.start(ctx, d)
	}
}

// checkSettled ends the recovery of a new owner when nothing can run any more of which
// no worker has told.
func (e *Engine) checkSettled() {
	r := &e.recovery
	if r.settled || !r.hostsKnown || e.tree == nil {
		return
	}
	if !e.allReported() && e.now() < e.reportsDue() {
		return
	}
	if !r.batchesIn {
		e.submitServices() // what services lack needs no word from the store
		return
	}
	r.settled = true
	e.log("recovered", logrus.Fields{"took_ms": e.now().Sub(e.began).Milliseconds(), "workers": len(e.workers)})
	e.submitDesired()
	for _, record := range e.book.Open() {
		e.resume(record)
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

// reportsDue is until when the owner waits for workers that have not reported: until the
// leases that a former owner gave have lapsed for certain. The first owner of a shard waits
// a moment only, so that it does not put everything on the worker that answers first.
func (e *Engine) reportsDue() clock.Time {
	if !e.recovery.inherited {
		return e.began.Add(firstReports)
	}
	return e.began.Add(e.cfg.TaskLease + e.cfg.DispatchFlight + 2*margin)
}

// resume lets a batch request go on that was neither ended nor found on a worker.
func (e *Engine) resume(r batch.Record) {
	w, ok := e.tree.Workloads[r.Workload]
	if _, placed := e.placer.WorkerOf(string(r.ID)); placed || !ok {
		return
	}
	if r.NotRepeatable && r.Intended {
		e.endBatch(batch.End{ID: r.ID, State: batch.Unknown, Result: "the former owner may have started it"}, nil)
		return
	}
	e.placer.Submit(e.batchTaskOf(r, w), e.now())
}

// start hands a placed task to its worker; for a batch request that is not repeatable the
// intention is stored first.
func (e *Engine) start(ctx context.Context, d placement.Decision) {
	duty := e.workers[d.Worker]
	task := worker.Task{ID: d.Task.ID, Workload: d.Task.Workload, Resources: d.Task.Resources}
	if w, ok := e.desired[d.Task.ID]; ok {
		task.Service, task.Slots = true, w.Slots
		duty.start(task)
		return
	}
	record, ok := e.book.Get(batch.ID(d.Task.ID))
	if !ok {
		e.placer.End(d.Task.ID)
		return
	}
	task.Payload = record.Payload
	if !record.NotRepeatable || record.Intended {
		duty.start(task)
		return
	}
	e.duties.Go(func() { e.intend(ctx, duty, task) })
}

// intend stores that a request is about to be started. When that fails for certain the
// task goes back to wait; when it is not known whether it is stored, too, since nothing
// was started and this owner knows it.
func (e *Engine) intend(ctx context.Context, duty *workerDuty, task worker.Task) {
	err := e.journal.Append(ctx, batch.Entry{Starting: batch.ID(task.ID)})
	if err != nil {
		_ = store.Pause(ctx, intentionPause) // the store is down; placing it again at once would spin
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err == nil {
		e.book.Apply(batch.Entry{Starting: batch.ID(task.ID)})
		duty.start(task)
		return
	}
	e.log("intention_failed", logrus.Fields{"task": task.ID, "error": err})
	e.gone(task.ID)
}

// gone takes in that a task certainly no longer runs, or never started.
func (e *Engine) gone(id string) {
	started := false
	if workerID, ok := e.placer.WorkerOf(id); ok {
		started = e.workers[workerID].drop(id) != placedOnly
	}
	e.placer.End(id)
	if w, ok := e.desired[id]; ok {
		e.placer.Submit(taskOf(w, id), e.now())
		e.wake()
		return
	}
	if !isServiceTask(id) {
		e.batchGone(batch.ID(id), started)
	}
}

// isServiceTask tells the ids of service tasks ("scoring/seoul-1/0") from those of batch
// requests ("seoul-1.0.93c1…").
func isServiceTask(id string) bool {
	return strings.Contains(id, "/")
}

func (e *Engine) batchGone(id batch.ID, started bool) {
	r, ok := e.book.Get(id)
	if !ok || r.State.Ended() {
		return
	}
	if r.NotRepeatable && started {
		e.endBatch(batch.End{ID: id, State: batch.Unknown, Worker: r.Worker, Result: "its worker was lost"}, nil)
		return
	}
	e.book.Moved(id, batch.Waiting, "")
	if w, ok := e.tree.Workloads[r.Workload]; ok {
		e.placer.Submit(e.batchTaskOf(r, w), e.now())
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
