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
	LeaseDuration time.Duration
	// MaxLeaseDuration is the longest lease that a former owner may have given.
	MaxLeaseDuration time.Duration
	// WorkerMaxLease is the longest lease that a worker gives, whatever it is told.
	WorkerMaxLease time.Duration
	// MinDrainTime is the least time that a draining worker stays.
	MinDrainTime time.Duration
	// StopGrace is how long a stopped run may take to end.
	StopGrace time.Duration
	// RestoreTime is how long a run takes to go on from a checkpoint.
	RestoreTime time.Duration
	// Token is the owner's fencing token; tokens up to Token + MaxTokenIncrements are the owner's own.
	Token int64
	// Term counts the owners. No former owner has started a job accepted under it.
	Term int64
	// RunNumberBase is below the numbers that this owner gives to runs of tasks about which it
	// may not know all; it is above those of former owners.
	RunNumberBase int
	// RecordWorkersFromTerm is the first term from which on all owners name a job's workers in the store before they start it; 0 when this one does not.
	RecordWorkersFromTerm int64
	// Takeover says that there was a former owner, whose runs have to be found.
	HasPreviousOwner bool
	// AuthorityTerm is how long a former owner may go on after it was fenced.
	AuthorityTerm time.Duration
	// WallClock reads the time of day, for schedules.
	WallClock func() time.Time
	// Log takes events; it must not block.
	Log func(Event)
	// Without leaves mechanisms out, in tests and builds for trials.
	Disabled DisabledMechanisms
}

// MaxTokenIncrements is how often an owner may raise the token of a worker.
const MaxTokenIncrements = 1<<20 - 1

// Pool is the owner's view of a pool of workers and of the jobs for it.
type Pool struct {
	cfg      Config
	takeover takeoverState
	config   *queue.Config
	// knownPools are the pools of workers that were named so far.
	knownPools     map[string]bool
	evacuatedHalls []string // data halls
	jobs           map[job.ID]*jobState
	accounts       map[string]*account.Account // of customers, by name
	outcomes       *outcome.Outcomes           // of jobs that have ended and been committed
	// unknown are jobs that workers list and whose records have to be read, and absent those of which the store has none.
	unknownJobs, absentJobs map[job.ID]struct{}
	workers                 map[WorkerID]*worker
	// workerHistories is what is kept of workers over all their lives, by name.
	workerHistories map[string]*workerHistory
	newWorkers      []*worker           // that have to be asked from now on
	sortedWorkers   []*worker           // all workers by id; nil when one came or went (workersByID)
	usableWorkers   usableWorkersByPool // of the plan that is being made; nil between plans
	waitingSteps    waitingQueue
	promotedGangs   gangPromotions
	scheduledJobs   map[*jobState]struct{}
	dirty           map[*jobState]struct{}
	advice          adviceState
	limiter         *admission.Limiter
	pendingStops    []*run
	workersToFence  []*worker
	pendingPaces    []*run
	// startsToStore are starts that wait for a commit, and stored those that the store has and that are not ordered yet.
	startsToStore, startsToOrder []*run
	crashes                      *crash.History
	// parting are workers that have crashed under starts that are not committed as crashes yet, and uncountedCrash is one that did under
	// starts of a former owner (takeover.missed).
	uncommittedCrashes map[WorkerID]WorkerInfo
	uncountedCrash     WorkerInfo
	rosterChanges      map[string]struct{} // names of workers (TakeRosterChanges)
	createdAt          clock.Time
	surveyedAt         clock.Time // all workers were looked at (updateLoads)
	loads              map[string]*poolLoad
	// confirmedAt is when the store is known to have named this owner last (Confirmed), and
	// unconfirmed says that it has to be asked again.
	ownershipConfirmedAt clock.Time
	needsOwnershipCheck  bool
	// unstoredWorkersSince is since when names of workers wait to be stored, and workersInCommitSince the same of those that are on their way; 0 without any.
	unstoredWorkersSince, workersInCommitSince clock.Time
	needsPlan                                  bool       // there is more to plan than before the present event
	jobsLoaded                                 bool       // the jobs of the store are known
	fenced                                     bool       // a worker has seen a token of a later owner
	now                                        clock.Time // of the present event
	stepCount, incarnationCount                int64      // made and taken in so far
}

// New returns a pool without workers and jobs.
func New(cfg Config, now clock.Time) *Pool {
	p := &Pool{
		cfg: cfg, takeover: newTakeover(cfg, now),
		jobs: map[job.ID]*jobState{}, accounts: map[string]*account.Account{}, outcomes: outcome.New(), unknownJobs: map[job.ID]struct{}{}, absentJobs: map[job.ID]struct{}{}, workers: map[WorkerID]*worker{}, workerHistories: map[string]*workerHistory{}, knownPools: map[string]bool{},
		scheduledJobs: map[*jobState]struct{}{}, dirty: map[*jobState]struct{}{},
		advice: newAdviceState(), limiter: admission.NewLimiter(), loads: map[string]*poolLoad{}, uncommittedCrashes: map[WorkerID]WorkerInfo{}, rosterChanges: map[string]struct{}{}, crashes: crash.NewHistory(crashCoincidenceWindow, now), createdAt: now,
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

// MarkJobsLoaded takes in that all jobs of the store are known. Before that, workers are held but
// what they report is left to the next report.
func (p *Pool) MarkJobsLoaded() {
	p.jobsLoaded = true
	p.updateOverShareOfLoaded()
	p.waitingSteps.invalidateRanks()
	for _, j := range p.jobsByID() {
		p.resolveLoadedAttempts(j, p.now)
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
		p.knownPools[x.Name] = true
	}
	for name := range p.accounts {
		p.updateAccount(name)
	}
	for _, j := range p.jobs {
		if q, ok := cfg.Queue(j.queue.Name); ok {
			j.queue = q
		}
	}
	p.waitingSteps.invalidateRanks()
}

// IsPoolConfigured says that a configuration or the queue of a job has named a pool of workers, or that none is known yet. One that
// a later configuration does not name still has the jobs that were accepted for it.
func (p *Pool) IsPoolConfigured(pool string) bool {
	return len(p.knownPools) == 0 || p.knownPools[pool]
}

// AddJob takes in an accepted job; it is known only once. age is how long ago it was
// accepted, as far as the clocks of two hosts tell.
func (p *Pool) AddJob(r job.Record, progress job.Progress, stored bool, age time.Duration, now clock.Time) {
	p.now = now
	id := r.Job.ID
	if _, known := p.jobs[id]; known || p.outcomes.Contains(id) {
		return
	}
	j := &jobState{job: r.Job, queue: r.Queue, customer: r.Customer, hasStoredProgress: stored, term: r.Term, acceptedInCurrentTerm: r.Term >= p.cfg.Term}
	if p.config != nil {
		if q, ok := p.config.Queue(r.Queue.Name); ok {
			j.queue = q
		}
	}
	j.occurrences = make([]*occurrence, r.Job.Schedule.Times())
	j.accepted, j.chainEstimates = now.Add(-age), chainEstimates(j)
	p.jobs[id] = j
	j.account = p.openAccount(j.customer)
	if p.jobsLoaded {
		p.updateOverShare(j)
		p.countArrival(j)
	}
	p.knownPools[j.queue.Pool] = true
	p.loadProgress(j, progress)
	j.blockedByTakeover = p.mayHaveUnknownRuns(j)
	if r.Job.Schedule.Repeat > 0 {
		p.scheduledJobs[j] = struct{}{}
		p.createDueOccurrences(j)
	} else {
		p.createOccurrence(j, 0)
	}
	p.resolveUnknownJob(id, now)
	p.finishJobIfDone(j)
	if p.jobsLoaded {
		p.resolveLoadedAttempts(j, now)
	}
}

// AddOutcome takes in the record of a job that has ended, as the store tells.
func (p *Pool) AddOutcome(id job.ID, ended job.Record, now clock.Time) {
	if !p.jobsLoaded {
		p.addEndedJobUse(ended)
	}
	p.outcomes.Put(id, outcome.Outcome{State: ended.Outcome, Customer: ended.Customer.Name, LearnedAt: now, LateStartsExpireAt: p.lateStartExpiry(ended.LateStart, now)})
	p.resolveUnknownJob(id, now)
	j, known := p.jobs[id]
	if !known {
		return
	}
	if j.outcome == "" {
		p.finishJob(j, ended.Outcome)
	}
	delete(p.dirty, j)
	j.committed = true
	p.forgetJobIfIdle(j)
}

// createOccurrence makes the steps of a time and lets those begin whose turn has come.
func (p *Pool) createOccurrence(j *jobState, k int) *occurrence {
	if j.occurrences[k] != nil {
		return j.occurrences[k]
	}
	t := &occurrence{job: j, index: k}
	t.setObjective(p.occurrenceDueAt(j, k, p.now))
	for i := range j.job.Steps {
		spec := &j.job.Steps[i]
		p.stepCount++
		s := &step{seq: p.stepCount, occurrence: t, index: i, spec: spec, tasks: make([]task, spec.Count), idleTasks: spec.Count, chainEstimate: j.chainEstimates[i]}
		for n := range s.tasks {
			s.tasks[n] = task{step: s, index: n}
		}
		if spec.MaxPerWorker > 0 {
			s.runsPerWorker = map[WorkerID]int{}
		}
		t.steps = append(t.steps, s)
	}
	j.occurrences[k] = t
	p.updateWaitingSteps(t)
	return t
}

// createDueOccurrences opens the times of a scheduled job that have come.
func (p *Pool) createDueOccurrences(j *jobState) {
	wall := p.cfg.WallClock()
	for j.nextOccurrence < len(j.occurrences) && !j.job.Schedule.Due(j.nextOccurrence).After(wall) {
		p.createOccurrence(j, j.nextOccurrence)
		j.nextOccurrence++
	}
	if j.nextOccurrence == len(j.occurrences) {
		delete(p.scheduledJobs, j)
	}
}

// updateWaitingSteps puts the steps of a time whose turn has come among the ready ones.
func (p *Pool) updateWaitingSteps(t *occurrence) {
	for _, s := range t.steps {
		if t.job.outcome == "" && s.dependenciesDone() && s.waitingTasks() > 0 {
			if !s.isQueued() {
				s.readySince = p.now
				p.waitingSteps.add(s)
			}
			p.needsPlan = true
		} else {
			p.waitingSteps.remove(s)
		}
	}
}

func (s *step) dependenciesDone() bool {
	for _, a := range s.spec.After {
		if !s.occurrence.steps[a].finished() {
			return false
		}
	}
	return true
}

// waiting counts the tasks that may be started; of a gang all, those that are missing, or
// none.
func (s *step) waitingTasks() int {
	n := s.idleTasks
	if s.spec.Gang && n < len(s.tasks) && !s.hasMissingMembers() {
		return 0
	}
	return n
}

// Cancel ends a job. It says whether the job is known.
func (p *Pool) Cancel(id job.ID) bool {
	j, ok := p.jobs[id]
	if !ok {
		return p.outcomes.Contains(id)
	}
	if j.outcome == "" {
		p.finishJob(j, job.Cancelled)
	}
	return true
}

// finishJob gives a job its outcome and stops what still runs of it.
func (p *Pool) finishJob(j *jobState, outcome job.State) {
	j.outcome = outcome
	p.dirty[j] = struct{}{}
	delete(p.scheduledJobs, j)
	for s := range j.steps() {
		p.waitingSteps.remove(s)
		p.abandonAdviceCalls(s)
		if outcome == job.Completed {
			continue // what is still counted of it has ended: members of gangs
		}
		for i := range s.tasks {
			p.stopRun(s.tasks[i].current)
		}
	}
	p.cfg.Log(Event{Name: "job_ended", Job: j.job.ID, Detail: string(outcome)})
}

// finishJobIfDone completes a job all of whose times are done.
func (p *Pool) finishJobIfDone(j *jobState) {
	if j.outcome != "" {
		return
	}
	for _, t := range j.occurrences {
		if t == nil || !t.finished() {
			return
		}
	}
	p.finishJob(j, job.Completed)
}

// JobState tells how far a job is, as it may be shown, and whose it is; ok is false when it is not known.
func (p *Pool) JobState(id job.ID) (state job.State, customer string, ok bool) {
	if x, ended := p.outcomes.Find(id); ended {
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

// PendingJobs counts the jobs of a queue of which no task has begun.
func (p *Pool) PendingJobs(queueName string) int {
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

// IsFenced says that a worker has seen a higher token: another owner has taken over.
func (p *Pool) IsFenced() bool {
	return p.fenced
}

// task returns the task of an id, or nil.
func (p *Pool) task(id job.TaskID) *task {
	j, ok := p.jobs[id.Job]
	if !ok || id.Time < 0 || id.Time >= len(j.occurrences) {
		return nil
	}
	t := j.occurrences[id.Time]
	if t == nil {
		t = p.createOccurrence(j, id.Time)
	}
	if id.Step < 0 || id.Step >= len(t.steps) || id.Index < 0 || id.Index >= len(t.steps[id.Step].tasks) {
		return nil
	}
	return &t.steps[id.Step].tasks[id.Index]
}
