package jobhost

import (
	"sync/atomic"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

// refusalsHold is for how long what the owner told holds: two of its slow heartbeats. An owner that is not heard refuses nothing.
const refusalsHold = 2 * time.Second

// told is a list that the owner tells with its heartbeat. It is safe for concurrent use.
type told[T any] struct {
	last atomic.Pointer[toldList[T]]
}

type toldList[T any] struct {
	at   clock.Time
	list []T
}

// put takes in what the owner tells.
func (t *told[T]) put(list []T, now clock.Time) {
	t.last.Store(&toldList[T]{now, list})
}

// now returns the list in force; nil when nobody knows.
func (t *told[T]) now(now clock.Time) []T {
	last := t.last.Load()
	if last == nil || now.Sub(last.at) > refusalsHold {
		return nil
	}
	return last.list
}
