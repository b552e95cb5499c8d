package dispatch

import (
	"net/netip"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/workerid"
	"github.com/cockroachdb/errors"
)

// ErrNotSent marks the failure of an order that certainly did not reach the worker.
var ErrNotSent = errors.New("the order was not sent")

// WorkerID identifies one incarnation of a worker.
type WorkerID = workerid.ID

// NewWorkerID returns the ID of a worker's incarnation that started at the given time in Unix ms; 0 when
// that is not known.
func NewWorkerID(name string, startedAt int64) WorkerID {
	return workerid.New(name, startedAt)
}

// WorkerInfo is what a worker publishes about itself.
type WorkerInfo struct {
	ID       WorkerID
	Pool     string
	Address  netip.AddrPort
	Zone     string
	Rack     string   `json:",omitempty"`
	Labels   []string `json:",omitempty"`
	Capacity cell.Resources
	Draining bool `json:",omitempty"`
	// Remaining is the least time that a draining worker has left; 0 when not known.
	Remaining time.Duration `json:",omitempty"`
	// Crashed says that the worker has crashed, and that a later owner may not know under which starts.
	Crashed bool `json:",omitempty"`
	// Retired says that the worker gets no starts any more, and that Jobs lists every job that may have a
	// run there. Only the roster has these two.
	Retired bool     `json:",omitempty"`
	Jobs    []job.ID `json:",omitempty"`
}

// Verdict is the result of an order at a worker.
type Verdict int

// The results of orders.
const (
	VerdictUnknown        Verdict = iota // the result is not known
	VerdictDone                          // carried out
	VerdictFenced                        // the worker has seen a higher fencing token
	VerdictOldRun                        // the run's number is not above that of an ended run
	VerdictDeadlinePassed                // the deadline has passed
	VerdictNoRoom                        // the worker has no room
	VerdictNoTicket                      // the ticket is not valid
	VerdictWrongWorker                   // a worker of another name answers at the address
	VerdictUnhealthy                     // the worker carries out no orders at present
	VerdictOther                         // rejected for another reason
)

var verdictNames = [...]string{
	"unknown", "done", "fenced", "old_run", "late", "no_room", "no_ticket", "other_incarnation", "unhealthy", "other",
}

// String returns the verdict's name for logs.
func (v Verdict) String() string {
	return verdictNames[v]
}

// Answer is a worker's answer to an order.
type Answer struct {
	Verdict Verdict
	Clock   int64 // of the worker, in milliseconds; 0 when not known
}

// EndReason says how a run ended.
type EndReason int

// The reasons for which runs end.
const (
	EndUnknown EndReason = iota
	EndDone
	EndFailed
	EndStopped
	EndLeaseExpired
	EndGangBroken     // another member of the gang ended
	EndGangIncomplete // other members of the gang were not started in time
	EndLost           // the owner counts the run as ended, though no worker has reported the end
)

var endReasonNames = [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone", "lost"}

// String returns the reason's name for logs.
func (e EndReason) String() string {
	return endReasonNames[e]
}

// ActiveRun is a run that a worker reports as running.
type ActiveRun struct {
	Task       job.TaskID
	Run        int
	Checkpoint string
	Percent    int
	// Load is, for a task that serves, its tail latency in milliseconds, otherwise the
	// processors in use in thousandths; 0 when not known.
	Load int
}

// FinishedRun is the end of a run as reported by a worker.
type FinishedRun struct {
	Number     int64 // increases within an incarnation of the worker
	Task       job.TaskID
	Run        int
	Reason     EndReason
	Checkpoint string
}

// Report is what a worker lists in its answer to a poll.
type Report struct {
	// IncarnationStart is when the reporting incarnation started (WorkerID.StartedAt); 0 when not known.
	IncarnationStart int64
	Active           []ActiveRun
	Finished         []FinishedRun
	// Truncated says that the worker may have more ends than it lists at once.
	Truncated bool
	// UnparsableRuns counts the listed runs whose names can't be parsed.
	UnparsableRuns int
}

// Ticket allows a worker to run the tasks of a step.
type Ticket struct {
	Worker WorkerID
	Text   string
}

// StartOrder is an order to start a task.
type StartOrder struct {
	Task       job.TaskID
	Run        int
	Worker     WorkerID
	Address    netip.AddrPort
	Token      int64
	Spec       string
	Checkpoint string
	Ticket     string
	Deadline   int64 // on the worker's clock, in milliseconds
}

// StopOrder is an order to stop a run.
type StopOrder struct {
	Task    job.TaskID
	Run     int
	Worker  WorkerID
	Address netip.AddrPort
	Token   int64
}

// PaceOrder is an order to let a run work at a percentage of its speed.
type PaceOrder struct {
	StopOrder
	Percent int
}

// PollOrder is an order to extend the leases of what runs on a worker and to report it.
type PollOrder struct {
	Worker   WorkerID
	Address  netip.AddrPort
	Token    int64
	AckedEnd int64
	Deadline int64      // on the worker's clock; 0 when that is not known yet
	SentAt   clock.Time // set by the caller of NewPoll
}

// AdviceCall is a call that asks which of some workers may run a step.
type AdviceCall struct {
	Number  int64
	Step    job.StepID
	Workers []WorkerID
	Adviser string // the process that makes the call
	Timeout time.Duration
}

// Actions are what Plan wants done.
type Actions struct {
	Starts      []StartOrder
	Stops       []StopOrder
	Paces       []PaceOrder
	AdviceCalls []AdviceCall
	// NewWorkers are workers that have to be polled from now on.
	NewWorkers []WorkerInfo
	// FenceWorkers are workers that need a poll with a higher token at once.
	FenceWorkers []WorkerID
	// ConfirmOwnership asks for a new confirmation of the ownership (Pool.RecordOwnershipConfirmed).
	ConfirmOwnership bool
}

// IsEmpty reports whether there is nothing to do.
func (a Actions) IsEmpty() bool {
	return len(a.Starts)+len(a.Stops)+len(a.Paces)+len(a.AdviceCalls)+len(a.NewWorkers)+len(a.FenceWorkers) == 0 && !a.ConfirmOwnership
}

// Event is a log line about something that was decided or observed.
type Event struct {
	Name   string
	Task   job.TaskID
	Job    job.ID
	Run    int
	Worker WorkerID
	Detail string
	// Customer is the name of the customer whose job the event is about.
	Customer string
}
