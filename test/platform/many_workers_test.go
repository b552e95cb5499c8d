package platform_test

import (
	"context"
	"flag"
	"io"
	"net/http"
	"os"
	"strconv"
	"testing"
	"time"

	"foldarch.dev/foldarch/platform/emulator"
	. "github.com/onsi/gomega"
)

var (
	manyHosts     = flag.Int("many.hosts", 4, "number of hosts of the pool with many workers")
	manyWorkers   = flag.Int("many.workers", 420, "number of workers of the pool with many workers")
	manySeconds   = flag.Int("many.seconds", 4, "how many seconds jobs are submitted to the pool with many workers")
	manyPerSecond = flag.Int("many.jobs", 40, "jobs submitted per second to the pool with many workers")
	ownerProfile  = flag.String("many.profile", "", "file to write a CPU profile of the pool's owner to")
)

func TestManyWorkers(t *testing.T) {
	c := newCell(t, *manyHosts, emulator.Options{Workers: *manyWorkers, Advice: true})
	span := time.Duration(*manySeconds) * time.Second
	ctx, cancel := context.WithTimeout(t.Context(), span)
	defer cancel()
	load := c.startLoad(ctx, *manyPerSecond, quickJob, chainJob, gangJob)
	if *ownerProfile != "" {
		c.profile(c.owner(), *ownerProfile, *manySeconds-1)
	}
	load.Wait()
	c.awaitJobs(30 * time.Second)
}

// profile records a CPU profile of a host's process for some seconds and writes it to a file.
func (c *cell) profile(host int, path string, seconds int) {
	url := "http://" + c.hosts[host].host.Operator + "/debug/pprof/profile?seconds=" + strconv.Itoa(seconds)
	res, err := http.Get(url)
	c.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = res.Body.Close() }()
	f, err := os.Create(path)
	c.Expect(err).NotTo(HaveOccurred())
	_, err = io.Copy(f, res.Body)
	c.Expect(err).NotTo(HaveOccurred())
	c.Expect(f.Close()).To(Succeed())
}
