package dispatch

import (
	"testing"
)

// Guards against a worker that restarts under its name and is taken for its previous incarnation. The
// next one knows nothing of before: its clock, its end numbers and the fencing token that it has seen
// start anew. An owner once took the two for one. It skipped the ends that it read, since their numbers
// were below the highest seen, and acknowledged them; and it did not apply the absence of runs from a
// report whose clock was below the highest seen. So tasks that were done ran again, and what was counted
// on the previous incarnation was never released:
//
//	10.0 s  pool.run_ended.lost 119, pool.worker_gone 0, 17 of 48 workers back under their names since 6.0 s
//	108.7 s pool_status runs=2047 used="cpu=4971950m" waiting=2595, with most of the workers' room free
func TestNextLifeUnderAnIDIsAnotherWorker(t *testing.T) {
	for name, test := range map[string]func(*testing.T){
		"its ends count from its first":                                         endsOfNextLifeCount,
		"its clock may be behind":                                               clockOfNextLifeIsBelow,
		"a gang with a member on the previous incarnation restarts":             gangGoesAgain,
		"a service restarts":                                                    lastingTaskGoesAgain,
		"an unread end is not acknowledged":                                     noEndIsNotedUnseen,
		"a poll for an incarnation that may have ended":                         holdForDoubtedLife,
		"a late poll for the previous incarnation":                              lateHoldOfFormerLife,
		"a late poll for a terminated incarnation":                              lateHoldOfLapsedLife,
		"an unanswered start may run there":                                     unansweredStartRunsOnNextLife,
		"an unanswered start is invalidated by a higher token":                  unansweredStartIsVoidOnNextLife,
		"a start that it answered may run there":                                answeredStartRunsOnNextLife,
		"a cancelled start that it carried out is stopped":                      cancelledStartOnNextLifeIsStopped,
		"a stop that the previous incarnation did not get":                      stopOnNextLife,
		"gang members that it started continue":                                 gangOnNextLifeGoesOn,
		"its report comes before its entry":                                     listBeforeEntry,
		"its entry comes before its report":                                     entryBeforeList,
		"late answers of the previous incarnation":                              lateAnswersOfFormerLife,
		"late entries of the previous incarnation":                              lateEntriesOfFormerLife,
		"several incarnations within a heartbeat":                               severalLives,
		"the report of an ended incarnation comes late":                         lateListOfEndedLife,
		"a report delayed past the entry of the next one":                       listHeldUp,
		"a start on an incarnation that stops answering at once":                silentNextLife,
		"a start on an incarnation that stops answering at once, with an entry": silentNextLifeWithEntry,
		"neither of two incarnations answers":                                   noLifeAnswers,
		"it may have less capacity":                                             nextLifeHoldsLess,
		"no start after a failed poll, since it may have less capacity":         nextLifeTakesNoOrder,
		"it does not drain and is not suspended":                                nextLifeIsNotSuspended,
		"tokens rise with each incarnation":                                     tokensRise,
		"tickets are for one incarnation":                                       ticketsAreOfOneLife,
		"a crash under a task is counted":                                       crashIsCounted,
		"a crash after an outdated entry is counted":                            crashIsCountedAfterOldEntry,
		"deadlines by the clock of the previous incarnation":                    leasesOnNextLife,
		"the maximum of tasks per worker":                                       spreadOverLives,
		"its entry is removed":                                                  entryOfNextLifeGoes,
		"a takeover while it starts":                                            takeoverMeetsNextLife,
		"a takeover without its entry":                                          takeoverWithoutEntry,
		"a takeover with stored starts on the previous incarnation":             takeoverReadsAttempts,
		"its machine is cordoned":                                               closedByName,
	} {
		t.Run(name, test)
	}
}
