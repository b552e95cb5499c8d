package dispatch

// claimRoom takes in for the rest of the plan what the calls under way for a step are expected to use of the room. Gangs claim none: most of
// their calls find too few members, and room that was kept for them stood idle in a burst.
func (p *Pool) claimRoom(s *step) {
	if s.spec.Gang {
		return
	}
	expects := 0.0
	for _, a := range s.advice.pending {
		expects += a.expects
	}
	if expects > 0 {
		p.advice.claims.Add(s.time.job.queue.Pool, min(expects, float64(p.startable(s))), p.shareOf(s))
	}
}

// roomClaimed says that steps whose turns were earlier in the plan are expected to use all of the room that a step could use. The few tasks of
// a small step find room beside them.
func (p *Pool) roomClaimed(s *step, room float64) bool {
	if p.without(AdviceClaims) || !s.spec.Gang && s.waiting() <= fewTasks {
		return false
	}
	workers := p.load(s.time.job.queue.Pool).workers
	usable := 1 - float64(len(s.advice.denied))/float64(max(workers, len(s.advice.denied), 1))
	return room <= p.advice.claims.Tasks(s.time.job.queue.Pool, p.shareOf(s), usable)
}

// shareOf is the part of its pool that a task of a step takes.
func (p *Pool) shareOf(s *step) float64 {
	return s.spec.Need().DominantShare(p.load(s.time.job.queue.Pool).capacity)
}
