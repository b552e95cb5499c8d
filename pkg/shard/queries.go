package shard

import (
	"slices"
	"strings"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/placement"
	"foldarch.dev/foldarch/pkg/routing"
)

// Status is what an engine tells of itself.
type Status struct {
	Shard     cell.ShardID
	Epoch     cell.Epoch
	Authority bool
	Recovered bool
	Usage     placement.Usage
	Endpoints int
	InFlight  int
	Queued    int
	Keys      int
}

// Status returns what the engine has in hand.
func (e *Engine) Status() Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := Status{
		Shard: e.cfg.Shard, Epoch: e.cfg.Epoch, Authority: e.authorized(), Recovered: e.recovery.settled,
		Usage: e.placer.Usage(), Endpoints: e.router.Endpoints(), InFlight: e.inFlight, Keys: e.memory.Len(),
	}
	for _, l := range e.router.Loads() {
		s.Queued += l.Queued
	}
	return s
}

// Loads returns the load of each service, for others that look for free slots.
func (e *Engine) Loads() map[string]routing.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.router.Loads()
}

// InFlight returns how many requests were sent to endpoints and are not over.
func (e *Engine) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.inFlight
}

// TaskDecision says where a task of a workload is, or why it waits.
type TaskDecision struct {
	Task     string
	Decision string
}

// Explain tells of each task of a workload in this shard.
func (e *Engine) Explain(workload string) []TaskDecision {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []TaskDecision
	for id, w := range e.desired {
		if w.Name == workload {
			list = append(list, TaskDecision{id, e.placer.Explain(id)})
		}
	}
	for _, r := range e.book.Open() {
		if r.Workload == workload {
			list = append(list, TaskDecision{string(r.ID), e.placer.Explain(string(r.ID))})
		}
	}
	slices.SortFunc(list, func(a, b TaskDecision) int { return strings.Compare(a.Task, b.Task) })
	return list
}

// DrainWorker makes a worker leave, by an operator's command, and says whether the shard
// has it.
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
