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

// Record is what the store keeps of an accepted job.
type Record struct {
	Job Job `json:"job,omitzero"`
	// Queue is the job's queue as the configuration had it when the job was accepted.
	Queue queue.Queue `json:"queue,omitzero"`
	// Customer is whose job it is, as the configuration had it when the job was accepted; without a name it is nobody's. It
	// stays with the outcome, with the name alone.
	Customer customer.Customer `json:"customer,omitzero"`
	// AcceptedAt is the time of day at the host that accepted the job.
	AcceptedAt time.Time `json:"accepted_at,omitzero"`
	// Term is the highest term of an owner that the accepting host knew of. Owners of lower
	// terms never start the job.
	Term int64 `json:"term,omitempty"`
	// Outcome is set once the job has ended; Job and Queue are left out then.
	Outcome State `json:"outcome,omitempty"`
	// Unended is what may have run of the job when it ended.
	Unended Unended `json:"unended,omitzero"`
	// LateStart is the time of day by which the last start of an ended job was sent that got no answer (Unanswered); zero without any.
	LateStart time.Time `json:"late_start,omitzero"`
}

// Unended is what may still run of a job that has ended, or for tasks that are done: runs that are being stopped, and starts without an
// answer. A later owner that can't hear the workers has no other word of them.
type Unended struct {
	Need cell.Resources `json:"need,omitzero"`
	// At is the time of day at the owner that wrote it.
	At time.Time `json:"at,omitzero"`
}

// Encode returns the record as the store keeps it.
func (r Record) Encode() ([]byte, error) {
	text, err := json.Marshal(r)
	return text, errors.Wrap(err, "encode job record")
}

// DecodeRecord reads what Encode returned.
func DecodeRecord(text []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(text, &r); err != nil {
		return Record{}, errors.Wrap(err, "job record")
	}
	return r, nil
}

// HasOutcome says whether the text of a record may have an outcome, without reading the record.
func HasOutcome(text []byte) bool {
	return bytes.Contains(text, []byte(`"outcome":`))
}

// Progress is what the store keeps of a job that has not ended: the ends that the owner
// has taken note of, and starts that may come late. Other tasks have no entry.
type Progress struct {
	Tasks []TaskProgress `json:"tasks"`
	// Unended is what may run for tasks that are done.
	Unended Unended `json:"unended,omitzero"`
	// Workers are the names of all to which starts of the job may have gone, if its owners store them first (jobstore.Holder.NamedFrom).
	Workers []string `json:"w,omitempty"`
}

// TaskProgress is what was noted of one task, or of a gang under its task 0.
type TaskProgress struct {
	Time       int    `json:"k,omitempty"`
	Step       int    `json:"s,omitempty"`
	Index      int    `json:"i,omitempty"`
	Done       bool   `json:"d,omitempty"`
	Failures   []int  `json:"f,omitempty"` // numbers of the runs that failed
	LastRun    int    `json:"r,omitempty"`
	Checkpoint string `json:"c,omitempty"`
	// Attempts are starts that were stored before they were ordered and that no worker has been seen to survive.
	Attempts []Attempt `json:"a,omitempty"`
	// Crashes are the starts in a row under which a worker crashed.
	Crashes []Crash `json:"x,omitempty"`
	// Unanswered are starts without an answer that a life of their worker may carry out late.
	Unanswered []Unanswered `json:"u,omitempty"`
}

// Unanswered is a start of a task that got no answer.
type Unanswered struct {
	Run    int    `json:"r"`
	Worker string `json:"w"`
	// At is the time of day, at the owner that sent it, by which it was sent.
	At time.Time `json:"t"`
	// Void says that a run of its number does not show that it was carried out: its owner knew that it does nothing on the life that it was sent to, so that a later
	// start may have its number, or it is such a later start.
	Void bool `json:"v,omitempty"`
}

// Attempt is a start of a task on one life of a worker.
type Attempt struct {
	Run    int    `json:"r"`
	Worker string `json:"w"`
}

// Crash is a start under which a worker crashed.
type Crash struct {
	Run    int    `json:"r"`
	Worker string `json:"w"`
	// Alone says that nothing but the task can be the cause.
	Alone bool `json:"s,omitempty"`
}

// HighestRun is the highest number of a run that is known of a task.
func (t TaskProgress) HighestRun() int {
	n := t.LastRun
	for _, a := range t.Attempts {
		n = max(n, a.Run)
	}
	for _, c := range t.Crashes {
		n = max(n, c.Run)
	}
	for _, u := range t.Unanswered {
		n = max(n, u.Run)
	}
	return n
}

// Begun says that the task has begun, as far as the row tells.
func (t TaskProgress) Begun() bool {
	return t.Done || t.LastRun > 0 || len(t.Failures)+len(t.Attempts)+len(t.Crashes) > 0
}

// Encode returns the progress as the store keeps it.
func (p Progress) Encode() ([]byte, error) {
	text, err := json.Marshal(p)
	return text, errors.Wrap(err, "encode job progress")
}

// DecodeProgress reads what Encode returned.
func DecodeProgress(text []byte) (Progress, error) {
	var p Progress
	if err := json.Unmarshal(text, &p); err != nil {
		return Progress{}, errors.Wrap(err, "job progress")
	}
	return p, nil
}
