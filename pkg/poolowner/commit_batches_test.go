package poolowner

import (
	"bytes"
	"net/netip"
	"strings"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/dispatch"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/jobstore"
	"foldarch.dev/foldarch/pkg/taskset"
	"foldarch.dev/foldarch/platform"
	"foldarch.dev/foldarch/platform/emulator"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
)

// emulatedValueBytes is the largest value of the emulated store.
const emulatedValueBytes = 1 << 20

// tooManyFailures are more run numbers than fit into a value.
func tooManyFailures() []int {
	failures := make([]int, 200_000)
	for i := range failures {
		failures[i] = 1_000_000 + i
	}
	return failures
}

// knowValueBytes has the owner's client know the largest value of the store.
func knowValueBytes(o *Owner, p *emulator.Platform) {
	o.deps.Store = platform.NewStore(platform.StoreSettings{Address: netip.MustParseAddrPort(p.StoreAddress()), MaxValueBytes: emulatedValueBytes},
		platform.StoreOptions{CallTimeout: time.Second, WritesPerSecond: 1000, ReadsPerSecond: 1000}, o.deps.Clock)
}

// commitToNewKeys has the owner's first commits create their keys, which the emulated store does not have.
func commitToNewKeys(o *Owner) {
	for n := range o.lanes {
		o.lanes[n].revision = 0
	}
}

// Guards against one value that the store never takes and that holds up the commits of all jobs, whether the
// client refuses it or, not knowing the limit, the store.
func TestRefusedValueHoldsUpOnlyItsJob(t *testing.T) {
	for name, prepare := range map[string]func(*Owner, *emulator.Platform){
		"known limit": knowValueBytes, "unknown limit": func(*Owner, *emulator.Platform) {},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			o, p, _ := newOwnerOnEmulator(t)
			prepare(o, p)
			commitToNewKeys(o)
			all := changes(40, dispatch.JobChange{Progress: job.Progress{Workers: []string{"w"}}})
			all[17].Progress.Tasks = []job.TaskProgress{{Failures: tooManyFailures()}}
			refused, err := o.writeChanges(t.Context(), all)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(refused).To(HaveLen(1))
			g.Expect(refused[0].job).To(Equal(all[17].Job))
			g.Expect(refused[0].reason()).To(MatchRegexp(`key foldarch/progress/0000000000000017 with 16\d{5} bytes`))
			g.Expect(p.Store.Values(jobstore.ProgressPrefix)).To(HaveLen(39))
			g.Expect(metrics.GetOrRegisterCounter("pool.value_refused", o.deps.Metrics).Count()).To(BeEquivalentTo(1))
		})
	}
}

// Guards against a job that can't be kept in the store and is repeated for ever, as its ends then fill the lists
// of all workers.
func TestJobThatTheStoreNeverTakesIsGivenUp(t *testing.T) {
	g := NewWithT(t)
	o, p, _ := newOwnerOnEmulator(t)
	knowValueBytes(o, p)
	commitToNewKeys(o)
	var log bytes.Buffer
	o.deps.Log.Logger.SetOutput(&log)
	const id = job.ID("00000000000000a1")
	r := job.Record{Job: job.Job{ID: id, Steps: []job.Step{{Count: 300}}}}
	progress := job.Progress{Tasks: []job.TaskProgress{{Failures: tooManyFailures()}}}
	progress.AddSegment(0, job.Segment{Size: taskset.SegmentSize}) // so that the job is stored again
	o.pool.MarkJobsLoaded()
	o.pool.AddJob(r, progress, true, 0, o.deps.Clock.Now())
	o.commitChanges(t.Context())
	state, _, _ := o.pool.JobState(id)
	g.Expect(state).NotTo(Equal(job.Failed), "not before the store has it")
	o.commitChanges(t.Context())
	state, _, _ = o.pool.JobState(id)
	g.Expect(state).To(Equal(job.Failed))
	g.Expect(log.String()).To(ContainSubstring("max_bytes=1048576"))
	g.Expect(log.String()).To(ContainSubstring("key=foldarch/progress/" + string(id)))
}

// Guards against checkpoints, which nothing bounds, that keep a job's progress from being stored.
func TestLargeCheckpointsAreLeftOutOfAValue(t *testing.T) {
	g := NewWithT(t)
	var omitted []string
	e := progressEncoder{maxBytes: 1000, omitted: func(key string, size int) {
		omitted = append(omitted, key)
		g.Expect(size).To(BeNumerically(">", 2000))
	}}
	rows := []job.TaskProgress{{Index: 1, LastRun: 1, Checkpoint: "small"}, {Index: 2, LastRun: 1, Checkpoint: strings.Repeat("x", 2000)}}
	value, err := e.encodeProgress("k", job.Progress{Tasks: rows})
	g.Expect(err).NotTo(HaveOccurred())
	p, err := job.DecodeProgress(value)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(p.Tasks).To(Equal([]job.TaskProgress{{Index: 1, LastRun: 1, Checkpoint: "small"}, {Index: 2, LastRun: 1}}))
	g.Expect(rows[1].Checkpoint).To(HaveLen(2000), "the pool's own rows are unchanged")
	value, err = e.encodeSegment("s", job.Segment{Size: taskset.SegmentSize, Tasks: rows})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(value)).To(BeNumerically("<=", 1000))
	g.Expect(omitted).To(Equal([]string{"k", "s"}))
}

// Guards against a new owner that finds the index of a job's progress and not yet its segments, or an ended
// job's segments gone and not yet its outcome.
func TestSegmentsAreWrittenBeforeWhatDependsOnThem(t *testing.T) {
	g := NewWithT(t)
	segments := []dispatch.SegmentChange{{Number: 3, Segment: job.Segment{Size: taskset.SegmentSize}}}
	progress := job.Progress{Index: &job.SegmentIndex{Size: taskset.SegmentSize}}
	packed := packChanges([]dispatch.JobChange{
		{Job: "a", Progress: progress, ProgressAfterSegments: true, Segments: segments},
		{Job: "b", Outcome: job.Completed, HasProgress: true, RemovedSegments: []int64{5}},
		{Job: "c", Progress: progress, ProgressUnchanged: true, Segments: segments, RemovedSegments: []int64{2}},
	}, progressEncoder{})
	g.Expect(packed.refused).To(BeEmpty())
	g.Expect(packed.first).To(HaveLen(1))
	g.Expect(packed.last).To(HaveLen(1))
	first, last := packed.first[0].txn(), packed.last[0].txn()
	g.Expect(keysOf(first.Put)).To(Equal([]string{"foldarch/progress/a/3", "foldarch/jobs/b", "foldarch/progress/c/3"}))
	g.Expect(first.Remove).To(Equal([]string{"foldarch/progress/b", "foldarch/progress/c/2"}))
	g.Expect(keysOf(last.Put)).To(Equal([]string{"foldarch/progress/a"}))
	g.Expect(last.Remove).To(Equal([]string{"foldarch/progress/b/5"}))
}

func keysOf(puts []platform.Put) []string {
	var keys []string
	for _, p := range puts {
		keys = append(keys, p.Key)
	}
	return keys
}

// Guards against large values that share a transaction and delay each other on a slow link.
func TestLargeValuesGetTransactionsOfTheirOwn(t *testing.T) {
	g := NewWithT(t)
	large := atomicWrite{put: []platform.Put{{Value: make([]byte, maxBatchBytes)}}}
	var b batchBuilder
	b.add(large, atomicWrite{put: []platform.Put{{}}}, large, large)
	g.Expect(b.batches).To(HaveLen(3))
}

// Guards against segments that an owner of an earlier build, or one that was killed, left behind for good.
func TestOrphanedSegmentsAreRemoved(t *testing.T) {
	g := NewWithT(t)
	o, p, _ := newOwnerOnEmulator(t)
	const active, ended, unknown = job.ID("00000000000000a1"), job.ID("00000000000000a2"), job.ID("00000000000000a3")
	putJob(t, p, active)
	record, err := job.Record{Outcome: job.Completed}.Encode()
	g.Expect(err).NotTo(HaveOccurred())
	p.Store.Put(jobstore.JobKey(ended), record)
	for _, id := range []job.ID{active, ended, unknown} {
		for n := range int64(20) {
			p.Store.Put(jobstore.SegmentKey(id, n), []byte(`{"size":256}`))
		}
	}
	commitToNewKeys(o)
	g.Expect(o.listJobs(t.Context())).To(Succeed())
	for range 2 {
		o.removeOrphanedSegments(t.Context())
	}
	g.Expect(o.orphanedSegments).To(BeEmpty())
	g.Expect(p.Store.Values(jobstore.ProgressPrefix)).To(HaveLen(20))
	g.Expect(p.Store.Value(jobstore.SegmentKey(active, 3))).NotTo(BeEmpty())
}

// Guards against segments that a host of an earlier build, which may take over, can't read.
func TestOldMembersKeepProgressInRows(t *testing.T) {
	g := NewWithT(t)
	r := newSegmentReaders(1_000)
	now := r.createdAt
	isMember := map[string]bool{}
	support := func() dispatch.SegmentSupport {
		return r.support(func(name string) bool { return isMember[name] }, now)
	}
	g.Expect(support()).To(Equal(dispatch.SegmentsUnknown), "not all members have joined")
	r.recordMember("new", true, now)
	now = now.Add(membersJoinTime)
	g.Expect(support()).To(Equal(dispatch.SegmentsSupported))
	r.recordMember("old", false, now)
	isMember["old"] = true
	now = now.Add(10 * oldMemberTime)
	g.Expect(support()).To(Equal(dispatch.SegmentsUnsupported))
	isMember["old"] = false
	now = now.Add(oldMemberTime)
	g.Expect(support()).To(Equal(dispatch.SegmentsUnsupported), "it may be cut off and take over")
	now = now.Add(time.Millisecond)
	g.Expect(support()).To(Equal(dispatch.SegmentsSupported))
	r.recordMember("old", false, now)
	r.recordMember("old", true, now)
	g.Expect(support()).To(Equal(dispatch.SegmentsSupported), "it runs this build now")
}
