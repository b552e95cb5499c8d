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
	// recordingTimeout is how long the store may take to answer before jobs make do with the workers that are named already: it answers within
	// milliseconds, or is slow.
	recordingTimeout = 250 * time.Millisecond
	// maxRecordedAhead is how many workers are named at once for a step that needs no advice.
	maxRecordedAhead = 16
)

// recordsWorkers says that all owners which may have started a job have named its workers first, and that this one has to.
func (p *Pool) recordsWorkers(j *jobState) bool {
	return p.cfg.RecordWorkersFromTerm > 0 && j.term >= p.cfg.RecordWorkersFromTerm
}

// recordWorker has the store be told that starts of a job may go to a worker.
func (p *Pool) recordWorker(j *jobState, id WorkerID) {
	if !p.recordsWorkers(j) || !j.recordedWorkers.Add(id.Name()) {
		return
	}
	p.dirty[j] = struct{}{}
	if p.unstoredWorkersSince == 0 {
		p.unstoredWorkersSince = p.now
	}
}

// HasUnstoredWorkers says that starts wait for names to be stored.
func (p *Pool) HasUnstoredWorkers() bool {
	return p.unstoredWorkersSince != 0
}

// isRecordingOverdue says that the store does not answer soon enough for more workers to be named.
func (p *Pool) isRecordingOverdue(now clock.Time) bool {
	oldest := p.unstoredWorkersSince
	if p.workersInCommitSince != 0 {
		oldest = p.workersInCommitSince
	}
	return oldest != 0 && now.Sub(oldest) > recordingTimeout
}

// isWorkerRecorded says that a start of a job may go to a worker as far as names are concerned.
func (p *Pool) isWorkerRecorded(j *jobState, w *worker) bool {
	return !p.recordsWorkers(j) || j.recordedWorkers.IsStored(w.info.ID.Name())
}

// mayUseWorker says that a worker is of use to a job: it is named, or can be soon.
func (p *Pool) mayUseWorker(j *jobState, w *worker, now clock.Time) bool {
	return p.isWorkerRecorded(j, w) || !p.isRecordingOverdue(now)
}

// recordMoreWorkers names workers for a step that needs no advice, if those that are named have too little room.
func (p *Pool) recordMoreWorkers(s *step, unnamed []*worker, room int) {
	need := s.waitingTasks() - room
	for _, w := range unnamed[:min(len(unnamed), max(maxRecordedAhead, len(s.tasks)))] {
		if need <= 0 {
			return
		}
		p.recordWorker(s.occurrence.job, w.info.ID)
		need -= roomFor(s, w)
	}
}

// workersToRecord lists the workers of a job that are not known to have gone. While the roster tells only of some workers, all are kept.
func (p *Pool) workersToRecord(j *jobState) []string {
	return j.recordedWorkers.Retain(func(name string) bool {
		return !p.jobsLoaded || p.takeover.hasUnreadableWorker || p.hasIncarnation(name)
	})
}

// hasIncarnation says that a life of a worker has not gone.
func (p *Pool) hasIncarnation(name string) bool {
	l, known := p.workerHistories[name]
	return known && slices.ContainsFunc(l.incarnations, func(w *worker) bool { return !w.terminated })
}

// takeUnstoredWorkers takes in that a commit takes all names to the store. It says whether there are any.
func (p *Pool) takeUnstoredWorkers() bool {
	p.workersInCommitSince, p.unstoredWorkersSince = p.unstoredWorkersSince, 0
	return p.workersInCommitSince != 0
}

// markWorkersStored takes in that the store has the names of a commit.
func (p *Pool) markWorkersStored(changes []JobChange) {
	p.workersInCommitSince = 0
	for _, c := range changes {
		if j := p.jobs[c.Job]; j != nil && c.Outcome == "" {
			j.recordedWorkers.MarkStored(c.Progress.Workers)
		}
	}
	p.needsPlan = true
}

// storedWorkers tells what is known of the workers to which starts of a job may have gone.
func (p *Pool) storedWorkers(j *jobState) takeover.StoredWorkers {
	return takeover.StoredWorkers{Complete: p.recordsWorkers(j), Workers: j.recordedWorkers.StoredWorkers()}
}

// loadStoredWorkers takes in the names that the store has of a job.
func (j *jobState) loadStoredWorkers(progress job.Progress) {
	j.recordedWorkers.MarkStored(progress.Workers)
}
