package advice

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

const (
	// An adviser whose call has failed makes none for initialBackoff. The pause doubles with each further
	// failure in a row, up to maxBackoffDoublings times, to 2 s. Hosts of a data hall that is cut off
	// can't reach the advice service. When they can again, a job may wait for no more than 3 s.
	initialBackoff      = 250 * time.Millisecond
	maxBackoffDoublings = 3
)

// Advisers are the processes that make the advice calls, each one call at a time. NewAdvisers makes
// them.
type Advisers struct {
	idle      map[string]bool
	idleCount int // number of idle processes
	backoffs  map[string]*backoff
}

// backoff is the pause of a process whose calls fail.
type backoff struct {
	failures int // in a row
	until    clock.Time
}

// NewAdvisers returns an empty set of advisers.
func NewAdvisers() *Advisers {
	return &Advisers{idle: map[string]bool{}, backoffs: map[string]*backoff{}}
}

// Add adds a process that can make calls. It is idle at first.
func (a *Advisers) Add(name string) {
	a.setIdle(name, true)
}

// Remove removes a process that can't be reached any more.
func (a *Advisers) Remove(name string) {
	a.setIdle(name, false)
	delete(a.idle, name)
	delete(a.backoffs, name)
}

// Acquire chooses the first idle process by name to make a call. The process is busy until Release.
// Acquire returns an empty name when none is idle.
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

// Release ends the call of a process. If the call has succeeded, the process becomes idle, otherwise
// after a backoff.
func (a *Advisers) Release(name string, ok bool, now clock.Time) {
	if _, known := a.idle[name]; !known {
		return
	}
	if ok {
		delete(a.backoffs, name)
		a.setIdle(name, true)
		return
	}
	b, exists := a.backoffs[name]
	if !exists {
		b = &backoff{}
		a.backoffs[name] = b
	}
	b.until = now.Add(initialBackoff << min(b.failures, maxBackoffDoublings))
	b.failures++
}

// EndBackoffs makes the processes idle whose backoff is over.
func (a *Advisers) EndBackoffs(now clock.Time) {
	for name, b := range a.backoffs {
		if b.until != 0 && now >= b.until {
			b.until = 0
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

// IdleCount returns the number of processes that can make a call at once.
func (a *Advisers) IdleCount() int {
	return a.idleCount
}

// Count returns the number of all processes.
func (a *Advisers) Count() int {
	return len(a.idle)
}

// WorkingCount returns the number of processes that are not in a backoff: they make a call or can make
// one.
func (a *Advisers) WorkingCount(now clock.Time) int {
	n := len(a.idle)
	for _, b := range a.backoffs {
		if b.until > now {
			n--
		}
	}
	return n
}
