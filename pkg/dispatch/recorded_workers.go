package dispatch

import (
	"math"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/takeover"
)

const (
	// recordingTimeout is how long the store may take to answer before jobs use only the workers that
	// are recorded already. The store answers within milliseconds unless it is slow.
	recordingTimeout = 250 * time.Millisecond
	// maxRecordedAhead is the maximum number of workers that are recorded at once for a step that needs
	// no advice, unless it has more tasks.
	maxRecordedAhead = 16
)

// recordsWorkers reports whether this owner and all that may have started a job record its workers in
// the store before they start it there (Config.RecordWorkersFromTerm). A later owner then knows which
// silent workers may run the job, and that a job without recorded workers was never started. This is
// done only where the store accepts enough writes, and everywhere for unannounced jobs: those that were
// accepted after an owner had ended wait for no worker that is silent.
//
// A recorded worker stands for all incarnations of the worker's name, since a start that was sent to
// one incarnation may be carried out by the next.
func (p *Pool) recordsWorkers(j *jobState) bool {
	isRecordedFrom := func(term int64) bool { return term > 0 && j.term >= term }
	return isRecordedFrom(p.cfg.RecordWorkersFromTerm) || j.unannounced && isRecordedFrom(p.cfg.RecordUnannouncedFromTerm)
}

// recordWorker has the store record that starts of a job may go to a worker.
func (p *Pool) recordWorker(j *jobState, id WorkerID) {
	if !p.recordsWorkers(j) || !j.recordedWorkers.Add(id.Name(), p.maxRecordedBytes()) {
		return
	}
	p.dirty[j] = struct{}{}
	if p.unstoredWorkersSince == 0 {
		p.unstoredWorkersSince = p.now
	}
}

// maxRecordedBytes is the size of the names of a job's recorded workers, which share a value of the store with
// the index of its segments. A job that needs more workers uses those that are recorded.
func (p *Pool) maxRecordedBytes() int {
	const share = 2
	if p.cfg.MaxValueBytes == 0 {
		return math.MaxInt
	}
	return p.cfg.MaxValueBytes / share
}

// HasUnstoredWorkers reports whether starts wait for recorded workers to be written to the store.
func (p *Pool) HasUnstoredWorkers() bool {
	return p.unstoredWorkersSince != 0
}

// isRecordingOverdue reports whether the store answers too slowly for more workers to be recorded.
func (p *Pool) isRecordingOverdue(now clock.Time) bool {
	oldest := p.unstoredWorkersSince
	if p.workersInCommitSince != 0 {
		oldest = p.workersInCommitSince
	}
	return oldest != 0 && now.Sub(oldest) > recordingTimeout
}

// isWorkerRecorded reports whether a start of a job may go to a worker with regard to the recorded
// workers.
func (p *Pool) isWorkerRecorded(j *jobState, w *worker) bool {
	return !p.recordsWorkers(j) || j.recordedWorkers.IsStored(w.info.ID.Name())
}

// mayUseWorker reports whether a worker is recorded for a job, or can be soon.
func (p *Pool) mayUseWorker(j *jobState, w *worker, now clock.Time) bool {
	return p.isWorkerRecorded(j, w) || !p.isRecordingOverdue(now)
}

// recordMoreWorkers records workers for a step that needs no advice, if those already recorded have too
// little room.
func (p *Pool) recordMoreWorkers(s *step, unrecorded []*worker, room int) {
	need := s.waitingTasks() - room
	for _, w := range unrecorded[:min(len(unrecorded), max(maxRecordedAhead, s.spec.Count))] {
		if need <= 0 {
			return
		}
		p.recordWorker(s.occurrence.job, w.info.ID)
		need -= roomFor(s, w)
	}
}

// workersToRecord lists the recorded workers of a job that may still run it. All are kept while jobs
// are being loaded or a record of the roster can't be read.
func (p *Pool) workersToRecord(j *jobState) []string {
	return j.recordedWorkers.Retain(func(name string) bool {
		return !p.jobsLoaded || p.takeover.hasUnreadableWorker || p.hasIncarnation(name)
	})
}

// hasIncarnation reports whether a worker has an incarnation that is not known to have ended.
func (p *Pool) hasIncarnation(name string) bool {
	history, known := p.workerHistories[name]
	return known && slices.ContainsFunc(history.incarnations, func(w *worker) bool { return !w.terminated })
}

// takeUnstoredWorkers records that a commit writes all unstored workers to the store. It reports
// whether there are any.
func (p *Pool) takeUnstoredWorkers() bool {
	p.workersInCommitSince, p.unstoredWorkersSince = p.unstoredWorkersSince, 0
	return p.workersInCommitSince != 0
}

// markWorkersStored records that the store has the workers of a commit.
func (p *Pool) markWorkersStored(changes []JobChange) {
	p.workersInCommitSince = 0
	for _, c := range changes {
		if j := p.jobs[c.Job]; j != nil && c.Outcome == "" {
			j.recordedWorkers.MarkStored(c.Progress.Workers)
		}
	}
	p.needsPlan = true
}

// storedWorkers returns the workers to which starts of a job may have gone according to the store.
func (p *Pool) storedWorkers(j *jobState) takeover.StoredWorkers {
	return takeover.StoredWorkers{Complete: p.recordsWorkers(j), Workers: j.recordedWorkers.StoredWorkers()}
}

// loadStoredWorkers records the workers that the store has for a job.
func (j *jobState) loadStoredWorkers(progress job.Progress) {
	j.recordedWorkers.MarkStored(progress.Workers)
}
