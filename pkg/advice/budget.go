package advice

import (
	"cmp"
	"math"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/worth"
)

const (
	// useFades is the time in which the seconds of calls that a customer has used fade to a part of 1/e. The longest calls take 1.7 s.
	useFades = 2 * time.Second
	// wantsFor is for how long a customer counts among those that share the processes after it has wanted a call last, and for how long
	// the bound on calls for late work holds after work in time has found no process. Plans follow each other within 50 ms.
	wantsFor = time.Second
	// forgetAfter times useFades after its last call, a customer has nothing left of what it used.
	forgetAfter = 10
	// lateParts is the number of parts of the processes of which one, at most, makes calls for work that is late or worth nothing any more
	// while work in time waits.
	lateParts = 4
)

// Want is what a call is wanted for.
type Want struct {
	// Place is that of the step in the order of the plan.
	Place    int
	Standing worth.Standing
	// Customer is empty where the configuration names none: shares have no effect then.
	Customer string
	Weight   float64
	Priority int
	// Late says that the work can't end in time any more.
	Late bool
}

// Budget decides which of the steps that want a call get one now. Steps are offered in their order: by standing, priority and latest start.
// One whose customer has used more than its share of the processes is put off behind the others of its standing; late work
// gets a part of the processes while work in time waits. NewBudget makes it.
//
// What is counted is the time of calls, since that of one queue's call is up to a hundred times that of another's. A customer's work of lower
// priorities does not count against what it wants a call for, so that its wide gangs don't put off its short jobs.
type Budget struct {
	processes int
	late      int // calls for late work on their way
	// inTimeWaited is when work in time found no process last.
	inTimeWaited clock.Time
	users        map[string]*user
	weights      float64 // of the customers that have wanted calls lately
	// putOff are what calls of one standing are wanted for that come after the others.
	putOff   []Want
	standing worth.Standing
}

// user is a customer with the calls that it has used.
type user struct {
	weight   float64
	wantedAt clock.Time
	// used are the seconds of calls by priority, as they stood at a time.
	used map[int]float64
	at   clock.Time
}

// NewBudget returns a budget of which nothing is used.
func NewBudget() *Budget {
	return &Budget{users: map[string]*user{}}
}

// Begin takes in at the begin of a plan how many processes can make calls.
func (b *Budget) Begin(processes int, now clock.Time) {
	b.processes, b.weights = processes, 0
	b.putOff, b.standing = b.putOff[:0], worth.Overdue
	for name, u := range b.users {
		switch unwanted := now.Sub(u.wantedAt); {
		case unwanted <= wantsFor:
			b.weights += u.weight
		case unwanted > forgetAfter*useFades:
			delete(b.users, name)
		}
	}
}

// Grants says whether a step that wants a call gets one now. Otherwise it may get one with PutOff.
func (b *Budget) Grants(w Want, now clock.Time) bool {
	u := b.wanted(w, now)
	switch {
	case w.Late && b.late >= b.mostLate(now):
		return false
	case b.exceeds(u, w, now):
		b.putOff = append(b.putOff, w)
		return false
	}
	return true
}

// GrantsStarving says whether a step gets a call before its turn that has waited too long. Late ones, and those of customers beyond their shares,
// have the bounded part of the processes for it while work in time waits: all are served at last, and the others' work does not wait for a backlog.
func (b *Budget) GrantsStarving(w Want, now clock.Time) bool {
	return !b.Bounded(w, now) || b.late < b.mostLate(now)
}

// Bounded says that the calls for a starving step are bounded while work in time waits.
func (b *Budget) Bounded(w Want, now clock.Time) bool {
	return b.exceeds(b.wanted(w, now), w, now) || w.Late
}

func (b *Budget) exceeds(u *user, w Want, now clock.Time) bool {
	return u != nil && u.usedFor(w.Priority, now) > b.share(u)
}

// PutOff returns, when the steps of another standing have their turns, the places of those of the former one that were put off, in the order
// in which they get calls: by priority, and then those first whose customers have used least for their weight.
func (b *Budget) PutOff(next worth.Standing, now clock.Time) []int {
	if next == b.standing {
		return nil
	}
	b.standing = next
	ratio := func(w Want) float64 {
		u := b.users[w.Customer]
		return u.usedFor(w.Priority, now) / max(u.weight, minWeight)
	}
	slices.SortFunc(b.putOff, func(x, y Want) int {
		return cmp.Or(cmp.Compare(x.Priority, y.Priority), cmp.Compare(ratio(x), ratio(y)), cmp.Compare(x.Place, y.Place))
	})
	places := make([]int, 0, len(b.putOff))
	for _, w := range b.putOff {
		places = append(places, w.Place)
	}
	b.putOff = b.putOff[:0]
	return places
}

// InTimeWaits takes in that work in time finds no free process.
func (b *Budget) InTimeWaits(w Want, now clock.Time) {
	b.inTimeWaited = now
	b.wanted(w, now)
}

// wanted takes in that a customer wants a call, and returns what it has used; nil for nobody's work.
func (b *Budget) wanted(w Want, now clock.Time) *user {
	if w.Customer == "" {
		return nil
	}
	u := b.users[w.Customer]
	if u == nil {
		u = &user{used: map[int]float64{}, at: now}
		b.users[w.Customer] = u
	}
	if u.wantedAt == 0 || now.Sub(u.wantedAt) > wantsFor {
		b.weights += w.Weight
	}
	u.weight, u.wantedAt = w.Weight, now
	return u
}

// share is how many seconds of calls a customer may have used.
func (b *Budget) share(u *user) float64 {
	if b.weights <= 0 {
		return math.Inf(1)
	}
	return u.weight / b.weights * float64(b.processes) * useFades.Seconds()
}

// usedFor is what a customer has used for work of a priority and more urgent work.
func (u *user) usedFor(priority int, now clock.Time) float64 {
	u.fade(now)
	sum := 0.0
	for p, used := range u.used {
		if p <= priority {
			sum += used
		}
	}
	return sum
}

func (u *user) fade(now clock.Time) {
	if now <= u.at {
		return
	}
	part := math.Exp(-now.Sub(u.at).Seconds() / useFades.Seconds())
	for p := range u.used {
		u.used[p] *= part
	}
	u.at = now
}

// mostLate is how many calls for late work may be on their way.
func (b *Budget) mostLate(now clock.Time) int {
	if b.inTimeWaited == 0 || now.Sub(b.inTimeWaited) > wantsFor {
		return math.MaxInt
	}
	return max(b.processes/lateParts, 1)
}

// Sent takes in that a call is made that takes a time.
func (b *Budget) Sent(w Want, cost time.Duration, now clock.Time) {
	if w.Late {
		b.late++
	}
	if u := b.wanted(w, now); u != nil {
		u.fade(now)
		u.used[w.Priority] += cost.Seconds()
	}
}

// Over takes in that a call was answered or has failed.
func (b *Budget) Over(w Want) {
	if w.Late {
		b.late--
	}
}

// minWeight stands for a weight of 0, with which a customer comes after all others.
const minWeight = 1e-9
