package dispatch

import (
	"iter"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/account"
	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/crash"
	"foldarch.dev/foldarch/pkg/customer"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/latestart"
	"foldarch.dev/foldarch/pkg/queue"
	"foldarch.dev/foldarch/pkg/runend"
	"foldarch.dev/foldarch/pkg/takeover"
	"foldarch.dev/foldarch/pkg/taskset"
	"foldarch.dev/foldarch/pkg/worth"
)

// jobState is what the owner knows of a job that has not ended, or whose end is not committed, or of which
// something may still run.
type jobState struct {
	job      job.Job
	queue    queue.Queue
	customer customer.Customer // as in the record; without a name for no customer
	// occurrences are those that have been created and are still needed, by number; all before
	// nextOccurrence have been created. finishedOccurrences counts the finished ones.
	occurrences           []*occurrence
	nextOccurrence        int
	finishedOccurrences   int
	hasBacklog            bool // occurrences that are due have not been created
	taskNumbers           job.TaskNumbers
	done                  taskset.Set // the numbers of its done tasks
	storedProgress        storedProgress
	term                  int64                    // of the owner for which the job was accepted
	unannounced           bool                     // job.Record.Unannounced
	recordedWorkers       takeover.RecordedWorkers // workers to which its starts may go
	acceptedInCurrentTerm bool                     // no previous owner can have started it
	blockedByTakeover     bool                     // previous owners may have unknown runs of it (takeover.go)
	// runsPresumedEnded says that unknown runs of previous owners were presumed to have ended since enough
	// time has passed.
	runsPresumedEnded bool
	began             bool
	outcome           job.State        // final, not necessarily committed; empty before
	committed         bool             // the outcome is in the store
	hasStoredProgress bool             // the store has progress of the job
	overShare         bool             // its customer sends more than its weight allows (updateOverShare)
	suspected         bool             // a crash was counted against one of its tasks
	runningTasks      int              // how many of its tasks have a run
	account           *account.Account // of its customer; nil without a customer
	// remainingUse are the resources that, by the store, may be in use for its done tasks on workers that
	// have not reported to this owner.
	remainingUse   cell.Resources
	accepted       clock.Time
	chainEstimates []time.Duration // for each step, the estimated time from its start to the job's end
}

// occurrence is one time at which a job is due, with the steps to be run then.
type occurrence struct {
	job   *jobState
	index int
	steps []*step
	// objective is when all tasks should have ended, and latestUsefulEnd the last moment at which their end
	// is still worth something.
	objective       clock.Time
	latestUsefulEnd clock.Time
	counted         bool // among its job's finishedOccurrences
}

// steps iterates over the steps of all occurrences that are needed (jobState.occurrences).
func (j *jobState) steps() iter.Seq[*step] {
	return func(yield func(*step) bool) {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if !yield(s) {
					return
				}
			}
		}
	}
}

func (t *occurrence) finished() bool {
	for _, s := range t.steps {
		if !s.finished() {
			return false
		}
	}
	return true
}

// step is one step of one occurrence.
type step struct {
	seq         int64 // in the order of creation
	waitingSeq  int64 // number in the waiting queue; 0 when the step is not in it
	occurrence  *occurrence
	index       int
	spec        *job.Step
	firstNumber int64 // of its first task (job.TaskNumbers)
	// tasks are those tasks that have been created and are still needed, by index. Of the tasks from nextTask
	// on, only those in tasks have been created.
	tasks     []*task
	nextTask  int
	doneTasks int // how many tasks are done
	// doneTasksKept counts the tasks that were done since done tasks were last forgotten.
	doneTasksKept int
	// forgottenFailures counts the failures of the tasks that have been forgotten.
	forgottenFailures int
	idleTasks         int // how many tasks are not done and have no run
	runningTasks      int // how many tasks have a run
	// countedRuns is how many runs of its tasks count against workers and quotas.
	countedRuns   int
	advice        stepAdvice
	gang          gang
	runsPerWorker map[WorkerID]int // runs of the step on each worker; only with MaxPerWorker
	chainEstimate time.Duration    // estimated time from the start of this step to the end of the job
	seenActive    bool             // one of its tasks is or was (task.seenActiveRun)
	// readySince is since when its tasks have been waiting for workers.
	readySince clock.Time
	// hasSurvivedStart says that a worker has survived a start of one of its tasks, and claimedWorker is the
	// worker that was last claimed for tasks that have to be started alone.
	hasSurvivedStart bool
	claimedWorker    *worker
	// preemptNotBefore is the earliest time at which runs may be stopped again to make room for it.
	preemptNotBefore clock.Time
	reservation      stepReservation
	// gangReservation are the workers that may run a gang, those with room soonest first; the first ones
	// that are not reserved for other steps are reserved for the gang.
	gangReservation stepReservation
	// promoted says that the step is a gang that goes before all other steps; it is not promoted before
	// promotionNotBefore.
	promoted           bool
	promotionNotBefore clock.Time
	// lowQuotaWaitSince is since when little of its customer's quota has been in use while the step is
	// promoted and waits for the quota; 0 for not at all.
	lowQuotaWaitSince clock.Time
	// lowQuotaSince is since when little of the quota has been in use while the step is promoted, whatever
	// it waits for; 0 for not at all.
	lowQuotaSince clock.Time
}

// task is one task of a step.
type task struct {
	step          *step
	index         int
	done          bool
	current       *run
	failures      []int // numbers of the runs that failed; for a gang kept at its task 0
	lastRunNumber int   // highest number assigned or reported
	lastEndedRun  int   // highest number whose end was processed
	checkpoint    string
	crash         crash.TaskRecord     // crashes counted against it
	avoidedWorker WorkerID             // where it last failed
	lateStarts    latestart.TaskStarts // its starts that the next incarnations of their workers may carry out
	notBefore     clock.Time
	// seenActiveRun is the run of a previous owner that a report has shown as active; 0 for none. storedLastRun is
	// the lastEndedRun of previous owners.
	seenActiveRun, storedLastRun int
	// presumedLost says that its last run was presumed lost since its worker was silent.
	presumedLost bool
}

// run is one run of a task.
type run struct {
	task              *task
	number            int
	worker            *worker
	token             int64
	state             runState
	startCall         latestart.StartCall // the call that starts it
	storedBeforeStart bool                // its start was in the store before it was ordered
	checkpoint        string              // to resume from, while the start is being stored
	runningSince      clock.Time
	// startedAtWorkerClock is the worker's clock when the run began, at the latest; 0 when that is not
	// known.
	startedAtWorkerClock int64
	// adopted says that a report was the first to show it, some time after it began.
	adopted bool
	// survived says that the worker stayed up for long enough after the start (crash.SurvivalTime).
	survived      bool
	progress      runend.Progress
	reported      bool
	reportedAt    clock.Time // when the last report listed it
	missedReports int        // consecutive reports that did not list it
	stopRequested bool
	stopSentAt    clock.Time
	load          int  // as last reported
	pace          int  // of a filler task, in percent
	paceOrdered   bool // a pace was ordered
}

type runState int

const (
	runStarting    runState = iota // the order is on its way
	runUnconfirmed                 // the answer to the order was lost
	runActive
	runStoring // it is ordered once its start is in the store
)

func (t *task) id() job.TaskID {
	return job.TaskID{StepID: t.step.id(), Index: t.index}
}

func (t *task) waiting() bool {
	return !t.done && t.current == nil
}

// setCurrent sets the current run of a task; nil for none.
func (t *task) setCurrent(r *run) {
	t.removeFromCounts()
	t.current = r
	t.addToCounts()
}

// setDone marks a task as done.
func (t *task) setDone() {
	if t.done {
		return
	}
	t.removeFromCounts()
	t.done = true
	t.step.doneTasks++
	t.step.occurrence.job.done.Add(t.number())
	t.addToCounts()
}

// addToCounts adds a task to the counts of its step and its job by its present state; removeFromCounts has
// to be called before that state changes.
func (t *task) addToCounts() {
	t.adjustCounts(1)
}

func (t *task) removeFromCounts() {
	t.adjustCounts(-1)
}

func (t *task) adjustCounts(n int) {
	switch {
	case t.current != nil:
		t.step.runningTasks += n
		t.step.occurrence.job.runningTasks += n
	case !t.done:
		t.step.idleTasks += n
	}
}

func (s *step) id() job.StepID {
	return job.StepID{Job: s.occurrence.job.job.ID, Time: s.occurrence.index, Step: s.index}
}

// number returns the task's number in its job (job.TaskNumbers).
func (t *task) number() int64 {
	return t.step.firstNumber + int64(t.index)
}

func (s *step) finished() bool {
	return s.doneTasks == s.spec.Count
}

// maxAttempts returns how many runs of a task may fail.
func (j *jobState) maxAttempts() int {
	return max(j.queue.MaxAttempts, 1)
}

// typicalAdviceWorkers is how many workers an advice call is assumed to ask about when a job's objective is
// calculated.
const typicalAdviceWorkers = 30

// setObjective sets the objective of an occurrence, counted from when it began to wait.
func (t *occurrence) setObjective(from clock.Time) {
	q := &t.job.queue
	t.objective, t.latestUsefulEnd = worth.Deadlines(from, slices.Max(t.job.chainEstimates), q.Extension, q.TargetLatency)
}

// occurrenceDueAt is when an occurrence begins to wait, by the monotonic clock.
func (p *Pool) occurrenceDueAt(j *jobState, index int, now clock.Time) clock.Time {
	if j.job.Schedule.Repeat == 0 {
		return j.accepted
	}
	return max(now.Add(j.job.Schedule.DueAt(index).Sub(p.cfg.WallClock())), j.accepted)
}

// chainEstimates returns, for each step, the estimated time from its start to the end of the job.
func chainEstimates(j *jobState) []time.Duration {
	var call time.Duration
	if j.queue.Advice != nil {
		call = j.queue.Advice.CallTime(typicalAdviceWorkers)
	}
	return worth.ChainEstimates(j.job.Steps, call)
}
