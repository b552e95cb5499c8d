package latestart

import (
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
)

// Unanswered returns the starts without an answer as they are put into the store.
func (t *TaskStarts) Unanswered() []job.UnansweredStart {
	return slices.Clone(t.unanswered)
}

// AddUnanswered adds a start without an answer to those that are put into the store.
func (t *TaskStarts) AddUnanswered(u job.UnansweredStart) {
	t.unanswered = append(t.unanswered, u)
}

// MarkInvalidated marks the starts with a run number as invalidated: they have no effect any more on the
// incarnation that they were sent to. It reports whether that changes what is stored.
func (t *TaskStarts) MarkInvalidated(number int) bool {
	changed := false
	for i, u := range t.unanswered {
		if u.Run == number && !u.Invalidated {
			t.unanswered[i].Invalidated, changed = true, true
		}
	}
	return changed
}

// LoadUnanswered adds a start that got no answer at a previous owner and may be carried out until a time.
func (t *TaskStarts) LoadUnanswered(u job.UnansweredStart, worker string, until clock.Time) {
	t.AddUnanswered(u)
	t.Add(Start{Number: u.Run, Worker: worker, ExpiresAt: until, FromPreviousOwner: true, Invalidated: u.Invalidated})
}

// RemoveExecuted removes a start that a worker has answered, or whose run it lists, so that it does not
// come late. The store follows with the next change. An invalidated start stays: it may have been sent
// again under the same number, and a list shows one run.
func (t *TaskStarts) RemoveExecuted(number int) {
	t.unanswered = slices.DeleteFunc(t.unanswered, func(u job.UnansweredStart) bool { return u.Run == number && !u.Invalidated })
	t.starts = slices.DeleteFunc(t.starts, func(s Start) bool { return s.FromPreviousOwner && s.Number == number && !s.Invalidated })
}

// RemoveUnanswered removes from what is put into the store the starts that can't be carried out any more.
func (t *TaskStarts) RemoveUnanswered(expired func(sentBy time.Time) bool) {
	t.unanswered = slices.DeleteFunc(t.unanswered, func(u job.UnansweredStart) bool { return expired(u.SentBy) })
}

// ExpiryOf returns until when a start may be carried out that was sent no later than sentBy, by the wall
// clock of this owner or a previous one; 0 when it has expired. wall is this owner's wall-clock time, and
// maxSkew the most by which the wall clocks of two owners may differ.
func ExpiryOf(sentBy, wall time.Time, maxSkew time.Duration, now clock.Time) clock.Time {
	left := min(sentBy.Add(MaxDelay+maxSkew).Sub(wall), MaxDelay)
	if sentBy.IsZero() || left <= 0 {
		return 0
	}
	return now.Add(left)
}
