package advice

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

// A process whose calls fail makes none for initialBackoff, and twice as long with each more in a row, maxBackoffDoublings
// times at most, to 2 s: hosts of a data hall that is cut off don't reach the service. A job may wait for no
// more than 3 s when the service is back.
const (
	initialBackoff      = 250 * time.Millisecond
	maxBackoffDoublings = 3
)

// Advisers are the processes that make calls for advice, one at a time each. NewAdvisers makes them.
type Advisers struct {
	idle      map[string]bool
	idleCount int // how many are idle
	backoffs  map[string]*backoff
}

// backoff is the pause of a process whose calls fail.
type backoff struct {
	failures int // in a row
	until    clock.Time
}

// NewAdvisers returns advisers of which none has joined.
func NewAdvisers() *Advisers {
	return &Advisers{idle: map[string]bool{}, backoffs: map[string]*backoff{}}
}

// Put takes in a process that can make calls. It is free.
func (a *Advisers) Put(name string) {
	a.setIdle(name, true)
}

// Remove takes in that a process can't be reached any more.
func (a *Advisers) Remove(name string) {
	a.setIdle(name, false)
	delete(a.idle, name)
	delete(a.backoffs, name)
}

// Acquire has a process make a call: the first by name of those that are free. It is busy until Answered. With none that is free,
// it returns an empty name.
func (a *Advisers) Acquire() string {
	first := ""
	for name, idle := range a.idle {
		if idle && (first == "" || name < first) {
			first = name
		}
	}
	if first != "" {
		a.setIdle(first, false)
	}
	return first
}

// Release takes in whether a process's call succeeded: it is free, or rests.
func (a *Advisers) Release(name string, ok bool, now clock.Time) {
	if _, there := a.idle[name]; !there {
		return
	}
	if ok {
		delete(a.backoffs, name)
		a.setIdle(name, true)
		return
	}
	r, rests := a.backoffs[name]
	if !rests {
		r = &backoff{}
		a.backoffs[name] = r
	}
	r.until = now.Add(initialBackoff << min(r.failures, maxBackoffDoublings))
	r.failures++
}

// EndBackoffs makes processes free that have rested for long enough.
func (a *Advisers) EndBackoffs(now clock.Time) {
	for name, r := range a.backoffs {
		if r.until != 0 && now >= r.until {
			r.until = 0
			a.setIdle(name, true)
		}
	}
}

func (a *Advisers) setIdle(name string, idle bool) {
	if was := a.idle[name]; was && !idle {
		a.idleCount--
	} else if !was && idle {
		a.idleCount++
	}
	a.idle[name] = idle
}

// Free counts the processes that can make a call at once.
func (a *Advisers) IdleCount() int {
	return a.idleCount
}

// Count counts all processes.
func (a *Advisers) Count() int {
	return len(a.idle)
}

// WorkingCount counts the processes that make calls, or can.
func (a *Advisers) WorkingCount(now clock.Time) int {
	n := len(a.idle)
	for _, r := range a.backoffs {
		if r.until > now {
			n--
		}
	}
	return n
}
