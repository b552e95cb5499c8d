package dispatch

import (
	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
)

// Status is a summary of a pool, for logs and metrics.
type Status struct {
	Workers   int // that may be given tasks now
	Silent    int // that have not answered lately
	Evacuated int // that get no task while their data hall is evacuated
	Jobs      int // not ended
	Steps     int // ready, with waiting tasks
	Waiting   int // tasks of the ready steps
	Runs      int // counted against workers
	Calls     int // for advice, on their way
	Advisers  int // that are free
	Used      cell.Resources
	Capacity  cell.Resources
	// Takeover says that runs of a former owner are still looked for.
	Takeover bool
	Held     int // jobs that wait for them
	Retired  int // silent workers that hold back only some jobs
	// Advice is what calls for advice have taken and brought, by name (advice.Tally).
	Advice map[string]int64
}

// Status summarizes the pool.
func (p *Pool) Status(now clock.Time) Status {
	s := Status{Advice: p.advice.tally.Figures(), Steps: p.ready.count, Calls: len(p.advice.asks), Takeover: p.takeover.pending}
	for _, w := range p.workers {
		if w.gone {
			continue
		}
		if w.usable(now) {
			s.Workers++
		}
		if w.evacuated {
			s.Evacuated++
		}
		if now.Sub(w.lastAnswer) >= usableWithin {
			s.Silent++
		}
		if s.Takeover && !w.reported && w.retired {
			s.Retired++
		}
		s.Runs += len(w.runs)
		s.Used = s.Used.Add(w.used)
		s.Capacity = s.Capacity.Add(w.info.Capacity)
	}
	for _, j := range p.jobs {
		if j.outcome == "" {
			s.Jobs++
		}
		if p.blocked(j) {
			s.Held++
		}
	}
	for step := range p.ready.all() {
		s.Waiting += step.waiting()
	}
	s.Advisers = p.advice.advisers.Free()
	return s
}
