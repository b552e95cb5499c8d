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

// traffic sends requests through all entry hosts until it is stopped and records the answers.
type traffic struct {
	cell       *cell
	stop       chan struct{}
	goroutines sync.WaitGroup

	mu          sync.Mutex
	sent        []sentRequest
	lastSuccess map[string]time.Time // time of the last success, by hall of the entry host
	codes       map[int]int

	reverted []string // descriptions of processes that went back to older settings
}

// sentRequest is a request and the answer to it.
type sentRequest struct {
	key           string
	body          string
	notRepeatable bool
	batch         string // ID of a batch request
	via           string
	at            time.Time
	reply         reply
}

// startTraffic starts n callers, each of which sends one request after the other.
func (c *cell) startTraffic(n int, seed uint64) *traffic {
	t := &traffic{cell: c, stop: make(chan struct{}), lastSuccess: map[string]time.Time{}, codes: map[int]int{}}
	for i := range n {
		t.goroutines.Go(func() { t.runCaller(i, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	return t
}

func (t *traffic) runCaller(i int, rng *rand.Rand) {
	for n := 0; ; n++ {
		select {
		case <-t.stop:
			return
		case <-time.After(time.Duration(rng.IntN(20)) * time.Millisecond):
		}
		via := t.cell.entryIDs[rng.IntN(len(t.cell.entryIDs))]
		key := fmt.Sprintf("c%d-%d", i, n)
		if rng.IntN(8) == 0 {
			t.sendBatch(via, key, rng)
			continue
		}
		t.sendCall(via, key, rng)
	}
}

// sendCall sends a tick or a scoring request and sometimes repeats it through a random entry host.
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
		t.record(sentRequest{key: "tester/" + key, body: body, notRepeatable: tick, via: via, at: at, reply: r})
		if !again {
			return
		}
		via = t.cell.entryIDs[rng.IntN(len(t.cell.entryIDs))]
	}
}

func (t *traffic) sendBatch(via, key string, rng *rand.Rand) {
	workload, payload := "fit", fmt.Sprintf("ms=%d %s", rng.IntN(200), key)
	once := rng.IntN(2) == 0
	if once {
		workload, payload = "publish", fmt.Sprintf("ms=%d not-repeatable %s", rng.IntN(200), key)
	}
	s, r := t.cell.submitBatch(via, workload, key, payload)
	t.record(sentRequest{key: s.ID, notRepeatable: once, batch: s.ID, via: via, at: time.Now(), reply: r})
}

func (t *traffic) record(s sentRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent = append(t.sent, s)
	t.codes[s.reply.problem.Code]++
	if s.reply.ok() {
		hall, _, _ := strings.Cut(s.via, "-")
		t.lastSuccess[hall] = time.Now()
	}
}

// succeededSince returns a function that reports whether a request through a hall has succeeded after the
// given time.
func (t *traffic) succeededSince(hall string, since time.Time) func() bool {
	return func() bool {
		t.mu.Lock()
		defer t.mu.Unlock()
		return t.lastSuccess[hall].After(since)
	}
}

// expectNoViolations stops the traffic and checks that violations finds none.
func (t *traffic) expectNoViolations() {
	Expect(t.violations()).To(BeEmpty())
}

// violations stops the traffic, compares the answers with the run log of the stand-ins and describes each
// violation.
func (t *traffic) violations() []string {
	close(t.stop)
	t.goroutines.Wait()
	found := append(t.lostBatches(), t.reverted...)
	var runs []standin.Run
	t.cell.readRunLog("runs", &runs)
	count := map[string]int{}
	for _, r := range runs {
		count[r.Key]++
	}
	for _, s := range t.sent {
		if violation := t.checkRequest(s, count[s.key]); violation != "" {
			found = append(found, violation)
		}
	}
	var v standin.CheckResult
	t.cell.readRunLog("verdict", &v)
	return append(found, v.Notes...)
}

// checkRequest compares the answer to a request with the number of its runs. It describes the violation, if
// any.
func (t *traffic) checkRequest(s sentRequest, ran int) string {
	switch {
	case s.batch != "":
		return "" // lostBatches awaits its end, and the stand-ins check the number of its runs
	case s.reply.ok() && ran == 0:
		return s.key + " was answered but never ran"
	case s.reply.ok() && !strings.HasSuffix(s.reply.body, s.body):
		return s.key + " was given the answer " + s.reply.body
	case s.notRepeatable && ran > 1:
		return s.key + " ran twice"
	case s.reply.problem.Ran == ranNo && ran > 0 && !t.mayHaveRun(s.key):
		return s.key + " was reported as not run, but ran: " + s.reply.body
	}
	return ""
}

// mayHaveRun reports whether a request with the key, such as a repeat, got an answer other than that it did
// not run.
func (t *traffic) mayHaveRun(key string) bool {
	for _, s := range t.sent {
		if s.key == key && s.reply.problem.Ran != ranNo {
			return true
		}
	}
	return false
}

// watchRevisions records processes that use older settings than before, also after a restart. It ignores
// processes without settings, since they serve no requests.
func (t *traffic) watchRevisions() {
	highest := map[string]int64{}
	for {
		select {
		case <-t.stop:
			return
		case <-time.After(pollInterval):
		}
		for _, id := range t.cell.entryIDs {
			s, err := t.cell.readStatus(id)
			if err != nil || s.Revision == 0 {
				continue
			}
			if s.Revision < highest[id] {
				t.reverted = append(t.reverted, fmt.Sprintf("%s went from revision %d to %d", id, highest[id], s.Revision))
			}
			highest[id] = s.Revision
		}
	}
}

// lostBatches waits for the end of every accepted batch request and describes those that do not end in time.
func (t *traffic) lostBatches() []string {
	var lost []string
	deadline := time.Now().Add(maxBatchWait)
	for _, s := range t.sent {
		if s.batch == "" || s.reply.status != http.StatusAccepted {
			continue
		}
		for !t.batchEnded(s.batch) {
			if time.Now().After(deadline) {
				lost = append(lost, "batch request "+s.batch+" was accepted but has not ended: "+t.cell.batchState(s.via, s.batch)())
				break
			}
			time.Sleep(pollInterval)
		}
	}
	return lost
}

const (
	// maxBatchWait is how long lostBatches waits in total, from the end of the traffic.
	maxBatchWait = 60 * time.Second
	pollInterval = 20 * time.Millisecond
)

func (t *traffic) batchEnded(id string) bool {
	for _, via := range t.cell.entryIDs {
		switch t.cell.batchState(via, id)() {
		case "done", "failed", "unknown":
			return true
		case "waiting", "running":
			return false
		}
	}
	return false
}

// summary returns the number of requests and of answers by result code.
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
