package shard

import (
	"net/netip"

	"foldarch.dev/foldarch/pkg/batch"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/placement"
	"foldarch.dev/foldarch/pkg/worker"
	"github.com/sirupsen/logrus"
)

// endpointState is the part of an endpoint's state that the router does not keep.
type endpointState struct {
	address  netip.AddrPort
	workload string
	// orphansSince is when the endpoint last may have received a request whose answer this
	// owner does not wait for: when this owner's epoch began, or when an answer was lost.
	orphansSince clock.Time
}

// handleReport processes a worker's report about one task.
func (e *Engine) handleReport(w *workerController, r worker.Report) {
	switch {
	case r.State == worker.Running || r.State == worker.Draining:
		e.handleRunningReport(w, r)
	case r.Service:
		e.removeEndpoint(r.ID)
		w.pendingForgets[r.ID] = true
		if _, ok := w.tasks[r.ID]; ok {
			e.log("task_ended", logrus.Fields{"task": r.ID, "worker": w.host.ID, "state": r.State, "result": r.Result})
			e.handleTaskGone(r.ID)
		}
	default:
		e.handleBatchReport(w, r)
	}
}

func (e *Engine) handleRunningReport(w *workerController, r worker.Report) {
	if _, known := w.tasks[r.ID]; !known {
		if !e.adopt(w, r) {
			return
		}
	}
	if !r.Service {
		e.batches.SetPlacement(batch.ID(r.ID), batch.Running, w.host.ID)
		return
	}
	e.updateEndpoint(r)
	if r.State == worker.Draining {
		e.router.MarkLeaving(r.ID)
		return
	}
	if _, wanted := e.desired[r.ID]; !wanted && e.tree != nil && !w.pendingDrains[r.ID] {
		w.drain(r.ID)
	}
}

// adopt records a task that a worker runs although this owner did not start it there, and
// reports whether it did so. A task that is placed on another worker is not adopted; its
// lease is not renewed, and it ends when the lease expires.
func (e *Engine) adopt(w *workerController, r worker.Report) bool {
	if other, ok := e.placer.WorkerOf(r.ID); ok && other != w.host.ID {
		e.log("task_elsewhere", logrus.Fields{"task": r.ID, "worker": w.host.ID, "placed_on": other})
		return false
	}
	t := placement.Task{ID: r.ID, Workload: r.Workload, Resources: r.Resources}
	if workload, ok := e.tree.Workloads[r.Workload]; ok {
		t = newTask(workload, r.ID)
		t.Resources = r.Resources
	}
	e.placer.AddRunning(t, w.host.ID)
	w.tasks[r.ID] = acknowledged
	w.wake() // renews the lease under this epoch soon
	e.log("task_found", logrus.Fields{"task": r.ID, "worker": w.host.ID})
	return true
}

// updateEndpoint adds the endpoint of a running service task to the router, or replaces it
// when its address has changed.
func (e *Engine) updateEndpoint(r worker.Report) {
	state, known := e.endpoints[r.ID]
	if known && state.address == r.Endpoint {
		return
	}
	if known {
		e.removeEndpoint(r.ID)
	}
	inherited := e.recovery.inherited && !e.recovery.complete
	e.endpoints[r.ID] = &endpointState{address: r.Endpoint, workload: r.Workload, orphansSince: e.startedAt}
	e.router.PutEndpoint(r.Workload, r.ID, r.Slots, inherited)
	e.deliverAll(e.router.DispatchAll(e.now()))
}

func (e *Engine) removeEndpoint(id string) {
	if _, ok := e.endpoints[id]; ok {
		delete(e.endpoints, id)
		e.router.RemoveEndpoint(id)
	}
}

// handleBatchReport processes the report of a batch task that has ended and whose result
// the worker keeps.
func (e *Engine) handleBatchReport(w *workerController, r worker.Report) {
	id := batch.ID(r.ID)
	record, ok := e.batches.Get(id)
	switch {
	case !ok && !e.recovery.batchesLoaded:
		return // the request has not been read from the store yet
	case !ok || record.State.Ended():
		w.pendingForgets[r.ID] = true
		w.removeTask(r.ID)
		e.placer.End(r.ID)
		return
	case r.State == worker.Failed && r.Result == worker.ResultStopped && !record.NotRepeatable:
		w.pendingForgets[r.ID] = true
		e.handleTaskGone(r.ID)
		return
	}
	state := batch.Done
	if r.State == worker.Failed {
		state = batch.Failed
	}
	e.placer.Withdraw(r.ID)
	e.storeBatchEnd(batch.End{ID: id, State: state, Worker: w.host.ID, Result: r.Result}, w)
}

// drainWorker closes a worker to new tasks and drains its service tasks. Its batch tasks
// run to their end.
func (e *Engine) drainWorker(w *workerController) {
	e.placer.CloseWorker(w.host.ID, true)
	for id := range w.tasks {
		if isServiceTask(id) {
			w.drain(id)
		}
	}
}
