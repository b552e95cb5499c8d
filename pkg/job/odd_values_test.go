package job

import (
	"fmt"
	"testing"

	"foldarch.dev/foldarch/pkg/taskset"
	. "github.com/onsi/gomega"
)

// Guards against a record that an owner can't add: each owner that read it ended, one after the other.
func TestOddRecordIsRejected(t *testing.T) {
	for text, want := range map[string]string{
		`{}`:                            "steps",
		`{"job":{"ID":"a","Steps":[]}}`: "steps",
		`{"job":{"ID":"a","Steps":[{"Count":1,"After":[0]}]}}`:                                                          "steps[0].after: 0",
		`{"job":{"ID":"a","Steps":[{"Count":1},{"Count":1,"After":[5]}]}}`:                                              "steps[1].after: 5",
		`{"job":{"ID":"a","Steps":[{"Count":1,"After":[-1]}]}}`:                                                         "steps[0].after: -1",
		`{"job":{"ID":"a","Steps":[{"Count":1,"Resources":{"CPUMillis":-5}}]}}`:                                         "steps[0]",
		`{"job":{"ID":"a","Steps":[{"Count":1,"Resources":{"MemoryMB":9223372036854775807}}]}}`:                         "steps[0]",
		`{"job":{"ID":"a","Steps":[{"Count":9223372036854775808}]}}`:                                                    "Count",
		`{"job":{"ID":"a","Steps":[{"Count":1}],"Schedule":{"Repeat":-4,"Start":"2026-01-01T00:00:00Z"}}}`:              "schedule",
		`{"job":{"ID":"a","Steps":[{"Count":1}],"Schedule":{"Repeat":4,"Start":"2026-01-01T00:00:00Z","Interval":-1}}}`: "schedule",
		`{"job":{"ID":"a","Steps":[{"Count":1}],"Schedule":{"Repeat":4,"Start":"99999-01-01T00:00:00Z"}}}`:              "99999",
		`{"job":{"ID":"a","Steps":[{"Count":1}]},"term":-1}`:                                                            "term",
		`{"outcome":"lost"}`: "outcome",
		`{"outcome":"completed","unended":{"need":{"CPUMillis":-1}}}`: "unended",
	} {
		_, err := DecodeRecord([]byte(text))
		NewWithT(t).Expect(err).To(MatchError(And(ContainSubstring("job record"), ContainSubstring(want))), text)
	}
}

// A job that an earlier build accepted, and that is then given up, has to be readable.
func TestRecordOfTooManyTasksIsReadable(t *testing.T) {
	_, err := DecodeRecord([]byte(`{"job":{"ID":"a","Steps":[{"Count":9223372036854775807},{"Count":9223372036854775807}]}}`))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
}

// Guards against numbers of segments and runs that overflow in the owner that loads them.
func TestOddProgressIsRejected(t *testing.T) {
	for text, want := range map[string]string{
		`{"tasks":{"size":256,"done":[[0,9223372036854775807]]}}`: "segment 9223372036854775806",
		`{"tasks":{"size":256,"done":[[0,18014398509481985]]}}`:   "segment 18014398509481984",
		`{"tasks":{"size":256,"done":[[-1,4]]}}`:                  "interval [-1, 4]",
		`{"tasks":{"size":9223372036854775807}}`:                  "segments of 9223372036854775807 tasks",
		`{"tasks":[{"r":9223372036854775807}]}`:                   "runs 0 to 9223372036854775807",
		`{"tasks":[{"r":-1}]}`:                                    "runs -1 to ",
		`{"tasks":[{"u":[{"r":9000000000000000000,"w":"a"}]}]}`:   "runs 0 to 9000000000000000000",
		`{"tasks":[{"i":9223372036854775808}]}`:                   "job progress",
		`{"tasks":7}`:                                             "tasks of job progress",
		`{"tasks":[],"unended":{"need":{"CPUMillis":-1}}}`:        "unended",
	} {
		_, err := DecodeProgress([]byte(text))
		NewWithT(t).Expect(err).To(MatchError(ContainSubstring(want)), text)
	}
	for text, want := range map[string]string{
		`{"size":256,"d":[[0,257]]}`:                   "offset 256",
		`{"size":256,"d":[[-1,3]]}`:                    "interval [-1, 3]",
		`{"size":9223372036854775807,"d":[[0,257]]}`:   "segments of 9223372036854775807 tasks",
		`{"size":256,"t":[{"r":9223372036854775807}]}`: "runs 0 to 9223372036854775807",
	} {
		_, err := DecodeSegment([]byte(text))
		NewWithT(t).Expect(err).To(MatchError(ContainSubstring(want)), text)
	}
}

// Guards against a task that is done at a number beyond those that sums of task numbers allow for.
func TestLastSegmentsAreCounted(t *testing.T) {
	g := NewWithT(t)
	p, err := DecodeProgress(fmt.Appendf(nil, `{"tasks":{"size":256,"done":[[0,%d]]}}`, int64(MaxSegments)-1))
	g.Expect(err).NotTo(HaveOccurred())
	p.AddSegment(MaxSegments-1, Segment{Size: taskset.SegmentSize, Done: []taskset.Interval{{From: 0, To: 256}}})
	done := p.DoneTasks()
	g.Expect(done.Len()).To(Equal(int64(MaxTasks)))
}

func TestTaskIDOfNegativeNumbersIsRejected(t *testing.T) {
	for _, text := range []string{"a.-1.0.0", "a.0.-1.0", "a.0.0.-1", "a.0.0.9223372036854775808", "a.0.0.1e3"} {
		_, err := ParseTaskID(text)
		NewWithT(t).Expect(err).To(MatchError(ContainSubstring(text)))
	}
}
