package jobhost

import (
	"sync/atomic"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

// ownerListValidity is for how long a list from the owner stays in force: two slow heartbeats. Without a
// responsive owner nothing is refused on its behalf.
const refusalsHold = 2 * time.Second

// ownerList is a list that the owner sends with its heartbeats. It is safe for concurrent use.
type told[T any] struct {
	last atomic.Pointer[toldList[T]]
}

type toldList[T any] struct {
	at   clock.Time
	list []T
}

// set stores a list that was received from the owner.
func (l *told[T]) put(list []T, now clock.Time) {
	l.last.Store(&toldList[T]{now, list})
}

// current returns the list in force; nil if none was received recently.
func (l *told[T]) now(now clock.Time) []T {
	last := l.last.Load()
	if last == nil || now.Sub(last.at) > refusalsHold {
		return nil
	}
	return last.list
}
