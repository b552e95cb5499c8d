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
	"foldarch.dev/foldarch/pkg/worth"
)

// jobState is what the owner knows of a job that has not ended, or whose end is not
// committed, or of which something may still run.
type jobState struct {
	job                   job.Job
	queue                 queue.Queue
	customer              customer.Customer // as the record has it; without a name for nobody's job
	occurrences           []*occurrence     // index is the number of the time; nil before it is due
	nextOccurrence        int
	term                  int64                    // of the owner for which it was accepted
	recordedWorkers       takeover.RecordedWorkers // workers to which its starts may go
	acceptedInCurrentTerm bool                     // no former owner can have started it
	blockedByTakeover     bool                     // former owners may have runs of it that are not known (takeover.go)
	// runsPresumedEnded says that what it may have run unknown was presumed to have ended by time.
	runsPresumedEnded bool
	began             bool
	outcome           job.State        // final, not necessarily committed; empty before
	committed         bool             // the outcome is in the store
	hasStoredProgress bool             // the store has progress of the job
	overShare         bool             // its customer sends more than its weight (updateOverShare)
	suspected         bool             // there was a crash against one of its tasks
	runningTasks      int              // how many of its tasks have a run
	account           *account.Account // of its customer; nil for nobody's job
	// remainingUse is what may run for its done tasks on workers that a new owner has not heard of, as the store tells.
	remainingUse   cell.Resources
	accepted       clock.Time
	chainEstimates []time.Duration // for each step, the estimated time from its start to the end
}

// occurrence is one time of a job's steps.
type occurrence struct {
	job   *jobState
	index int
	steps []*step
	// objective is when all tasks should have ended, and latest the last moment at which
	// that is still worth something.
	objective       clock.Time
	latestUsefulEnd clock.Time
}

// steps goes through the steps of all times that are open.
func (j *jobState) steps() iter.Seq[*step] {
	return func(yield func(*step) bool) {
		for _, t := range j.occurrences {
			if t == nil {
				continue
			}
			for _, s := range t.steps {
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

// step is one step of one time.
type step struct {
	seq          int64 // in the order of creation
	waitingSeq   int64 // among the waiting steps; 0 when it is not one of them
	occurrence   *occurrence
	index        int
	spec         *job.Step
	tasks        []task
	doneTasks    int // how many of them are done
	idleTasks    int // how many are not done and have no run
	runningTasks int // how many have a run
	// countedRuns is how many runs of its tasks count against workers and quotas.
	countedRuns   int
	advice        stepAdvice
	gang          gang
	runsPerWorker map[WorkerID]int // runs of the step on a worker; only with MaxPerWorker
	chainEstimate time.Duration    // estimate of the work from this step to the end of the job
	// readySince is when tasks of it began to wait for a worker.
	readySince clock.Time
	// survived says that a worker has survived a start of one of its tasks, and claimed is the worker that was claimed last
	// for those that are to be started alone.
	hasSurvivedStart bool
	claimedWorker    *worker
	// preemptNotBefore is when runs may be stopped again to make room for it.
	preemptNotBefore clock.Time
	reservation      stepReservation
	// gangReservation are the workers of which a gang holds the first ones, with those that other steps hold.
	gangReservation stepReservation
	// promoted says that it is a gang that has its turn before all other steps; it has none before promotionNotBefore.
	promoted           bool
	promotionNotBefore clock.Time
	// awaitsLowQuotaSince is since when its customer's quota has been little used while it goes first and waits for it; 0 for
	// never.
	awaitsLowQuotaSince clock.Time
	// lowQuotaSince is since when the quota has been little used while it goes first, whatever it waits for; 0 for never.
	lowQuotaSince clock.Time
}

// task is one task of a step.
type task struct {
	step          *step
	index         int
	done          bool
	current       *run
	failures      []int // numbers of the runs that failed; of a gang, at its task 0
	lastRunNumber int   // highest number given or seen
	lastEndedRun  int   // highest number whose end was taken in
	checkpoint    string
	crash         crash.TaskRecord     // what speaks against it
	avoidedWorker WorkerID             // where it failed last
	lateStarts    latestart.TaskStarts // starts of it that may be carried out by the next lives of their workers
	notBefore     clock.Time
	// presumedLost says that its last run is held for lost since its worker was silent.
	presumedLost bool
}

// run is one start of a task.
type run struct {
	task              *task
	number            int
	worker            *worker
	token             int64
	state             runState
	startCall         latestart.StartCall // of its start
	storedBeforeStart bool                // its start was in the store before it was ordered
	checkpoint        string              // to begin from, while its start is being stored
	runningSince      clock.Time
	// startedAtWorkerClock is the worker's clock when it began, at the latest; 0 when that is not known.
	startedAtWorkerClock int64
	// adopted says that a report listed it first, some time after it began.
	adopted bool
	// survived says that the worker lived on after the start (crash.SurvivalTime).
	survived      bool
	progress      runend.Progress
	reported      bool
	reportedAt    clock.Time // by the last report
	missedReports int        // reports in a row that did not list it
	stopRequested bool
	stopSentAt    clock.Time
	load          int  // as reported last
	pace          int  // of a filler, in percent
	paceOrdered   bool // an order for a pace was given
}

type runState int

const (
	runStarting    runState = iota // the order is on its way
	runUnconfirmed                 // its answer was lost
	runActive
	runStoring // it is ordered when the store has its start
)

func (t *task) id() job.TaskID {
	return job.TaskID{StepID: t.step.id(), Index: t.index}
}

func (t *task) waiting() bool {
	return !t.done && t.current == nil
}

// setCurrent gives a task its run, or takes it away.
func (t *task) setCurrent(r *run) {
	t.removeFromCounts()
	t.current = r
	t.addToCounts()
}

// setDone takes in that a task is done.
func (t *task) setDone() {
	if t.done {
		return
	}
	t.removeFromCounts()
	t.done = true
	t.step.doneTasks++
	t.addToCounts()
}

// count counts a task in the sums of its step and its job as it stands; uncount takes that back before a change.
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

func (s *step) finished() bool {
	return s.doneTasks == len(s.tasks)
}

// typicalAdviceWorkers is how many workers a call for advice names in a job's objective.
const typicalAdviceWorkers = 30

// setObjective gives a time its objective, counted from when it began to wait.
func (t *occurrence) setObjective(from clock.Time) {
	q := &t.job.queue
	t.objective, t.latestUsefulEnd = worth.Deadlines(from, slices.Max(t.job.chainEstimates), q.Extension, q.TargetLatency)
}

// occurrenceDueAt is when a time begins to wait, by the steady clock.
func (p *Pool) occurrenceDueAt(j *jobState, k int, now clock.Time) clock.Time {
	if j.job.Schedule.Repeat == 0 {
		return j.accepted
	}
	return max(now.Add(j.job.Schedule.Due(k).Sub(p.cfg.WallClock())), j.accepted)
}

// chainEstimates returns for each step the estimated time from its start to the end of the job.
func chainEstimates(j *jobState) []time.Duration {
	var call time.Duration
	if j.queue.Advice != nil {
		call = j.queue.Advice.Of(typicalAdviceWorkers)
	}
	return worth.ChainEstimates(j.job.Steps, call)
}
