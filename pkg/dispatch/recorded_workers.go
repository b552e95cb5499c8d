package dispatch

import (
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/takeover"
)

// Where the store takes enough writes, the workers of a job are named in its progress before a start goes to them (Config.NamedFrom). So a later
// owner knows which silent workers may run the job, and that one without names was never started. A name stands for all lives of a worker: a
// start that was sent to one may be carried out by the next.

const (
	// namesOverdue is how long the store may take to answer before jobs make do with the workers that are named already: it answers within
	// milliseconds, or is slow.
	namesOverdue = 250 * time.Millisecond
	// mostNamedAhead is how many workers are named at once for a step that needs no advice.
	mostNamedAhead = 16
)

// namesWorkers says that all owners which may have started a job have named its workers first, and that this one has to.
func (p *Pool) namesWorkers(j *jobState) bool {
	return p.cfg.NamedFrom > 0 && j.term >= p.cfg.NamedFrom
}

// nameWorker has the store be told that starts of a job may go to a worker.
func (p *Pool) nameWorker(j *jobState, id WorkerID) {
	if !p.namesWorkers(j) || !j.named.Add(id.Name()) {
		return
	}
	p.dirty[j] = struct{}{}
	if p.namesSince == 0 {
		p.namesSince = p.now
	}
}

// NamesWait says that starts wait for names to be stored.
func (p *Pool) NamesWait() bool {
	return p.namesSince != 0
}

// namesAreOverdue says that the store does not answer soon enough for more workers to be named.
func (p *Pool) namesAreOverdue(now clock.Time) bool {
	oldest := p.namesSince
	if p.namesTaken != 0 {
		oldest = p.namesTaken
	}
	return oldest != 0 && now.Sub(oldest) > namesOverdue
}

// mayStartOn says that a start of a job may go to a worker as far as names are concerned.
func (p *Pool) mayStartOn(j *jobState, w *worker) bool {
	return !p.namesWorkers(j) || j.named.Has(w.info.ID.Name())
}

// mayNameFor says that a worker is of use to a job: it is named, or can be soon.
func (p *Pool) mayNameFor(j *jobState, w *worker, now clock.Time) bool {
	return p.mayStartOn(j, w) || !p.namesAreOverdue(now)
}

// nameSome names workers for a step that needs no advice, if those that are named have too little room.
func (p *Pool) nameSome(s *step, unnamed []*worker, room int) {
	need := s.waiting() - room
	for _, w := range unnamed[:min(len(unnamed), max(mostNamedAhead, len(s.tasks)))] {
		if need <= 0 {
			return
		}
		p.nameWorker(s.time.job, w.info.ID)
		need -= fits(s, w)
	}
}

// namesOf lists the workers of a job that are not known to have gone. While the roster tells only of some workers, all are kept.
func (p *Pool) namesOf(j *jobState) []string {
	return j.named.List(func(name string) bool {
		return !p.loaded || p.takeover.unknown || p.anyLife(name)
	})
}

// anyLife says that a life of a worker has not gone.
func (p *Pool) anyLife(name string) bool {
	l, known := p.lineages[name]
	return known && slices.ContainsFunc(l.lives, func(w *worker) bool { return !w.gone })
}

// takeNames takes in that a commit takes all names to the store. It says whether there are any.
func (p *Pool) takeNames() bool {
	p.namesTaken, p.namesSince = p.namesSince, 0
	return p.namesTaken != 0
}

// storeNames takes in that the store has the names of a commit.
func (p *Pool) storeNames(changes []Change) {
	p.namesTaken = 0
	for _, c := range changes {
		if j := p.jobs[c.Job]; j != nil && c.Outcome == "" {
			j.named.Stored(c.Progress.Workers)
		}
	}
	p.news = true
}

// storedNames tells what is known of the workers to which starts of a job may have gone.
func (p *Pool) storedNames(j *jobState) takeover.Names {
	return takeover.Names{Stored: p.namesWorkers(j), Workers: j.named.InStore()}
}

// takeStoredNames takes in the names that the store has of a job.
func (j *jobState) takeStoredNames(progress job.Progress) {
	j.named.Stored(progress.Workers)
}
