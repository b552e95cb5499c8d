package job

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"github.com/cockroachdb/errors"
)

// ID identifies a job. The caller chooses it; it has 16 hexadecimal digits.
type ID string

const idLength = 16

// ParseID returns the job id in a text, or an error that describes what is wrong with it.
func ParseID(text string) (ID, error) {
	if len(text) != idLength {
		return "", errors.Newf("job id %q: want %d hexadecimal digits", text, idLength)
	}
	for _, r := range text {
		if !strings.ContainsRune("0123456789abcdefABCDEF", r) {
			return "", errors.Newf("job id %q: want %d hexadecimal digits", text, idLength)
		}
	}
	return ID(text), nil
}

// State is the state of a job as callers see it.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Ended reports whether the state is final.
func (s State) Ended() bool {
	return s == Completed || s == Failed || s == Cancelled
}

// Job is what a caller submits.
type Job struct {
	ID       ID
	Spec     string
	Steps    []Step
	Schedule Schedule `json:",omitzero"`
}

// Step is a group of tasks with the same properties. Its encoding leaves out what is zero, so that the record
// of a job of many steps is not much larger than the request.
type Step struct {
	Count     int
	Resources cell.Resources `json:",omitzero"`  // of each task
	Estimate  time.Duration  `json:",omitempty"` // the caller's rough estimate of a task's duration
	After     []int          `json:",omitempty"` // indices of the earlier steps that must be done first
	// Checkpointing means that the tasks save their progress.
	Checkpointing bool `json:",omitempty"`
	// Gang means that the tasks must run at the same time.
	Gang     bool `json:",omitempty"`
	SameRack bool `json:",omitempty"`
	// Requirement is a label that the worker must have; empty for none.
	Requirement string `json:",omitempty"`
	// Affinity is the rack that holds the data; empty for none.
	Affinity string `json:",omitempty"`
	// MaxPerWorker bounds the step's tasks on one worker; 0 means no bound.
	MaxPerWorker int `json:",omitempty"`
	// Speculative means that several copies of a task may run at the same time.
	Speculative bool `json:",omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `json:",omitempty"`
	// Filler tasks use the CPU time that other tasks leave unused; their CPU need is not counted.
	Filler bool `json:",omitempty"`
	// Image is the name of the image that the tasks run.
	Image string `json:",omitempty"`
	// TargetTail bounds the tail latency of a service's tasks; 0 means no bound.
	TargetTail time.Duration `json:",omitempty"`
	// MissAllowed is how many tasks may be down at once because of the scheduler's own actions.
	MissAllowed int `json:",omitempty"`
}

// Need returns the part of a worker's capacity that a task of the step takes.
func (s Step) Need() cell.Resources {
	if s.Filler {
		return cell.Resources{MemoryMB: s.Resources.MemoryMB, Accelerators: s.Resources.Accelerators}
	}
	return s.Resources
}

// MinResources returns the resources that the step needs at the same time at least: those of all tasks of
// a gang, otherwise those of one task.
func (s Step) MinResources() cell.Resources {
	if s.Gang {
		return s.Resources.Times(int64(s.Count))
	}
	return s.Resources
}

// Schedule repeats the steps of a job. A job with Repeat 0 runs once and starts immediately.
type Schedule struct {
	Repeat   int
	Start    time.Time
	Interval time.Duration
}

// Occurrences returns how many times the steps run.
func (s Schedule) Occurrences() int {
	return max(s.Repeat, 1)
}

// DueAt returns when occurrence k may begin; the zero time for a job without a schedule. It is at most the
// longest duration, some 292 years, after Start.
func (s Schedule) DueAt(k int) time.Time {
	if s.Repeat == 0 {
		return time.Time{}
	}
	if s.Interval > 0 && int64(k) > math.MaxInt64/int64(s.Interval) {
		return s.Start.Add(math.MaxInt64)
	}
	return s.Start.Add(time.Duration(k) * s.Interval)
}

// MaxSpecBytes is the size of the longest spec of a job.
const MaxSpecBytes = 4000

// Validate returns why the job can't be accepted, or nil if it can.
func (j Job) Validate() error {
	if len(j.Spec) > MaxSpecBytes {
		return errors.Newf("spec: want at most %d bytes, not %d", MaxSpecBytes, len(j.Spec))
	}
	if _, err := j.NumberTasks(); err != nil {
		return err
	}
	return j.validateSteps()
}

// validateSteps checks that there are steps, and that each depends on earlier ones only.
func (j Job) validateSteps() error {
	if len(j.Steps) == 0 {
		return errors.New("steps: a job has at least one step")
	}
	for n, s := range j.Steps {
		for _, a := range s.After {
			if a < 0 || a >= n {
				return errors.Newf("steps[%d].after: %d is not an earlier step", n, a)
			}
		}
	}
	return nil
}

// StepID identifies one step of one occurrence of a job.
type StepID struct {
	Job  ID
	Time int // the occurrence
	Step int
}

// String returns ID.K.STEP, where K is the occurrence.
func (s StepID) String() string {
	return string(s.Job) + "." + strconv.Itoa(s.Time) + "." + strconv.Itoa(s.Step)
}

// TaskID identifies one task of one occurrence of a job.
type TaskID struct {
	StepID
	Index int
}

// String returns ID.K.STEP.INDEX, where K is the occurrence.
func (t TaskID) String() string {
	return t.StepID.String() + "." + strconv.Itoa(t.Index)
}

// ParseTaskID returns the task id in a text of the form ID.K.STEP.INDEX.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskID{}, errors.Newf("task %q: want ID.TIME.STEP.INDEX", text)
	}
	var numbers [3]int
	for i, part := range parts[1:] {
		n, err := strconv.Atoi(part)
		if err != nil {
			return TaskID{}, errors.Wrap(err, fmt.Sprintf("task %q", text))
		}
		if n < 0 {
			return TaskID{}, errors.Newf("task %q: the number %d is negative", text, n)
		}
		numbers[i] = n
	}
	return TaskID{StepID{ID(parts[0]), numbers[0], numbers[1]}, numbers[2]}, nil
}

// Summary returns a description of the steps for logs, such as "2x(cpu=1400m mem=5200MB acc=0) gang".
func (j Job) Summary() string {
	parts := make([]string, 0, len(j.Steps))
	for _, s := range j.Steps {
		parts = append(parts, s.summary())
	}
	return strings.Join(parts, "; ")
}

func (s Step) summary() string {
	text := fmt.Sprintf("%dx(%s)", s.Count, s.Resources)
	flags := []struct {
		name string
		set  bool
	}{
		{"gang", s.Gang}, {"same_rack", s.SameRack}, {"checkpointing", s.Checkpointing}, {"speculative", s.Speculative},
		{"long_running", s.LongRunning}, {"filler", s.Filler},
		{"label=" + s.Requirement, s.Requirement != ""}, {"near=" + s.Affinity, s.Affinity != ""},
		{"per_worker=" + strconv.Itoa(s.MaxPerWorker), s.MaxPerWorker > 0},
		{fmt.Sprintf("after=%v", s.After), len(s.After) > 0},
	}
	for _, f := range flags {
		if f.set {
			text += " " + f.name
		}
	}
	return text
}
