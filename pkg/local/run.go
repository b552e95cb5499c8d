package local

import (
	"context"
	"embed"
	"fmt"
	"io"
	"io/fs"
	"time"

	"foldarch.dev/foldarch/pkg/load"
	"foldarch.dev/foldarch/pkg/standin"
	"foldarch.dev/foldarch/pkg/trace"
	"github.com/cockroachdb/errors"
)

// Options control what Run does.
type Options struct {
	Trace    string        // "hanbit", "association" or "all"
	Duration time.Duration // how long each trace is played; a trace that is shorter keeps its recorded speed
	Seed     uint64        // seed of the traces; for trace.BundledSeed the bundled files are used
}

// batchGrace is the load.Options.BatchGrace of the runs.
const batchGrace = 20 * time.Second

//go:embed declarations
var declarations embed.FS

// Run starts a cell, sends it recorded traffic, and prints the results. It returns an error if the run log of
// the stand-ins shows a violated invariant.
func Run(out io.Writer, opt Options) error {
	c, err := startCell(out)
	if err != nil {
		return err
	}
	defer c.close()
	if err := c.applyDeclarations(); err != nil {
		return err
	}
	if err := c.waitUntilReady(); err != nil {
		return err
	}
	for _, name := range traceNames(opt.Trace) {
		if err := c.playTrace(name, opt); err != nil {
			return err
		}
	}
	c.printShards()
	return c.printViolations()
}

func traceNames(name string) []trace.Name {
	if name == "all" {
		return []trace.Name{trace.Hanbit, trace.Association}
	}
	return []trace.Name{trace.Name(name)}
}

// playTrace sends the requests of a trace, sped up to fit the duration of the options, and prints the result.
func (c *localCell) playTrace(name trace.Name, opt Options) error {
	events, err := trace.Bundled(name)
	if opt.Seed != trace.BundledSeed {
		events, err = trace.Generate(name, opt.Seed), nil
	}
	if err != nil {
		return err
	}
	length := events[len(events)-1].At()
	speed := max(float64(length)/float64(opt.Duration), 1)
	fmt.Fprintf(c.out, "\n%s: %d requests recorded in %s, sent %.0f times as fast\n\n", name, len(events), length.Round(time.Second), speed)
	r := load.Run(context.Background(), load.Target{Entries: c.callersAddresses()}, events, load.Options{Speed: speed, BatchGrace: batchGrace})
	r.Print(c.out)
	return nil
}

// printShards prints the number of tasks and the CPU use of each shard, and the numbers of decisions.
func (c *localCell) printShards() {
	fmt.Fprintf(c.out, "\n%-12s %-12s %6s %8s %6s %10s\n", "SHARD", "OWNER", "EPOCH", "WORKERS", "TASKS", "CPU IN USE")
	for _, p := range c.processes {
		for _, s := range p.ShardStatuses() {
			if s.Authority {
				fmt.Fprintf(c.out, "%-12s %-12s %6d %8d %6d %9d%%\n", s.Shard, s.Owner, s.Epoch, s.Workers, s.Tasks, s.CPUUsedPct.Value)
			}
		}
	}
	placements, routes := c.decisions.counts()
	fmt.Fprintf(c.out, "\n%d placements and %d routings decided\n", placements, routes)
}

// printViolations prints the number of runs and of violated invariants in the run log of the stand-ins. It
// returns an error if there are violations.
func (c *localCell) printViolations() error {
	v := c.standIns.RunLog.Check()
	fmt.Fprintf(c.out, "%d runs in the run log of the stand-ins; violations: ", v.Runs)
	violations := 0
	for _, invariant := range standin.Invariants() {
		violations += v.Violations[invariant]
	}
	fmt.Fprintln(c.out, violations)
	if violations > 0 {
		return errors.Newf("invariants were violated: %v", v.Notes)
	}
	return nil
}

// bundledDocuments returns the embedded declarations by their path.
func bundledDocuments() (map[string]string, error) {
	docs := map[string]string{}
	root, err := fs.Sub(declarations, "declarations")
	if err != nil {
		return nil, errors.Wrap(err, "declarations")
	}
	err = fs.WalkDir(root, ".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		text, err := fs.ReadFile(root, path)
		docs[path] = string(text)
		return err
	})
	return docs, errors.Wrap(err, "declarations")
}
