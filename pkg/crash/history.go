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
	// A task is given up after conclusiveCrashesNeeded crashes in a row that only this task can have
	// caused, and after conclusiveCrashesNeededWhenUnstable while more workers crash for other causes
	// than maxUnrelatedCrashShare allows.
	conclusiveCrashesNeeded             = 2
	conclusiveCrashesNeededWhenUnstable = 3
	// maxUnrelatedCrashShare is the highest share of starts whose worker may crash for an unrelated cause
	// while two conclusive crashes in a row are still proof. At 0.003, two such crashes happen by
	// coincidence to one of 100,000 tasks that ran beside the cause of a crash.
	maxUnrelatedCrashShare = 0.003
	// survivalCheckTime is how long it takes to find out that a worker has survived a start: SurvivalTime,
	// and the longest wait of a poll.
	survivalCheckTime = time.Second
	// quietPeriod is for how long no worker may have crashed for another cause before a task is started
	// that is given up at its next crash. It covers the time until the owner finds out that a worker has
	// crashed.
	quietPeriod = 5 * time.Second
	// historyTime is for how long a crash at an address counts as an earlier crash of the next worker
	// there: servers that go down and up by turns do so within seconds.
	historyTime = 30 * time.Second
)

// Crash is the end of a worker that had not announced that it would leave.
type Crash struct {
	worker     workerid.ID
	address    netip.AddrPort
	lastSeenAt clock.Time // last sign of life of the worker
	jobs       map[job.ID]bool
	// hasSingleCause says that only one job can be the cause.
	hasSingleCause bool
}

// NewCrash returns the crash of a worker that was last seen at a time, with the starts that may have
// caused it.
func NewCrash(worker workerid.ID, address netip.AddrPort, lastSeen clock.Time, starts Starts) *Crash {
	c := &Crash{worker: worker, address: address, lastSeenAt: lastSeen, jobs: map[job.ID]bool{}}
	for _, s := range starts {
		c.jobs[s.Task.Job] = true
	}
	return c
}

// RecordFor returns the record of the crash that is kept for the task of one of the starts.
func (c *Crash) RecordFor(s Start) job.Crash {
	return job.Crash{Run: s.Run, Worker: string(c.worker), Conclusive: c.hasSingleCause && s.InCrashWindow}
}

func (c *Crash) sharesJob(o *Crash) bool {
	for id := range o.jobs {
		if c.jobs[id] {
			return true
		}
	}
	return false
}

// History remembers the crashes of the last historyTime.
type History struct {
	beganAt     clock.Time
	crashes     []*Crash
	lastCrashAt map[netip.AddrPort]clock.Time // by address
	// coincidenceWindow is the difference between the times at which two workers were last seen from
	// which on their crashes can't coincide.
	coincidenceWindow time.Duration
}

// NewHistory returns an empty history that begins at now. Two crashes may coincide when their workers
// were last seen less than window apart.
func NewHistory(window time.Duration, now clock.Time) *History {
	return &History{beganAt: now, lastCrashAt: map[netip.AddrPort]clock.Time{}, coincidenceWindow: window}
}

// Add adds a crash and determines whether only one job can have caused it. silent returns the workers
// that fell silent at the same time, as crashes; it is called only where the answer matters.
func (h *History) Add(c *Crash, silent func() []*Crash, now clock.Time) {
	c.hasSingleCause = len(c.jobs) == 1 && !h.hasCoincidingCrash(c, silent) && !h.hasEarlierCrash(c)
	h.crashes = slices.DeleteFunc(h.crashes, func(o *Crash) bool { return now.Sub(o.lastSeenAt) >= historyTime })
	h.crashes = append(h.crashes, c)
	clear(h.lastCrashAt)
	for _, o := range h.crashes {
		h.lastCrashAt[o.address] = max(h.lastCrashAt[o.address], o.lastSeenAt)
	}
}

// MayCoincide reports whether another worker, last seen at a time, may have crashed at the same time as the
// worker of c.
func (h *History) MayCoincide(c *Crash, lastSeen clock.Time) bool {
	return max(lastSeen.Sub(c.lastSeenAt), c.lastSeenAt.Sub(lastSeen)) < h.coincidenceWindow
}

// hasCoincidingCrash reports whether other workers, on which none of the same jobs was starting, crashed or
// fell silent at the same time. Crashes that only another job can have caused don't count.
func (h *History) hasCoincidingCrash(c *Crash, silent func() []*Crash) bool {
	for _, o := range h.crashes {
		if o.worker != c.worker && h.MayCoincide(c, o.lastSeenAt) && !o.hasSingleCause && !c.sharesJob(o) {
			return true
		}
	}
	return slices.ContainsFunc(silent(), func(o *Crash) bool { return !c.sharesJob(o) })
}

// hasEarlierCrash reports whether another worker at the same address crashed recently while none of the same
// jobs was starting there.
func (h *History) hasEarlierCrash(c *Crash) bool {
	return slices.ContainsFunc(h.crashes, func(o *Crash) bool {
		return o.address == c.address && o.worker != c.worker && !c.sharesJob(o)
	})
}

// LastCrashAt returns when a worker at the address that crashed recently was last seen; 0 for none.
func (h *History) LastCrashAt(address netip.AddrPort) clock.Time {
	return h.lastCrashAt[address]
}

// RemoveCrashesOf removes the crash of a worker that turned out to have been cut off for long, and not to
// have crashed.
func (h *History) RemoveCrashesOf(worker workerid.ID) {
	h.crashes = slices.DeleteFunc(h.crashes, func(c *Crash) bool { return c.worker == worker })
}

// IsQuietFor reports whether no worker has crashed within quietPeriod for a cause other than the job. Only
// then may a task of the job be started that is given up at its next crash.
func (h *History) IsQuietFor(id job.ID, now clock.Time) bool {
	return !slices.ContainsFunc(h.crashes, func(c *Crash) bool {
		return !c.hasSingleCause && !c.jobs[id] && now.Sub(c.lastSeenAt) < quietPeriod
	})
}

// ConclusiveCrashesNeeded returns after how many conclusive crashes a job is given up. It needs more
// while workers crash for other causes, in relation to the number of workers, and while the history is
// too short to tell whether they do.
func (h *History) ConclusiveCrashesNeeded(id job.ID, workers int, now clock.Time) int {
	if now.Sub(h.beganAt) < historyTime {
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
