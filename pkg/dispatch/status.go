package dispatch

import (
	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
)

// Status is a summary of a pool, for logs and metrics.
type Status struct {
	Workers             int // that may be given tasks now
	UnresponsiveWorkers int // that have not answered lately
	EvacuatedWorkers    int // that get no task while their data hall is evacuated
	Jobs                int // not ended
	Steps               int // ready, with waiting tasks
	Waiting             int // tasks of the ready steps
	Runs                int // counted against workers
	AdviceCalls         int // for advice, on their way
	FreeAdvisers        int // that are free
	Used                cell.Resources
	Capacity            cell.Resources
	// Takeover says that runs of a former owner are still looked for.
	TakeoverPending      bool
	BlockedJobs          int // jobs that wait for them
	SilentRetiredWorkers int // silent workers that hold back only some jobs
	// Advice is what calls for advice have taken and brought, by name (advice.Tally).
	Advice map[string]int64
}

// Status summarizes the pool.
func (p *Pool) Status(now clock.Time) Status {
	s := Status{Advice: p.advice.tally.Metrics(), Steps: p.waitingSteps.stepCount, AdviceCalls: len(p.advice.pendingCalls), TakeoverPending: p.takeover.pending}
	for _, w := range p.workers {
		if w.terminated {
			continue
		}
		if w.isUsable(now) {
			s.Workers++
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
		s.Waiting += step.waitingTasks()
	}
	s.FreeAdvisers = p.advice.advisers.IdleCount()
	return s
}
