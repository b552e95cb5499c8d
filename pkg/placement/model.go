package placement

import (
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/settings"
)

// Config holds the waiting times that change how a task is treated.
type Config struct {
	// AgeStep is the waiting time after which a task moves up by one class.
	AgeStep time.Duration
	// ReserveAfter is the waiting time after which a worker is reserved for a task.
	ReserveAfter time.Duration
}

// DefaultConfig is the configuration of production owners.
var DefaultConfig = Config{AgeStep: 10 * time.Minute, ReserveAfter: 20 * time.Second}

// Worker is one host that runs tasks.
type Worker struct {
	ID       string
	Site     settings.Site
	Capacity cell.Resources
}

// Task is a task to be placed on a worker.
type Task struct {
	ID         string
	Workload   string
	Team       string
	Class      settings.Class
	Policy     settings.Policy
	Resources  cell.Resources
	Place      settings.Place
	Deadline   clock.Time // when a batch request's window ends; 0 for none
	Repeatable bool
	// Since is when the task began to wait; Submit sets it when it is 0.
	Since clock.Time
}

// Kind is the kind of a decision.
type Kind int

// The kinds of decision.
const (
	Start   Kind = iota // start the task on the worker
	Preempt             // stop the task on the worker to make room for an urgent one
)

// Decision is the decision to start or to stop one task, which the owner carries out.
type Decision struct {
	Kind   Kind
	Task   Task
	Worker string
	// For is the urgent task for which a task is preempted.
	For string
	// Examined is how many workers were examined for a start.
	Examined int
}

// worker is a Worker with the tasks that are placed on it.
type worker struct {
	Worker
	used     cell.Resources
	tasks    map[string]*placed
	closed   bool   // takes no new tasks
	reserved string // the task for which the worker is reserved, or empty
	bucket   int    // its bucket in the index
	position int    // its position in the bucket
}

// placed is a task that is placed on a worker.
type placed struct {
	Task
	worker    *worker
	preempted bool
}

func (w *worker) free() cell.Resources {
	return w.Capacity.Sub(w.used)
}
