package load

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"foldarch.dev/foldarch/pkg/tomlfile"
	"foldarch.dev/foldarch/pkg/trace"
	"github.com/cockroachdb/errors"
)

// Experiment describes generated traffic in TOML.
type Experiment struct {
	Entries    []netip.AddrPort  `toml:"entries"`
	Duration   tomlfile.Duration `toml:"duration"`
	Seed       uint64            `toml:"seed"`
	BatchGrace tomlfile.Duration `toml:"settle"` // Options.BatchGrace of the run
	Loads      []Load            `toml:"load"`
}

// Load is one stream of requests to a workload with Poisson arrivals.
type Load struct {
	Workload string  `toml:"workload"`
	Batch    bool    `toml:"batch"`
	Rate     float64 `toml:"rate"` // requests a second
	Callers  int     `toml:"callers"`
	Class    string  `toml:"class"`
	// Work is the mean work duration, which each request passes to the stand-ins: half of it is fixed, the other
	// half is drawn from an exponential distribution.
	Work     tomlfile.Duration `toml:"work"`
	Deadline tomlfile.Duration `toml:"deadline"`
	Window   tomlfile.Duration `toml:"window"`
	Once     bool              `toml:"once"`
	Keyed    bool              `toml:"keyed"`
	// Begin and End, since the start of the run, limit the arrival times. With End 0, they continue to its
	// end.
	Begin tomlfile.Duration `toml:"begin"`
	End   tomlfile.Duration `toml:"end"`
}

// ReadExperiment reads and validates an experiment. An error names the file, line and key.
func ReadExperiment(path string) (Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Experiment{}, errors.Wrap(err, "experiment")
	}
	var e Experiment
	var problems []string
	for _, p := range tomlfile.Decode(string(text), &e) {
		problems = append(problems, fmt.Sprintf("%s:%d: %s: %s", path, p.Line, p.Key, p.Text))
	}
	addProblem := func(wrong bool, key, what string) {
		if wrong && len(problems) == 0 {
			problems = append(problems, fmt.Sprintf("%s:%d: %s: %s", path, tomlfile.LineOf(string(text), key), key, what))
		}
	}
	addProblem(len(e.Entries) == 0, "entries", "needs the callers' address of an entry host")
	addProblem(e.Duration == 0, "duration", "is needed")
	addProblem(len(e.Loads) == 0, "load", "needs at least one [[load]]")
	for _, l := range e.Loads {
		addProblem(l.Workload == "", "load", "needs a workload")
		addProblem(l.Rate <= 0, "load.rate", "must be above zero")
	}
	if len(problems) > 0 {
		return Experiment{}, errors.New(strings.Join(problems, "\n"))
	}
	return e, nil
}

// Events generates the requests of all streams in the order of their times. The same experiment, with the
// same seed, gives the same events.
func (e Experiment) Events() []trace.Event {
	var events []trace.Event
	for i, l := range e.Loads {
		events = append(events, l.events(i, time.Duration(e.Duration), rand.New(rand.NewPCG(e.Seed, uint64(i))))...)
	}
	slices.SortStableFunc(events, func(a, b trace.Event) int { return int(a.AtMS - b.AtMS) })
	return events
}

func (l Load) events(stream int, duration time.Duration, rng *rand.Rand) []trace.Event {
	end := duration
	if l.End > 0 {
		end = min(end, time.Duration(l.End))
	}
	var events []trace.Event
	for at := time.Duration(l.Begin).Seconds(); ; {
		at += rng.ExpFloat64() / l.Rate
		if at >= end.Seconds() {
			return events
		}
		e := trace.Event{
			AtMS: int64(at * 1000), Workload: l.Workload, Batch: l.Batch, Class: l.Class, NotRepeatable: l.Once,
			Caller:  fmt.Sprintf("caller-%d", rng.IntN(max(l.Callers, 1))),
			WorkMS:  int64(float64(time.Duration(l.Work).Milliseconds()) * (0.5 + 0.5*rng.ExpFloat64())),
			LimitMS: time.Duration(l.Deadline).Milliseconds(), WindowMS: time.Duration(l.Window).Milliseconds(),
		}
		if l.Keyed || l.Batch {
			e.Key = fmt.Sprintf("x%d-%d-%d", stream, len(events), rng.Uint32())
		}
		events = append(events, e)
	}
}
