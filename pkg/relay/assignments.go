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
	// MaxWorkersPerRelay is the maximum number of workers that one relay serves. A worker has 2 to
	// 4 calls a second, and a call costs a relay about 0.2 ms of processor time: 96 workers take 4
	// to 8% of a core, which the smallest hosts have.
	MaxWorkersPerRelay = 96
	// minWorkersForRelays is the number of workers from which relays are used. Below it, relays
	// cost their hosts more than they save an owner with a fast link (docs/CAPACITY.md).
	minWorkersForRelays = 400
	// workerCallLinkShare is the part of a host's link that calls to workers may use; the rest is
	// for the store, for callers and for bursts. callBytesPerWorker is the traffic of the calls to
	// one worker in each direction, in bytes per second.
	workerCallLinkShare = 0.25
	callBytesPerWorker  = 2200
	// maxHostMisses is the number of consecutive orders without a result after which a relay is not
	// used for suspectDuration. A host whose stream is silent for 0.9 s is dropped anyway; this
	// limit is for a host that is alive but does not reach workers.
	maxHostMisses   = 12
	suspectDuration = 5 * time.Second
	// directDuration is how long the owner makes the calls to a worker itself after
	// missesBeforeDirect consecutive orders without a result. A single order may be lost on the
	// network; two indicate that the relay does not reach the worker.
	directDuration     = 2 * time.Second
	missesBeforeDirect = 2
	// chooseRetryDelay is the pause after a search in which no host had room for one more worker,
	// since a search examines every host.
	chooseRetryDelay = 250 * time.Millisecond
)

// Assignments decides which host makes the calls to which worker. It does no I/O and is not safe
// for concurrent use.
type Assignments struct {
	// IsStopping reports whether a host is about to stop.
	IsStopping func(host string) bool

	minWorkers  int // workers from which relays are used
	hosts       map[string]*host
	workers     map[dispatch.WorkerID]*assignment
	noRoomUntil clock.Time // no search until then, since no host had room
	// bestByHall holds the hosts chosen last, by the hall of the worker. A takeover assigns all
	// workers at once; examining all hosts for each of them takes four times as long in a pool of
	// twice the size.
	bestByHall map[string]cachedChoice
}

// cachedChoice is a host that stays the best one until other hosts or assignments change, or until
// validUntil, when other hosts may be usable again.
type cachedChoice struct {
	host       *host
	validUntil clock.Time
}

// host is an entry host that may be a relay.
type host struct {
	name          string
	hall          string
	strength      int // in percent of what an owner needs
	maxWorkers    int // workers that it may serve
	workers       int // that it serves
	missedResults int // consecutive orders without a result
	suspectUntil  clock.Time
}

// assignment assigns a worker to a host, or to the owner itself if host is nil.
type assignment struct {
	hall        string // of the worker
	host        *host
	misses      int // consecutive orders without a result
	directUntil clock.Time
}

// NewAssignments returns assignments without hosts and workers. linkMbps is the bandwidth of the
// owner's link in Mbit/s, 0 if it is unknown.
func NewAssignments(stopping func(host string) bool, linkMbps float64) *Assignments {
	return &Assignments{IsStopping: stopping, minWorkers: min(minWorkersForRelays, MaxWorkersForLink(linkMbps)), hosts: map[string]*host{}, workers: map[dispatch.WorkerID]*assignment{}, bestByHall: map[string]cachedChoice{}}
}

// MaxWorkersForLink returns the number of workers to which calls may be made over a link of the
// given bandwidth in Mbit/s. There is no limit for 0, which means that the bandwidth is unknown.
func MaxWorkersForLink(linkMbps float64) int {
	if linkMbps <= 0 {
		return math.MaxInt
	}
	return max(1, int(workerCallLinkShare*traffic.BytesPerSecond(linkMbps)/callBytesPerWorker))
}

// AddHost adds a host of a data hall that can make calls to at most the given number of workers,
// and to no more than MaxWorkersPerRelay. It replaces a host of the same name.
func (a *Assignments) AddHost(name, hall string, strength, most int) {
	a.hosts[name] = &host{name: name, hall: hall, strength: strength, maxWorkers: min(most, MaxWorkersPerRelay)}
	a.noRoomUntil = 0
	clear(a.bestByHall)
}

// RemoveHost removes a host that can't be reached any more.
func (a *Assignments) RemoveHost(name string) {
	delete(a.hosts, name)
	clear(a.bestByHall)
}

// AddWorker adds a worker of a data hall.
func (a *Assignments) AddWorker(id dispatch.WorkerID, hall string) {
	a.workers[id] = &assignment{hall: hall}
}

// RemoveWorker removes a worker to which no more calls are made.
func (a *Assignments) RemoveWorker(id dispatch.WorkerID) {
	if w, ok := a.workers[id]; ok {
		a.unassign(w)
		delete(a.workers, id)
	}
}

// Assign returns the host that makes the calls to a worker from now on, or "" if the owner makes
// them itself. changed reports that another host, or the owner, made the calls before, so that
// calls still on their way have to be fenced.
func (a *Assignments) Assign(id dispatch.WorkerID, now clock.Time) (name string, changed bool) {
	w, ok := a.workers[id]
	if !ok {
		return "", false
	}
	previous := w.host
	switch {
	case now < w.directUntil:
		a.unassign(w)
	case w.host == nil || !a.usable(w.host, now):
		a.unassign(w)
		w.assignTo(a.chooseHost(w.hall, now))
	}
	return w.hostName(), w.host != previous
}

// Assigned returns the host that makes the calls to a worker at present, or "" if the owner does.
func (a *Assignments) Assigned(id dispatch.WorkerID, now clock.Time) string {
	w, ok := a.workers[id]
	if !ok || w.host == nil || !a.usable(w.host, now) {
		return ""
	}
	return w.hostName()
}

// Serves reports whether a host makes the calls to at least one worker.
func (a *Assignments) Serves(name string) bool {
	h, ok := a.hosts[name]
	return ok && h.workers > 0
}

// RelayedWorkers returns the number of workers that relays serve.
func (a *Assignments) RelayedWorkers() int {
	n := 0
	for _, h := range a.hosts {
		n += h.workers
	}
	return n
}

// RecordResult records whether an order to a worker, sent through a host, had a result. After
// missesBeforeDirect consecutive orders without one the owner makes the next calls to the worker
// itself; suspected reports that the host is not used for suspectDuration from now on.
func (a *Assignments) RecordResult(id dispatch.WorkerID, name string, result bool, now clock.Time) (suspected bool) {
	h, ok := a.hosts[name]
	if !ok {
		return false
	}
	if w, ok := a.workers[id]; ok {
		w.recordResult(result, now)
	}
	if result {
		h.missedResults = 0
		return false
	}
	if h.missedResults++; h.missedResults < maxHostMisses || now < h.suspectUntil {
		return false
	}
	h.missedResults, h.suspectUntil = 0, now.Add(suspectDuration)
	return true
}

// usable reports whether a host can make calls now.
func (a *Assignments) usable(h *host, now clock.Time) bool {
	return a.hosts[h.name] == h && now >= h.suspectUntil && !a.IsStopping(h.name)
}

// chooseHost returns the host to serve one more worker of a data hall, or nil if none has room.
// Hosts of the worker's hall come first, since traffic between halls is costly and a hall that is
// cut off keeps both host and worker; then hosts of higher strength; and among equal ones a host
// that already serves more workers, so that messages carry many orders.
func (a *Assignments) chooseHost(hall string, now clock.Time) *host {
	if len(a.workers) < a.minWorkers || now < a.noRoomUntil {
		return nil
	}
	if c, ok := a.bestByHall[hall]; ok && now < c.validUntil && c.host.workers < c.host.maxWorkers && a.usable(c.host, now) {
		return c.host
	}
	best := a.bestHost(hall, now)
	if best == nil {
		a.noRoomUntil = now.Add(chooseRetryDelay)
		return nil
	}
	a.bestByHall[hall] = cachedChoice{best, now.Add(chooseRetryDelay)}
	return best
}

// bestHost examines all hosts for the one to serve one more worker of a data hall; nil if none has
// room.
func (a *Assignments) bestHost(hall string, now clock.Time) *host {
	var best *host
	for _, h := range a.hosts {
		if h.workers < h.maxWorkers && (best == nil || h.preferredOver(best, hall)) && a.usable(h, now) {
			best = h
		}
	}
	return best
}

// preferredOver reports whether a host is to be chosen rather than another one for a worker of a
// data hall.
func (h *host) preferredOver(other *host, hall string) bool {
	if near := h.hall == hall; near != (other.hall == hall) {
		return near
	}
	return cmp.Or(cmp.Compare(h.strength, other.strength), cmp.Compare(h.workers, other.workers), cmp.Compare(other.name, h.name)) > 0
}

// recordResult counts the consecutive orders without a result.
func (w *assignment) recordResult(result bool, now clock.Time) {
	if result {
		w.misses = 0
		return
	}
	if w.misses++; w.misses >= missesBeforeDirect {
		w.misses, w.directUntil = 0, now.Add(directDuration)
	}
}

// unassign removes a worker from its host, which then has room for another one.
func (a *Assignments) unassign(w *assignment) {
	if w.host != nil {
		w.host.workers--
		w.host = nil
		clear(a.bestByHall)
	}
}

func (w *assignment) assignTo(h *host) {
	if h != nil {
		h.workers++
		w.host = h
	}
}

func (w *assignment) hostName() string {
	if w.host == nil {
		return ""
	}
	return w.host.name
}
