package platform_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/cli"
	"foldarch.dev/foldarch/pkg/jobapi/jobsapi"
	"foldarch.dev/foldarch/pkg/result"
	"foldarch.dev/foldarch/platform/emulator"
	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
)

const (
	apiQueue = "fits"
	apiJobID = jobsapi.JobID("5c0e7a21d94b36f8")
)

// jobsClient returns a client of foldarch's own job API at a host.
func (c *cell) jobsClient(n int) *jobsapi.Client {
	client, err := jobsapi.NewClient("http://" + c.hosts[n].host.Operator)
	c.Expect(err).NotTo(HaveOccurred())
	return client
}

// recordJob registers a job that is submitted through foldarch's own API with the checker of the platform.
func (c *cell) recordJob(spec string, count int) {
	c.p.Checker.RecordSubmission(string(apiJobID), spec, []emulator.Step{{Count: count, CPU: 1000, MemoryMB: 1000, Estimate: 150}})
}

// oneStepJob returns a request for a job of one step.
func oneStepJob(spec string, count int) *jobsapi.JobRequest {
	return &jobsapi.JobRequest{
		Spec: jobsapi.NewOptString(spec),
		Steps: []jobsapi.Step{{
			Count: count, CPUMillis: jobsapi.NewOptInt64(1000), MemoryMB: jobsapi.NewOptInt64(1000), EstimateMs: jobsapi.NewOptInt64(150),
		}},
	}
}

func TestJobAPISubmitsJobs(t *testing.T) {
	c := newCell(t, 2, emulator.Options{Workers: 2})
	ctx := context.Background()
	c.recordJob("ms=150", 3)
	for n := range c.hosts { // the second submission changes nothing
		status, err := c.jobsClient(n).SubmitJob(ctx, oneStepJob("ms=150", 3), jobsapi.SubmitJobParams{Queue: apiQueue, ID: apiJobID})
		c.Expect(err).NotTo(HaveOccurred())
		c.Expect(status.ID).To(Equal(apiJobID))
	}
	for n := range c.hosts {
		c.Eventually(func() (jobsapi.JobStatusState, error) {
			status, err := c.jobsClient(n).ReadJob(ctx, jobsapi.ReadJobParams{ID: apiJobID})
			if err != nil {
				return "", err
			}
			return status.State, nil
		}, "10s", "50ms").Should(Equal(jobsapi.JobStatusStateCompleted))
	}
	c.Expect(c.p.Checker.Ends("done")).To(Equal(3))
	c.awaitJobs(5 * time.Second)
}

func TestJobAPICancelsJobs(t *testing.T) {
	c := newCell(t, 2, emulator.Options{Workers: 1})
	ctx := context.Background()
	c.recordJob("ms=60000", 1)
	_, err := c.jobsClient(0).SubmitJob(ctx, oneStepJob("ms=60000", 1), jobsapi.SubmitJobParams{Queue: apiQueue, ID: apiJobID})
	c.Expect(err).NotTo(HaveOccurred())
	status, err := c.jobsClient(1).CancelJob(ctx, jobsapi.CancelJobParams{ID: apiJobID})
	c.Expect(err).NotTo(HaveOccurred())
	c.Expect(status.State).To(Equal(jobsapi.JobStatusStateCancelled))
	c.Eventually(func() int {
		queue, err := c.jobsClient(1).ReadQueue(ctx, jobsapi.ReadQueueParams{Queue: apiQueue})
		if err != nil {
			return -1
		}
		return queue.Pending
	}, "5s", "50ms").Should(Equal(0))
	c.awaitJobs(5 * time.Second)
}

func TestJobAPIReportsErrors(t *testing.T) {
	c := newCell(t, 1, emulator.Options{Workers: 1})
	ctx := context.Background()
	client := c.jobsClient(0)
	codeOf := func(err error) result.Code {
		var p *jobsapi.ProblemStatusCodeWithHeaders
		c.Expect(errors.As(err, &p)).To(BeTrue(), "%v", err)
		return result.Code(p.Response.Code)
	}
	_, err := client.SubmitJob(ctx, oneStepJob("", 1), jobsapi.SubmitJobParams{Queue: "none", ID: apiJobID})
	c.Expect(codeOf(err)).To(Equal(result.UnknownQueue))
	invalid := oneStepJob("", 1)
	invalid.Steps[0].After = []int{4}
	_, err = client.SubmitJob(ctx, invalid, jobsapi.SubmitJobParams{Queue: apiQueue, ID: apiJobID})
	c.Expect(codeOf(err)).To(Equal(result.Malformed))
	c.Expect(err.Error()).To(ContainSubstring("steps[0].after"))
	_, err = client.ReadJob(ctx, jobsapi.ReadJobParams{ID: apiJobID})
	c.Expect(codeOf(err)).To(Equal(result.UnknownJob))
	c.p.Store.SetMode(emulator.StoreBusy)
	defer c.p.Store.SetMode(emulator.StoreUp)
	_, err = client.SubmitJob(ctx, oneStepJob("", 1), jobsapi.SubmitJobParams{Queue: apiQueue, ID: apiJobID})
	c.Expect(codeOf(err)).To(Equal(result.StoreDown))
}

// writeFile writes a file into the directory of the cell.
func (c *cell) writeFile(name, text string) {
	c.Expect(os.WriteFile(filepath.Join(c.dir, name), []byte(text), 0o600)).To(Succeed())
}

// runCommand runs the command foldarch and returns its output.
func runCommand(args ...string) string {
	var out bytes.Buffer
	cli.Main(args, &out, &out)
	return strings.TrimSpace(out.String())
}

func TestJobCommands(t *testing.T) {
	c := newCell(t, 1, emulator.Options{Workers: 1})
	host, id := c.hosts[0].host.Operator, string(apiJobID)
	c.writeFile("job.json", `{"spec":"ms=60000","steps":[{"count":1,"cpu_millis":1000,"memory_mb":1000}]}`)
	c.recordJob("ms=60000", 1)
	c.Expect(runCommand("job", "submit", "--host", host, "--queue", apiQueue, id, filepath.Join(c.dir, "job.json"))).To(Equal(id + " queued"))
	c.Eventually(func() string { return runCommand("job", "state", "--host", host, id) }, "5s", "50ms").Should(Equal(id + " running"))
	c.Expect(runCommand("job", "--host", host, id)).To(ContainSubstring("task 0 run 1"))
	c.Expect(runCommand("job", "cancel", "--host", host, id)).To(Equal(id + " cancelled"))
	c.Expect(runCommand("job", "queue", "--host", host, apiQueue)).To(Equal(apiQueue + ": 0 pending"))
	c.Expect(runCommand("job", "queue", "--host", host, "none")).To(ContainSubstring("unknown_queue (410)"))
}
