package relay

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/dispatch"
	"foldarch.dev/foldarch/pkg/poolrpc/poolpb"
	"foldarch.dev/foldarch/platform"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
)

// streamLimit is the size of a message at which a stream ends.
const streamLimit = 4 << 20

// Guards against a message that ends the stream to a relay. The next stream would end as well, since the workers
// list the same ends again.
func TestMessagesAreSmallerThanAStreamTakes(t *testing.T) {
	g := NewWithT(t)
	const items = 2000
	var mu sync.Mutex
	var orders, results int
	largest := 0
	record := func(m proto.Message, n int, to *int) bool {
		mu.Lock()
		defer mu.Unlock()
		largest = max(largest, proto.Size(m))
		*to += n
		return true
	}
	client, server := NewClient(time.Second, 0), NewServer(WorkerCalls{}, nil)
	for n := range items {
		client.orders.add(&poolpb.Order{Kind: poolpb.Order_START, Spec: fmt.Sprintf("%4000d", n)})
		server.results.add(&poolpb.Result{Number: int64(n), Finished: []*poolpb.Finished{{Checkpoint: strings.Repeat("x", 4000)}}})
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go client.Run(ctx, func(m *poolpb.OwnerMessage) bool { return record(m, len(m.GetOrders().Orders), &orders) })
	go server.Run(ctx, func(m *poolpb.MemberMessage) bool { return record(m, len(m.GetResults().Results), &results) })
	g.Eventually(func() [2]int {
		mu.Lock()
		defer mu.Unlock()
		return [2]int{orders, results}
	}, "5s").Should(Equal([2]int{items, items}))
	g.Expect(largest).To(BeNumerically("<", streamLimit))
	g.Expect(largest).To(BeNumerically(">", maxMessageBytes/2), "few messages")
}

func TestOrdersShareTheSpecOfTheirJob(t *testing.T) {
	g := NewWithT(t)
	orders := make([]*poolpb.Order, 2000)
	for n := range orders {
		orders[n] = &poolpb.Order{Spec: strings.Repeat("x", 4000)}
	}
	parts := 0
	for range chunks(orders, orderBytes) {
		parts++
	}
	g.Expect(parts).To(Equal(1))
}

// Guards against a report whose checkpoints, which nothing bounds, make it larger than a stream takes.
func TestReportWithLargeCheckpoints(t *testing.T) {
	g := NewWithT(t)
	large := strings.Repeat("x", 3<<20)
	var omitted []string

	server := NewServer(WorkerCalls{Poll: func(context.Context, platform.PollOrder) (dispatch.Answer, dispatch.Report, error) {
		return dispatch.Answer{}, dispatch.Report{
			Active:   []dispatch.ActiveRun{{Task: testTask(), Run: 1, Checkpoint: large}, {Task: testTask(), Run: 2, Checkpoint: "small"}},
			Finished: []dispatch.FinishedRun{{Number: 7, Task: testTask(), Run: 3, Checkpoint: large}},
		}, nil
	}}, func(worker dispatch.WorkerID, bytes, maxBytes int) {
		omitted = append(omitted, string(worker))
		g.Expect(bytes).To(BeNumerically(">", maxBytes))
	})
	r := server.execute(t.Context(), &poolpb.Order{Kind: poolpb.Order_HOLD, Worker: "w1", Address: "10.0.0.1:80"})
	g.Expect(proto.Size(r)).To(BeNumerically("<", maxMessageBytes))
	report, err := parseReport(r)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(report.Active).To(HaveLen(2))
	g.Expect(report.Active[1].Checkpoint).To(Equal("small"))
	g.Expect(report.Finished).To(HaveLen(1))
	g.Expect(omitted).To(Equal([]string{"w1"}))
}
