package latestart

import (
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
)

// Unanswered is what the store is told of starts without an answer.
func (t *TaskStarts) Unanswered() []job.Unanswered {
	return slices.Clone(t.unanswered)
}

// AddUnanswered has the store be told of a start without an answer.
func (t *TaskStarts) AddUnanswered(u job.Unanswered) {
	t.unanswered = append(t.unanswered, u)
}

// MarkInvalidated has the store be told that a start does nothing any more on the life that it was sent to. It says whether that is news.
func (t *TaskStarts) MarkInvalidated(number int) bool {
	news := false
	for i, u := range t.unanswered {
		if u.Run == number && !u.Void {
			t.unanswered[i].Void, news = true, true
		}
	}
	return news
}

// LoadUnanswered takes in a start that a former owner got no answer to, which may be carried out until a time.
func (t *TaskStarts) LoadUnanswered(u job.Unanswered, worker string, until clock.Time) {
	t.AddUnanswered(u)
	t.Add(Start{Number: u.Run, Worker: worker, ExpiresAt: until, FromPreviousOwner: true, Invalidated: u.Void})
}

// RemoveExecuted takes in that a worker has answered a start or lists its run, so that it does not come late. The store is told with the next change. A start that
// was void may have been sent again under the same number, and a list shows one run.
func (t *TaskStarts) RemoveExecuted(number int) {
	t.unanswered = slices.DeleteFunc(t.unanswered, func(u job.Unanswered) bool { return u.Run == number && !u.Void })
	t.starts = slices.DeleteFunc(t.starts, func(s Start) bool { return s.FromPreviousOwner && s.Number == number && !s.Invalidated })
}

// RemoveUnanswered forgets what the store is told of starts that can't be carried out any more.
func (t *TaskStarts) RemoveUnanswered(over func(sentBy time.Time) bool) {
	t.unanswered = slices.DeleteFunc(t.unanswered, func(u job.Unanswered) bool { return over(u.At) })
}

// Until is until when a start may be carried out that was sent by a time of day, at this owner or a former one, whose times of day may differ; 0 when that is
// over.
func ExpiryOf(sentBy, wall time.Time, differ time.Duration, now clock.Time) clock.Time {
	left := min(sentBy.Add(MaxDelay+differ).Sub(wall), MaxDelay)
	if sentBy.IsZero() || left <= 0 {
		return 0
	}
	return now.Add(left)
}
