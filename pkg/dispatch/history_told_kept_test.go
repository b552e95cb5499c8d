package dispatch

import "testing"

// Histories in which the former owner was told of jobs that broke a promise, with the log lines that showed how.

// playTold plays one history in which hosts take the former owner for the owner.
func playTold(t *testing.T, seed uint64, change func(*world)) {
	playSeeds(t, []uint64{seed}, told(change))
}

// The new owner adopts two runs on w0, which lists the end of an unknown job before theirs. The owner reads the ends up to that one, and holds the runs
// behind it for lost after two reports. The store does not answer its looks for jobs, so they are started again:
//
//	102000 owner 2 ends_unread 0000000000000002.0.0.0 run 1 w0 number=1 listed=1 read_up_to=0
//	102000 owner 2 run_adopted 0000000000000001.0.0.0 run 1 w0
//	102640 w0 ends 0000000000000001.0.0.0 run 1 done
//	102740 owner 2 run_ended 0000000000000001.0.0.0 run 1 w0 lost
//	102960 owner 2 run_ordered 0000000000000001.0.0.0 run 2001 w0
func TestAdoptedRunsBehindAnUnknownEndAreNotLost(t *testing.T) {
	playTold(t, 9000119, func(*world) {})
}

// The same of a run that the new owner has started itself, and that has ended before the second report:
//
//	103140 owner 4 ends_unread 0000000000000009.0.0.0 run 1 w2 number=1 listed=1 read_up_to=0
//	103220 owner 4 run_ordered 0000000000000010.0.0.0 run 1 w2
//	103280 w2 ends 0000000000000010.0.0.0 run 1 done
//	103380 owner 4 run_ended 0000000000000010.0.0.0 run 1 w2 lost
//	103380 owner 4 run_ordered 0000000000000010.0.0.0 run 2 w2
func TestOwnRunsBehindAnUnknownEndAreNotLost(t *testing.T) {
	playTold(t, 9000007, func(*world) {})
}

// The first report to a new owner lists no run, and the end of a job that it knows behind one of an unknown job. All workers have reported, so
// it starts the task, which it believes never to have begun:
//
//	101260 w1 ends 0000000000000002.0.1.3 run 1 done
//	101340 owner 2 ends_unread 0000000000000003.0.0.0 run 1 w1 number=5 listed=4 read_up_to=4
//	101340 owner 2 takeover_settled
//	101340 owner 2 run_ordered 0000000000000002.0.1.3 run 2001 w0
func TestTakeoverIsNotSettledWithEndsUnread(t *testing.T) {
	playTold(t, 9000376, func(*world) {})
}

// A worker lists two runs of an unknown job. The owner finds the job with its next look, and plans before the next report, as if nothing ran of it:
//
//	100680 owner 2 run_unknown 0000000000000001.0.0.0 run 1 w2
//	100820 owner 2 finds 0000000000000001
//	100820 owner 2 run_ordered 0000000000000001.0.0.0 run 2001 w0
//	100840 w0 begins 0000000000000001.0.0.0 run 2001 (and run 1 goes on at w2)
func TestJobIsFoundWithTheRunsThatWereListed(t *testing.T) {
	playTold(t, 9000022, func(*world) {})
}

// The same with 0.4 s between the look and the plan, in which the owner did not ask that worker again. What settles the takeover is that each worker has
// reported once, whatever was known then:
//
//	120780 owner 3 run_unknown 0000000000000008.0.0.0 run 1 w0
//	121240 owner 3 finds 0000000000000008
//	121620 owner 3 takeover_settled
//	121620 owner 3 run_ordered 0000000000000008.0.0.0 run 3001 w4
func TestTakeoverIsNotSettledByReportsFromBeforeAJobWasFound(t *testing.T) {
	playTold(t, 9000163, func(*world) {})
}

// The store does not answer the looks. After 3 s the ends of an unknown job count as read, and are noted with the next commit, which the
// store takes. The worker forgets them, nobody else has them, and the next owner starts the tasks again:
//
//	102580 owner 2 ends_unread 0000000000000004.0.0.1 run 1 w2 number=1 listed=1 read_up_to=0
//	105700 w2: the end of 0000000000000004.0.0.0 run 1 is noted
//	107140 owner 3 elected
//	107220 owner 3 run_ordered 0000000000000004.0.0.0 run 3001 w0
func TestEndOfAJobThatWasNotLookedForIsNotNoted(t *testing.T) {
	playTold(t, 9000414, func(*world) {})
}

// The 3 s count from the first unknown job that a worker has ever listed, here from a run 2.9 s before. The end is noted 0.2 s after it was listed
// first, and 0.4 s before the job is found:
//
//	107520 owner 5 run_unknown 0000000000000013.0.0.0 run 1 w1
//	110420 owner 5 ends_unread 0000000000000013.0.0.0 run 1 w1 number=6 listed=2 read_up_to=5
//	110600 w1: the end of 0000000000000013.0.0.0 run 1 is noted
//	111000 owner 5 finds 0000000000000013
//	120240 owner 8 run_ordered 0000000000000013.0.0.0 run 8001 w2
func TestEndThatWasListedLatelyIsNotNoted(t *testing.T) {
	playTold(t, 9000051, func(*world) {})
}

// What runs of an unknown job counts for nothing in its customer's account, so the new owner starts as many tasks of that customer as if all of its quota were
// free. The store does not answer its looks, so the job stays unknown for more than 3 s:
//
//	101440 owner 2 can't look for jobs until 105180
//	101680 0000000000000004 is accepted for owner 1, at work: true
//	101820 owner 2 run_unknown 0000000000000004.0.0.0 run 1 w1
//	101820 owner 2 takeover_settled
//	101820 owner 2 run_ordered 0000000000000005.0.0.3 run 1 w3
//	101840 w3 begins 0000000000000005.0.0.3 run 1: customer south has 8000 running of 6000; the owner counts 4000
func TestQuotaHoldsWhileAJobIsUnknown(t *testing.T) {
	playTold(t, 9000171, func(w *world) { w.quotas = newModelQuotas() })
}

// The job is found, but what runs of it counts only with the next reports of w0 and w3, so another job of the same customer starts at once:
//
//	114360 owner 2 run_unknown 0000000000000005.0.0.2 run 1 w0
//	115440 owner 2 finds 0000000000000005
//	115440 owner 2 run_ordered 0000000000000006.0.0.0 run 2001 w1
//	115460 w1 begins 0000000000000006.0.0.0 run 2001: customer north has 6500 running of 2000; the owner counts 2000
func TestQuotaHoldsWhenAJobIsFound(t *testing.T) {
	playTold(t, 9000574, func(w *world) { w.quotas = newModelQuotas() })
}

// Guards against a quota that counts nothing of what a former owner may still start on workers that it alone reaches.
func TestQuotaHoldsWhileTheFormerOwnerStartsAJob(t *testing.T) {
	playTold(t, 9020536, func(w *world) { w.quotas, w.reborn = newModelQuotas(), true })
}
