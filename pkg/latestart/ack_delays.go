package latestart

import (
	"slices"

	"foldarch.dev/foldarch/pkg/clock"
)

// AckDelays delays the acknowledgement of run ends on one worker while late starts of their tasks may be
// carried out. The zero value delays none.
type AckDelays struct {
	delayed []delayedAck
}

// delayedAck is a run end that must not be acknowledged before a time.
type delayedAck struct {
	number int64
	until  clock.Time
}

// Add delays the acknowledgement of an end, given by its number on the worker, until a time.
func (a *AckDelays) Add(number int64, until clock.Time) {
	a.delayed = append(a.delayed, delayedAck{number, until})
}

// LastAckable returns the number up to which all ends may be acknowledged, given the number of the last
// end that was processed.
func (a *AckDelays) LastAckable(processed int64, now clock.Time) int64 {
	a.delayed = slices.DeleteFunc(a.delayed, func(d delayedAck) bool { return now >= d.until })
	for _, d := range a.delayed {
		processed = min(processed, d.number-1)
	}
	return processed
}
