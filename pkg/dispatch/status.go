package dispatch

import (
	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
)

// Status is a summary of a pool, for logs and metrics.
type Status struct {
	Workers             int // may be given tasks now
	UnresponsiveWorkers int // have not answered recently
	SuspendedWorkers    int // get no tasks for a time, apart from those that don't answer
	EvacuatedWorkers    int // get no tasks while their data hall is evacuated
	Jobs                int // have not ended
	WaitingSteps        int // have waiting tasks that may be started
	WaitingTasks        int // waiting tasks of these steps
	Runs                int // counted against workers
	AdviceCalls         int // advice calls in flight
	FreeAdvisers        int // advisers without a call
	Used                cell.Resources
	Capacity            cell.Resources
	// TakeoverPending says that runs of a previous owner are still being looked for.
	TakeoverPending      bool
	BlockedJobs          int // jobs that wait for these runs to be found
	SilentRetiredWorkers int // silent workers that block only the jobs that may have runs there
	// Advice holds the metrics of advice calls and tickets, by name (advice.Tally).
	Advice map[string]int64
}

// Status returns a summary of the pool.
func (p *Pool) Status(now clock.Time) Status {
	s := Status{Advice: p.advice.tally.Metrics(), WaitingSteps: p.waitingSteps.stepCount, AdviceCalls: len(p.advice.pendingCalls), TakeoverPending: p.takeover.pending}
	for _, w := range p.workers {
		if w.terminated {
			continue
		}
		if w.isUsable(now) && !w.isDistrusted(now) {
			s.Workers++
		}
		if w.isHealthy(now) && w.isSuspended(now) {
			s.SuspendedWorkers++
		}
		if w.evacuated {
			s.EvacuatedWorkers++
		}
		if now.Sub(w.lastAnsweredAt) >= answerTimeout {
			s.UnresponsiveWorkers++
		}
		if s.TakeoverPending && !w.reported && w.retired {
			s.SilentRetiredWorkers++
		}
		s.Runs += len(w.runs)
		s.Used = s.Used.Add(w.used)
		s.Capacity = s.Capacity.Add(w.info.Capacity)
	}
	for _, j := range p.jobs {
		if j.outcome == "" {
			s.Jobs++
		}
		if p.isBlockedByTakeover(j) {
			s.BlockedJobs++
		}
	}
	for step := range p.waitingSteps.all() {
		s.WaitingTasks += step.waitingTasks()
	}
	s.FreeAdvisers = p.advice.advisers.IdleCount()
	return s
}
