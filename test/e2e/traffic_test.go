package e2e

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"foldarch.dev/foldarch/pkg/result"
	"foldarch.dev/foldarch/pkg/standin"
	. "github.com/onsi/gomega"
)

// traffic sends requests through all entry hosts until it is stopped, and remembers what
// each caller was told.
type traffic struct {
	cell *cell
	stop chan struct{}
	done sync.WaitGroup

	mu    sync.Mutex
	sent  []sent
	okAt  map[string]time.Time // by service and hall of the entry host
	codes map[int]int
}

// sent is one request and what its caller was told.
type sent struct {
	key   string
	tick  bool
	batch string // id of a batch request that was kept
	via   string
	at    time.Time
	reply reply
}

// startTraffic has each of n callers send one request after the other.
func (c *cell) startTraffic(n int, seed uint64) *traffic {
	t := &traffic{cell: c, stop: make(chan struct{}), okAt: map[string]time.Time{}, codes: map[int]int{}}
	for i := range n {
		t.done.Go(func() { t.caller(i, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	return t
}

func (t *traffic) caller(i int, rng *rand.Rand) {
	for n := 0; ; n++ {
		select {
		case <-t.stop:
			return
		case <-time.After(time.Duration(rng.IntN(20)) * time.Millisecond):
		}
		via := t.cell.order[rng.IntN(len(t.cell.order))]
		key := fmt.Sprintf("c%d-%d", i, n)
		if rng.IntN(8) == 0 {
			t.sendBatch(via, key, rng)
			continue
		}
		t.sendCall(via, key, rng)
	}
}

// sendCall sends a tick or a scoring request, and sometimes the same again elsewhere.
func (t *traffic) sendCall(via, key string, rng *rand.Rand) {
	service, tick := "scoring", rng.IntN(2) == 0
	if tick {
		service = "ticks"
	}
	body := fmt.Sprintf("ms=%d %s", rng.IntN(30), key)
	issued := strconv.FormatInt(time.Now().UnixMilli(), 10)
	again := rng.IntN(5) == 0
	for range 2 {
		at := time.Now()
		r := t.cell.call(via, service, key, body, "Foldarch-Issued-At", issued)
		t.record(sent{key: "tester/" + key, tick: tick, via: via, at: at, reply: r})
		if r.ok() {
			Expect(r.body).To(HaveSuffix(body), "the answer must be the caller's own")
		}
		if !again {
			return
		}
		via = t.cell.order[rng.IntN(len(t.cell.order))]
	}
}

func (t *traffic) sendBatch(via, key string, rng *rand.Rand) {
	workload, payload := "fit", fmt.Sprintf("ms=%d %s", rng.IntN(200), key)
	tick := rng.IntN(2) == 0
	if tick {
		workload, payload = "publish", fmt.Sprintf("ms=%d not-repeatable %s", rng.IntN(200), key)
	}
	s, r := t.cell.batch(via, workload, key, payload)
	t.record(sent{key: s.ID, tick: tick, batch: s.ID, via: via, at: time.Now(), reply: r})
}

func (t *traffic) record(s sent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent = append(t.sent, s)
	t.codes[s.reply.problem.Code]++
	if s.reply.ok() {
		hall, _, _ := strings.Cut(s.via, "-")
		t.okAt[hall] = time.Now()
	}
}

// okSince says whether calls through a hall have succeeded since a moment.
func (t *traffic) okSince(hall string, since time.Time) func() bool {
	return func() bool {
		t.mu.Lock()
		defer t.mu.Unlock()
		return t.okAt[hall].After(since)
	}
}

// finish stops the traffic and judges it against the back ends' own record.
func (t *traffic) finish() {
	close(t.stop)
	t.done.Wait()
	t.expectBatchesEnded()
	var runs []standin.Run
	t.cell.ledger("runs", &runs)
	count := map[string]int{}
	for _, r := range runs {
		count[r.Key]++
	}
	for _, s := range t.sent {
		t.judge(s, count[s.key])
	}
	t.cell.expectPromisesKept()
}

// judge compares what one caller was told with how often the request ran.
func (t *traffic) judge(s sent, ran int) {
	told := s.reply.problem.Ran
	switch {
	case s.batch != "" && s.reply.status == http.StatusAccepted:
		return // its end was awaited
	case s.reply.ok():
		Expect(ran).To(BeNumerically(">=", 1), s.key+" was answered and never ran")
		if s.tick {
			Expect(ran).To(Equal(1), s.key)
		}
	case s.tick && s.batch == "":
		Expect(ran).To(BeNumerically("<=", 1), s.key)
	}
	if told == "no" && s.batch == "" && !t.answeredOtherwise(s.key) {
		Expect(ran).To(BeZero(), s.key+" was called not run: "+s.reply.body)
	}
}

// answeredOtherwise says that a repeat of the key was not refused, so that it may have run.
func (t *traffic) answeredOtherwise(key string) bool {
	for _, s := range t.sent {
		if s.key == key && s.reply.problem.Ran != "no" {
			return true
		}
	}
	return false
}

// expectBatchesEnded waits for the end of every batch request that was acknowledged.
func (t *traffic) expectBatchesEnded() {
	for _, s := range t.sent {
		if s.batch == "" || s.reply.status != http.StatusAccepted {
			continue
		}
		Eventually(func() string {
			for _, id := range t.cell.order {
				if state := t.cell.batchState(id, s.batch)(); state == "done" || state == "unknown" || state == "failed" {
					return "ended"
				}
			}
			return t.cell.batchState(t.cell.order[0], s.batch)()
		}, generous).Should(Equal("ended"), "batch request "+s.batch+" was acknowledged and lost")
	}
}

// summary counts the answers by code.
func (t *traffic) summary() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	text := fmt.Sprintf("%d requests", len(t.sent))
	for code, n := range t.codes {
		name := "ok"
		if code != 0 {
			name = result.Code(code).String()
		}
		text += fmt.Sprintf(", %s %d", name, n)
	}
	return text
}
