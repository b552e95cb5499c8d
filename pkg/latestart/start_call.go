package latestart

import "foldarch.dev/foldarch/pkg/clock"

// StartCall is the call that sends one start order to a worker.
type StartCall struct {
	OrderedAt clock.Time
	// UnansweredAt is when the call ended without an answer; 0 while an answer may still come.
	UnansweredAt clock.Time
	// ReusesNumber says that the start, which may still be carried out, has the run number of an earlier
	// start. A worker's list that shows a run of that number may then show the earlier one's.
	ReusesNumber bool
	Stored       bool // the store has it as a start without an answer
}

// RecordResult records whether the call got an answer. A start that reuses a number can't come any more
// unless its call got no answer.
func (c *StartCall) RecordResult(unanswered bool, now clock.Time) {
	if !unanswered {
		c.ReusesNumber = false
		return
	}
	c.UnansweredAt = now
}

// ExpireNumberReuse clears ReusesNumber once the start can't be carried out any more.
func (c *StartCall) ExpireNumberReuse(now clock.Time) {
	c.ReusesNumber = c.ReusesNumber && now < c.LastEventAt().Add(MaxDelay)
}

// LastEventAt returns when the call ended without an answer, since the order may have waited until then
// to be sent; before that, when the start was ordered.
func (c *StartCall) LastEventAt() clock.Time {
	return max(c.OrderedAt, c.UnansweredAt)
}

// SentNoLaterThan returns the latest time at which the order can have been sent. While the call goes on,
// that is now.
func (c *StartCall) SentNoLaterThan(now clock.Time) clock.Time {
	if c.UnansweredAt == 0 {
		return now
	}
	return c.UnansweredAt
}

// ExpiresAt returns the latest time at which the start may be carried out.
func (c *StartCall) ExpiresAt(now clock.Time) clock.Time {
	return c.SentNoLaterThan(now).Add(MaxDelay)
}
