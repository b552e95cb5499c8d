package e2e

import (
	"net/http"
	"syscall"

	"foldarch.dev/foldarch/pkg/result"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var halls = []string{"north", "east", "south"}

var _ = ginkgo.Describe("a cell of separate processes", func() {
	ginkgo.It("serves calls and batch requests, drains and stops", func() {
		c := newCell(ginkgo.GinkgoT(), halls, 4, 2, "")
		c.apply()
		c.awaitEndpoints(4)

		ginkgo.By("calling a service through every entry host")
		for _, id := range c.entryIDs {
			r := c.call(id, "scoring", "", "ms=2 body of "+id)
			Expect(r.ok()).To(BeTrue(), r.body)
			Expect(r.body).To(HaveSuffix("body of " + id))
		}

		ginkgo.By("repeating a key through other halls")
		first := c.call("north-a", "ticks", "goal-1", "ms=2 goal")
		Expect(first.ok()).To(BeTrue(), first.body)
		for _, id := range c.entryIDs {
			again := c.call(id, "ticks", "goal-1", "ms=2 goal")
			Expect(again.body).To(Equal(first.body))
		}
		Expect(c.runCount("tester/goal-1")).To(Equal(1))
		Expect(c.call("east-a", "ticks", "goal-1", "another goal").problem.Code).To(Equal(int(result.KeyReused)))

		ginkgo.By("running a batch request once")
		accepted, r := c.submitBatch("north-a", "publish", "sheet-1", "ms=30 not-repeatable sheet")
		Expect(r.status).To(Equal(http.StatusAccepted), r.body)
		Eventually(c.batchState("south-b", accepted.ID), maxWait).Should(Equal("done"))
		again, _ := c.submitBatch("east-b", "publish", "sheet-1", "ms=30 not-repeatable sheet")
		Expect(again.ID).To(Equal(accepted.ID))
		Expect(again.Result.Value).To(Equal("done: ms=30 not-repeatable sheet"))
		_, r = c.readBatch("north-a", accepted.ID, "somebody else")
		Expect(r.problem.Code).To(Equal(int(result.NotYours)))

		ginkgo.By("draining a worker: its instances move")
		out, err := c.foldarch("drain", "--entry", c.entries["north-a"].callersAddress.String(), "worker", "north-w0")
		Expect(err).NotTo(HaveOccurred(), out)
		Eventually(func() int { return c.runningTasksOn("north-w0") }, maxWait).Should(BeZero())
		c.awaitEndpoints(4)

		ginkgo.By("stopping every process as planned")
		for _, id := range c.entryIDs {
			c.entries[id].signal(syscall.SIGTERM)
			Eventually(c.entries[id].exited, maxWait).Should(BeClosed())
			Expect(c.entries[id].cmd.ProcessState.ExitCode()).To(BeZero())
		}
		c.expectNoViolations()
	})

	ginkgo.It("answers bad input clearly and loses nothing", func() {
		c := newCell(ginkgo.GinkgoT(), halls, 2, 1, "")
		c.apply()
		c.awaitEndpoints(4)
		expectCode := func(r reply, code result.Code) {
			ginkgo.GinkgoHelper()
			Expect(r.problem.Code).To(Equal(int(code)), r.body)
			Expect(r.status).To(Equal(code.Info().Status))
		}
		expectCode(c.call("north-a", "nothing", "", "x"), result.UnknownService)
		expectCode(c.call("north-a", "fit", "", "x"), result.WrongKind)
		expectCode(c.call("north-a", "scoring", "", string(make([]byte, 300<<10))), result.BodyTooLarge)
		expectCode(c.call("north-a", "scoring", "", string(make([]byte, 3<<20))), result.BodyTooLarge)
		expectCode(c.call("north-a", "scoring", "", "x", "Foldarch-Deadline", "1000"), result.DeadlinePast)
		fromTheFuture := func() reply {
			return c.call("north-a", "scoring", "k", "x", "Foldarch-Issued-At", "9999999999999")
		}
		// The key's home may be another hall, whose owner becomes known to a host a little later than that
		// of its own hall.
		Eventually(func() int { return fromTheFuture().problem.Code }, maxWait).ShouldNot(Equal(int(result.NoOwner)))
		expectCode(fromTheFuture(), result.IssuedInFuture)
		expectCode(c.call("north-a", "scoring", "", "x", "Foldarch-Caller", ""), result.Malformed)
		expectCode(c.call("north-a", "scoring", "", "x", "Foldarch-Class", "soon"), result.Malformed)
		_, r := c.readBatch("north-a", "no-such-id", "tester")
		expectCode(r, result.UnknownBatch)

		ginkgo.By("refusing a port in use, naming it")
		p := c.spawn("twin", "foldarch-entry", c.entries["north-a"].settingsFile)
		Eventually(p.exited, maxWait).Should(BeClosed())
		Expect(p.log.String()).To(ContainSubstring("address already in use"))

		ginkgo.By("refusing a faulty tree, naming file, line and key")
		c.writeDeclaration("scoring.toml", "kind = \"service\"\nteam = \"t\"\ninstancs = 3\n")
		out, err := c.foldarch("apply", "--store", c.store.String(), c.declDir)
		Expect(err).To(HaveOccurred())
		Expect(out).To(ContainSubstring(`scoring.toml:3: instancs: unknown key, did you mean "instances"?`))
		Expect(c.call("north-a", "scoring", "", "still there").ok()).To(BeTrue())
	})
})

// runningTasksOn returns the number of tasks that a worker runs according to the run log of the stand-ins.
func (c *cell) runningTasksOn(worker string) int {
	var runs []struct {
		Where, Outcome string
	}
	c.readRunLog("runs", &runs)
	n := 0
	for _, r := range runs {
		if r.Where == worker && r.Outcome == "running" {
			n++
		}
	}
	return n
}
