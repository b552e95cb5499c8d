package reach

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

// Mode is how a host handles submitted jobs: a row of the table in the package comment.
type Row string

// The modes.
const (
	OwnWrite         Row = "own_write"
	OwnerWrites      Row = "owner_writes"
	StoreUnavailable Row = "store_unavailable"
	HallCutOff       Row = "hall_cut_off"
	HostCutOff       Row = "host_cut_off"
)

// Modes lists all modes.
func Rows() []Row {
	return []Row{OwnWrite, OwnerWrites, StoreUnavailable, HallCutOff, HostCutOff}
}

// AcceptsJobs reports whether this host or the owner can write submitted jobs.
func (m Row) Open() bool {
	return m == OwnWrite || m == OwnerWrites
}

// IsReady reports whether the balancer should send callers to the host: it accepts jobs, or no other host
// can.
func (m Row) Ready() bool {
	return m.Open() || m == StoreUnavailable
}

// Reason returns why a mode refuses jobs, for logs and errors; empty if it accepts them.
func (m Row) Reason() string {
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
const ownerStoreSilence = 900 * time.Millisecond

// OwnerView is what a host knows about the owner.
type Owner struct {
	Heard bool
	Self  bool // the host is the owner
	// StoreAge is the time since the store last answered the owner.
	StoreAge time.Duration
	// OtherHalls is the number of other data halls with members that are responsive to the owner.
	// HallsLost is true if there are none since about the time when the store fell silent (HallContact).
	OtherHalls int
	HallsLost  bool
}

// ReachesStore reports whether the store answers the owner.
func (o Owner) StoreAnswers() bool {
	return o.StoreAge < ownerStoreSilence
}

// Observation is what a host knows when it decides.
type View struct {
	StoreAnswers bool // to this host
	Owner        Owner
}

// Decide returns the mode for an observation.
func Decide(o View) Row {
	switch {
	case o.StoreAnswers:
		return OwnWrite
	case !o.Owner.Heard:
		return HostCutOff
	case o.Owner.StoreAnswers() && !o.Owner.Self:
		return OwnerWrites
	case o.Owner.HallsLost && o.Owner.OtherHalls == 0:
		return HallCutOff
	}
	return StoreUnavailable
}

// stableContactTime is for how long the owner must hear other halls again before a cut-off hall counts as
// connected while the store is silent. It is as long as the balancer needs to take a host out of service,
// so that an unstable link does not make callers switch back and forth.
const steadyContact = 2 * time.Second

// ModeTracker tracks the mode of a host. A cut-off hall changes at once to a mode that accepts jobs, or
// to HostCutOff if the owner is lost too. It changes to StoreUnavailable, which refuses jobs but reports
// ready, only after stableContactTime.
type Gate struct {
	row     Row
	contact clock.Time // since when Decide has returned StoreUnavailable instead of HallCutOff; 0 if it has not
}

// Update returns the mode in force for a new observation.
func (t *Gate) Row(o View, now clock.Time) Row {
	row := Decide(o)
	if t.row != HallCutOff || row != StoreUnavailable {
		t.row, t.contact = row, 0
		return row
	}
	if t.contact == 0 {
		t.contact = now
	}
	if now.Sub(t.contact) >= steadyContact {
		t.row, t.contact = row, 0
	}
	return t.row
}
