package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/account"
	"foldarch.dev/foldarch/pkg/admission"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/crash"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/outcome"
	"foldarch.dev/foldarch/pkg/queue"
)

// Config are the terms that decisions depend on.
type Config struct {
	// Hold is how long what runs on a worker is leased with each hold.
	Hold time.Duration
	// MaxHold is the longest lease that a former owner may have given.
	MaxHold time.Duration
	// LongestLease is the longest lease that a worker gives, whatever it is told.
	LongestLease time.Duration
	// Drain is the least time that a draining worker stays.
	Drain time.Duration
	// StopGrace is how long a stopped run may take to end.
	StopGrace time.Duration
	// Restore is how long a run takes to go on from a checkpoint.
	Restore time.Duration
	// Token is the owner's fencing token; tokens up to Token + MaxBumps are the owner's own.
	Token int64
	// Term counts the owners. No former owner has started a job accepted under it.
	Term int64
	// FirstRun is below the numbers that this owner gives to runs of tasks about which it
	// may not know all; it is above those of former owners.
	FirstRun int
	// NamedFrom is the first term from which on all owners name a job's workers in the store before they start it; 0 when this one does not.
	NamedFrom int64
	// Takeover says that there was a former owner, whose runs have to be found.
	Takeover bool
	// AuthorityTerm is how long a former owner may go on after it was fenced.
	AuthorityTerm time.Duration
	// Wall reads the time of day, for schedules.
	Wall func() time.Time
	// Log takes events; it must not block.
	Log func(Event)
	// Without leaves mechanisms out, in tests and builds for trials.
	Without Without
}

// MaxBumps is how often an owner may raise the token of a worker.
const MaxBumps = 1<<20 - 1

// Pool is the owner's view of a pool of workers and of the jobs for it.
type Pool struct {
	cfg      Config
	takeover takeoverState
	config   *queue.Config
	// configured are the pools of workers that were named so far.
	configured map[string]bool
	evacuated  []string // data halls
	jobs       map[job.ID]*jobState
	accounts   map[string]*account.Account // of customers, by name
	outcomes   *outcome.Outcomes           // of jobs that have ended and been committed
	// unknown are jobs that workers list and whose records have to be read, and absent those of which the store has none.
	unknown, absent map[job.ID]struct{}
	workers         map[WorkerID]*worker
	// lineages is what is kept of workers over all their lives, by name.
	lineages map[string]*lineage
	meets    []*worker     // that have to be asked from now on
	sorted   []*worker     // all workers by id; nil when one came or went (workersByID)
	usable   usableWorkers // of the plan that is being made; nil between plans
	ready    waitingSteps
	first    firstTurns
	timed    map[*jobState]struct{}
	dirty    map[*jobState]struct{}
	advice   adviceCalls
	limiter  *admission.Limiter
	stops    []*run
	settles  []*worker
	paces    []*run
	// toStore are starts that wait for a commit, and stored those that the store has and that are not ordered yet.
	toStore, stored []*run
	crashes         *crash.History
	// parting are workers that have crashed under starts that are not committed as crashes yet, and missedWorker is one that did under
	// starts of a former owner (takeover.missed).
	parting      map[WorkerID]WorkerInfo
	missedWorker WorkerInfo
	rosterNews   map[string]struct{} // names of workers (TakeRosterNews)
	createdAt    clock.Time
	surveyedAt   clock.Time // all workers were looked at (surveyWorkers)
	loads        map[string]*poolLoad
	// confirmedAt is when the store is known to have named this owner last (Confirmed), and
	// unconfirmed says that it has to be asked again.
	confirmedAt clock.Time
	unconfirmed bool
	// namesSince is since when names of workers wait to be stored, and namesTaken the same of those that are on their way; 0 without any.
	namesSince, namesTaken clock.Time
	news                   bool       // there is more to plan than before the present event
	loaded                 bool       // the jobs of the store are known
	fenced                 bool       // a worker has seen a token of a later owner
	now                    clock.Time // of the present event
	steps, lives           int64      // made and taken in so far
}

// New returns a pool without workers and jobs.
func New(cfg Config, now clock.Time) *Pool {
	p := &Pool{
		cfg: cfg, takeover: newTakeover(cfg, now),
		jobs: map[job.ID]*jobState{}, accounts: map[string]*account.Account{}, outcomes: outcome.New(), unknown: map[job.ID]struct{}{}, absent: map[job.ID]struct{}{}, workers: map[WorkerID]*worker{}, lineages: map[string]*lineage{}, configured: map[string]bool{},
		timed: map[*jobState]struct{}{}, dirty: map[*jobState]struct{}{},
		advice: newAdviceCalls(), limiter: admission.NewLimiter(), loads: map[string]*poolLoad{}, parting: map[WorkerID]WorkerInfo{}, rosterNews: map[string]struct{}{}, crashes: crash.NewHistory(togetherWithin, now), createdAt: now,
	}
	p.cfg.Log = func(e Event) {
		e.Customer = p.customerOf(e)
		cfg.Log(e)
	}
	return p
}

// customerOf names whose job an event is about.
func (p *Pool) customerOf(e Event) string {
	id := e.Job
	if id == "" {
		id = e.Task.Job
	}
	if j, ok := p.jobs[id]; ok {
		return j.customer.Name
	}
	return ""
}

// SetLoaded takes in that all jobs of the store are known. Before that, workers are held but
// what they report is left to the next report.
func (p *Pool) SetLoaded() {
	p.loaded = true
	p.markLoaded()
	p.ready.reorder()
	for _, j := range p.jobsByID() {
		p.takeAttempts(j, p.now)
	}
}

// SetConfig puts a configuration in force for the queues of all jobs, unless it is older than the one in force: a new
// owner is told what it read by one duty and what is newer by another, in either order.
func (p *Pool) SetConfig(cfg *queue.Config) {
	if p.config != nil && cfg.Version < p.config.Version {
		return
	}
	p.config = cfg
	for _, x := range cfg.Pools {
		p.configured[x.Name] = true
	}
	for name := range p.accounts {
		p.updateAccount(name)
	}
	for _, j := range p.jobs {
		if q, ok := cfg.Queue(j.queue.Name); ok {
			j.queue = q
		}
	}
	p.ready.reorder()
}

// Configured says that a configuration or the queue of a job has named a pool of workers, or that none is known yet. One that
// a later configuration does not name still has the jobs that were accepted for it.
func (p *Pool) Configured(pool string) bool {
	return len(p.configured) == 0 || p.configured[pool]
}

// AddJob takes in an accepted job; it is known only once. age is how long ago it was
// accepted, as far as the clocks of two hosts tell.
func (p *Pool) AddJob(r job.Record, progress job.Progress, stored bool, age time.Duration, now clock.Time) {
	p.now = now
	id := r.Job.ID
	if _, known := p.jobs[id]; known || p.outcomes.Knows(id) {
		return
	}
	j := &jobState{job: r.Job, queue: r.Queue, customer: r.Customer, stored: stored, term: r.Term, free: r.Term >= p.cfg.Term}
	if p.config != nil {
		if q, ok := p.config.Queue(r.Queue.Name); ok {
			j.queue = q
		}
	}
	j.times = make([]*timeState, r.Job.Schedule.Times())
	j.accepted, j.chains = now.Add(-age), chains(j)
	p.jobs[id] = j
	j.account = p.openAccount(j.customer)
	if p.loaded {
		p.markBeyond(j)
		p.countSent(j)
	}
	p.configured[j.queue.Pool] = true
	p.takeProgress(j, progress)
	j.held = p.mayRunUnknown(j)
	if r.Job.Schedule.Repeat > 0 {
		p.timed[j] = struct{}{}
		p.openDueTimes(j)
	} else {
		p.openTime(j, 0)
	}
	p.becameKnown(id, now)
	p.finishIfDone(j)
	if p.loaded {
		p.takeAttempts(j, now)
	}
}

// AddOutcome takes in the record of a job that has ended, as the store tells.
func (p *Pool) AddOutcome(id job.ID, ended job.Record, now clock.Time) {
	if !p.loaded {
		p.countUnended(ended)
	}
	p.outcomes.Put(id, outcome.Outcome{State: ended.Outcome, Customer: ended.Customer.Name, Since: now, LateUntil: p.lateFrom(ended.LateStart, now)})
	p.becameKnown(id, now)
	j, known := p.jobs[id]
	if !known {
		return
	}
	if j.outcome == "" {
		p.finish(j, ended.Outcome)
	}
	delete(p.dirty, j)
	j.committed = true
	p.forgetIfIdle(j)
}

// openTime makes the steps of a time and lets those begin whose turn has come.
func (p *Pool) openTime(j *jobState, k int) *timeState {
	if j.times[k] != nil {
		return j.times[k]
	}
	t := &timeState{job: j, index: k}
	t.setObjective(p.dueAt(j, k, p.now))
	for i := range j.job.Steps {
		spec := &j.job.Steps[i]
		p.steps++
		s := &step{number: p.steps, time: t, index: i, spec: spec, tasks: make([]task, spec.Count), idle: spec.Count, chain: j.chains[i]}
		for n := range s.tasks {
			s.tasks[n] = task{step: s, index: n}
		}
		if spec.MaxPerWorker > 0 {
			s.perOf = map[WorkerID]int{}
		}
		t.steps = append(t.steps, s)
	}
	j.times[k] = t
	p.updateReady(t)
	return t
}

// openDueTimes opens the times of a scheduled job that have come.
func (p *Pool) openDueTimes(j *jobState) {
	wall := p.cfg.Wall()
	for j.nextTime < len(j.times) && !j.job.Schedule.Due(j.nextTime).After(wall) {
		p.openTime(j, j.nextTime)
		j.nextTime++
	}
	if j.nextTime == len(j.times) {
		delete(p.timed, j)
	}
}

// updateReady puts the steps of a time whose turn has come among the ready ones.
func (p *Pool) updateReady(t *timeState) {
	for _, s := range t.steps {
		if t.job.outcome == "" && s.turnHasCome() && s.waiting() > 0 {
			if !s.waits() {
				s.readySince = p.now
				p.ready.put(s)
			}
			p.news = true
		} else {
			p.ready.remove(s)
		}
	}
}

func (s *step) turnHasCome() bool {
	for _, a := range s.spec.After {
		if !s.time.steps[a].finished() {
			return false
		}
	}
	return true
}

// waiting counts the tasks that may be started; of a gang all, those that are missing, or
// none.
func (s *step) waiting() int {
	n := s.idle
	if s.spec.Gang && n < len(s.tasks) && !s.missing() {
		return 0
	}
	return n
}

// Cancel ends a job. It says whether the job is known.
func (p *Pool) Cancel(id job.ID) bool {
	j, ok := p.jobs[id]
	if !ok {
		return p.outcomes.Knows(id)
	}
	if j.outcome == "" {
		p.finish(j, job.Cancelled)
	}
	return true
}

// finish gives a job its outcome and stops what still runs of it.
func (p *Pool) finish(j *jobState, outcome job.State) {
	j.outcome = outcome
	p.dirty[j] = struct{}{}
	delete(p.timed, j)
	for s := range j.steps() {
		p.ready.remove(s)
		p.dropAsk(s)
		if outcome == job.Completed {
			continue // what is still counted of it has ended: members of gangs
		}
		for i := range s.tasks {
			p.stopRun(s.tasks[i].current)
		}
	}
	p.cfg.Log(Event{Name: "job_ended", Job: j.job.ID, Detail: string(outcome)})
}

// finishIfDone completes a job all of whose times are done.
func (p *Pool) finishIfDone(j *jobState) {
	if j.outcome != "" {
		return
	}
	for _, t := range j.times {
		if t == nil || !t.finished() {
			return
		}
	}
	p.finish(j, job.Completed)
}

// State tells how far a job is, as it may be shown, and whose it is; ok is false when it is not known.
func (p *Pool) State(id job.ID) (state job.State, customer string, ok bool) {
	if x, ended := p.outcomes.Of(id); ended {
		return x.State, x.Customer, true
	}
	j, known := p.jobs[id]
	switch {
	case !known:
		return "", "", false
	case j.outcome == job.Cancelled:
		return job.Cancelled, j.customer.Name, true
	case j.began:
		return job.Running, j.customer.Name, true
	}
	return job.Queued, j.customer.Name, true
}

// Pending counts the jobs of a queue of which no task has begun.
func (p *Pool) Pending(queueName string) int {
	n := 0
	for _, j := range p.jobs {
		if j.queue.Name == queueName && !j.began && j.outcome == "" {
			n++
		}
	}
	return n
}

// jobsByID lists all jobs, by id.
func (p *Pool) jobsByID() []*jobState {
	return slices.SortedFunc(maps.Values(p.jobs), compareJobs)
}

func compareJobs(a, b *jobState) int {
	return cmp.Compare(a.job.ID, b.job.ID)
}

// Fenced says that a worker has seen a higher token: another owner has taken over.
func (p *Pool) Fenced() bool {
	return p.fenced
}

// task returns the task of an id, or nil.
func (p *Pool) task(id job.TaskID) *task {
	j, ok := p.jobs[id.Job]
	if !ok || id.Time < 0 || id.Time >= len(j.times) {
		return nil
	}
	t := j.times[id.Time]
	if t == nil {
		t = p.openTime(j, id.Time)
	}
	if id.Step < 0 || id.Step >= len(t.steps) || id.Index < 0 || id.Index >= len(t.steps[id.Step].tasks) {
		return nil
	}
	return &t.steps[id.Step].tasks[id.Index]
}
