package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"foldarch.dev/foldarch/platform/emulator"
)

const (
	// callDeadline is how long a customer waits for an answer, as X-Deadline-Ms tells.
	callDeadline = 3 * time.Second
	retryPause   = 300 * time.Millisecond
	maxTries     = 5
	stateTime    = 250 * time.Millisecond // between two questions about a job's state
	lookTime     = 100 * time.Millisecond // between two looks at the pool
	// stallTime is the time of the rule, stallSlack an allowance for the clocks and looks of this program.
	stallTime  = 3 * time.Second
	stallSlack = time.Second
)

// step is a step of a job.
type step struct {
	Count    int   `json:"count"`
	CPU      int64 `json:"cpu"`
	MemoryMB int64 `json:"memMb"`
	Estimate int64 `json:"estimatedMs"`
}

// jobBody is a job as a customer hands it in.
type jobBody struct {
	Spec     string `json:"spec"`
	Steps    []step `json:"steps"`
	Repeat   int64  `json:"repeatCount,omitempty"`
	StartAt  int64  `json:"startAtMs,omitempty"`
	Interval int64  `json:"intervalMs,omitempty"`
}

// jobView is what its customer knows of a job.
type jobView struct {
	id         string
	body       jobBody
	measured   bool // it is an ordinary job, by which the rule is judged
	tries      int
	acceptedAt time.Time // zero if it was not accepted
	shown      string    // the state that was shown last
	shownAt    time.Time
	stalledFor time.Duration // the longest time of the rule on which it had nothing running
	stalledAt  time.Time     // since when it has nothing running in a pool with room; zero if it has
}

// customers hand in jobs and ask for their states.
type customers struct {
	rec    *record
	seen   *watcher
	hosts  []emulator.Host
	client *http.Client
	group  sync.WaitGroup

	mu   sync.Mutex
	jobs []*jobView
	byID map[string]*jobView
	call int
}

func newCustomers(rec *record, seen *watcher, hosts []emulator.Host) *customers {
	return &customers{
		rec: rec, seen: seen, hosts: hosts, byID: map[string]*jobView{},
		client: &http.Client{Timeout: callDeadline, Transport: &http.Transport{MaxIdleConnsPerHost: 32}},
	}
}

// awaitReady waits until all hosts call themselves ready.
func awaitReady(hosts []emulator.Host) bool {
	client := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(readyLimit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, h := range hosts {
			if res, err := client.Get("http://" + h.Readiness + "/readyz"); err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(hosts) {
			return true
		}
	}
	return false
}

// send makes one call to a host, by turns; status is 0 without an answer.
func (c *customers) send(method, path string, body []byte) (status int, answer []byte) {
	c.mu.Lock()
	c.call++
	host := c.hosts[c.call%len(c.hosts)]
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callDeadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+host.Frontend+emulator.PathPrefix+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Host = emulator.QueueHost
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(callDeadline.Milliseconds()))
	res, err := c.client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = res.Body.Close() }()
	answer, err = io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, answer
}

// submit hands in a job, again after a refusal or without an answer, and records what was answered.
func (c *customers) submit(j *jobView, recorded bool) {
	c.mu.Lock()
	c.jobs, c.byID[j.id] = append(c.jobs, j), j
	c.mu.Unlock()
	c.seen.mu.Lock()
	c.seen.quiet[j.id] = !j.measured
	c.seen.mu.Unlock()
	text, _ := json.Marshal(j.body)
	for range maxTries {
		sentAt := time.Now()
		status, _ := c.send(http.MethodPost, j.id, text)
		if recorded {
			c.rec.line("sent %s %s, answered %d after %d ms", j.id, text, status, time.Since(sentAt).Milliseconds())
		}
		c.mu.Lock()
		j.tries++
		if status == http.StatusOK {
			j.acceptedAt = time.Now()
		}
		c.mu.Unlock()
		if status == http.StatusOK {
			return
		}
		time.Sleep(retryPause)
	}
}

// ask asks for the state of a job once.
func (c *customers) ask(j *jobView) {
	status, answer := c.send(http.MethodGet, j.id, nil)
	var body struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(answer, &body) != nil {
		body.State = fmt.Sprintf("answer %d", status)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	j.shown, j.shownAt = body.State, time.Now()
}

// submitOrdinary hands in an ordinary job every gap until the given time, and asks for the states of all.
func (c *customers) submitOrdinary(gap time.Duration, until time.Time) {
	for n := 0; time.Now().Before(until); n++ {
		j := &jobView{id: fmt.Sprintf("%016x", 0xa0000+n), measured: true, body: jobBody{
			Spec: "ms=300", Steps: []step{{Count: 2, CPU: 500, MemoryMB: 100, Estimate: 300}},
		}}
		c.group.Go(func() {
			c.submit(j, true)
			for time.Now().Before(until.Add(finishTime)) && !c.hasEnded(j) {
				time.Sleep(stateTime)
				c.ask(j)
			}
		})
		time.Sleep(gap)
	}
}

func (c *customers) hasEnded(j *jobView) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return j.acceptedAt.IsZero() || j.shown == "completed" || j.shown == "failed"
}

// millisOf returns what a task of a job takes. The caller holds c.mu.
func (c *customers) millisOf(id string) int64 {
	if j, ok := c.byID[id]; ok {
		return j.body.Steps[0].CPU
	}
	return 0
}

// look takes a look at the pool and at the ordinary jobs: a job stalls while it is accepted, none of its
// tasks was started, the workers run less than half of what they can, and there is room for it twice over.
func (c *customers) look() poolView {
	c.mu.Lock()
	defer c.mu.Unlock()
	pool := c.seen.pool(c.millisOf)
	now := time.Now()
	for _, j := range c.jobs {
		if !j.measured || j.acceptedAt.IsZero() {
			continue
		}
		started, _ := c.seen.startsOf(j.id)
		need := int64(j.body.Steps[0].Count) * j.body.Steps[0].CPU
		if started > 0 || 2*pool.usedMillis >= poolMillis || poolMillis-pool.usedMillis < 2*need {
			j.stalledAt = time.Time{}
			continue
		}
		if j.stalledAt.IsZero() {
			j.stalledAt = now
		}
		j.stalledFor = max(j.stalledFor, now.Sub(j.stalledAt))
	}
	return pool
}

// watch looks at the pool until the given time, and records a line each second.
func (c *customers) watch(until time.Time) {
	for n := 0; time.Now().Before(until); n++ {
		pool := c.look()
		if n%10 == 0 {
			c.recordPool(pool)
		}
		time.Sleep(lookTime)
	}
}

func (c *customers) recordPool(pool poolView) {
	c.mu.Lock()
	defer c.mu.Unlock()
	accepted, completed := 0, 0
	for _, j := range c.jobs {
		if j.measured && !j.acceptedAt.IsZero() {
			accepted++
			if j.shown == "completed" {
				completed++
			}
		}
	}
	c.rec.line("pool: %d of %d thousandths of a core in use; ends: %d taken note of, %d listed and not taken note of, %d of them for over %s; ordinary jobs: %d accepted, %d shown as completed",
		pool.usedMillis, poolMillis, pool.noted, pool.unnoted, pool.late, ackTimeout, accepted, completed)
}

// judge applies the rule and returns the exit status.
func (c *customers) judge(violations []string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	accepted, completed, stalled := 0, 0, 0
	for _, j := range c.jobs {
		if !j.measured || j.acceptedAt.IsZero() {
			continue
		}
		accepted++
		if j.shown == "completed" {
			completed++
		}
		n, first := c.seen.startsOf(j.id)
		wait := "never"
		if n > 0 {
			wait = fmt.Sprintf("%.2f s after its acceptance", first.Sub(j.acceptedAt).Seconds())
		}
		if j.stalledFor > stallTime+stallSlack {
			stalled++
			c.rec.line("LOST: job %s was accepted, had nothing running for %.1f s in a pool with room, and was started %s; shown last: %s",
				j.id, j.stalledFor.Seconds(), wait, j.shown)
		}
	}
	c.rec.line("ordinary jobs: %d accepted, %d shown as completed %s after the traffic, %d stalled for over %s; violations seen by the emulator: %v",
		accepted, completed, finishTime, stalled, stallTime, violations)
	switch {
	case accepted == 0:
		return 2
	case stalled > 0 || len(violations) > 0:
		return 1
	}
	return 0
}
