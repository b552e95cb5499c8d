package load

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/trace"
	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

// The histograms of waiting times count microseconds, from 1 µs to ten minutes.
const (
	histogramMinMicros         = 1
	histogramMaxMicros         = int64(10 * time.Minute / time.Microsecond)
	histogramSignificantDigits = 2
)

// outcome is the outcome of one request.
type outcome struct {
	name         string        // such as "ok", "batch_done", "connection_lost", or the name of a problem
	took         time.Duration // since the scheduled time; 0 unless the call succeeded or the batch request ended
	wait         time.Duration // took without the work duration
	endedAt      time.Duration // since the start of the run; 0 if took is 0
	missedWindow bool          // a batch request ended after its window
}

// Result is the result of a run.
type Result struct {
	Seconds   float64              `json:"seconds"`
	Workloads map[string]*Workload `json:"workloads"`
	// Timeline has one element for each second of the run. All requests whose outcome.took is 0 count as
	// refused in the first second, because their outcomes have no end time.
	Timeline []Second `json:"timeline"`
}

// Workload summarizes the requests to one workload.
type Workload struct {
	Sent   int            `json:"sent"`
	ByName map[string]int `json:"by_name"`
	Late   int            `json:"late"`
	// WaitP50, WaitP99 and WaitMax are in milliseconds: the latency without the work duration of the requests
	// that ran.
	WaitP50 float64 `json:"wait_p50_ms"`
	WaitP99 float64 `json:"wait_p99_ms"`
	WaitMax float64 `json:"wait_max_ms"`

	waits *hdrhistogram.Histogram
}

// Second summarizes one second of a run.
type Second struct {
	Done      int     `json:"done"`
	Refused   int     `json:"refused"`
	WorstWait float64 `json:"worst_wait_ms"`
}

func newResult() *Result {
	return &Result{Workloads: map[string]*Workload{}}
}

func (r *Result) add(e trace.Event, o outcome) {
	w, ok := r.Workloads[e.Workload]
	if !ok {
		w = &Workload{ByName: map[string]int{}, waits: hdrhistogram.New(histogramMinMicros, histogramMaxMicros, histogramSignificantDigits)}
		r.Workloads[e.Workload] = w
	}
	w.Sent++
	w.ByName[o.name]++
	if o.missedWindow {
		w.Late++
	}
	s := r.timelineSecond(o.endedAt)
	if o.took == 0 {
		s.Refused++
		return
	}
	s.Done++
	s.WorstWait = max(s.WorstWait, toMilliseconds(o.wait))
	_ = w.waits.RecordValue(max(o.wait.Microseconds(), histogramMinMicros))
	w.WaitP50 = float64(w.waits.ValueAtQuantile(50)) / 1000
	w.WaitP99 = float64(w.waits.ValueAtQuantile(99)) / 1000
	w.WaitMax = float64(w.waits.Max()) / 1000
}

func (r *Result) timelineSecond(at time.Duration) *Second {
	i := int(at / time.Second)
	for len(r.Timeline) <= i {
		r.Timeline = append(r.Timeline, Second{})
	}
	return &r.Timeline[i]
}

func toMilliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

// Done returns the number of requests that ran to completion.
func (w *Workload) Done() int {
	return w.ByName["ok"] + w.ByName["batch_done"]
}

// Print writes a table with one line for each workload; without the last column it fits 100 columns.
func (r *Result) Print(w io.Writer) {
	fmt.Fprintf(w, "%-12s %7s %7s %6s %10s %10s %10s  %s\n", "WORKLOAD", "SENT", "DONE", "LATE", "WAIT P50", "WAIT P99", "WAIT MAX", "OTHERS")
	for _, name := range slices.Sorted(maps.Keys(r.Workloads)) {
		s := r.Workloads[name]
		fmt.Fprintf(w, "%-12s %7d %7d %6d %8.1fms %8.1fms %8.1fms  %s\n",
			name, s.Sent, s.Done(), s.Late, s.WaitP50, s.WaitP99, s.WaitMax, s.formatOtherOutcomes())
	}
}

// formatOtherOutcomes lists the outcomes that Done does not count, with their numbers.
func (w *Workload) formatOtherOutcomes() string {
	text := ""
	for _, name := range slices.Sorted(maps.Keys(w.ByName)) {
		if name != "ok" && name != "batch_done" {
			text += fmt.Sprintf("%s %d ", name, w.ByName[name])
		}
	}
	if text == "" {
		return "-"
	}
	return text
}

// Save writes the result to a file as JSON.
func (r *Result) Save(path string) error {
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode result")
	}
	return errors.Wrap(os.WriteFile(path, append(text, '\n'), 0o600), "write result")
}

// ReadResult reads a result that Result.Save wrote.
func ReadResult(path string) (*Result, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read result")
	}
	var r Result
	if err := json.Unmarshal(text, &r); err != nil {
		return nil, errors.Wrapf(err, "result %s", path)
	}
	return &r, nil
}

// Compare writes a table that compares b with a: the numbers of completed requests, and the ratios of the
// waiting times of b to those of a. Workloads that only b has are left out.
func Compare(w io.Writer, a, b *Result) {
	fmt.Fprintf(w, "%-12s %10s %10s %12s %12s\n", "WORKLOAD", "DONE A", "DONE B", "P50 B/A", "P99 B/A")
	for _, name := range slices.Sorted(maps.Keys(a.Workloads)) {
		x, y := a.Workloads[name], b.Workloads[name]
		if y == nil {
			fmt.Fprintf(w, "%-12s %10d %10s\n", name, x.Done(), "-")
			continue
		}
		fmt.Fprintf(w, "%-12s %10d %10d %12.2f %12.2f\n", name, x.Done(), y.Done(), ratioOrZero(y.WaitP50, x.WaitP50), ratioOrZero(y.WaitP99, x.WaitP99))
	}
}

// ratioOrZero returns a/b, or 0 if b is 0.
func ratioOrZero(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
