package poolowner

import (
	"slices"

	"foldarch.dev/foldarch/pkg/job"
)

// progressEncoder encodes progress into values of limited size. Checkpoints are texts of the workers that
// nothing bounds, so the largest ones are left out of a value that would be too large. Their tasks then
// start from the beginning under a later owner.
type progressEncoder struct {
	maxBytes int // of a value; 0 for no limit
	// omitted is called when checkpoints were left out of the value of a key, which had the given size.
	omitted func(key string, size int)
}

func (o *Owner) newProgressEncoder() progressEncoder {
	return progressEncoder{
		maxBytes: o.deps.Store.MaxValueBytes(),
		omitted:  func(key string, size int) { o.recordOversize("checkpoints_not_stored", key, size) },
	}
}

func (e progressEncoder) encodeProgress(key string, p job.Progress) ([]byte, error) {
	return e.encode(key, p.Tasks, func(rows []job.TaskProgress) ([]byte, error) {
		p.Tasks = rows
		return p.Encode()
	})
}

func (e progressEncoder) encodeSegment(key string, s job.Segment) ([]byte, error) {
	return e.encode(key, s.Tasks, func(rows []job.TaskProgress) ([]byte, error) {
		s.Tasks = rows
		return s.Encode()
	})
}

// encode encodes rows and, as long as the value is too large, leaves out the larger half of their
// checkpoints.
func (e progressEncoder) encode(key string, rows []job.TaskProgress, encodeRows func([]job.TaskProgress) ([]byte, error)) ([]byte, error) {
	value, err := encodeRows(rows)
	if err != nil || e.maxBytes == 0 || len(value) <= e.maxBytes {
		return value, err
	}
	size := len(value)
	rows = slices.Clone(rows)
	for len(value) > e.maxBytes && omitCheckpoints(rows) {
		if value, err = encodeRows(rows); err != nil {
			return nil, err
		}
	}
	if len(value) < size {
		e.omitted(key, size)
	}
	return value, nil
}

// omitCheckpoints removes the larger half of the checkpoints from rows. It reports whether there were any.
func omitCheckpoints(rows []job.TaskProgress) bool {
	var withCheckpoint []*job.TaskProgress
	for i := range rows {
		if rows[i].Checkpoint != "" {
			withCheckpoint = append(withCheckpoint, &rows[i])
		}
	}
	slices.SortFunc(withCheckpoint, func(a, b *job.TaskProgress) int { return len(b.Checkpoint) - len(a.Checkpoint) })
	for _, row := range withCheckpoint[:(len(withCheckpoint)+1)/2] {
		row.Checkpoint = ""
	}
	return len(withCheckpoint) > 0
}
