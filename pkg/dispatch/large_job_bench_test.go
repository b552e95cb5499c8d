package dispatch

import (
	"fmt"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/job"
)

// BenchmarkCommitOfLargeJob measures the commit of the ends of 24 tasks of a scheduled job of which many have
// ended before: the time to prepare it, for which the owner's lock is held, and the size of what it writes.
func BenchmarkCommitOfLargeJob(b *testing.B) {
	const width = 48
	for _, ended := range []int{480, 4_800, 30_000, 300_000} {
		b.Run(fmt.Sprintf("%d ended", ended), func(b *testing.B) {
			f := newFixture(&testing.T{}, 8, nil)
			f.supportSegments()
			f.reportAll(8)
			r := testJob("00000000000b0000", testStep(width))
			r.Job.Schedule = job.Schedule{Repeat: 1 << 30, Start: f.wall.Add(-time.Duration(ended/width) * time.Second), Interval: time.Second}
			var progress job.Progress
			for n := range ended {
				progress.Tasks = append(progress.Tasks, job.TaskProgress{Time: n / width, Index: n % width, Done: true, LastRun: 1})
			}
			for n := 1; n < width; n += 2 { // of those that run, every second one has ended
				progress.Tasks = append(progress.Tasks, job.TaskProgress{Time: ended / width, Index: n, Done: true, LastRun: 1})
			}
			f.pool.AddJob(r, progress, true, 0, f.now)
			f.pool.ApplyCommit(f.pool.PrepareCommit())
			id := job.TaskID{StepID: job.StepID{Job: r.Job.ID, Time: ended / width}}
			var bytes int
			for b.Loop() {
				for id.Index = 0; id.Index < width; id.Index += 2 {
					f.pool.markProgressChanged(f.pool.task(id))
				}
				c := f.pool.PrepareCommit()
				b.StopTimer()
				bytes = changeBytes(b, c)
				f.pool.ApplyCommit(c)
				b.StartTimer()
			}
			b.ReportMetric(float64(bytes), "written-B/op")
		})
	}
}

// supportSegments has all hosts read segments of progress.
func (f *fixture) supportSegments() {
	f.pool.SetSegmentSupport(SegmentsSupported)
}

// changeBytes returns the size of the values that a commit writes.
func changeBytes(b *testing.B, c Commit) int {
	n := 0
	add := func(text []byte, err error) {
		if err != nil {
			b.Fatal(err)
		}
		n += len(text)
	}
	for _, change := range c.Changes {
		if !change.ProgressUnchanged {
			add(change.Progress.Encode())
		}
		for _, s := range change.Segments {
			add(s.Segment.Encode())
		}
	}
	return n
}
