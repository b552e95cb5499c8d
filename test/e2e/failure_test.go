package e2e

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"foldarch.dev/foldarch/pkg/entry/entryapi"
	"foldarch.dev/foldarch/pkg/result"
	"foldarch.dev/foldarch/pkg/standin"
	"foldarch.dev/foldarch/pkg/store"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("under failure", func() {
	var c *cell
	var t *traffic

	ginkgo.BeforeEach(func() {
		c = newCell(ginkgo.GinkgoT(), halls, 3, 2, "[times]\ntask_lease = \"3s\"\nreport_every = \"500ms\"\n")
		c.apply()
		c.awaitEndpoints(4)
		t = c.startTraffic(12, 1)
		for _, hall := range halls {
			Eventually(t.succeededSince(hall, time.Now()), maxWait).Should(BeTrue())
		}
	})

	// owner waits until the owner of a hall has a successor and returns the owner and the other host of the
	// hall.
	owner := func(hall string) (owner, other string) {
		ginkgo.GinkgoHelper()
		Eventually(func() string {
			s, err := c.readStatus(hall + "-a")
			if err != nil || len(s.Shards) == 0 {
				return ""
			}
			owner = s.Shards[0].Owner
			return s.Shards[0].Successor
		}, maxWait).ShouldNot(BeEmpty())
		other = hall + "-a"
		if owner == other {
			other = hall + "-b"
		}
		return owner, other
	}
	ownedBy := func(seenBy string) func() string {
		return func() string {
			o, _ := c.ownerOf(seenBy)
			return o
		}
	}

	ginkgo.It("follows a killed owner, and nothing runs twice", func() {
		first, other := owner("north")
		c.entries[first].kill()
		Eventually(ownedBy(other), maxWait).Should(Equal(other))
		Eventually(t.succeededSince("north", time.Now()), maxWait).Should(BeTrue())
		c.start(first)
		Eventually(t.succeededSince("north", time.Now()), maxWait).Should(BeTrue())
		t.expectNoViolations()
	})

	ginkgo.It("takes authority from a paused owner, which gives up when it resumes", func() {
		first, other := owner("north")
		c.entries[first].signal(syscall.SIGSTOP)
		Eventually(ownedBy(other), maxWait).Should(Equal(other))
		Eventually(func() (int, error) { return c.endpointsSeenBy(other) }, maxWait).Should(Equal(4))
		c.entries[first].signal(syscall.SIGCONT)
		Eventually(ownedBy(first), maxWait).Should(Equal(other))
		t.expectNoViolations()
	})

	ginkgo.It("goes on in a store outage, also when an owner is killed in it", func() {
		first, other := owner("north")
		c.injectFault("store", standin.StoreFaults{Down: true})
		time.Sleep(6 * time.Second) // until hosts count the store as down; no check depends on it
		for _, hall := range halls {
			Eventually(t.succeededSince(hall, time.Now()), maxWait).Should(BeTrue())
		}
		_, r := c.submitBatch("north-a", "fit", "in-outage", "ms=1 x")
		Expect(r.problem.Ran).To(Or(Equal(ranNo), Equal(ranUnknown)))
		Expect(r.status).NotTo(Equal(http.StatusAccepted))

		c.entries[first].kill()
		Eventually(ownedBy(other), maxWait).Should(Equal(other))
		Eventually(t.succeededSince("north", time.Now()), maxWait).Should(BeTrue())

		c.injectFault("store", standin.StoreFaults{})
		c.start(first)
		Eventually(func() string {
			s, _ := c.readStatus(first)
			if s == nil || len(s.Shards) == 0 {
				return ""
			}
			return s.Shards[0].Owner
		}, maxWait).Should(Equal(other), "the epoch that began in the outage is recorded")
		t.expectNoViolations()
	})

	ginkgo.It("gives settings to a process that is replaced in an outage", func() {
		_, other := owner("north")
		c.injectFault("store", standin.StoreFaults{Down: true})
		c.entries[other].kill()
		c.start(other)
		Eventually(func() int64 {
			s, err := c.readStatus(other)
			if err != nil {
				return 0
			}
			return s.Revision
		}, maxWait).Should(Equal(int64(1)))
		Eventually(t.succeededSince("north", time.Now()), maxWait).Should(BeTrue())
		c.injectFault("store", standin.StoreFaults{})
		t.expectNoViolations()
	})

	ginkgo.It("loses no batch request when all entry hosts of a hall are replaced at once", func() {
		c.entries["north-a"].signal(syscall.SIGKILL)
		c.entries["north-b"].kill()
		c.start("north-a")
		c.start("north-b")
		Eventually(t.succeededSince("north", time.Now()), maxWait).Should(BeTrue())
		t.expectNoViolations()
	})

	ginkgo.It("settles lost answers of the store and of workers", func() {
		c.injectFault("store", standin.StoreFaults{LoseAnswers: 3})
		for _, w := range []string{"north-w0", "north-w1", "east-w0"} {
			c.injectFault("worker", standin.WorkerFault{Worker: w, LoseAnswers: 4})
		}
		c.writeDeclaration("scoring.toml", "kind = \"service\"\nteam = \"t\"\ninstances = 6\n[rules]\nqueue = 32\n")
		c.apply()
		time.Sleep(3 * time.Second) // requests are sent under the faults; no check depends on this time
		c.injectFault("store", standin.StoreFaults{})
		t.expectNoViolations()
	})

	ginkgo.It("runs tasks of a lost worker elsewhere, once their leases have expired", func() {
		c.injectFault("worker", standin.WorkerFault{Worker: "north-w0", State: store.HostGone})
		c.injectFault("worker", standin.WorkerFault{Worker: "east-w1", State: store.HostGone})
		c.awaitEndpoints(4)
		c.injectFault("worker", standin.WorkerFault{Worker: "north-w0", State: store.HostLive})
		t.expectNoViolations()
	})

	ginkgo.It("lets one of two racing operators win and names it to the other", func() {
		type outcome struct {
			out string
			err error
		}
		results := make([]outcome, 4)
		var operators sync.WaitGroup
		for i := range results {
			operators.Go(func() {
				out, err := c.foldarch("apply", "--store", c.store.String(), "--base", "1", "--author", "kim", c.writeVariant(i))
				results[i] = outcome{out, err}
			})
		}
		operators.Wait()
		won := 0
		for _, r := range results {
			if r.err == nil {
				won++
				continue
			}
			Expect(r.out).To(ContainSubstring("by kim"))
		}
		Expect(won).To(Equal(1))
		t.expectNoViolations()
	})

	ginkgo.It("lets a successor follow an owner that stops as planned in a store outage", func() {
		first, other := owner("north")
		c.injectFault("store", standin.StoreFaults{Down: true})
		c.entries[first].signal(syscall.SIGTERM)
		Eventually(c.entries[first].exited, maxWait).Should(BeClosed())
		Eventually(ownedBy(other), maxWait).Should(Equal(other))
		Eventually(t.succeededSince("north", time.Now()), maxWait).Should(BeTrue())
		c.injectFault("store", standin.StoreFaults{})
		c.start(first)
		t.expectNoViolations()
	})

	ginkgo.It("hands shards over on a planned stop without cutting a request", func() {
		first, other := owner("north")
		c.entries[first].signal(syscall.SIGTERM)
		Eventually(c.entries[first].exited, maxWait).Should(BeClosed())
		Expect(ownedBy(other)()).To(Equal(other))
		t.expectNoViolations()
		for _, s := range t.sent {
			Expect(s.reply.problem.Code).NotTo(Equal(int(result.AnswerLost)), s.key)
		}
	})
})

// Values of a refusal that say whether the request ran.
const (
	ranNo      = entryapi.ProblemRanNo
	ranUnknown = entryapi.ProblemRanUnknown
)

// writeVariant writes a copy of the declarations with a different queue limit and returns its directory.
func (c *cell) writeVariant(i int) string {
	dir := filepath.Join(c.dir, fmt.Sprintf("variant-%d", i))
	Expect(os.CopyFS(dir, os.DirFS(c.declDir))).To(Succeed())
	text := fmt.Sprintf("kind = \"service\"\nteam = \"t\"\ninstances = 6\n[rules]\nqueue = %d\n", 100+i)
	Expect(os.WriteFile(filepath.Join(dir, "scoring.toml"), []byte(text), 0o600)).To(Succeed())
	return dir
}
