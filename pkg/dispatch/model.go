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

// WorkerID names one life of a worker.
type WorkerID = workerid.ID

// NewWorkerID returns the ID of the life of a worker that began at a time, in Unix ms; 0 when that is not told.
func NewWorkerID(name string, born int64) WorkerID {
	return workerid.New(name, born)
}

// WorkerInfo is what a worker says of itself.
type WorkerInfo struct {
	ID       WorkerID
	Pool     string
	Address  netip.AddrPort
	Zone     string
	Rack     string   `json:",omitempty"`
	Labels   []string `json:",omitempty"`
	Capacity cell.Resources
	Draining bool `json:",omitempty"`
	// Remaining is the least time that a draining worker has left; 0 when not told.
	Remaining time.Duration `json:",omitempty"`
	// Crashed says that the worker has gone, and that a later owner may not know under which starts.
	Crashed bool `json:",omitempty"`
	// Retired says that the worker gets no start any more, and that Jobs has every job that may have a run there. Only the roster tells it.
	Retired bool     `json:",omitempty"`
	Jobs    []job.ID `json:",omitempty"`
}

// Verdict is how a worker answered an order.
type Verdict int

// The verdicts.
const (
	VerdictUnknown        Verdict = iota // the outcome is not known
	VerdictDone                          // carried out
	VerdictFenced                        // the worker has seen a higher fencing token
	VerdictOldRun                        // the run's number is not above an ended one
	VerdictDeadlinePassed                // the deadline has passed
	VerdictNoRoom                        // the worker has no room
	VerdictNoTicket                      // the ticket does not hold
	VerdictWrongWorker                   // a worker of another name answers at the address
	VerdictUnhealthy                     // the worker does nothing at present
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
	Clock   int64 // of the worker, in milliseconds; 0 when not told
}

// EndReason is how a run ended.
type EndReason int

// The ends of runs.
const (
	EndUnknown EndReason = iota
	EndDone
	EndFailed
	EndStopped
	EndLeaseExpired
	EndGangBroken     // another member of the gang ended
	EndGangIncomplete // the other members of the gang did not come
	EndLost           // the life of the worker has ended, or its leases have lapsed unseen
)

var endReasonNames = [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone", "lost"}

// String returns the end's name for logs.
func (e EndReason) String() string {
	return endReasonNames[e]
}

// ActiveRun is a run that a worker lists as running.
type ActiveRun struct {
	Task       job.TaskID
	Run        int
	Checkpoint string
	Percent    int
	// Load is the tail of the answer times in milliseconds for a task that serves, otherwise
	// the processors in use in thousandths; 0 when not told.
	Load int
}

// FinishedRun is an end that a worker lists.
type FinishedRun struct {
	Number     int64 // rises within a life of the worker
	Task       job.TaskID
	Run        int
	Reason     EndReason
	Checkpoint string
}

// Report is what a worker lists in answer to a hold.
type Report struct {
	// IncarnationStart is when the life began that reports (WorkerID.Born); 0 when that is not told.
	IncarnationStart int64
	Active           []ActiveRun
	Finished         []FinishedRun
	// Truncated says that the worker may have more ends than it lists at once.
	Truncated bool
	// UnparsableRuns counts the runs that are listed under names that can't be read.
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

// PaceOrder is an order to set a run to work at a share of its speed.
type PaceOrder struct {
	StopOrder
	Percent int
}

// Hold is an order to extend what runs on a worker and to report it.
type PollOrder struct {
	Worker   WorkerID
	Address  netip.AddrPort
	Token    int64
	AckedEnd int64
	Deadline int64      // on the worker's clock; 0 when it is not known yet
	SentAt   clock.Time // set by the caller of NewPoll
}

// AdviceCall is a call for advice on which workers may run a step.
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
	// NewWorkers are workers that have to be asked from now on.
	NewWorkers []WorkerInfo
	// FenceWorkers name workers that need a hold with a higher token at once.
	FenceWorkers []WorkerID
	// ConfirmOwnership asks for a new confirmation of the ownership (Pool.Confirmed).
	ConfirmOwnership bool
}

// Empty says that there is nothing to do.
func (a Actions) IsEmpty() bool {
	return len(a.Starts)+len(a.Stops)+len(a.Paces)+len(a.AdviceCalls)+len(a.NewWorkers)+len(a.FenceWorkers) == 0 && !a.ConfirmOwnership
}

// Event is a line for the log: something that was decided or learned.
type Event struct {
	Name   string
	Task   job.TaskID
	Job    job.ID
	Run    int
	Worker WorkerID
	Detail string
	// Customer names whose job it is about.
	Customer string
}
