package job

import (
	"fmt"
	"testing"

	"foldarch.dev/foldarch/pkg/taskset"
	. "github.com/onsi/gomega"
)

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
