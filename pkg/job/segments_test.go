package job

import (
	"encoding/json"
	"testing"

	"foldarch.dev/foldarch/pkg/taskset"
	. "github.com/onsi/gomega"
)

// Guards against rows that earlier builds, which may become the owner in a rolling update, read differently.
func TestProgressRowsKeepTheirEncoding(t *testing.T) {
	g := NewWithT(t)
	for text, p := range map[string]Progress{
		`{"tasks":null}`: {},
		`{"tasks":[{"i":1,"d":true,"r":1},{"k":3,"f":[1]}],"w":["w1"]}`: {
			Tasks: []TaskProgress{{Index: 1, Done: true, LastRun: 1}, {Time: 3, Failures: []int{1}}}, Workers: []string{"w1"},
		},
	} {
		got, err := p.Encode()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(got)).To(Equal(text))
		decoded, err := DecodeProgress(got)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(decoded).To(Equal(p))
	}
}

func TestProgressInSegments(t *testing.T) {
	g := NewWithT(t)
	const size = taskset.SegmentSize
	p := Progress{Index: &SegmentIndex{Size: size, Done: []taskset.Interval{{From: 0, To: 2}}, Begun: true}, Workers: []string{"w1"}}
	text, err := p.Encode()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(text)).To(Equal(`{"tasks":{"size":256,"done":[[0,2]],"begun":true},"w":["w1"]}`))
	got, err := DecodeProgress(text)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got.Equal(p)).To(BeTrue())
	g.Expect(got.HasTasks()).To(BeTrue())
	g.Expect(Progress{Index: &SegmentIndex{Size: size}, Workers: []string{"w1"}}.HasTasks()).To(BeFalse(), "only its workers are recorded")

	s := Segment{Size: size, Done: []taskset.Interval{{From: 0, To: 3}}, Tasks: []TaskProgress{{Index: 4, Failures: []int{1}}}}
	text, err = s.Encode()
	g.Expect(err).NotTo(HaveOccurred())
	segment, err := DecodeSegment(text)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(segment).To(Equal(s))
	got.AddSegment(7, segment)
	done := got.DoneTasks()
	g.Expect(done.Len()).To(BeEquivalentTo(2*size + 3))
	g.Expect(done.Contains(7*size + 2)).To(BeTrue())
}

// Guards against an earlier build that takes progress in segments for a job that has not begun, and starts its
// tasks again.
func TestEarlierBuildsCanNotDecodeSegments(t *testing.T) {
	g := NewWithT(t)
	text, err := Progress{Index: &SegmentIndex{Size: taskset.SegmentSize}}.Encode()
	g.Expect(err).NotTo(HaveOccurred())
	var rowsOnly struct {
		Tasks []TaskProgress `json:"tasks"`
	}
	g.Expect(json.Unmarshal(text, &rowsOnly)).NotTo(Succeed())
}

func TestUnreadableSegments(t *testing.T) {
	g := NewWithT(t)
	for _, text := range []string{`{"size":64}`, `{"size":256,"d":[[0,257]]}`, `{"size":256,"d":[[3,2]]}`, `{`} {
		_, err := DecodeSegment([]byte(text))
		g.Expect(err).To(HaveOccurred(), text)
	}
	_, err := DecodeProgress([]byte(`{"tasks":{"size":64}}`))
	g.Expect(err).To(MatchError(ContainSubstring("segments of 64 tasks")))
}

func TestTaskNumbers(t *testing.T) {
	g := NewWithT(t)
	j := Job{Steps: []Step{{Count: 3}, {Count: 1}, {Count: 4}}, Schedule: Schedule{Repeat: 5}}
	numbers, err := j.NumberTasks()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(numbers.PerOccurrence()).To(BeEquivalentTo(8))
	next := int64(0)
	for k := range 5 {
		for n, s := range j.Steps {
			g.Expect(numbers.First(k, n)).To(Equal(next))
			for i := range s.Count {
				occurrence, step, index := numbers.Locate(next)
				g.Expect([]int{occurrence, step, index}).To(Equal([]int{k, n, i}))
				next++
			}
		}
	}
}

func TestTaskNumbersAreBounded(t *testing.T) {
	g := NewWithT(t)
	for want, j := range map[string]Job{
		"steps[1].count: want 1 or more": {Steps: []Step{{Count: 1}, {}}},
		"steps[1].count: want at most":   {Steps: []Step{{Count: MaxTasks}, {Count: 1 << 62}}},
		"steps[0].count: want at most":   {Steps: []Step{{Count: 1<<63 - 1}}},
		"members of a gang, not 65537":   {Steps: []Step{{Count: 1<<16 + 1, Gang: true}}},
		"repeatCount: want at most":      {Steps: []Step{{Count: 1 << 32}}, Schedule: Schedule{Repeat: 1 << 31}},
	} {
		_, err := j.NumberTasks()
		g.Expect(err).To(MatchError(ContainSubstring(want)))
	}
	_, err := Job{Steps: []Step{{Count: 1}}, Schedule: Schedule{Repeat: 1<<53 - 1}}.NumberTasks()
	g.Expect(err).NotTo(HaveOccurred())
}
