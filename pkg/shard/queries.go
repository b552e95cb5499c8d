package shard

import (
	"slices"
	"strings"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/placement"
	"foldarch.dev/foldarch/pkg/routing"
)

// Status is the state of an engine.
type Status struct {
	Shard     cell.ShardID
	Epoch     cell.Epoch
	Authority bool // the engine may act on the shard now
	Recovered bool // the state that the previous owner left is known
	Usage     placement.Usage
	Endpoints int
	InFlight  int // requests that were sent to endpoints and have not ended
	Queued    int // requests that wait for an endpoint
	Keys      int // idempotency keys in the key table
}

// Status returns the engine's present state.
func (e *Engine) Status() Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := Status{
		Shard: e.cfg.Shard, Epoch: e.cfg.Epoch, Authority: e.authorized(), Recovered: e.recovery.complete,
		Usage: e.placer.Usage(), Endpoints: e.router.EndpointCount(), InFlight: e.inFlight, Keys: e.keyTable.Len(),
	}
	for _, l := range e.router.Loads() {
		s.Queued += l.Queued
	}
	return s
}

// Loads returns the load of each service. Other shards use it to find free slots.
func (e *Engine) Loads() map[string]routing.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.router.Loads()
}

// InFlight returns the number of requests that were sent to endpoints and have not ended.
func (e *Engine) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.inFlight
}

// TaskDecision says where a task is placed, or why it waits.
type TaskDecision struct {
	Task     string
	Decision string
}

// Explain returns a TaskDecision for each task of a workload in this shard, ordered by task id.
func (e *Engine) Explain(workload string) []TaskDecision {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []TaskDecision
	for id, w := range e.desired {
		if w.Name == workload {
			list = append(list, TaskDecision{id, e.placer.Explain(id)})
		}
	}
	for _, r := range e.batches.Unfinished() {
		if r.Workload == workload {
			list = append(list, TaskDecision{string(r.ID), e.placer.Explain(string(r.ID))})
		}
	}
	slices.SortFunc(list, func(a, b TaskDecision) int { return strings.Compare(a.Task, b.Task) })
	return list
}

// DrainWorker drains a worker on an operator's command, and reports whether the shard has
// that worker.
func (e *Engine) DrainWorker(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	w, ok := e.workers[id]
	if !ok {
		return false
	}
	w.leaving = true
	e.drainWorker(w)
	return true
}
