package latestart

import (
	"slices"

	"foldarch.dev/foldarch/pkg/clock"
)

// AckDelays keeps ends of one worker from being noted while late starts of their tasks may be carried out. The zero value keeps none.
type AckDelays struct {
	delayed []delayedAck
}

// delayedAck is an end that is not to be noted before a time.
type delayedAck struct {
	number int64
	until  clock.Time
}

// Add keeps an end, by its number on the worker, from being noted until a time.
func (n *AckDelays) Add(number int64, until clock.Time) {
	n.delayed = append(n.delayed, delayedAck{number, until})
}

// LastAckable is the number up to which all ends may be noted, of those up to one that are taken in.
func (n *AckDelays) LastAckable(taken int64, now clock.Time) int64 {
	n.delayed = slices.DeleteFunc(n.delayed, func(h delayedAck) bool { return now >= h.until })
	for _, h := range n.delayed {
		taken = min(taken, h.number-1)
	}
	return taken
}
