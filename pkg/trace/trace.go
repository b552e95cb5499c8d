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

// Name names a bundled trace.
type Name string

// The bundled traces.
const (
	Hanbit      Name = "hanbit"
	Association Name = "association"
)

// BundledSeed is the seed of the bundled traces.
const BundledSeed = 1

// Event is one request.
type Event struct {
	AtMS     int64  `json:"at_ms"` // since the begin of the trace
	Workload string `json:"workload"`
	Batch    bool   `json:"batch,omitempty"`
	Caller   string `json:"caller"`
	Key      string `json:"key,omitempty"`
	Class    string `json:"class,omitempty"`
	WorkMS   int64  `json:"work_ms"`               // how long the back end works on it
	LimitMS  int64  `json:"limit_ms,omitempty"`    // of no use after so long
	Once     bool   `json:"once,omitempty"`        // not repeatable
	Team     string `json:"team,omitempty"`        // of a batch request
	Size     int64  `json:"cpu_millis,omitempty"`  // of a batch request
	Memory   int64  `json:"memory_mb,omitempty"`   // of a batch request
	Window   int64  `json:"window_ms,omitempty"`   // of a batch request
	Accel    int64  `json:"accelerator,omitempty"` // of a batch request
}

// At returns when the request came, since the begin of the trace.
func (e Event) At() time.Duration {
	return time.Duration(e.AtMS) * time.Millisecond
}

// Body is the request's body: the stand-ins work as long as it says.
func (e Event) Body() string {
	once := ""
	if e.Once && e.Batch {
		once = " not-repeatable"
	}
	return fmt.Sprintf("ms=%d%s %s", e.WorkMS, once, e.Key)
}

//go:embed *.jsonl
var files embed.FS

// Bundled returns a bundled trace in the order of time.
func Bundled(name Name) ([]Event, error) {
	text, err := files.ReadFile(string(name) + ".jsonl")
	if err != nil {
		return nil, errors.Newf("no bundled trace %q", name)
	}
	return Read(bytes.NewReader(text))
}

// Read reads a trace of one JSON object a line.
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

// Write writes a trace that Read reads.
func Write(w io.Writer, events []Event) error {
	encoder := json.NewEncoder(w)
	for _, e := range events {
		if err := encoder.Encode(e); err != nil {
			return errors.Wrap(err, "write trace")
		}
	}
	return nil
}
