package poolowner

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/dispatch"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/platform"
	. "github.com/onsi/gomega"
)

// Guards against orders that are sent after another owner may have taken over. A host may be suspended
// for seconds between a decision and the call that carries it out. The timers of the Go runtime stop
// meanwhile, so none of them ends the call; only the lease clock goes on.
func TestOrderDelayedByHostSuspensionIsNotSent(t *testing.T) {
	g := NewWithT(t)
	var calls atomic.Int64
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		_, _ = w.Write([]byte(`{"clockMs":1}`))
	}))
	defer worker.Close()
	o, now := newOwnerWithMembers(t, 0, sufficientStrength)
	renewed := *now
	o.deps.HasLease = func(now clock.Time) bool { return now.Sub(renewed) < AuthorityTerm }
	o.deps.Workers = platform.NewWorkerClient(time.Second, 0, nil)
	address := netip.MustParseAddrPort(strings.TrimPrefix(worker.URL, "http://"))
	info := dispatch.WorkerInfo{ID: "w", Pool: "p", Address: address, Capacity: cell.Resources{CPUMillis: 1000}}
	o.pool.UpsertWorker(info, true, *now)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := &workerSession{owner: o, id: "w", orders: newOrderQueue(ctx, &o.background), cancel: cancel, fencing: make(chan struct{}, 1)}
	start := dispatch.StartOrder{Task: job.TaskID{StepID: job.StepID{Job: "a"}}, Run: 1, Worker: "w", Address: address, Token: 1, Deadline: 5000}

	o.sendStart(s, start)
	o.background.Wait()
	g.Expect(calls.Load()).To(Equal(int64(1)), "the owner has authority")

	*now = now.Add(5 * time.Second) // suspended; nothing else has happened
	o.sendStart(s, start)
	o.background.Wait()
	g.Expect(calls.Load()).To(Equal(int64(1)))
}
