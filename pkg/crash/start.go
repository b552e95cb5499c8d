package crash

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
)

const (
	// SurvivalTime is how long a worker must have lived on after the start of a run, by its own clock, for the start
	// not to be what ends the worker. Tasks that crash their workers were seen to do so 10 ms after their start.
	SurvivalTime = 300 * time.Millisecond
	// crashWindow is how long after a start its worker may have been heard of, by its own clock, for the start to be
	// the only cause that there can be. With SurvivalTime in its place, two workers in a row that crashed on their own gave up a job in two of
	// 5,000 random histories in which each worker does so every 40 s.
	crashWindow = 150 * time.Millisecond
	// responsiveTime is for how long a worker counts as living after it was heard of, when a start got no answer: one that was ordered later may
	// have met a worker that had crashed before. Holds wait up to 0.6 s in pools of usual size, so half of the workers were heard of within it.
	responsiveTime = 300 * time.Millisecond
)

// HasSurvived says that a worker lives on after a start, by two readings of its own clock in milliseconds.
func HasSurvived(begun, heard int64) bool {
	return heard-begun >= SurvivalTime.Milliseconds()
}

// Soon says that a worker was not heard of for longer than crashWindow after a start, by two readings of its own clock in milliseconds.
func IsInCrashWindow(begun, heard int64) bool {
	return heard-begun <= crashWindow.Milliseconds()
}

// WorkerLiveness is what is known of a worker's life from its answers.
type WorkerLiveness struct {
	LastSeenAt clock.Time // last
	// FirstUnansweredAt is when the first call got no answer since then; 0 when none has failed.
	FirstUnansweredAt clock.Time
}

// IsResponsive says that the worker was heard of just now, and that no call since has failed. Another one may have crashed already, and a start
// there would be counted against its task.
func (w WorkerLiveness) IsResponsive(now clock.Time) bool {
	return w.FirstUnansweredAt == 0 && now.Sub(w.LastSeenAt) <= responsiveTime
}

// MayPrecede says that the worker may have ended before a start without an answer that was ordered at a time: a call before it got none
// either, or the worker had not been heard of for a while.
func (w WorkerLiveness) MayPrecede(ordered clock.Time) bool {
	return w.FirstUnansweredAt != 0 && ordered > w.FirstUnansweredAt || ordered.Sub(w.LastSeenAt) > responsiveTime
}

// Start is a start that may have ended its worker.
type Start struct {
	Task job.TaskID
	Run  int
	// Soon says that the worker is known to have begun it, and was not heard of for longer than crashWindow after that.
	InCrashWindow bool
}

// Starts are starts on one worker.
type Starts []Start

// HasRun says whether a run is among them.
func (s Starts) HasRun(id job.TaskID, run int) bool {
	return slices.ContainsFunc(s, func(x Start) bool { return x.Run == run && x.Task == id })
}

// String names starts for logs, such as "a.0.0.1:3,b.0.0.0:1"; a few of them.
func (s Starts) String() string {
	const most = 8
	names := make([]string, 0, most)
	for _, x := range s[:min(len(s), most)] {
		names = append(names, fmt.Sprintf("%s:%d", x.Task, x.Run))
	}
	if len(s) > most {
		names = append(names, fmt.Sprintf("and %d more", len(s)-most))
	}
	return strings.Join(names, ",")
}
