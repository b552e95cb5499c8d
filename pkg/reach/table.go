package reach

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

// Mode is how a host handles submitted jobs: a row of the table in the package comment.
type Mode string

// The modes.
const (
	HostWrites       Mode = "own_write"
	OwnerWrites      Mode = "owner_writes"
	StoreUnavailable Mode = "store_unavailable"
	HallCutOff       Mode = "hall_cut_off"
	HostCutOff       Mode = "host_cut_off"
)

// Modes lists all modes.
func Modes() []Mode {
	return []Mode{HostWrites, OwnerWrites, StoreUnavailable, HallCutOff, HostCutOff}
}

// AcceptsJobs reports whether this host or the owner can write submitted jobs.
func (m Mode) AcceptsJobs() bool {
	return m == HostWrites || m == OwnerWrites
}

// IsReady reports whether the balancer should send callers to the host: it accepts jobs, or no other host
// can.
func (m Mode) IsReady() bool {
	return m.AcceptsJobs() || m == StoreUnavailable
}

// Reason returns why a mode refuses jobs, for logs and errors; empty if it accepts them.
func (m Mode) Reason() string {
	switch m {
	case StoreUnavailable:
		return "the store answers neither this host nor the owner"
	case HallCutOff:
		return "the store answers neither this host nor the owner, and the owner hears no other data hall"
	case HostCutOff:
		return "this host reaches neither the store nor the owner"
	}
	return ""
}

// ownerStoreMaxAge is the age of the store's last answer to the owner from which on the store counts as
// silent for the owner. The owner calls it at least every 0.4 s.
const ownerStoreMaxAge = 900 * time.Millisecond

// OwnerView is what a host knows about the owner.
type OwnerView struct {
	Responsive bool
	IsThisHost bool // the host is the owner
	// StoreAge is the time since the store last answered the owner.
	StoreAge time.Duration
	// OtherHalls is the number of other data halls with members that are responsive to the owner.
	// HallsLost is true if there are none since about the time when the store fell silent (HallContact).
	OtherHalls int
	HallsLost  bool
}

// ReachesStore reports whether the store answers the owner.
func (o OwnerView) ReachesStore() bool {
	return o.StoreAge < ownerStoreMaxAge
}

// Observation is what a host knows when it decides.
type Observation struct {
	StoreAnswers bool // to this host
	Owner        OwnerView
}

// Decide returns the mode for an observation.
func Decide(o Observation) Mode {
	switch {
	case o.StoreAnswers:
		return HostWrites
	case !o.Owner.Responsive:
		return HostCutOff
	case o.Owner.ReachesStore() && !o.Owner.IsThisHost:
		return OwnerWrites
	case o.Owner.HallsLost && o.Owner.OtherHalls == 0:
		return HallCutOff
	}
	return StoreUnavailable
}

// stableContactTime is for how long the owner must hear other halls again before a cut-off hall counts as
// connected while the store is silent. It is as long as the balancer needs to take a host out of service,
// so that an unstable link does not make callers switch back and forth.
const stableContactTime = 2 * time.Second

// ModeTracker tracks the mode of a host. A cut-off hall changes at once to a mode that accepts jobs, or
// to HostCutOff if the owner is lost too. It changes to StoreUnavailable, which refuses jobs but reports
// ready, only after stableContactTime.
type ModeTracker struct {
	mode Mode
	// contactSince is since when Decide has returned StoreUnavailable instead of HallCutOff; 0 if it has
	// not.
	contactSince clock.Time
}

// Update returns the mode in force for a new observation.
func (t *ModeTracker) Update(o Observation, now clock.Time) Mode {
	mode := Decide(o)
	if t.mode != HallCutOff || mode != StoreUnavailable {
		t.mode, t.contactSince = mode, 0
		return mode
	}
	if t.contactSince == 0 {
		t.contactSince = now
	}
	if now.Sub(t.contactSince) >= stableContactTime {
		t.mode, t.contactSince = mode, 0
	}
	return t.mode
}
