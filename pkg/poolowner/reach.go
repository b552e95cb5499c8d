package poolowner

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/reach"
)

// hallsEvery is how often the halls that are heard are counted anew at most: each heartbeat to each of hundreds of members tells them.
const hallsEvery = 100 * time.Millisecond

// halls are the data halls that the owner hears.
type halls struct {
	contact   reach.Contact
	countedAt clock.Time
}

// Reach tells whom the owner reaches.
func (o *Owner) Reach() reach.Owner {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.reach()
}

// reach tells whom the owner reaches. The caller holds o.mu.
func (o *Owner) reach() reach.Owner {
	now := o.deps.Clock.Now()
	if now.Sub(o.halls.countedAt) >= hallsEvery {
		o.countHalls(now)
	}
	age := o.deps.StoreAge()
	return reach.Owner{Heard: true, StoreAge: age, OtherHalls: o.halls.contact.Halls(), HallsLost: o.halls.contact.Lost(age, now)}
}

// countHalls counts the halls but the owner's of which members are heard. The caller holds o.mu.
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

// heardOf takes in when a member of another hall was heard last. The caller holds o.mu.
func (o *Owner) heardOf(m *member) {
	if o.elsewhere(m) {
		o.halls.contact.HeardAt(m.StatusAt())
	}
}

// elsewhere says that a member is in another data hall than the owner. A member that does not tell its hall may be in any.
func (o *Owner) elsewhere(m *member) bool {
	hall := m.Status().Hall
	return hall != "" && o.deps.Hall != "" && hall != o.deps.Hall
}
