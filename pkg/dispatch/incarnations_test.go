package dispatch

import (
	"testing"
)

// A worker that has crashed may start again under the id that it had, and then knows nothing of before: its clock, its numbers of
// ends and the fencing token that it has seen begin anew. An owner took the next life for the former one. It passed over the ends that it
// read, since their numbers were below the highest seen, and told the worker to forget them; a report whose clock was below the highest
// seen said nothing of what was missing. So tasks that were done ran again, and what was counted on the former life was counted for ever:
//
//	10.0 s  pool.run_ended.lost 119, pool.worker_gone 0, 17 of 48 workers back under their ids since 6.0 s
//	108.7 s pool_status runs=2047 used="cpu=4971950m" waiting=2595, with most of the workers' room free
func TestNextLifeUnderAnIDIsAnotherWorker(t *testing.T) {
	for name, test := range map[string]func(*testing.T){
		"its ends count from the first":                      endsOfNextLifeCount,
		"its clock may be below":                             clockOfNextLifeIsBelow,
		"a gang with a member on the former life goes again": gangGoesAgain,
		"a lasting task goes again":                          lastingTaskGoesAgain,
		"no end is noted unseen":                             noEndIsNotedUnseen,
		"a hold for a life that may have ended":              holdForDoubtedLife,
		"a late hold for the former life":                    lateHoldOfFormerLife,
		"a late hold for one that was taken for gone":        lateHoldOfLapsedLife,
		"a start without an answer may run there":            unansweredStartRunsOnNextLife,
		"a start without an answer is void once fenced":      unansweredStartIsVoidOnNextLife,
		"a start that it answered may run there":             answeredStartRunsOnNextLife,
		"a cancelled start that it took is stopped":          cancelledStartOnNextLifeIsStopped,
		"a stop that the former life did not get":            stopOnNextLife,
		"the members of a gang that it took go on":           gangOnNextLifeGoesOn,
		"it is told by its own list before its entry":        listBeforeEntry,
		"its entry comes before its list":                    entryBeforeList,
		"late answers of the former life":                    lateAnswersOfFormerLife,
		"late entries of the former life":                    lateEntriesOfFormerLife,
		"several lives within a heartbeat":                   severalLives,
		"the list of a life that has ended comes late":       lateListOfEndedLife,
		"a list that was held up":                            listHeldUp,
		"a start on a life that falls silent at once":        silentNextLife,
		"the same with an entry":                             silentNextLifeWithEntry,
		"none of two lives answers":                          noLifeAnswers,
		"it may hold less":                                   nextLifeHoldsLess,
		"it may hold less and take an order at once":         nextLifeTakesNoOrder,
		"it is not drained or suspended":                     nextLifeIsNotSuspended,
		"tokens rise from life to life":                      tokensRise,
		"tickets are of one life":                            ticketsAreOfOneLife,
		"a crash under a task is counted":                    crashIsCounted,
		"a crash is counted after an old entry":              crashIsCountedAfterOldEntry,
		"leases of the former owner there":                   leasesOnNextLife,
		"tasks that one worker holds at most":                spreadOverLives,
		"its entry goes":                                     entryOfNextLifeGoes,
		"an owner that takes over while it starts":           takeoverMeetsNextLife,
		"an owner that takes over without its entry":         takeoverWithoutEntry,
		"an owner that reads of starts on the former life":   takeoverReadsAttempts,
		"an owner that has told a machine to leave":          closedByName,
	} {
		t.Run(name, test)
	}
}
