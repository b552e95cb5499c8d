package latestart

import (
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
)

// Stored is what the store is told of starts without an answer.
func (t *Task) Stored() []job.Unanswered {
	return slices.Clone(t.unanswered)
}

// Tell has the store be told of a start without an answer.
func (t *Task) Tell(u job.Unanswered) {
	t.unanswered = append(t.unanswered, u)
}

// TellVoid has the store be told that a start does nothing any more on the life that it was sent to. It says whether that is news.
func (t *Task) TellVoid(number int) bool {
	news := false
	for i, u := range t.unanswered {
		if u.Run == number && !u.Void {
			t.unanswered[i].Void, news = true, true
		}
	}
	return news
}

// Take takes in a start that a former owner got no answer to, which may be carried out until a time.
func (t *Task) Take(u job.Unanswered, worker string, until clock.Time) {
	t.Tell(u)
	t.Add(Start{Number: u.Run, Worker: worker, Until: until, Former: true, Void: u.Void})
}

// CarriedOut takes in that a worker has answered a start or lists its run, so that it does not come late. The store is told with the next change. A start that
// was void may have been sent again under the same number, and a list shows one run.
func (t *Task) CarriedOut(number int) {
	t.unanswered = slices.DeleteFunc(t.unanswered, func(u job.Unanswered) bool { return u.Run == number && !u.Void })
	t.starts = slices.DeleteFunc(t.starts, func(s Start) bool { return s.Former && s.Number == number && !s.Void })
}

// DropStored forgets what the store is told of starts that can't be carried out any more.
func (t *Task) DropStored(over func(sentBy time.Time) bool) {
	t.unanswered = slices.DeleteFunc(t.unanswered, func(u job.Unanswered) bool { return over(u.At) })
}

// Until is until when a start may be carried out that was sent by a time of day, at this owner or a former one, whose times of day may differ; 0 when that is
// over.
func Until(sentBy, wall time.Time, differ time.Duration, now clock.Time) clock.Time {
	left := min(sentBy.Add(Lasts+differ).Sub(wall), Lasts)
	if sentBy.IsZero() || left <= 0 {
		return 0
	}
	return now.Add(left)
}
