package trace

import (
	"bufio"
	"bytes"
	"embed"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// Name is the name of a bundled trace.
type Name string

// Names of the bundled traces.
const (
	Hanbit      Name = "hanbit"
	Association Name = "association"
)

// BundledSeed is the seed from which the bundled traces were generated.
const BundledSeed = 1

// Event is one request of a trace.
type Event struct {
	AtMS          int64  `json:"at_ms"` // since the start of the trace
	Workload      string `json:"workload"`
	Batch         bool   `json:"batch,omitempty"`
	Caller        string `json:"caller"`
	Key           string `json:"key,omitempty"`
	Class         string `json:"class,omitempty"`
	WorkMS        int64  `json:"work_ms"`               // how long the endpoint or task works on it
	LimitMS       int64  `json:"limit_ms,omitempty"`    // time limit of a call
	NotRepeatable bool   `json:"once,omitempty"`        // must not be executed more than once
	Team          string `json:"team,omitempty"`        // batch requests only
	CPUMillis     int64  `json:"cpu_millis,omitempty"`  // batch requests only
	MemoryMB      int64  `json:"memory_mb,omitempty"`   // batch requests only
	WindowMS      int64  `json:"window_ms,omitempty"`   // batch requests only
	Accelerators  int64  `json:"accelerator,omitempty"` // batch requests only
}

// At returns the time of the request since the start of the trace.
func (e Event) At() time.Duration {
	return time.Duration(e.AtMS) * time.Millisecond
}

// Body returns the request body. The stand-in services parse it to find out how long to work on the
// request.
func (e Event) Body() string {
	option := ""
	if e.NotRepeatable && e.Batch {
		option = " not-repeatable"
	}
	return fmt.Sprintf("ms=%d%s %s", e.WorkMS, option, e.Key)
}

//go:embed *.jsonl
var files embed.FS

// Bundled returns a bundled trace, ordered by time.
func Bundled(name Name) ([]Event, error) {
	text, err := files.ReadFile(string(name) + ".jsonl")
	if err != nil {
		return nil, errors.Newf("no bundled trace %q", name)
	}
	return Read(bytes.NewReader(text))
}

// Read reads a trace in the JSON Lines format: one event per line.
func Read(r io.Reader) ([]Event, error) {
	var events []Event
	scanner := bufio.NewScanner(r)
	for line := 1; scanner.Scan(); line++ {
		var e Event
		decoder := json.NewDecoder(bytes.NewReader(scanner.Bytes()))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&e); err != nil {
			return nil, errors.Wrapf(err, "line %d", line)
		}
		events = append(events, e)
	}
	return events, errors.Wrap(scanner.Err(), "trace")
}

// Write writes a trace in the format that Read expects.
func Write(w io.Writer, events []Event) error {
	encoder := json.NewEncoder(w)
	for _, e := range events {
		if err := encoder.Encode(e); err != nil {
			return errors.Wrap(err, "write trace")
		}
	}
	return nil
}
