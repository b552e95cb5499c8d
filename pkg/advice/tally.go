package advice

import (
	"time"

	"foldarch.dev/foldarch/pkg/worth"
)

// TicketEnd says how a ticket ended that a call brought.
type TicketEnd int

// The ends of tickets.
const (
	// TicketUsed: one start or more went out with it.
	TicketUsed TicketEnd = iota
	// TicketNoRoom: its worker had no room when it was named, so that later calls need not learn of it, and has none now.
	TicketNoRoom
	// TicketRoomTaken: its worker had room when it was named, and has none now.
	TicketRoomTaken
	// TicketQuota: the customer's quota lets no task of the step start.
	TicketQuota
	// TicketGangShort: its worker has room, and the gang lacks other members.
	TicketGangShort
	// TicketExpired: the step waits, and its worker has room.
	TicketExpired
	// TicketStepDone: all tasks of the step were started without it, or the job has ended.
	TicketStepDone
	ticketEnds
)

var ticketEndNames = [ticketEnds]string{"used", "no_room", "room_taken", "quota", "gang_short", "expired", "step_done"}

const standings = worth.Worthless - worth.Overdue + 1

var standingNames = [standings]string{"overdue", "in_time", "late", "beyond", "worthless"}

// Tally counts what calls for advice have taken and brought, since the owner began. NewTally makes it.
type Tally struct {
	calls    int64
	failed   int64
	starts   int64
	tickets  [ticketEnds]int64
	spent    [standings]time.Duration
	starving time.Duration
	byName   map[string]time.Duration
}

// NewTally returns a tally of nothing.
func NewTally() *Tally {
	return &Tally{byName: map[string]time.Duration{}}
}

// CallOver is a call that was answered, or has failed.
type CallOver struct {
	Customer string
	// Standing is that of the step when the call was made, and Starving says that it had waited too long by then.
	Standing worth.Standing
	Starving bool
	Took     time.Duration
	OK       bool
}

// AddCall takes in a call that is over.
func (t *Tally) AddCall(c CallOver) {
	t.calls++
	if !c.OK {
		t.failed++
	}
	t.spent[c.Standing-worth.Overdue] += c.Took
	if c.Starving {
		t.starving += c.Took
	}
	t.byName[c.Customer] += c.Took
}

// AddStart takes in that a start goes out with a ticket.
func (t *Tally) AddStart() {
	t.starts++
}

// AddTickets takes in how a number of tickets ended.
func (t *Tally) AddTickets(end TicketEnd, n int) {
	t.tickets[end] += int64(n)
}

// Tickets is how many tickets ended in a way.
func (t *Tally) Tickets(end TicketEnd) int64 {
	return t.tickets[end]
}

// Starts is how many starts went out with tickets.
func (t *Tally) Starts() int64 {
	return t.starts
}

// Calls is how many calls are over.
func (t *Tally) Calls() int64 {
	return t.calls
}

// Spent is what calls have taken for steps of a standing.
func (t *Tally) Spent(s worth.Standing) time.Duration {
	return t.spent[s-worth.Overdue]
}

// SpentFor is what calls have taken for a customer's steps.
func (t *Tally) SpentFor(customer string) time.Duration {
	return t.byName[customer]
}

// Figures are the totals by name, times in milliseconds.
func (t *Tally) Figures() map[string]int64 {
	out := map[string]int64{
		"advice_calls_over": t.calls, "advice_calls_failed": t.failed, "advice_starts": t.starts, "advice_ms_starving": t.starving.Milliseconds(),
	}
	for end, n := range t.tickets {
		out["advice_tickets_"+ticketEndNames[end]] = n
	}
	for s, spent := range t.spent {
		out["advice_ms_"+standingNames[s]] = spent.Milliseconds()
	}
	return out
}
