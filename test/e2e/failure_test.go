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
		c.ready(4)
		t = c.startTraffic(12, 1)
		for _, hall := range halls {
			Eventually(t.okSince(hall, time.Now()), generous).Should(BeTrue())
		}
	})

	// owner waits until the owner of a hall has a successor and returns the owner and the other host of the
	// hall.
	owner := func(hall string) (owner, other string) {
		ginkgo.GinkgoHelper()
		Eventually(func() string {
			s, err := c.status(hall + "-a")
			if err != nil || len(s.Shards) == 0 {
				return ""
			}
			owner = s.Shards[0].Owner
			return s.Shards[0].Successor
		}, generous).ShouldNot(BeEmpty())
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
		Eventually(ownedBy(other), generous).Should(Equal(other))
		Eventually(t.okSince("north", time.Now()), generous).Should(BeTrue())
		c.start(first)
		Eventually(t.okSince("north", time.Now()), generous).Should(BeTrue())
		t.finish()
	})

	ginkgo.It("takes authority from a paused owner, which gives up when it resumes", func() {
		first, other := owner("north")
		c.entries[first].signal(syscall.SIGSTOP)
		Eventually(ownedBy(other), generous).Should(Equal(other))
		Eventually(func() (int, error) { return c.endpointsSeenBy(other) }, generous).Should(Equal(4))
		c.entries[first].signal(syscall.SIGCONT)
		Eventually(ownedBy(first), generous).Should(Equal(other))
		t.finish()
	})

	ginkgo.It("goes on in a store outage, also when an owner is killed in it", func() {
		first, other := owner("north")
		c.fault("store", standin.StoreFaults{Down: true})
		time.Sleep(6 * time.Second) // until hosts count the store as down; no check depends on it
		for _, hall := range halls {
			Eventually(t.okSince(hall, time.Now()), generous).Should(BeTrue())
		}
		_, r := c.batch("north-a", "fit", "in-outage", "ms=1 x")
		Expect(r.problem.Ran).To(Or(Equal(ranNo), Equal(ranUnknown)))
		Expect(r.status).NotTo(Equal(http.StatusAccepted))

		c.entries[first].kill()
		Eventually(ownedBy(other), generous).Should(Equal(other))
		Eventually(t.okSince("north", time.Now()), generous).Should(BeTrue())

		c.fault("store", standin.StoreFaults{})
		c.start(first)
		Eventually(func() string {
			s, _ := c.status(first)
			if s == nil || len(s.Shards) == 0 {
				return ""
			}
			return s.Shards[0].Owner
		}, generous).Should(Equal(other), "the epoch that began in the outage is recorded")
		t.finish()
	})

	ginkgo.It("gives settings to a process that is replaced in an outage", func() {
		_, other := owner("north")
		c.fault("store", standin.StoreFaults{Down: true})
		c.entries[other].kill()
		c.start(other)
		Eventually(func() int64 {
			s, err := c.status(other)
			if err != nil {
				return 0
			}
			return s.Revision
		}, generous).Should(Equal(int64(1)))
		Eventually(t.okSince("north", time.Now()), generous).Should(BeTrue())
		c.fault("store", standin.StoreFaults{})
		t.finish()
	})

	ginkgo.It("loses no batch request when all entry hosts of a hall are replaced at once", func() {
		c.entries["north-a"].signal(syscall.SIGKILL)
		c.entries["north-b"].kill()
		c.start("north-a")
		c.start("north-b")
		Eventually(t.okSince("north", time.Now()), generous).Should(BeTrue())
		t.finish()
	})

	ginkgo.It("settles lost answers of the store and of workers", func() {
		c.fault("store", standin.StoreFaults{LoseAnswers: 3})
		for _, w := range []string{"north-w0", "north-w1", "east-w0"} {
			c.fault("worker", standin.WorkerFault{Worker: w, LoseAnswers: 4})
		}
		c.write("scoring.toml", "kind = \"service\"\nteam = \"t\"\ninstances = 6\n[rules]\nqueue = 32\n")
		c.apply()
		time.Sleep(3 * time.Second) // requests are sent under the faults; no check depends on this time
		c.fault("store", standin.StoreFaults{})
		t.finish()
	})

	ginkgo.It("runs tasks of a lost worker elsewhere, once their leases have lapsed", func() {
		c.fault("worker", standin.WorkerFault{Worker: "north-w0", State: store.HostGone})
		c.fault("worker", standin.WorkerFault{Worker: "east-w1", State: store.HostGone})
		c.ready(4)
		c.fault("worker", standin.WorkerFault{Worker: "north-w0", State: store.HostLive})
		t.finish()
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
				out, err := c.foldarch("apply", "--store", c.store.String(), "--base", "1", "--author", "kim", c.variant(i))
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
		t.finish()
	})

	ginkgo.It("lets a successor follow an owner that stops as planned in a store outage", func() {
		first, other := owner("north")
		c.fault("store", standin.StoreFaults{Down: true})
		c.entries[first].signal(syscall.SIGTERM)
		Eventually(c.entries[first].exited, generous).Should(BeClosed())
		Eventually(ownedBy(other), generous).Should(Equal(other))
		Eventually(t.okSince("north", time.Now()), generous).Should(BeTrue())
		c.fault("store", standin.StoreFaults{})
		c.start(first)
		t.finish()
	})

	ginkgo.It("hands shards over on a planned stop without cutting a request", func() {
		first, other := owner("north")
		c.entries[first].signal(syscall.SIGTERM)
		Eventually(c.entries[first].exited, generous).Should(BeClosed())
		Expect(ownedBy(other)()).To(Equal(other))
		t.finish()
		for _, s := range t.sent {
			Expect(s.reply.problem.Code).NotTo(Equal(int(result.AnswerLost)), s.key)
		}
	})
})

// Values of a refusal that tell whether the request ran.
const (
	ranNo      = entryapi.ProblemRanNo
	ranUnknown = entryapi.ProblemRanUnknown
)

// writeVariant writes a copy of the declarations with a different queue limit and returns its directory.
func (c *cell) variant(i int) string {
	dir := filepath.Join(c.dir, fmt.Sprintf("variant-%d", i))
	Expect(os.CopyFS(dir, os.DirFS(c.decl))).To(Succeed())
	text := fmt.Sprintf("kind = \"service\"\nteam = \"t\"\ninstances = 6\n[rules]\nqueue = %d\n", 100+i)
	Expect(os.WriteFile(filepath.Join(dir, "scoring.toml"), []byte(text), 0o600)).To(Succeed())
	return dir
}
