package latestart

import "foldarch.dev/foldarch/pkg/clock"

// StartCall is the call of one start.
type StartCall struct {
	OrderedAt clock.Time
	// UnansweredAt is when it got no answer; 0 while that may come.
	UnansweredAt clock.Time
	// ReusesNumber says that the start, which may be carried out yet, has the number of an earlier one: a list that shows the run may tell of that one.
	ReusesNumber bool
	Stored       bool // the store is told that it got no answer
}

// RecordResult takes in how the call ended: a repeated start can't come any more unless it got no answer.
func (c *StartCall) RecordResult(unanswered bool, now clock.Time) {
	if !unanswered {
		c.ReusesNumber = false
		return
	}
	c.UnansweredAt = now
}

// ExpireNumberReuse forgets that a start is a repeated one when it can't be carried out any more.
func (c *StartCall) ExpireNumberReuse(now clock.Time) {
	c.ReusesNumber = c.ReusesNumber && now < c.LastEventAt().Add(MaxDelay)
}

// LastEventAt is when the start was ordered or, since it may have waited to be sent, when its call got no answer.
func (c *StartCall) LastEventAt() clock.Time {
	return max(c.OrderedAt, c.UnansweredAt)
}

// SentNoLaterThan is when the start was sent, at the latest: one whose call is not over may be sent yet.
func (c *StartCall) SentNoLaterThan(now clock.Time) clock.Time {
	if c.UnansweredAt == 0 {
		return now
	}
	return c.UnansweredAt
}

// ExpiresAt is until when the start may be carried out, at the latest.
func (c *StartCall) ExpiresAt(now clock.Time) clock.Time {
	return c.SentNoLaterThan(now).Add(MaxDelay)
}
