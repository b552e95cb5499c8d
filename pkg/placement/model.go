package placement

import (
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/settings"
)

// Config holds the times of the policy.
type Config struct {
	// AgeStep is the wait that moves a task up by one class.
	AgeStep time.Duration
	// ReserveAfter is the wait after which a worker is kept free for a task.
	ReserveAfter time.Duration
}

// DefaultConfig is used by the owners.
var DefaultConfig = Config{AgeStep: 10 * time.Minute, ReserveAfter: 20 * time.Second}

// Worker is one host that runs tasks.
type Worker struct {
	ID       string
	Site     settings.Site
	Capacity cell.Resources
}

// Task is one thing to place.
type Task struct {
	ID         string
	Workload   string
	Team       string
	Class      settings.Class
	Policy     settings.Policy
	Resources  cell.Resources
	Place      settings.Place
	Deadline   clock.Time // of a batch request's window; 0 for none
	Repeatable bool
	// Since is when the task began to wait.
	Since clock.Time
}

// Kind says what was decided.
type Kind int

// The kinds of decision.
const (
	Start   Kind = iota // start the task on the worker
	Preempt             // stop the task on the worker to make room for an urgent one
)

// Decision is one placement.
type Decision struct {
	Kind   Kind
	Task   Task
	Worker string
	// For is the urgent task that a preempted one makes room for.
	For string
	// Examined is how many workers were looked at.
	Examined int
}

// worker is a Worker with what was given to it.
type worker struct {
	Worker
	used     cell.Resources
	tasks    map[string]*placed
	closed   bool   // takes no new tasks
	reserved string // the task that it is kept free for
	bucket   int
	at       int // position in the bucket
}

// placed is a task on a worker.
type placed struct {
	Task
	worker    *worker
	preempted bool
}

func (w *worker) free() cell.Resources {
	return w.Capacity.Sub(w.used)
}
