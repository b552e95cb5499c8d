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
func TestNextIncarnationIsAnotherWorker(t *testing.T) {
	for name, test := range map[string]func(*testing.T){
		"its ends count from its first":                                         testEndsOfNextIncarnation,
		"its clock may be behind":                                               testClockOfNextIncarnation,
		"a gang with a member on the previous incarnation restarts":             testGangRestarts,
		"a service restarts":                                                    testServiceRestarts,
		"an unread end is not acknowledged":                                     testUnreadEndIsNotAcknowledged,
		"a poll for an incarnation that may have ended":                         testPollOfPossiblyEndedIncarnation,
		"a late poll for the previous incarnation":                              testLatePollOfPreviousIncarnation,
		"a late poll for a terminated incarnation":                              testLatePollOfTerminatedIncarnation,
		"an unanswered start may run there":                                     testUnansweredStartRunsOnNextIncarnation,
		"an unanswered start is invalidated by a higher token":                  testUnansweredStartIsInvalidated,
		"a start that it answered may run there":                                testAnsweredStartRunsOnNextIncarnation,
		"a cancelled start that it carried out is stopped":                      testCancelledStartIsStopped,
		"a stop that the previous incarnation did not get":                      testStopIsRepeatedOnNextIncarnation,
		"gang members that it started continue":                                 testGangContinuesOnNextIncarnation,
		"its report comes before its entry":                                     testReportBeforeEntry,
		"its entry comes before its report":                                     testEntryBeforeReport,
		"late answers of the previous incarnation":                              testLateAnswersOfPreviousIncarnation,
		"late entries of the previous incarnation":                              testLateEntriesOfPreviousIncarnation,
		"several incarnations within a heartbeat":                               testSeveralIncarnationsWithinAHeartbeat,
		"the report of an ended incarnation comes late":                         testLateReportOfEndedIncarnation,
		"a report delayed past the entry of the next one":                       testReportDelayedPastNextEntry,
		"a start on an incarnation that stops answering at once":                testSilentNextIncarnation,
		"a start on an incarnation that stops answering at once, with an entry": testSilentNextIncarnationWithEntry,
		"neither of two incarnations answers":                                   testNoIncarnationAnswers,
		"it may have less capacity":                                             testNextIncarnationIsSmaller,
		"no start after a failed poll, since it may have less capacity":         testNoStartAfterAFailedPoll,
		"it does not drain and is not suspended":                                testNextIncarnationIsNotSuspended,
		"tokens rise with each incarnation":                                     testTokensRise,
		"tickets are for one incarnation":                                       testTicketsAreOfOneIncarnation,
		"a crash under a task is counted":                                       testCrashIsCounted,
		"a crash after an outdated entry is counted":                            testCrashAfterOutdatedEntryIsCounted,
		"deadlines by the clock of the previous incarnation":                    testLeasesOnNextIncarnation,
		"the maximum of tasks per worker":                                       testMaxPerWorkerOnNextIncarnation,
		"its entry is removed":                                                  testEntryOfNextIncarnationIsRemoved,
		"a takeover while it starts":                                            testTakeoverFindsNextIncarnation,
		"a takeover without its entry":                                          testTakeoverWithoutEntry,
		"a takeover with stored starts on the previous incarnation":             testTakeoverReadsAttempts,
		"its machine is cordoned":                                               testCordonByName,
	} {
		t.Run(name, test)
	}
}
