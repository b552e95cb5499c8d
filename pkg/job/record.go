package job

import (
	"bytes"
	"encoding/json"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/customer"
	"foldarch.dev/foldarch/pkg/queue"
	"github.com/cockroachdb/errors"
)

// Record is the stored value of an accepted job.
type Record struct {
	Job Job `json:"job,omitzero"`
	// Queue is the job's queue as configured when the job was accepted.
	Queue queue.Queue `json:"queue,omitzero"`
	// Customer is the job's customer as configured when the job was accepted; a customer without a name
	// means that the job belongs to nobody. In the record of an ended job only the name is kept.
	Customer customer.Customer `json:"customer,omitzero"`
	// AcceptedAt is the wall-clock time of the host that accepted the job.
	AcceptedAt time.Time `json:"accepted_at,omitzero"`
	// Term is the highest owner's term that the accepting host knew. Owners of lower terms never start
	// the job.
	Term int64 `json:"term,omitempty"`
	// Unannounced says that the accepting host had no working link to the owner, which may have ended. Owners
	// record the workers of such a job in the store before they start it there, even if they don't for others.
	Unannounced bool `json:"unannounced,omitempty"`
	// Outcome is set once the job has ended; Job and Queue are then omitted.
	Outcome State `json:"outcome,omitempty"`
	// RemainingUse is what may still have been running for the job when it ended.
	RemainingUse RemainingUse `json:"unended,omitzero"`
	// LastLateStart is the wall-clock time by which the last unanswered start of an ended job was sent
	// (UnansweredStart); zero if there is none.
	LastLateStart time.Time `json:"late_start,omitzero"`
}

// RemainingUse is the resources that runs of an ended job, or of tasks that are done, may still use: runs
// that are being stopped, and starts without an answer. A later owner that can't reach the workers knows
// of these runs only from here.
type RemainingUse struct {
	Need cell.Resources `json:"need,omitzero"`
	// WrittenAt is the wall-clock time of the owner that wrote it.
	WrittenAt time.Time `json:"at,omitzero"`
}

// Encode returns the record's encoding for the store. It does not escape what HTML would need, so that no text
// of a request grows to six times its size.
func (r Record) Encode() ([]byte, error) {
	var text bytes.Buffer
	e := json.NewEncoder(&text)
	e.SetEscapeHTML(false)
	err := e.Encode(r)
	return bytes.TrimSuffix(text.Bytes(), []byte("\n")), errors.Wrap(err, "encode job record")
}

// DecodeRecord decodes what Encode returned. It fails for a value that Encode can't have returned for an
// accepted job, since processes of other systems may write to the store.
func DecodeRecord(text []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(text, &r); err != nil {
		return Record{}, errors.Wrap(err, "job record")
	}
	if err := r.validate(); err != nil {
		return Record{}, errors.Wrap(err, "job record")
	}
	return r, nil
}

// validate does not check what Job.NumberTasks checks: an earlier build may have accepted such a job, which is
// then given up.
func (r Record) validate() error {
	switch {
	case r.Outcome != "" && !r.Outcome.Ended():
		return errors.Newf("outcome: %q is not a final state", r.Outcome)
	case r.Outcome != "":
		return errors.Wrap(r.RemainingUse.validate(), "unended")
	case r.Term < 0:
		return errors.Newf("term: want 0 or more, not %d", r.Term)
	case r.Job.Schedule.Repeat < 0 || r.Job.Schedule.Interval < 0:
		return errors.Newf("schedule: negative repetitions %d or interval %s", r.Job.Schedule.Repeat, r.Job.Schedule.Interval)
	}
	for n, s := range r.Job.Steps {
		if err := s.Resources.Validate(); err != nil {
			return errors.Wrapf(err, "steps[%d]", n)
		}
	}
	return r.Job.validateSteps()
}

// validate returns an error if an amount is negative, which would raise a customer's quota.
func (u RemainingUse) validate() error {
	if min(u.Need.CPUMillis, u.Need.MemoryMB, u.Need.Accelerators) < 0 {
		return errors.Newf("negative need %s", u.Need)
	}
	return nil
}

// HasOutcome reports whether an encoded record may have an outcome, without decoding it.
func HasOutcome(text []byte) bool {
	return bytes.Contains(text, []byte(`"outcome":`))
}

// Progress is what the store keeps of a job that has not ended: the run ends that the owner has
// committed, and starts that may still be carried out late. Tasks without either have no entry. Its
// encodings are described at SegmentIndex.
type Progress struct {
	Tasks []TaskProgress
	// Index is set if the tasks are stored in segments.
	Index *SegmentIndex
	// Segments are the stored segments by their numbers, as AddSegment has added them.
	Segments map[int64]Segment
	// RemainingUse is the resources that runs of tasks that are done may still use.
	RemainingUse RemainingUse
	// Workers are the names of all workers to which starts of the job may have been sent, if its owners
	// record them first (jobstore.OwnerRecord.RecordWorkersFromTerm).
	Workers []string
}

// TaskProgress is the stored progress of one task, or of a gang under its task 0.
type TaskProgress struct {
	Time       int    `json:"k,omitempty"` // the occurrence
	Step       int    `json:"s,omitempty"`
	Index      int    `json:"i,omitempty"`
	Done       bool   `json:"d,omitempty"`
	Failures   []int  `json:"f,omitempty"` // numbers of the runs that failed
	LastRun    int    `json:"r,omitempty"`
	Checkpoint string `json:"c,omitempty"`
	// Attempts are starts that were stored before they were ordered and of which it is not known that a
	// worker has survived them.
	Attempts []Attempt `json:"a,omitempty"`
	// Crashes are the consecutive starts under which a worker crashed.
	Crashes []Crash `json:"x,omitempty"`
	// UnansweredStarts are starts without an answer that an incarnation of their worker may still carry
	// out.
	UnansweredStarts []UnansweredStart `json:"u,omitempty"`
}

// UnansweredStart is a start of a task that got no answer.
type UnansweredStart struct {
	Run    int    `json:"r"`
	Worker string `json:"w"`
	// SentBy is the latest time at which the start can have been sent, by the wall clock of the owner that
	// sent it.
	SentBy time.Time `json:"t"`
	// Invalidated means that a run with the start's number does not prove that the start was carried out.
	// Either its owner knew that the start has no effect on the incarnation that it was sent to, so that
	// a later start may have the same number, or it is such a later start.
	Invalidated bool `json:"v,omitempty"`
}

// Attempt is a start of a task on one incarnation of a worker.
type Attempt struct {
	Run    int    `json:"r"`
	Worker string `json:"w"`
}

// Crash is a start under which a worker crashed.
type Crash struct {
	Run    int    `json:"r"`
	Worker string `json:"w"`
	// Conclusive means that only the task can have caused the crash.
	Conclusive bool `json:"s,omitempty"`
}

// MaxRunNumber is the largest number of a run. Larger integers are not exact where JSON numbers are decoded as
// floating point.
const MaxRunNumber = 1 << 53

// validate returns an error if the number of a run is out of range.
func (t TaskProgress) validate() error {
	lowest := min(t.LastRun, 0)
	for _, n := range t.Failures {
		lowest = min(lowest, n)
	}
	if highest := t.HighestRun(); lowest < 0 || highest > MaxRunNumber {
		return errors.Newf("task %d.%d.%d: runs %d to %d: want 0 to %d", t.Time, t.Step, t.Index, lowest, highest, int64(MaxRunNumber))
	}
	return nil
}

// HighestRun returns the highest known run number of the task.
func (t TaskProgress) HighestRun() int {
	n := t.LastRun
	for _, a := range t.Attempts {
		n = max(n, a.Run)
	}
	for _, c := range t.Crashes {
		n = max(n, c.Run)
	}
	for _, u := range t.UnansweredStarts {
		n = max(n, u.Run)
	}
	return n
}

// HasBegun reports whether the task has begun, according to its stored progress.
func (t TaskProgress) HasBegun() bool {
	return t.Done || t.LastRun > 0 || len(t.Failures)+len(t.Attempts)+len(t.Crashes) > 0
}
