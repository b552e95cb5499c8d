package relay

import (
	"cmp"
	"math"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/dispatch"
	"foldarch.dev/foldarch/pkg/traffic"
)

const (
	// WorkersPerHost is how many workers one relay serves at most. A worker has 2 to 4 calls a second, a call
	// costs a relay about 0.2 ms of processor: 96 workers take 4 to 8% of a core, which the smallest hosts have.
	WorkersPerHost = 96
	// leastWorkers is the number of workers from which other hosts make the calls to them. Below, relays cost
	// the hosts more than they spare an owner with a large link (docs/CAPACITY.md).
	leastWorkers = 400
	// linkShare is the part of a host's link that calls to workers may take, and callBytes what those to one worker take each way, in
	// bytes a second. The rest is for the store, for callers and for bursts.
	linkShare = 0.25
	callBytes = 2200
	// mostDoubts is how many orders in a row may have no result before a relay is left for suspectFor. The
	// stream of a host is given up after 0.9 s of silence; this is for one that lives but does not reach workers.
	mostDoubts = 12
	suspectFor = 5 * time.Second
	// directFor is how long the owner makes the calls to a worker itself after missesToLeave orders in a row
	// without a result. One may be lost on its way; two tell that the relay does not reach the worker.
	directFor     = 2 * time.Second
	missesToLeave = 2
	// chooseAgain is the pause after no host had room for one more worker: looking takes as long as there are hosts.
	chooseAgain = 250 * time.Millisecond
)

// Assignments decide which host makes the calls to which worker. They are pure, and not safe for
// concurrent use.
type Assignments struct {
	// Stopping says that a host is about to end.
	Stopping func(host string) bool

	least        int // workers, from which other hosts make the calls
	hosts        map[string]*host
	workers      map[dispatch.WorkerID]*assignment
	missingUntil clock.Time // no host had room
	// best are the hosts chosen last, by the hall of the worker. A takeover assigns all workers at once: looking at all hosts for each takes
	// four times as long in a pool of twice the size.
	best map[string]choice
}

// choice is a host that remains the best one until others change, or until a time: others may be usable again by then.
type choice struct {
	host  *host
	until clock.Time
}

// host is an entry host that may be a relay.
type host struct {
	name         string
	hall         string
	strength     int // in percent of what an owner needs
	most         int // workers that it may serve
	workers      int // that it serves
	doubts       int // orders in a row without a result
	suspectUntil clock.Time
}

// assignment is the host of a worker; nil when the owner makes the calls itself.
type assignment struct {
	hall        string // of the worker
	host        *host
	misses      int // orders in a row without a result
	directUntil clock.Time
}

// NewAssignments returns assignments without hosts and workers, for an owner whose link carries so many megabits a second; 0 when that is not
// told.
func NewAssignments(stopping func(host string) bool, linkMbps float64) *Assignments {
	return &Assignments{Stopping: stopping, least: min(leastWorkers, WorkersOnLink(linkMbps)), hosts: map[string]*host{}, workers: map[dispatch.WorkerID]*assignment{}, best: map[string]choice{}}
}

// WorkersOnLink is to how many workers calls may be made over a link of so many megabits a second; 0 when that is not told, which counts as
// enough.
func WorkersOnLink(linkMbps float64) int {
	if linkMbps <= 0 {
		return math.MaxInt
	}
	return max(1, int(linkShare*traffic.BytesPerSecond(linkMbps)/callBytes))
}

// PutHost takes in a host of a data hall that can make calls, to most workers at most. One of the same name is replaced.
func (a *Assignments) PutHost(name, hall string, strength, most int) {
	a.hosts[name] = &host{name: name, hall: hall, strength: strength, most: min(most, WorkersPerHost)}
	a.missingUntil = 0
	clear(a.best)
}

// RemoveHost takes in that a host can't be reached any more.
func (a *Assignments) RemoveHost(name string) {
	delete(a.hosts, name)
	clear(a.best)
}

// PutWorker takes in a worker of a data hall.
func (a *Assignments) PutWorker(id dispatch.WorkerID, hall string) {
	a.workers[id] = &assignment{hall: hall}
}

// RemoveWorker takes in that no calls are made to a worker any more.
func (a *Assignments) RemoveWorker(id dispatch.WorkerID) {
	if w, ok := a.workers[id]; ok {
		a.leave(w)
		delete(a.workers, id)
	}
}

// Assign returns the host that makes the calls to a worker from now on; "" when the owner does. changed
// says that others made the calls before, so that those still on their way have to be fenced.
func (a *Assignments) Assign(id dispatch.WorkerID, now clock.Time) (name string, changed bool) {
	w, ok := a.workers[id]
	if !ok {
		return "", false
	}
	former := w.host
	switch {
	case now < w.directUntil:
		a.leave(w)
	case w.host == nil || !a.usable(w.host, now):
		a.leave(w)
		w.join(a.choose(w.hall, now))
	}
	return w.name(), w.host != former
}

// Assigned returns the host that makes the calls to a worker at present; "" when the owner does.
func (a *Assignments) Assigned(id dispatch.WorkerID, now clock.Time) string {
	w, ok := a.workers[id]
	if !ok || w.host == nil || !a.usable(w.host, now) {
		return ""
	}
	return w.name()
}

// Serves says that a host makes the calls to some workers.
func (a *Assignments) Serves(name string) bool {
	h, ok := a.hosts[name]
	return ok && h.workers > 0
}

// Count is how many workers other hosts serve.
func (a *Assignments) Count() int {
	n := 0
	for _, h := range a.hosts {
		n += h.workers
	}
	return n
}

// Answered takes in whether an order for a worker that a host made the call of had a result. After
// missesToLeave without one the owner makes the next calls itself; suspected says that the host is left for a time.
func (a *Assignments) Answered(id dispatch.WorkerID, name string, result bool, now clock.Time) (suspected bool) {
	h, ok := a.hosts[name]
	if !ok {
		return false
	}
	if w, ok := a.workers[id]; ok {
		w.answered(result, now)
	}
	if result {
		h.doubts = 0
		return false
	}
	if h.doubts++; h.doubts < mostDoubts || now < h.suspectUntil {
		return false
	}
	h.doubts, h.suspectUntil = 0, now.Add(suspectFor)
	return true
}

// usable says whether a host can make calls.
func (a *Assignments) usable(h *host, now clock.Time) bool {
	return a.hosts[h.name] == h && now >= h.suspectUntil && !a.Stopping(h.name)
}

// choose returns the host that is to serve one more worker of a data hall; nil when none has room.
// Hosts of the worker's hall come first, since traffic between halls costs and a hall that is cut off keeps
// both; then strong hosts, and among these hosts that serve others already, so that messages hold many orders.
func (a *Assignments) choose(hall string, now clock.Time) *host {
	if len(a.workers) < a.least || now < a.missingUntil {
		return nil
	}
	if c, ok := a.best[hall]; ok && now < c.until && c.host.workers < c.host.most && a.usable(c.host, now) {
		return c.host
	}
	best := a.bestHost(hall, now)
	if best == nil {
		a.missingUntil = now.Add(chooseAgain)
		return nil
	}
	a.best[hall] = choice{best, now.Add(chooseAgain)}
	return best
}

// bestHost looks at all hosts for the one that is to serve one more worker of a data hall; nil when none has room.
func (a *Assignments) bestHost(hall string, now clock.Time) *host {
	var best *host
	for _, h := range a.hosts {
		if h.workers < h.most && (best == nil || h.before(best, hall)) && a.usable(h, now) {
			best = h
		}
	}
	return best
}

// before says that a host is to be chosen before another one for a worker of a data hall.
func (h *host) before(other *host, hall string) bool {
	if near := h.hall == hall; near != (other.hall == hall) {
		return near
	}
	return cmp.Or(cmp.Compare(h.strength, other.strength), cmp.Compare(h.workers, other.workers), cmp.Compare(other.name, h.name)) > 0
}

// answered counts the orders in a row that had no result.
func (w *assignment) answered(result bool, now clock.Time) {
	if result {
		w.misses = 0
		return
	}
	if w.misses++; w.misses >= missesToLeave {
		w.misses, w.directUntil = 0, now.Add(directFor)
	}
}

// leave takes a worker from its host, which has room for another one then.
func (a *Assignments) leave(w *assignment) {
	if w.host != nil {
		w.host.workers--
		w.host = nil
		clear(a.best)
	}
}

func (w *assignment) join(h *host) {
	if h != nil {
		h.workers++
		w.host = h
	}
}

func (w *assignment) name() string {
	if w.host == nil {
		return ""
	}
	return w.host.name
}
