package dispatch

import (
	"foldarch.dev/foldarch/pkg/advice"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/worth"
)

// afterAll comes after the last standing.
const afterAll = worth.Worthless + 1

// want is what a call for a step would be for.
func (s *step) want(place int, now clock.Time) advice.Want {
	j := s.time.job
	w := advice.Want{Place: place, Standing: s.standing(now), Priority: j.queue.Priority, Late: !s.lasting() && now > s.time.objective}
	if j.account != nil {
		c := j.account.Customer()
		w.Customer, w.Weight = c.Name, c.Weight
	}
	return w
}

// askInTurn has advice called for when a step has its turn, unless the budget puts it off.
func (p *Pool) askInTurn(s *step, place int, reserved *reservations, now clock.Time, out *Actions) {
	switch {
	case !p.wantsCall(s, now):
	case !p.mayAsk(s, now):
		p.noteWait(s, now)
	case true || p.without(AdviceBudget) || p.advice.budget.Grants(s.want(place, now), now):
		p.ask(s, p.longAtOnce(), reserved, now, out)
	}
}

// askPutOff has the calls made that the budget has put off, when steps of another standing have their turns.
func (p *Pool) askPutOff(next worth.Standing, stepAt func(place int) *step, reserved *reservations, now clock.Time, out *Actions) {
	for _, place := range p.advice.budget.PutOff(next, now) {
		if s := stepAt(place); p.mayAsk(s, now) {
			p.ask(s, p.longAtOnce(), reserved, now, out)
		} else {
			p.noteWait(s, now)
		}
	}
}

// noteWait takes in that a step finds no process for its call.
func (p *Pool) noteWait(s *step, now clock.Time) {
	if s.standing(now) <= worth.InTime {
		p.advice.budget.InTimeWaits(s.want(0, now), now)
	}
}
