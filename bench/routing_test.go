package bench

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/routing"
)

const (
	endpointCount    = 25
	slotsPerEndpoint = 8
)

func newRouter(queue int) *routing.Router {
	r := routing.New()
	r.PutService("s", routing.Service{QueueLimit: queue})
	for i := range endpointCount {
		r.PutEndpoint("s", fmt.Sprintf("e%02d", i), slotsPerEndpoint, false)
	}
	return r
}

// BenchmarkRoute measures one routing decision and the release of its slot while three quarters of the slots
// are taken.
func BenchmarkRoute(b *testing.B) {
	r := newRouter(1000)
	const inFlight = endpointCount * slotsPerEndpoint * 3 / 4
	var sent [inFlight]*routing.Endpoint
	var requests [inFlight]routing.Request
	for i := range sent {
		requests[i] = routing.Request{Service: "s", Caller: "c", Deadline: 1 << 60}
		sent[i] = r.Route(&requests[i], 0).Endpoint
	}
	i := 0
	decide := func() {
		r.Release(sent[i], routing.Served, time.Millisecond, 1)
		sent[i] = r.Route(&requests[i], 1).Endpoint
		i = (i + 1) % inFlight
	}
	recordFigure(b, "route_allocs", testing.AllocsPerRun(1000, decide), "allocs")
	// Benchmarks run with -benchtime 1x, so the number of decisions is fixed here.
	const n = 1 << 20
	for b.Loop() {
		begin := time.Now()
		for range n {
			decide()
		}
		recordFigure(b, "route_ns", float64(time.Since(begin).Nanoseconds())/n, "ns")
	}
}

// arrival is a request of a simulated load.
type arrival struct {
	arrivedAt clock.Time // in microseconds, as all times of the simulations
	work      int64      // time that an endpoint needs, in microseconds
	class     routing.Class
	request   routing.Request
}

// newLoad returns n random arrivals whose work takes the given share of the capacity of all slots. One in
// eight is a tick, which is urgent.
func newLoad(seed uint64, n int, utilization float64) []*arrival {
	rng := rand.New(rand.NewPCG(seed, 1))
	const meanWork = 20000.0
	gap := meanWork / (utilization * endpointCount * slotsPerEndpoint)
	var at float64
	list := make([]*arrival, 0, n)
	for range n {
		at += rng.ExpFloat64() * gap
		a := &arrival{arrivedAt: clock.Time(at), work: int64(meanWork*0.5 + meanWork*0.5*rng.ExpFloat64()), class: routing.Normal}
		if rng.IntN(8) == 0 {
			a.class = routing.Urgent
		}
		list = append(list, a)
	}
	return list
}

// completion is the end of a request that an endpoint runs.
type completion struct {
	at       clock.Time
	arrival  *arrival
	endpoint *routing.Endpoint
}

type completionHeap []completion

func (h completionHeap) Len() int           { return len(h) }
func (h completionHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h completionHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *completionHeap) Push(x any)        { *h = append(*h, x.(completion)) }
func (h *completionHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// simulationResult is the result of a simulated load.
type simulationResult struct {
	waits   map[routing.Class][]float64
	done    map[routing.Class]int
	refused map[routing.Class]int
	lastEnd clock.Time
}

func newSimulationResult() *simulationResult {
	return &simulationResult{waits: map[routing.Class][]float64{}, done: map[routing.Class]int{}, refused: map[routing.Class]int{}}
}

// simulate runs a load through the router. Requests expire after limit.
func simulate(list []*arrival, queue int, limit clock.Time) *simulationResult {
	r := newRouter(queue)
	s := newSimulationResult()
	var busy completionHeap
	take := func(now clock.Time, decisions ...routing.Decision) {
		for _, d := range decisions {
			if d.Evicted != nil {
				s.refused[d.Evicted.Tag.(*arrival).class]++
			}
			a := d.Request.Tag.(*arrival)
			switch d.Kind {
			case routing.Send:
				s.waits[a.class] = append(s.waits[a.class], float64(now-a.arrivedAt))
				s.done[a.class]++
				heap.Push(&busy, completion{now + clock.Time(a.work), a, d.Endpoint})
			case routing.Queued:
			default:
				s.refused[a.class]++
			}
		}
	}
	release := func(until clock.Time) {
		for len(busy) > 0 && busy[0].at <= until {
			x := heap.Pop(&busy).(completion)
			s.lastEnd = x.at
			take(x.at, r.Release(x.endpoint, routing.Served, time.Duration(x.arrival.work)*time.Microsecond, x.at)...)
		}
	}
	for _, a := range list {
		release(a.arrivedAt)
		take(a.arrivedAt, r.Expire(a.arrivedAt)...)
		a.request = routing.Request{Service: "s", Caller: "c", Class: a.class, Deadline: a.arrivedAt + limit, Tag: a}
		take(a.arrivedAt, r.Route(&a.request, a.arrivedAt))
	}
	release(1 << 60)
	return s
}

// simulateIdeal runs a load through one queue that all slots share: urgent requests first, then in order of
// arrival.
func simulateIdeal(list []*arrival) *simulationResult {
	s := newSimulationResult()
	var busy completionHeap
	var waiting [2][]*arrival
	free := endpointCount * slotsPerEndpoint
	startAll := func(now clock.Time) {
		for class := range waiting {
			for free > 0 && len(waiting[class]) > 0 {
				a := waiting[class][0]
				waiting[class] = waiting[class][1:]
				free--
				s.waits[a.class] = append(s.waits[a.class], float64(now-a.arrivedAt))
				heap.Push(&busy, completion{at: now + clock.Time(a.work), arrival: a})
			}
		}
	}
	release := func(until clock.Time) {
		for len(busy) > 0 && busy[0].at <= until {
			x := heap.Pop(&busy).(completion)
			free++
			startAll(x.at)
		}
	}
	for _, a := range list {
		release(a.arrivedAt)
		waiting[a.class] = append(waiting[a.class], a)
		startAll(a.arrivedAt)
	}
	release(1 << 60)
	return s
}

// simulatePartitioned runs a load through one queue per endpoint. The function pick chooses the endpoint of
// each request. It is the baseline of routers that do not know which slots are free.
func simulatePartitioned(list []*arrival, pick func(i int) int) *simulationResult {
	s := newSimulationResult()
	var free [endpointCount][]clock.Time // the time from which each slot is free
	for e := range free {
		free[e] = make([]clock.Time, slotsPerEndpoint)
	}
	for i, a := range list {
		slots := free[pick(i)]
		best := 0
		for j := range slots {
			if slots[j] < slots[best] {
				best = j
			}
		}
		start := max(a.arrivedAt, slots[best])
		slots[best] = start + clock.Time(a.work)
		s.waits[a.class] = append(s.waits[a.class], float64(start-a.arrivedAt))
	}
	return s
}

// BenchmarkWaiting compares the waiting time at 95% load with that of one ideal queue, for the router and for
// baselines without knowledge of the slots.
func BenchmarkWaiting(b *testing.B) {
	for b.Loop() {
		const n, utilization, noLimit = 400000, 0.95, 1 << 50
		ours, best := simulate(newLoad(1, n, utilization), n, noLimit), simulateIdeal(newLoad(1, n, utilization))
		roundRobin := simulatePartitioned(newLoad(1, n, utilization), func(i int) int { return i % endpointCount })
		rng := rand.New(rand.NewPCG(5, 5))
		random := simulatePartitioned(newLoad(1, n, utilization), func(int) int { return rng.IntN(endpointCount) })
		// One microsecond is added to each wait, since the ratio of waits near zero would say little.
		ratio := func(s *simulationResult, class routing.Class) float64 {
			return (quantile(s.waits[class], 0.99) + 1) / (quantile(best.waits[class], 0.99) + 1)
		}
		recordFigure(b, "tick_wait_p99_ratio", ratio(ours, routing.Urgent), "x_ideal")
		recordFigure(b, "recap_wait_p99_ratio", ratio(ours, routing.Normal), "x_ideal")
		recordFigure(b, "recap_wait_p99_ratio_round_robin", ratio(roundRobin, routing.Normal), "x_ideal")
		recordFigure(b, "recap_wait_p99_ratio_random", ratio(random, routing.Normal), "x_ideal")
	}
}

// BenchmarkOverload compares the rate of requests completed within their deadline at a load of twice the
// capacity with that at a load equal to the capacity.
func BenchmarkOverload(b *testing.B) {
	for b.Loop() {
		const n, queue, limit = 200000, 256, 200000
		atCapacity, atTwice := simulate(newLoad(2, n, 1), queue, limit), simulate(newLoad(2, 2*n, 2), queue, limit)
		rate := func(s *simulationResult) float64 {
			return float64(s.done[routing.Normal]+s.done[routing.Urgent]) / float64(s.lastEnd)
		}
		recordFigure(b, "goodput_at_2x", rate(atTwice)/rate(atCapacity), "x_capacity")
		ticks := atTwice.done[routing.Urgent] + atTwice.refused[routing.Urgent]
		recordFigure(b, "tick_loss_at_2x", float64(atTwice.refused[routing.Urgent])/float64(ticks), "part")
	}
}
