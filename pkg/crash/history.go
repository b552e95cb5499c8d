package crash

import (
	"net/netip"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/workerid"
)

const (
	// conclusiveCrashesNeeded is how many crashes in a row for which nothing but the task can be the cause give it up, and
	// conclusiveCrashesNeededWhenUnstable how many do while more crash for other causes than maxUnrelatedCrashShare allows.
	conclusiveCrashesNeeded             = 2
	conclusiveCrashesNeededWhenUnstable = 3
	// maxUnrelatedCrashShare is the part of the starts that may meet a crash of their worker for another cause before two in a row are
	// no proof: with 0.003 that happens to one of 100,000 tasks that were beside a cause.
	maxUnrelatedCrashShare = 0.003
	// survivalCheckTime is how long a start takes to be proven: SurvivalTime, and the wait of a hold.
	survivalCheckTime = time.Second
	// quietPeriod is for how long no worker may have crashed for another cause before a task is started that the next crash gives
	// up: it covers the time in which one that crashed is found out to have done so.
	quietPeriod = 5 * time.Second
	// historyTime is for how long a crash at an address speaks against the next worker there: servers that go down and
	// up by turns do so within seconds.
	historyTime = 30 * time.Second
)

// Crash is the end of a worker that had not said that it would leave.
type Crash struct {
	worker     workerid.ID
	address    netip.AddrPort
	lastSeenAt clock.Time // when the worker was heard of last
	jobs       map[job.ID]bool
	// hasSingleCause says that nothing but one job can be the cause.
	hasSingleCause bool
}

// NewCrash returns the crash of a worker that was heard of last at a time, and of which some starts may be the cause.
func NewCrash(worker workerid.ID, address netip.AddrPort, at clock.Time, starts Starts) *Crash {
	c := &Crash{worker: worker, address: address, lastSeenAt: at, jobs: map[job.ID]bool{}}
	for _, s := range starts {
		c.jobs[s.Task.Job] = true
	}
	return c
}

// RecordFor is what the crash says against the task of a start.
func (c *Crash) RecordFor(s Start) job.Crash {
	return job.Crash{Run: s.Run, Worker: string(c.worker), Alone: c.hasSingleCause && s.InCrashWindow}
}

func (c *Crash) sharesJob(o *Crash) bool {
	for id := range o.jobs {
		if c.jobs[id] {
			return true
		}
	}
	return false
}

// History is what is remembered of crashes.
type History struct {
	began       clock.Time
	crashes     []*Crash                      // of the last memory
	lastCrashAt map[netip.AddrPort]clock.Time // by address, of these
	// coincidenceWindow is how far apart workers that crash together may have been heard of last.
	coincidenceWindow time.Duration
}

// NewHistory returns a history that begins at a time. Workers that crash together may have been heard of last as far apart as given.
func NewHistory(together time.Duration, now clock.Time) *History {
	return &History{began: now, lastCrashAt: map[netip.AddrPort]clock.Time{}, coincidenceWindow: together}
}

// Add takes in a crash. silent lists what has gone silent at the same time, as if it had crashed; it is asked for only where it matters.
func (h *History) Add(c *Crash, silent func() []*Crash, now clock.Time) {
	c.hasSingleCause = len(c.jobs) == 1 && !h.hasCoincidingCrash(c, silent) && !h.hasEarlierCrash(c)
	h.crashes = slices.DeleteFunc(h.crashes, func(o *Crash) bool { return now.Sub(o.lastSeenAt) >= historyTime })
	h.crashes = append(h.crashes, c)
	clear(h.lastCrashAt)
	for _, o := range h.crashes {
		h.lastCrashAt[o.address] = max(h.lastCrashAt[o.address], o.lastSeenAt)
	}
}

// MayCoincide says that a worker that was heard of last at a time may have crashed together with another one.
func (h *History) MayCoincide(c *Crash, at clock.Time) bool {
	return max(at.Sub(c.lastSeenAt), c.lastSeenAt.Sub(at)) < h.coincidenceWindow
}

// hasCoincidingCrash says that other workers, on which none of the same jobs was beginning, ended or went
// silent at the time of a crash. Those for which another job is the only cause don't count.
func (h *History) hasCoincidingCrash(c *Crash, silent func() []*Crash) bool {
	for _, o := range h.crashes {
		if o.worker != c.worker && h.MayCoincide(c, o.lastSeenAt) && !o.hasSingleCause && !c.sharesJob(o) {
			return true
		}
	}
	return slices.ContainsFunc(silent(), func(o *Crash) bool { return !c.sharesJob(o) })
}

// hasEarlierCrash says that a worker at the same address crashed lately under none of the same jobs.
func (h *History) hasEarlierCrash(c *Crash) bool {
	return slices.ContainsFunc(h.crashes, func(o *Crash) bool {
		return o.address == c.address && o.worker != c.worker && !c.sharesJob(o)
	})
}

// LastCrashAt is when a worker at an address was heard of last that crashed lately; 0 for none.
func (h *History) LastCrashAt(address netip.AddrPort) clock.Time {
	return h.lastCrashAt[address]
}

// RemoveCrashesOf forgets the crash of a worker that had only been cut off for long.
func (h *History) RemoveCrashesOf(worker workerid.ID) {
	h.crashes = slices.DeleteFunc(h.crashes, func(c *Crash) bool { return c.worker == worker })
}

// IsQuietFor says that no worker has crashed lately for another cause than a job, so that a task of it may be started that the next crash gives up.
func (h *History) IsQuietFor(id job.ID, now clock.Time) bool {
	return !slices.ContainsFunc(h.crashes, func(c *Crash) bool {
		return !c.hasSingleCause && !c.jobs[id] && now.Sub(c.lastSeenAt) < quietPeriod
	})
}

// ConclusiveCrashesNeeded is how many crashes for which nothing but a job can be the cause give it up: more while workers, of which there are so many,
// crash for other causes, and while the history is too short to tell whether they do.
func (h *History) ConclusiveCrashesNeeded(id job.ID, workers int, now clock.Time) int {
	if now.Sub(h.began) < historyTime {
		return conclusiveCrashesNeededWhenUnstable
	}
	others := 0
	for _, c := range h.crashes {
		if !c.jobs[id] {
			others++
		}
	}
	perWorker := float64(others) / float64(max(workers, 1))
	if perWorker*survivalCheckTime.Seconds()/historyTime.Seconds() > maxUnrelatedCrashShare {
		return conclusiveCrashesNeededWhenUnstable
	}
	return conclusiveCrashesNeeded
}
