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

// Config holds the settings that scheduling decisions depend on.
type Config struct {
	// LeaseDuration is the length of the leases that each poll gives to the runs on a worker.
	LeaseDuration time.Duration
	// MaxLeaseDuration is the longest lease that a previous owner may have given.
	MaxLeaseDuration time.Duration
	// WorkerMaxLease is the longest lease that a worker accepts, whatever an order says.
	WorkerMaxLease time.Duration
	// MinDrainTime is the minimum time for which a draining worker stays.
	MinDrainTime time.Duration
	// StopGrace is how long a stopped run may take to end.
	StopGrace time.Duration
	// RestoreTime is how long a run takes to resume from a checkpoint.
	RestoreTime time.Duration
	// Token is the owner's fencing token. Tokens up to Token + MaxTokenIncrements also belong to this
	// owner.
	Token int64
	// Term is the number of this owner's term; each owner has a higher one than the owners before it.
	// No previous owner has started a job that was accepted in this term.
	Term int64
	// RunNumberBase is lower than the run numbers that this owner assigns to tasks of which a previous
	// owner may have started runs, and higher than all numbers assigned by previous owners.
	RunNumberBase int
	// RecordWorkersFromTerm is the first term from which on all owners record a job's workers in the
	// store before they start the job on them; 0 when this owner does not.
	RecordWorkersFromTerm int64
	// RecordUnannouncedFromTerm is the same for unannounced jobs (job.Record).
	RecordUnannouncedFromTerm int64
	// MaxValueBytes is the largest value that the store takes; 0 if it takes any.
	MaxValueBytes int
	// HasPreviousOwner says that there was a previous owner, whose runs have to be found.
	HasPreviousOwner bool
	// AuthorityTerm is how long a previous owner may go on giving orders after it was fenced.
	AuthorityTerm time.Duration
	// WallClock returns the time of day, for schedules.
	WallClock func() time.Time
	// Log receives events; it must not block.
	Log func(Event)
	// Disabled lists mechanisms that are switched off, in tests and experiments.
	Disabled DisabledMechanisms
}

// MaxTokenIncrements is how many times an owner may raise the token of a worker.
const MaxTokenIncrements = 1<<20 - 1

// Pool is the owner's view of its workers and of the jobs that run on them.
type Pool struct {
	cfg      Config
	takeover takeoverState
	config   *queue.Config
	// knownPools are the pools of workers that a configuration or the queue of a job has named so far.
	knownPools     map[string]bool
	evacuatedHalls []string // data halls that are being evacuated
	jobs           map[job.ID]*jobState
	accounts       map[string]*account.Account // of customers, by name
	outcomes       *outcome.Outcomes           // of jobs that have ended and been committed
	// unknownJobs are jobs that workers list and whose records have to be read from the store;
	// absentJobs are those of which the store has no record.
	unknownJobs, absentJobs map[job.ID]struct{}
	workers                 map[WorkerID]*worker
	// workerHistories holds what is kept of each worker over all its incarnations, by the worker's
	// name.
	workerHistories map[string]*workerHistory
	newWorkers      []*worker           // workers that have to be polled from now on
	sortedWorkers   []*worker           // all workers, by ID; nil after one was added or removed (workersByID)
	usableWorkers   usableWorkersByPool // for the plan that is being made; nil between plans
	waitingSteps    waitingQueue
	promotedGangs   gangPromotions
	// growingJobs are the jobs of which more occurrences have to be created.
	growingJobs map[*jobState]struct{}
	// retainedOccurrences are finished and still needed (isOccurrenceNeeded).
	retainedOccurrences map[*occurrence]struct{}
	dirty               map[*jobState]struct{}
	advice              adviceState
	limiter             *admission.Limiter
	pendingStops        []*run
	workersToFence      []*worker
	pendingPaces        []*run
	// startsToStore are starts that wait to be committed to the store; startsToOrder are those that the
	// store has and that have not been ordered yet.
	startsToStore, startsToOrder []*run
	crashes                      *crash.History
	failureShares                failureShares
	// uncommittedCrashes are workers that crashed after starts, while the store does not have these
	// crashes yet. uncountedCrash is a worker that crashed after starts of a previous owner
	// (takeoverState.hasUncountedCrash).
	uncommittedCrashes map[WorkerID]WorkerInfo
	uncountedCrash     WorkerInfo
	// rosterChanges are the names of the workers whose roster records may have changed
	// (TakeRosterChanges).
	rosterChanges  map[string]struct{}
	createdAt      clock.Time
	loadsUpdatedAt clock.Time // when loads was last computed (updateLoads)
	loads          map[string]*poolLoad
	// ownershipConfirmedAt is the latest time at which the store is known to have named this process as
	// the owner (RecordOwnershipConfirmed). needsOwnershipCheck says that the store has to be
	// asked again.
	ownershipConfirmedAt clock.Time
	needsOwnershipCheck  bool
	// unstoredWorkersSince is the time since which recorded workers have waited to be written to the
	// store; workersInCommitSince is the same for those in the commit that is under way. 0 when there
	// are none.
	unstoredWorkersSince, workersInCommitSince clock.Time
	segmentSupport                             SegmentSupport
	needsPlan                                  bool       // the current event may allow a plan to do more
	jobsLoaded                                 bool       // all jobs have been read from the store
	fenced                                     bool       // a worker has seen the token of a later owner
	now                                        clock.Time // of the current event
	stepCount, incarnationCount                int64      // steps and incarnations added so far
}

// New returns a pool without workers or jobs.
func New(cfg Config, now clock.Time) *Pool {
	p := &Pool{
		cfg: cfg, takeover: newTakeover(cfg, now),
		jobs: map[job.ID]*jobState{}, accounts: map[string]*account.Account{}, outcomes: outcome.New(), unknownJobs: map[job.ID]struct{}{}, absentJobs: map[job.ID]struct{}{}, workers: map[WorkerID]*worker{}, workerHistories: map[string]*workerHistory{}, knownPools: map[string]bool{},
		growingJobs: map[*jobState]struct{}{}, retainedOccurrences: map[*occurrence]struct{}{}, dirty: map[*jobState]struct{}{},
		advice: newAdviceState(), limiter: admission.NewLimiter(), loads: map[string]*poolLoad{}, uncommittedCrashes: map[WorkerID]WorkerInfo{}, rosterChanges: map[string]struct{}{}, failureShares: failureShares{}, crashes: crash.NewHistory(crashCoincidenceWindow, now), createdAt: now,
	}
	p.cfg.Log = func(e Event) {
		e.Customer = p.customerOf(e)
		cfg.Log(e)
	}
	return p
}

// customerOf returns the name of the customer whose job an event is about; "" when the job is not
// known.
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

// MarkJobsLoaded records that all jobs in the store are known. Before that, workers are polled, but the
// contents of their reports are left to their next reports.
func (p *Pool) MarkJobsLoaded() {
	p.jobsLoaded = true
	p.updateOverShareOfLoaded()
	p.waitingSteps.invalidateRanks()
	for _, j := range p.jobsByID() {
		p.resolveLoadedAttempts(j, p.now)
	}
}

// SetConfig applies a configuration to the queues of all jobs, unless it is older than the one in
// force. A new owner gets the configuration that it read and newer ones from different sources, in
// either order.
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

// IsPoolConfigured reports whether a configuration or the queue of a job has named a pool of workers,
// or none is known yet. A pool that a later configuration no longer names still has the jobs that were
// accepted for it.
func (p *Pool) IsPoolConfigured(pool string) bool {
	return len(p.knownPools) == 0 || p.knownPools[pool]
}

// AddJob adds an accepted job; a job that is already known is ignored. age is how long ago it was
// accepted, and may be inexact since it is measured by the clocks of two hosts.
func (p *Pool) AddJob(r job.Record, progress job.Progress, stored bool, age time.Duration, now clock.Time) {
	p.now = now
	id := r.Job.ID
	if _, known := p.jobs[id]; known || p.outcomes.Contains(id) {
		return
	}
	j := &jobState{job: r.Job, queue: r.Queue, customer: r.Customer, hasStoredProgress: stored, term: r.Term, unannounced: r.Unannounced, acceptedInCurrentTerm: r.Term >= p.cfg.Term}
	if p.config != nil {
		if q, ok := p.config.Queue(r.Queue.Name); ok {
			j.queue = q
		}
	}
	var err error
	j.taskNumbers, err = r.Job.NumberTasks()
	j.accepted, j.chainEstimates = now.Add(-age), chainEstimates(j)
	p.jobs[id] = j
	j.account = p.openAccount(j.customer)
	if p.jobsLoaded {
		p.updateOverShare(j)
		p.countAcceptedJob(j)
	}
	p.knownPools[j.queue.Pool] = true
	if err != nil {
		p.cfg.Log(Event{Name: "job_given_up", Job: id, Detail: err.Error()})
		p.finishJob(j, job.Failed)
		p.resolveUnknownJob(id, now)
		return
	}
	p.loadProgress(j, progress)
	j.blockedByTakeover = p.mayHaveUnknownRuns(j)
	p.growingJobs[j] = struct{}{}
	p.createDueOccurrences(j)
	p.resolveUnknownJob(id, now)
	p.finishJobIfDone(j)
	if p.jobsLoaded {
		p.resolveLoadedAttempts(j, now)
	}
}

// AddOutcome records the outcome of a job that has ended, as read from the store.
func (p *Pool) AddOutcome(id job.ID, ended job.Record, now clock.Time) {
	if !p.jobsLoaded {
		p.addEndedJobUse(ended)
	}
	p.outcomes.Put(id, outcome.Outcome{State: ended.Outcome, Customer: ended.Customer.Name, RecordedAt: now, LateStartsExpireAt: p.lateStartExpiry(ended.LastLateStart, now)})
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

// updateWaitingSteps puts the steps of an occurrence that have waiting tasks and whose dependencies are
// done into the waiting queue, and removes the others from it.
func (p *Pool) updateWaitingSteps(occ *occurrence) {
	for _, s := range occ.steps {
		if occ.job.outcome == "" && s.dependenciesDone() && s.waitingTasks() > 0 {
			if !s.isQueued() {
				s.createFirstTasks()
				s.readySince, s.advice.insufficientRounds = p.now, 0
				p.waitingSteps.add(s)
			}
			p.needsPlan = true
		} else {
			p.waitingSteps.remove(s)
		}
	}
}

// dependenciesDone reports whether all steps that this one comes after are finished.
func (s *step) dependenciesDone() bool {
	for _, a := range s.spec.After {
		if !s.occurrence.steps[a].finished() {
			return false
		}
	}
	return true
}

// waitingTasks returns the number of tasks that may be started. For a gang these are all of its
// members, the missing ones, or none.
func (s *step) waitingTasks() int {
	n := s.idleTasks
	if s.spec.Gang && n < s.spec.Count && !s.hasMissingMembers() {
		return 0
	}
	return n
}

// Cancel ends a job as cancelled. It reports whether the job is known.
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

// finishJob sets the outcome of a job and stops its remaining runs.
func (p *Pool) finishJob(j *jobState, outcome job.State) {
	j.outcome = outcome
	p.dirty[j] = struct{}{}
	delete(p.growingJobs, j)
	for s := range j.steps() {
		p.waitingSteps.remove(s)
		p.abandonAdviceCalls(s)
		if outcome == job.Completed {
			continue // the runs that are still counted are gang members that have ended
		}
		for i := range s.tasks {
			p.stopRun(s.tasks[i].current)
		}
	}
	p.cfg.Log(Event{Name: "job_ended", Job: j.job.ID, Detail: string(outcome)})
}

// GiveUpJob ends a job as failed because it can't be kept in the store; reason is logged.
func (p *Pool) GiveUpJob(id job.ID, reason string) {
	j, known := p.jobs[id]
	if !known || j.outcome != "" {
		return
	}
	p.cfg.Log(Event{Name: "job_given_up", Job: id, Detail: reason})
	p.finishJob(j, job.Failed)
}

// finishJobIfDone completes a job when all its occurrences are finished.
func (p *Pool) finishJobIfDone(j *jobState) {
	if j.outcome != "" {
		return
	}
	if j.finishedOccurrences == j.job.Schedule.Occurrences() {
		p.finishJob(j, job.Completed)
	}
}

// JobState returns the state of a job as it may be shown to callers, and its customer; ok is false when
// the job is not known.
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

// PendingJobs counts the jobs of a queue that have not begun to run.
func (p *Pool) PendingJobs(queueName string) int {
	n := 0
	for _, j := range p.jobs {
		if j.queue.Name == queueName && !j.began && j.outcome == "" {
			n++
		}
	}
	return n
}

// jobsByID lists all jobs, sorted by ID.
func (p *Pool) jobsByID() []*jobState {
	return slices.SortedFunc(maps.Values(p.jobs), compareJobs)
}

func compareJobs(a, b *jobState) int {
	return cmp.Compare(a.job.ID, b.job.ID)
}

// IsFenced reports whether a worker has seen a higher token, which means that another owner has taken
// over.
func (p *Pool) IsFenced() bool {
	return p.fenced
}
