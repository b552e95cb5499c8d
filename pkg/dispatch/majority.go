package dispatch

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

// AnsweringCount counts the workers whose answers prove that no later owner has fenced most workers, of polls
// sent less than the given time ago, and all workers that count for that.
//
// An incarnation has not seen the tokens that the one before it has seen. So one that succeeds another counts as
// answering only once the ownership was confirmed after it had become known: a later owner, if there is one, was
// elected after that and has to fence this incarnation. In the same way one that has ended, and whose entry is still
// there, counts among all workers until the ownership is confirmed: a later owner may have fenced it before. If only
// that is missing, a confirmation is requested.
func (p *Pool) AnsweringCount(now clock.Time, within time.Duration) (answering, all int) {
	for _, w := range p.workers {
		mayBeFenced := w.succeedsAnother && p.ownershipConfirmedAt < w.discoveredAt
		switch {
		case w.terminated && w.hasEntry && p.ownershipConfirmedAt < w.terminatedAt:
			p.needsOwnershipCheck = true
		case w.terminated || w.hasNothing():
			continue
		case !w.hasAnsweredWithin(within, now):
		case mayBeFenced:
			p.needsOwnershipCheck = true
		default:
			answering++
		}
		all++
	}
	return answering, all
}

// FencedCount counts the workers that have accepted this owner's token in answer to a poll sent less than the given
// time ago, and all workers that have an entry or may run something. It includes what AnsweringCount leaves out: such
// a worker proves nothing about later owners, but rejects previous ones.
func (p *Pool) FencedCount(now clock.Time, within time.Duration) (fenced, all int) {
	for _, w := range p.workers {
		if w.terminated || w.hasNothing() {
			continue
		}
		all++
		if w.hasAnsweredWithin(within, now) {
			fenced++
		}
	}
	return fenced, all
}

// hasNothing reports whether the worker has neither an entry nor runs. One that has not answered may have runs, and
// one that succeeds another may have an entry that has not been read.
func (w *worker) hasNothing() bool {
	mayHaveEntry := w.hasEntry || w.succeedsAnother && w.history.lastEntry != w.info.ID
	return !mayHaveEntry && len(w.runs) == 0 && w.fenced
}

// hasAnsweredWithin reports whether the worker has answered a poll sent less than the given time ago.
func (w *worker) hasAnsweredWithin(d time.Duration, now clock.Time) bool {
	return w.fenced && now.Sub(w.lastAnsweredPollSentAt) < d
}
