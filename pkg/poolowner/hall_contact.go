package poolowner

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/reach"
)

// hallCountInterval is the minimum time between two counts of the halls. The counts are needed for each
// heartbeat to each of hundreds of members.
const hallCountInterval = 100 * time.Millisecond

// hallContact is which other data halls the owner has contact with.
type hallContact struct {
	contact   reach.HallContact
	countedAt clock.Time
}

// Reach returns the state of the owner's connections to the store and to other halls.
func (o *Owner) Reach() reach.OwnerView {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.reach()
}

// reach is Reach for callers that hold o.mu.
func (o *Owner) reach() reach.OwnerView {
	now := o.deps.Clock.Now()
	if now.Sub(o.hallContact.countedAt) >= hallCountInterval {
		o.countHalls(now)
	}
	age := o.deps.StoreAge()
	return reach.OwnerView{Responsive: true, StoreAge: age, OtherHalls: o.hallContact.contact.HallCount(), HallsLost: o.hallContact.contact.HasLostHalls(age, now)}
}

// countHalls counts the other halls from which heartbeats of members arrive. The caller holds o.mu.
func (o *Owner) countHalls(now clock.Time) {
	heard := map[string]bool{}
	for _, m := range o.members {
		if !o.isInOtherHall(m) {
			continue
		}
		o.recordContact(m)
		if m.StatusAge(now) < reach.SilenceTimeout(m.HeartbeatInterval()) {
			heard[m.Status().Hall] = true
		}
	}
	o.hallContact.contact.RecordHallCount(len(heard), now)
	o.hallContact.countedAt = now
}

// recordContact records when a member of another hall was last heard. The caller holds o.mu.
func (o *Owner) recordContact(m *member) {
	if o.isInOtherHall(m) {
		o.hallContact.contact.RecordHeard(m.StatusAt())
	}
}

// isInOtherHall reports whether a member is in another data hall than the owner. It is false for a
// member that does not report its hall, since it may be in any.
func (o *Owner) isInOtherHall(m *member) bool {
	hall := m.Status().Hall
	return hall != "" && o.deps.Hall != "" && hall != o.deps.Hall
}
