package poolowner

import (
	"fmt"
	"strings"
	"testing"

	"foldarch.dev/foldarch/pkg/dispatch"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/jobstore"
	"foldarch.dev/foldarch/platform"
	"foldarch.dev/foldarch/platform/emulator"
	. "github.com/onsi/gomega"
)

// oddWorkerEntries are entries of another writer. valid is the entry of a worker.
func oddWorkerEntries(valid string) map[string]string {
	odd := func(field string) string { return strings.Replace(valid, "{", "{"+field+",", 1) }
	const depth = 200_000
	return map[string]string{
		"nested":        strings.Repeat("[", depth),
		"nested-unused": odd(`"unused":` + strings.Repeat("[", depth) + strings.Repeat("]", depth)),
		"large":         strings.Replace(valid, `"cpu":`, `"cpu":9223372036854775807,"x":`, 1),
		"large-2":       strings.Replace(valid, `"memMb":`, `"memMb":9223372036854775807,"x":`, 1),
		"too-large":     odd(`"slots":1e400`),
		"port":          strings.Replace(valid, `"address":"`, `"address":"10.0.0.9:70000","x":"`, 1),
		"no-utf8":       "\xff\xfe{",
		"empty":         "",
		"a/b":           valid,
	}
}

// putOddEntries writes odd entries, and after them the entry of one more worker.
func putOddEntries(p *emulator.Platform, info dispatch.WorkerInfo) (added dispatch.WorkerID) {
	valid := string(p.Store.Value(platform.WorkersPrefix + info.ID.Name()))
	for name, value := range oddWorkerEntries(valid) {
		p.Store.Put(platform.WorkersPrefix+name, []byte(value))
	}
	p.Store.Put("status/wave/7", []byte("[[["))
	p.Store.Put(platform.WorkersPrefix+"zz", []byte(strings.Replace(valid, info.Address.String(), "127.0.0.1:1", 1)))
	return dispatch.NewWorkerID("zz", info.ID.StartedAt())
}

// Guards against odd entries of another writer that keep the owner from following the workers' entries.
func TestOddWorkerEntriesAffectNoOther(t *testing.T) {
	g := NewWithT(t)
	o, p, info, hook, stopWatch := ownerWithStoppableWatch(t)
	_, before, err := o.deps.Store.List(t.Context(), platform.WorkersPrefix)
	g.Expect(err).NotTo(HaveOccurred())
	added := putOddEntries(p, info)
	g.Eventually(o.workerNames, "5s", "10ms").Should(ConsistOf(info.ID, added))
	for name := range oddWorkerEntries("{}") {
		g.Eventually(func() int { return countLogLines(hook, "entry_unusable", name) }, "2s", "10ms").Should(BeNumerically(">=", 1), name)
	}
	p.Store.Remove(platform.WorkersPrefix + "zz")
	g.Eventually(func() bool { return o.hasEntry(added) }, "5s", "10ms").Should(BeFalse(), "the watch goes on")
	stopWatch()
	g.Expect(o.watchPosition.workers).To(BeNumerically(">", before))

	next := New(o.deps, Claim{Term: 2, Revision: o.claim.Revision})
	g.Expect(next.listWorkers(t.Context())).To(Succeed())
	g.Expect(next.workerNames()).To(ConsistOf(info.ID))
}

// Guards against a job's record or progress that ends the owner that reads it: each later owner ended, too.
func TestOddJobKeysAffectNoOther(t *testing.T) {
	const good = job.ID("00000000000000a1")
	deep := strings.Repeat("[", 200_000)
	for name, odd := range map[string]struct{ key, value string }{
		"a record of no steps":                {jobstore.JobsPrefix + "00000000000000a2", `{"job":{"ID":"00000000000000a2"}}`},
		"a record with an unknown step":       {jobstore.JobsPrefix + "00000000000000a2", `{"job":{"ID":"00000000000000a2","Steps":[{"Count":1,"After":[7]}]}}`},
		"a record of another job":             {jobstore.JobsPrefix + "00000000000000a0", `{"job":{"ID":"00000000000000a1","Steps":[{"Count":1},{"Count":1}]}}`},
		"a record of a later term":            {jobstore.JobsPrefix + "00000000000000a2", `{"job":{"ID":"00000000000000a2","Steps":[{"Count":1}]},"term":9000000000000000000}`},
		"a nested record":                     {jobstore.JobsPrefix + "00000000000000a2", deep},
		"a record that is not UTF-8":          {jobstore.JobsPrefix + "\xff", "\xff"},
		"a key below a record":                {jobstore.JobsPrefix + "00000000000000a2/x", `7`},
		"nested progress":                     {jobstore.ProgressPrefix + "00000000000000a2", deep},
		"progress of a segment without index": {jobstore.ProgressPrefix + "00000000000000a2/9223372036854775807", `{"size":256,"d":[[0,3]]}`},
		"a key below progress":                {jobstore.ProgressPrefix + string(good) + "/9223372036854775807", `{"size":256,"d":[[0,3]]}`},
		"a key of another kind":               {jobstore.ProgressPrefix + string(good) + "/x", `7`},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			o, p, _ := newOwnerOnEmulator(t)
			p.Store.Put(odd.key, []byte(odd.value))
			putJob(t, p, good)
			g.Expect(o.listJobs(t.Context())).To(Succeed())
			o.watchPosition.jobs = 0
			g.Expect(o.watchJobsOnce(t.Context())).To(Succeed())
			g.Expect(o.watchPosition.jobs).To(BeNumerically(">", 0))
			e, ok := o.Explain(good)
			g.Expect(ok).To(BeTrue())
			g.Expect(e.Steps).To(HaveLen(1))
			_, ok = o.Explain("00000000000000a2")
			g.Expect(ok).To(BeFalse())
			g.Expect(o.deposed.Load()).To(BeFalse())
		})
	}
}

// Guards against progress whose segments overflow where the owner adds up the numbers of their tasks.
func TestOddSegmentsAffectOnlyTheirJob(t *testing.T) {
	for _, odd := range []struct{ progress, segment string }{
		{`{"tasks":{"size":256}}`, "36028797018963968"},
		{`{"tasks":{"size":256}}`, "9223372036854775807"},
		{`{"tasks":{"size":256,"done":[[0,9223372036854775807]]}}`, "0"},
		{`{"tasks":[{"r":9223372036854775807,"f":[-1]}]}`, "0"},
	} {
		g := NewWithT(t)
		o, p, _ := newOwnerOnEmulator(t)
		putJob(t, p, "00000000000000a1")
		record, err := job.Record{Job: job.Job{ID: "00000000000000a2", Spec: "s", Steps: []job.Step{{Count: 10_000}}}}.Encode()
		g.Expect(err).NotTo(HaveOccurred())
		p.Store.Put(jobstore.JobKey("00000000000000a2"), record)
		p.Store.Put(jobstore.ProgressKey("00000000000000a2"), []byte(odd.progress))
		p.Store.Put(jobstore.ProgressKey("00000000000000a2")+"/"+odd.segment, []byte(`{"size":256,"d":[[0,3]]}`))
		g.Expect(o.listJobs(t.Context())).To(Succeed())
		_, ok := o.Explain("00000000000000a1")
		g.Expect(ok).To(BeTrue())
	}
}

// Guards against an odd roster record that adds workers that can't be called, or that changes another worker.
func TestOddRosterRecordsAffectNoOther(t *testing.T) {
	const row = `{"ID":%q,"Pool":%q,"Address":"10.0.0.9:80","Zone":"z","Capacity":{"CPUMillis":%s,"MemoryMB":1,"Accelerators":0},"Retired":true}`
	g := NewWithT(t)
	o, p, info := newOwnerOnEmulator(t)
	for name, value := range map[string]string{
		"nested":   strings.Repeat("[", 200_000),
		"a-number": `7`,
		"mixed":    `[7,` + fmt.Sprintf(row, "mixed@5", info.Pool, "9") + `,{"ID":"mixed@6"},` + fmt.Sprintf(row, "mixed@7", info.Pool, "9223372036854775807") + `]`,
		"other":    `[` + fmt.Sprintf(row, info.ID, info.Pool, "9") + `]`,
		"port":     strings.Replace(`[`+fmt.Sprintf(row, "port@5", info.Pool, "9")+`]`, ":80", ":70000", 1),
		"\xff":     "\xff",
	} {
		p.Store.Put(jobstore.RosterKey(name), []byte(value))
	}
	g.Expect(o.loadWorkers(t.Context())).To(Succeed())
	g.Expect(o.workerNames()).To(ConsistOf(info.ID, dispatch.WorkerID("mixed@5")))
	for _, w := range o.pool.RosterEntries(info.ID.Name()) {
		g.Expect(w.Retired).To(BeFalse(), "the record of another name does not retire it")
	}
	g.Expect(o.pool.RosterEntries(info.ID.Name())).To(HaveLen(1))
}

// Guards against a record of a term that no owner has had yet: it deposed each owner that read it.
func TestOddTermDeposesNoLaterOwner(t *testing.T) {
	g := NewWithT(t)
	o, p, _ := newOwnerOnEmulator(t)
	for range 9 {
		p.Store.Put("status/wave/7", nil)
	}
	p.Store.Put(jobstore.JobsPrefix+"00000000000000a1", []byte(`{"job":{"ID":"00000000000000a1","Steps":[{"Count":1}]},"term":5}`))
	revision, _, err := o.deps.Store.Commit(t.Context(), platform.Txn{Put: []platform.Put{{Key: jobstore.OwnerRecordKey, Value: []byte("{}")}}})
	g.Expect(err).NotTo(HaveOccurred())
	next := New(o.deps, Claim{Term: 2, Revision: revision})
	next.cancel = func(error) {}
	g.Expect(next.listJobs(t.Context())).To(Succeed())
	g.Expect(next.deposed.Load()).To(BeFalse())
	_, ok := next.Explain("00000000000000a1")
	g.Expect(ok).To(BeFalse())
}
