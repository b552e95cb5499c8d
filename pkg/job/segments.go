package job

import (
	"bytes"
	"encoding/json"
	"slices"

	"foldarch.dev/foldarch/pkg/taskset"
	"github.com/cockroachdb/errors"
)

// SegmentIndex says that the progress of a job's tasks is stored in segments, and what is true of the others.
//
// The progress of a job has one of two encodings. Either all tasks with progress are rows of one value:
//
//	{"tasks":[{"i":1,"d":true,"r":1},{"k":3,"f":[1]}],"w":["w1"]}
//
// Or the value has an index in their place, and each segment of the tasks has a key of its own
// (jobstore.SegmentKey). Tasks are numbered (TaskNumbers), and segment n has those from n * "size" on. "done"
// of the index lists the segments of which all tasks are done, and which need no key; "d" of a segment lists
// its done tasks by their offsets, and "t" is the rows of tasks of which there is more to know:
//
//	{"tasks":{"size":256,"done":[[0,12],[13,14]],"begun":true},"w":["w1"]}
//	{"size":256,"d":[[0,7],[9,30]],"t":[{"k":3,"i":8,"f":[1]}]}
//
// The first encoding grows with each task that ends, and builds that know only that one can't decode the
// second. They do not run a job whose progress they can't decode.
type SegmentIndex struct {
	Size int64              `json:"size"` // tasks of a segment
	Done []taskset.Interval `json:"done,omitempty"`
	// Begun says that a task of the job has begun.
	Begun bool `json:"begun,omitempty"`
}

// Segment is the progress of the tasks of one segment.
type Segment struct {
	Size  int64              `json:"size"`
	Done  []taskset.Interval `json:"d,omitempty"`
	Tasks []TaskProgress     `json:"t,omitempty"`
}

// storedProgress is the encoding of a Progress: Tasks has the rows or the index.
type storedProgress struct {
	Tasks        json.RawMessage `json:"tasks"`
	RemainingUse RemainingUse    `json:"unended,omitzero"`
	Workers      []string        `json:"w,omitempty"`
}

// Encode returns the progress's encoding for the store, without its segments.
func (p Progress) Encode() ([]byte, error) {
	tasks, err := json.Marshal(p.Tasks)
	if p.Index != nil {
		tasks, err = json.Marshal(p.Index)
	}
	if err != nil {
		return nil, errors.Wrap(err, "encode tasks of job progress")
	}
	text, err := json.Marshal(storedProgress{tasks, p.RemainingUse, p.Workers})
	return text, errors.Wrap(err, "encode job progress")
}

// DecodeProgress decodes what Encode returned.
func DecodeProgress(text []byte) (Progress, error) {
	var stored storedProgress
	if err := json.Unmarshal(text, &stored); err != nil {
		return Progress{}, errors.Wrap(err, "job progress")
	}
	if err := stored.RemainingUse.validate(); err != nil {
		return Progress{}, errors.Wrap(err, "unended of job progress")
	}
	p := Progress{RemainingUse: stored.RemainingUse, Workers: stored.Workers}
	if !bytes.HasPrefix(stored.Tasks, []byte("{")) {
		err := json.Unmarshal(orNull(stored.Tasks), &p.Tasks)
		return p, errors.Wrap(errors.CombineErrors(err, validateRows(p.Tasks)), "tasks of job progress")
	}
	if err := json.Unmarshal(stored.Tasks, &p.Index); err != nil {
		return Progress{}, errors.Wrap(err, "index of job progress")
	}
	return p, errors.Wrap(p.Index.validate(), "index of job progress")
}

// MaxSegments is the largest number of segments of a job.
const MaxSegments = MaxTasks / taskset.SegmentSize

// validate returns an error for segments of another size than this build's, and for numbers that no job's
// segments have.
func (x SegmentIndex) validate() error {
	for _, i := range x.Done {
		if i.To > MaxSegments {
			return errors.Newf("segment %d: want at most %d segments", i.To-1, int64(MaxSegments))
		}
	}
	return checkSegmentSize(x.Size)
}

func validateRows(rows []TaskProgress) error {
	for _, t := range rows {
		if err := t.validate(); err != nil {
			return err
		}
	}
	return nil
}

// orNull returns the JSON value null for an absent value.
func orNull(text json.RawMessage) json.RawMessage {
	if len(text) == 0 {
		return json.RawMessage("null")
	}
	return text
}

// checkSegmentSize fails for segments of another size than this build's.
func checkSegmentSize(size int64) error {
	if size != taskset.SegmentSize {
		return errors.Newf("segments of %d tasks: want %d", size, taskset.SegmentSize)
	}
	return nil
}

// Equal reports whether two progresses without rows and segments are the same.
func (p Progress) Equal(o Progress) bool {
	return (p.Index == nil) == (o.Index == nil) && (p.Index == nil || slices.Equal(p.Index.Done, o.Index.Done) && p.Index.Begun == o.Index.Begun) &&
		p.RemainingUse == o.RemainingUse && slices.Equal(p.Workers, o.Workers)
}

// HasTasks reports whether there is progress of any task.
func (p Progress) HasTasks() bool {
	return len(p.Tasks) > 0 || p.Index != nil && p.Index.Begun
}

// AddSegment adds a stored segment, which applies only if the progress has an index.
func (p *Progress) AddSegment(number int64, s Segment) {
	if p.Segments == nil {
		p.Segments = map[int64]Segment{}
	}
	p.Segments[number] = s
}

// DoneTasks returns the numbers of the tasks that are done according to the index and the segments.
func (p Progress) DoneTasks() taskset.Set {
	var done taskset.Set
	if p.Index == nil {
		return done
	}
	for _, i := range p.Index.Done {
		done.AddSegments(i)
	}
	for n, s := range p.Segments {
		for _, i := range s.Done {
			done.AddInterval(taskset.Interval{From: n*s.Size + i.From, To: n*s.Size + i.To})
		}
	}
	return done
}

// Encode returns the segment's encoding for the store.
func (s Segment) Encode() ([]byte, error) {
	text, err := json.Marshal(s)
	return text, errors.Wrap(err, "encode segment of job progress")
}

// DecodeSegment decodes what Encode returned.
func DecodeSegment(text []byte) (Segment, error) {
	var s Segment
	if err := json.Unmarshal(text, &s); err != nil {
		return Segment{}, errors.Wrap(err, "segment of job progress")
	}
	for _, i := range s.Done {
		if i.To > s.Size {
			return Segment{}, errors.Newf("segment of job progress: offset %d of %d tasks", i.To-1, s.Size)
		}
	}
	return s, errors.Wrap(errors.CombineErrors(checkSegmentSize(s.Size), validateRows(s.Tasks)), "segment of job progress")
}

// IsEmpty reports whether there is nothing to store.
func (s Segment) IsEmpty() bool {
	return len(s.Done)+len(s.Tasks) == 0
}
