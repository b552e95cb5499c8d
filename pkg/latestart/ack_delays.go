package latestart

import (
	"slices"

	"foldarch.dev/foldarch/pkg/clock"
)

// Notes keeps ends of one worker from being noted while late starts of their tasks may be carried out. The zero value keeps none.
type Notes struct {
	held []heldNote
}

// heldNote is an end that is not to be noted before a time.
type heldNote struct {
	number int64
	until  clock.Time
}

// Hold keeps an end, by its number on the worker, from being noted until a time.
func (n *Notes) Hold(number int64, until clock.Time) {
	n.held = append(n.held, heldNote{number, until})
}

// UpTo is the number up to which all ends may be noted, of those up to one that are taken in.
func (n *Notes) UpTo(taken int64, now clock.Time) int64 {
	n.held = slices.DeleteFunc(n.held, func(h heldNote) bool { return now >= h.until })
	for _, h := range n.held {
		taken = min(taken, h.number-1)
	}
	return taken
}
