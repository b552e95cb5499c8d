package poolowner

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/reach"
)

// hallCountInterval is the minimum time between two counts of the halls. The counts are needed for each
// heartbeat to each of hundreds of members.
const hallsEvery = 100 * time.Millisecond

// hallContact is which other data halls the owner has contact with.
type halls struct {
	contact   reach.Contact
	countedAt clock.Time
}

// Reach returns the state of the owner's connections to the store and to other halls.
func (o *Owner) Reach() reach.Owner {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.reach()
}

// reach is Reach for callers that hold o.mu.
func (o *Owner) reach() reach.Owner {
	now := o.deps.Clock.Now()
	if now.Sub(o.halls.countedAt) >= hallsEvery {
		o.countHalls(now)
	}
	age := o.deps.StoreAge()
	return reach.Owner{Heard: true, StoreAge: age, OtherHalls: o.halls.contact.Halls(), HallsLost: o.halls.contact.Lost(age, now)}
}

// countHalls counts the other halls from which heartbeats of members arrive. The caller holds o.mu.
func (o *Owner) countHalls(now clock.Time) {
	heard := map[string]bool{}
	for _, m := range o.members {
		if !o.elsewhere(m) {
			continue
		}
		o.heardOf(m)
		if m.StatusAge(now) < reach.SilenceOf(m.Heartbeat()) {
			heard[m.Status().Hall] = true
		}
	}
	o.halls.contact.Count(len(heard), now)
	o.halls.countedAt = now
}

// recordContact records when a member of another hall was last heard. The caller holds o.mu.
func (o *Owner) heardOf(m *member) {
	if o.elsewhere(m) {
		o.halls.contact.HeardAt(m.StatusAt())
	}
}

// isInOtherHall returns whether a member is in another data hall than the owner. It is false for a
// member that does not report its hall, since it may be in any.
func (o *Owner) elsewhere(m *member) bool {
	hall := m.Status().Hall
	return hall != "" && o.deps.Hall != "" && hall != o.deps.Hall
}
