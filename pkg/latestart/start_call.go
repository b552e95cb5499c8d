package latestart

import "foldarch.dev/foldarch/pkg/clock"

// Call is the call of one start.
type Call struct {
	OrderedAt clock.Time
	// UnansweredAt is when it got no answer; 0 while that may come.
	UnansweredAt clock.Time
	// Repeated says that the start, which may be carried out yet, has the number of an earlier one: a list that shows the run may tell of that one.
	Repeated bool
	Told     bool // the store is told that it got no answer
}

// Over takes in how the call ended: a repeated start can't come any more unless it got no answer.
func (c *Call) Over(unanswered bool, now clock.Time) {
	if !unanswered {
		c.Repeated = false
		return
	}
	c.UnansweredAt = now
}

// SettleRepeated forgets that a start is a repeated one when it can't be carried out any more.
func (c *Call) SettleRepeated(now clock.Time) {
	c.Repeated = c.Repeated && now < c.LastSign().Add(Lasts)
}

// LastSign is when the start was ordered or, since it may have waited to be sent, when its call got no answer.
func (c *Call) LastSign() clock.Time {
	return max(c.OrderedAt, c.UnansweredAt)
}

// SentBy is when the start was sent, at the latest: one whose call is not over may be sent yet.
func (c *Call) SentBy(now clock.Time) clock.Time {
	if c.UnansweredAt == 0 {
		return now
	}
	return c.UnansweredAt
}

// LateUntil is until when the start may be carried out, at the latest.
func (c *Call) LateUntil(now clock.Time) clock.Time {
	return c.SentBy(now).Add(Lasts)
}
