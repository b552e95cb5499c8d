package jobhost

import (
	"sync/atomic"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

// ownerListValidity is for how long a list from the owner stays in force: two slow heartbeats. Without a
// responsive owner nothing is refused on its behalf.
const ownerListValidity = 2 * time.Second

// ownerList is a list that the owner sends with its heartbeats. It is safe for concurrent use.
type ownerList[T any] struct {
	last atomic.Pointer[receivedList[T]]
}

type receivedList[T any] struct {
	receivedAt clock.Time
	list       []T
}

// set stores a list that was received from the owner.
func (l *ownerList[T]) set(list []T, now clock.Time) {
	l.last.Store(&receivedList[T]{now, list})
}

// current returns the list in force; nil if none was received recently.
func (l *ownerList[T]) current(now clock.Time) []T {
	last := l.last.Load()
	if last == nil || now.Sub(last.receivedAt) > ownerListValidity {
		return nil
	}
	return last.list
}
