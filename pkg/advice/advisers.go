package advice

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

// A process whose calls fail makes none for firstRest, and twice as long with each more in a row, mostDoublings
// times at most, to 2 s: hosts of a data hall that is cut off don't reach the service. A job may wait for no
// more than 3 s when the service is back.
const (
	firstRest     = 250 * time.Millisecond
	mostDoublings = 3
)

// Advisers are the processes that make calls for advice, one at a time each. NewAdvisers makes them.
type Advisers struct {
	idle    map[string]bool
	free    int // how many are idle
	resting map[string]*rest
}

// rest is the pause of a process whose calls fail.
type rest struct {
	failures int // in a row
	until    clock.Time
}

// NewAdvisers returns advisers of which none has joined.
func NewAdvisers() *Advisers {
	return &Advisers{idle: map[string]bool{}, resting: map[string]*rest{}}
}

// Put takes in a process that can make calls. It is free.
func (a *Advisers) Put(name string) {
	a.setIdle(name, true)
}

// Remove takes in that a process can't be reached any more.
func (a *Advisers) Remove(name string) {
	a.setIdle(name, false)
	delete(a.idle, name)
	delete(a.resting, name)
}

// Take has a process make a call: the first by name of those that are free. It is busy until Answered. With none that is free,
// it returns an empty name.
func (a *Advisers) Take() string {
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

// Answered takes in whether a process's call succeeded: it is free, or rests.
func (a *Advisers) Answered(name string, ok bool, now clock.Time) {
	if _, there := a.idle[name]; !there {
		return
	}
	if ok {
		delete(a.resting, name)
		a.setIdle(name, true)
		return
	}
	r, rests := a.resting[name]
	if !rests {
		r = &rest{}
		a.resting[name] = r
	}
	r.until = now.Add(firstRest << min(r.failures, mostDoublings))
	r.failures++
}

// EndRests makes processes free that have rested for long enough.
func (a *Advisers) EndRests(now clock.Time) {
	for name, r := range a.resting {
		if r.until != 0 && now >= r.until {
			r.until = 0
			a.setIdle(name, true)
		}
	}
}

func (a *Advisers) setIdle(name string, idle bool) {
	if was := a.idle[name]; was && !idle {
		a.free--
	} else if !was && idle {
		a.free++
	}
	a.idle[name] = idle
}

// Free counts the processes that can make a call at once.
func (a *Advisers) Free() int {
	return a.free
}

// Joined counts all processes.
func (a *Advisers) Joined() int {
	return len(a.idle)
}

// Working counts the processes that make calls, or can.
func (a *Advisers) Working(now clock.Time) int {
	n := len(a.idle)
	for _, r := range a.resting {
		if r.until > now {
			n--
		}
	}
	return n
}
