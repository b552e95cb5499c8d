package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/job"
	. "github.com/onsi/gomega"
)

// losesStartsOfNewNumbers has worker 0 leave the first start of task 0 of a job without an answer, and the first one of its next number.
func (h *hall) losesStartsOfNewNumbers() {
	h.loses = func(s StartOrder) bool {
		if s.Task.Index != 0 || len(h.kept) == 2 {
			return false
		}
		return len(h.kept) == 0 || s.Run != h.kept[0].Run
	}
}

// nextLifeTakesKept has worker 0 crash, and its next life carry out all starts that it may still carry out, as soon as it is there.
func (h *hall) nextLifeTakesKept() {
	h.crashes(0)
	h.passes(600 * time.Millisecond)
	h.comesUnlisted(secondLife(0))
	h.takes["a"] = 10 * time.Second
	for _, k := range h.kept {
		if h.now.Sub(k.sentAt) <= maxOrderDelay {
			h.takes0(k.StartOrder)
		}
	}
	h.checkNoneRunsTwice()
}

// crashesAtAnyTime plays a job of which two starts with numbers of their own get no answer, with a crash of their worker at each half second. The second start is
// to be sent when the first one can't be carried out any more.
func crashesAtAnyTime(t *testing.T, r job.Record, ends func(*hall)) {
	const last = maxOrderDelay + 2*time.Second
	for after := 500 * time.Millisecond; after <= last; after += 500 * time.Millisecond {
		t.Run(after.String(), func(t *testing.T) {
			h := newHall(t, 1)
			h.losesStartsOfNewNumbers()
			h.gets(r)
			for end := h.now.Add(after); h.now < end; h.beats() {
				ends(h)
			}
			h.Expect(h.kept).NotTo(BeEmpty())
			if after == last {
				h.Expect(h.kept).To(HaveLen(2))
			}
			h.nextLifeTakesKept()
		})
	}
}

// Guards against a start after a run that failed, which has a number of its own and is carried out by the next life beside a void start of before.
func TestStartAfterAFailureIsNotCarriedOutBesideAVoidOne(t *testing.T) {
	crashesAtAnyTime(t, testJob("a", testStep(1)), func(h *hall) { h.how["a"] = EndFailed })
}

// Guards against the same after a run that was stopped to make room for others.
func TestStartAfterAStopIsNotCarriedOutBesideAVoidOne(t *testing.T) {
	crashesAtAnyTime(t, testJob("a", testStep(1)), func(h *hall) {
		h.takes["a"] = time.Hour
		if r := h.pool.task(taskOf("a", 0)).current; len(h.kept) == 1 && r != nil && r.state == runActive {
			h.pool.stopRun(r)
		}
	})
}

// Guards against the same of a gang, of which all members start again with one number.
func TestGangThatStartsAgainIsNotCarriedOutBesideAVoidStart(t *testing.T) {
	crashesAtAnyTime(t, voidGang(2), func(h *hall) { h.how["a"] = EndFailed })
}

// Guards against the same after a crash, where the life after the next one carries out both.
func TestStartAfterACrashIsNotCarriedOutBesideAVoidOne(t *testing.T) {
	h := newHall(t, 1)
	h.losesStartsOfNewNumbers()
	h.takes["a"] = time.Hour
	h.gets(testJob("a", testStep(1)))
	h.passes(time.Second)
	h.Expect(h.there[0].active).To(HaveLen(1))
	h.crashes(0)
	h.passes(600 * time.Millisecond)
	h.comes(secondLife(0))
	h.passes(2 * time.Second)
	h.crashes(0)
	h.passes(600 * time.Millisecond)
	h.comesUnlisted(thirdLife(0))
	for _, k := range h.kept {
		h.takes0(k.StartOrder)
	}
	h.checkNoneRunsTwice()
}

// Guards against a wait of a gang none of whose members has begun: it starts again under the same number.
func TestGangWhoseStartsAreAllVoidStartsAgainAtOnce(t *testing.T) {
	h := newHall(t, 1)
	h.loses = func(StartOrder) bool { return len(h.kept) < 4 }
	h.gets(voidGang(2))
	h.isDoneWithin(5*time.Second, "a")
	h.Expect(h.started).To(HaveLen(6))
	for _, s := range h.started {
		h.Expect(s.Run).To(Equal(h.started[0].Run))
	}
}

// failedBesideAVoidStart is a hall of one worker in which task 0 of a job has failed while a void start of it may be carried out.
func failedBesideAVoidStart(t *testing.T, r job.Record) *hall {
	h := newHall(t, 1)
	h.loses = func(s StartOrder) bool { return len(h.kept) == 0 && s.Task.Index == 0 }
	h.how["a"] = EndFailed
	h.gets(r)
	h.passes(2 * time.Second)
	h.Expect(h.kept).To(HaveLen(1))
	h.Expect(h.pool.task(taskOf("a", 0)).failures).NotTo(BeEmpty())
	delete(h.how, "a")
	return h
}

// Guards against waits of what has no void start, and against a wait that is longer than that start may be carried out.
func TestTaskThatOutwaitsAVoidStartHoldsUpNothingElse(t *testing.T) {
	t.Run("another task of its step", func(t *testing.T) {
		h := failedBesideAVoidStart(t, testJob("a", testStep(2)))
		h.passes(1500 * time.Millisecond)
		h.Expect(h.pool.task(taskOf("a", 1)).done).To(BeTrue())
		h.Expect(h.pool.task(taskOf("a", 0)).done).To(BeFalse())
	})
	t.Run("a job of a lower priority on its worker", func(t *testing.T) {
		h := failedBesideAVoidStart(t, testJob("a", testStep(1)))
		r := testJob("b", testStep(4)) // all that the worker has room for
		r.Queue.Name, r.Queue.Priority = "later", 5
		h.gets(r)
		h.isDoneWithin(2*time.Second, "b")
	})
	t.Run("its cancelling", func(t *testing.T) {
		h := failedBesideAVoidStart(t, testJob("a", testStep(1)))
		h.pool.Cancel("a")
		h.passes(200 * time.Millisecond)
		state, _, _ := h.pool.JobState("a")
		h.Expect(state).To(Equal(job.Cancelled))
	})
	t.Run("its own end once the start is over", func(t *testing.T) {
		h := failedBesideAVoidStart(t, testJob("a", testStep(1)))
		over := h.kept[0].sentAt.Add(maxOrderDelay)
		again := h.startsWithin(maxOrderDelay, "a")
		h.Expect(h.now.Sub(over)).To(And(BeNumerically(">", 0), BeNumerically("<", 5*beat)))
		h.Expect(again.Run).To(BeNumerically(">", h.kept[0].Run))
		h.isDoneWithin(2*time.Second, "a")
	})
}

// Guards against an operator who is told nothing of what a job waits for, by the present owner and by the next.
func TestTaskThatOutwaitsAVoidStartSaysSo(t *testing.T) {
	h := failedBesideAVoidStart(t, testJob("a", testStep(1)))
	e, _ := h.pool.Explain("a", h.now)
	h.Expect(e.Steps[0].WaitReason).To(HavePrefix("an earlier start without an answer"))
	h.Expect(h.delays()).To(Equal(1))
	h.nextOwner()
	h.passes(time.Second)
	e, _ = h.pool.Explain("a", h.now)
	h.Expect(e.Steps[0].WaitReason).To(HavePrefix("an earlier start without an answer"))
	h.Expect(h.delays()).To(Equal(2))
}

// Guards against a log that tells of a delayed start of a task that is done.
func TestDoneTaskIsNotLoggedAsDelayed(t *testing.T) {
	h := newHall(t, 1)
	h.loses = func(StartOrder) bool { return len(h.kept) == 0 }
	h.gets(testJob("a", testStep(1)))
	h.isDoneWithin(3*time.Second, "a")
	h.Expect(h.kept).To(HaveLen(1))
	h.Expect(h.delays()).To(Equal(0))
}

// delays counts the lines of the log that tell of a start that is delayed.
func (h *hall) delays() int {
	n := 0
	for _, e := range h.events {
		if e.Name == "start_delayed" {
			n++
		}
	}
	return n
}

// Guards against a start of a later owner that is carried out beside a void one of a former owner, whose number had ended or had not.
func TestStartOfALaterOwnerIsNotCarriedOutBesideAVoidOne(t *testing.T) {
	for name, before := range map[string]time.Duration{"before its run has ended": 200 * time.Millisecond, "after its run has failed": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			h := newHall(t, 1)
			h.loses = func(s StartOrder) bool { return len(h.kept) == 0 }
			h.how["a"] = EndFailed
			h.gets(testJob("a", testStep(1)))
			h.passes(before)
			h.Expect(h.kept).To(HaveLen(1))
			h.nextOwner()
			h.loses = func(s StartOrder) bool { return len(h.kept) == 1 }
			h.passes(2 * time.Second)
			h.nextLifeTakesKept()
		})
	}
}
