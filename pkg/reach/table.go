package reach

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

// Row is a row of the table.
type Row string

// The rows.
const (
	OwnWrite         Row = "own_write"
	OwnerWrites      Row = "owner_writes"
	StoreUnavailable Row = "store_unavailable"
	HallCutOff       Row = "hall_cut_off"
	HostCutOff       Row = "host_cut_off"
)

// Rows lists all rows.
func Rows() []Row {
	return []Row{OwnWrite, OwnerWrites, StoreUnavailable, HallCutOff, HostCutOff}
}

// Open says that somebody can write what is handed in.
func (r Row) Open() bool {
	return r == OwnWrite || r == OwnerWrites
}

// Ready says that the host should be sent callers: it takes in jobs, or no other host can do better.
func (r Row) Ready() bool {
	return r.Open() || r == StoreUnavailable
}

// Reason is why a closed row refuses, for logs and errors.
func (r Row) Reason() string {
	switch r {
	case StoreUnavailable:
		return "the store answers neither this host nor the owner"
	case HallCutOff:
		return "the store answers neither this host nor the owner, and the owner hears no other data hall"
	case HostCutOff:
		return "this host reaches neither the store nor the owner"
	}
	return ""
}

// ownerStoreSilence is from when on the store counts as silent for the owner, which calls it every 0.4 s at least.
const ownerStoreSilence = 900 * time.Millisecond

// Owner is what a host knows of the owner.
type Owner struct {
	Heard bool
	Self  bool // the host is the owner
	// StoreAge is how long ago the store answered the owner.
	StoreAge time.Duration
	// OtherHalls is of how many data halls but its own the owner hears members, and HallsLost says that it
	// hears none since about when the store fell silent (Contact).
	OtherHalls int
	HallsLost  bool
}

// StoreAnswers says that the store answers the owner.
func (o Owner) StoreAnswers() bool {
	return o.StoreAge < ownerStoreSilence
}

// View is what a host knows when it decides.
type View struct {
	StoreAnswers bool // this host
	Owner        Owner
}

// Decide returns the row that a view is in.
func Decide(v View) Row {
	switch {
	case v.StoreAnswers:
		return OwnWrite
	case !v.Owner.Heard:
		return HostCutOff
	case v.Owner.StoreAnswers() && !v.Owner.Self:
		return OwnerWrites
	case v.Owner.HallsLost && v.Owner.OtherHalls == 0:
		return HallCutOff
	}
	return StoreUnavailable
}

// steadyContact is for how long the owner must hear other halls again before a hall that was cut off counts as connected while the store is silent:
// as long as the balancer takes to take a host out, so that a link that comes and goes does not move callers to and fro.
const steadyContact = 2 * time.Second

// Gate follows the row of a host. A hall that was cut off leaves that row at once for one that is open, or when the owner is lost too,
// but only after steadyContact to refuse while it reports ready.
type Gate struct {
	row     Row
	contact clock.Time // since when Decide differs from the row of a hall that was cut off; 0 when it does not
}

// Row returns the row in force.
func (g *Gate) Row(v View, now clock.Time) Row {
	row := Decide(v)
	if g.row != HallCutOff || row != StoreUnavailable {
		g.row, g.contact = row, 0
		return row
	}
	if g.contact == 0 {
		g.contact = now
	}
	if now.Sub(g.contact) >= steadyContact {
		g.row, g.contact = row, 0
	}
	return g.row
}
