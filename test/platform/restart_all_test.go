package platform_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/jobstore"
	"foldarch.dev/foldarch/platform/emulator"
	. "github.com/onsi/gomega"
)

// knownWithin is how long after their start all hosts answer for each accepted job at the latest: callers ask for all
// their jobs 14 s after the last traffic.
const knownWithin = 14 * time.Second

// askTimeout is how long a caller waits for an answer.
const askTimeout = 3 * time.Second

// Guards against hosts that deny an accepted job, or give no answer about it, while all of them restart, elect an
// owner and load the jobs: callers ask every host meanwhile.
func TestAcceptedJobsAreKnownWhileAllHostsRestart(t *testing.T) {
	cases := map[string]struct {
		endedJobs  int
		storeDelay time.Duration
		linkDelay  time.Duration // of each piece of data between a host and the store
	}{
		"as_usual":                    {},
		"from_a_slow_store":           {storeDelay: 150 * time.Millisecond},
		"beside_thousands_that_ended": {endedJobs: 6000, linkDelay: 10 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := newCell(t, 8, emulator.Options{Workers: 8, HostHalls: 2, Halls: 2})
			c.storeEndedJobs(tc.endedJobs)
			var ids []string
			for range 40 {
				id, _ := c.submit(jobKind{"ms=3000", []emulator.Step{{Count: 2, CPU: 1000, MemoryMB: 500, Estimate: 3000}}})
				ids = append(ids, id)
			}
			c.p.Store.SetDelay(tc.storeDelay)
			for _, k := range c.storeLinks {
				k.set(linkFault{delay: tc.linkDelay})
			}
			c.restartAll()
			c.expectKnownOnAllHosts(ids, knownWithin)
			c.p.Store.SetDelay(0)
			for _, k := range c.storeLinks {
				k.set(linkFault{})
			}
			c.awaitJobs(30 * time.Second)
		})
	}
}

// storeEndedJobs stores the outcomes of n jobs.
func (c *cell) storeEndedJobs(n int) {
	outcome, err := job.Record{Outcome: job.Completed}.Encode()
	c.Expect(err).NotTo(HaveOccurred())
	for i := range n {
		c.p.Store.Put(jobstore.JobKey(job.ID(fmt.Sprintf("%016x", i+1))), outcome)
	}
}

// restartAll kills the processes of all hosts at once and starts them again.
func (c *cell) restartAll() {
	var kills sync.WaitGroup
	for n := range c.hosts {
		kills.Go(func() { c.kill(n) })
	}
	kills.Wait()
	for n := range c.hosts {
		c.start(n)
	}
}

// expectKnownOnAllHosts asks every host for each job until the host has answered for all of them, and checks that
// this takes less than the given time and that no job is denied.
func (c *cell) expectKnownOnAllHosts(ids []string, within time.Duration) {
	client := &http.Client{Timeout: askTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	begun := time.Now()
	var denied atomic.Int64
	var asks sync.WaitGroup
	for n := range c.hosts {
		asks.Go(func() {
			for _, id := range ids {
				for time.Since(begun) < within {
					status := c.ask(client, n, id)
					if status == http.StatusOK {
						break
					}
					if status == http.StatusGone {
						denied.Add(1)
					}
					time.Sleep(20 * time.Millisecond)
				}
			}
			took := time.Since(begun)
			c.t.Logf("host %d: the last answer came after %v", n, took.Round(time.Millisecond))
			if took >= within {
				c.t.Errorf("host %d has not answered for all jobs after %v", n, within)
			}
		})
	}
	asks.Wait()
	c.Expect(denied.Load()).To(BeZero(), "answers that deny an accepted job")
}

// ask asks a host for the state of a job and returns the status of the answer; 0 if there was none.
func (c *cell) ask(client *http.Client, n int, id string) int {
	r, err := http.NewRequest(http.MethodGet, "http://"+c.hosts[n].host.Frontend+emulator.PathPrefix+id, nil)
	c.Expect(err).NotTo(HaveOccurred())
	r.Host = emulator.QueueHost
	res, err := client.Do(r)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}
