package e2e

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/result"
	"foldarch.dev/foldarch/pkg/standin"
	"foldarch.dev/foldarch/pkg/store"
	. "github.com/onsi/gomega"
)

var (
	chaosSeed    = flag.Uint64("chaos.seed", 1, "seed of the faults and the traffic")
	chaosSeconds = flag.Int("chaos.seconds", 20, "how many seconds faults are injected")
)

// fault is a kind of fault. The function inject starts it and returns a function that ends it.
type fault struct {
	name   string
	inject func(x *chaosRun) (end func())
}

// chaosRun injects random faults into a running cell.
type chaosRun struct {
	cell            *cell
	rng             *rand.Rand
	busy            map[string]bool // entry hosts and workers that have a fault
	settingsChanges int             // number of settings changes so far
}

var faults = []fault{
	{"kill", func(x *chaosRun) func() {
		id := x.pickEntry()
		x.cell.entries[id].kill()
		return func() { x.cell.start(id); x.free(id) }
	}},
	{"pause", func(x *chaosRun) func() {
		id := x.pickEntry()
		x.cell.entries[id].signal(syscall.SIGSTOP)
		return func() { x.cell.entries[id].signal(syscall.SIGCONT); x.free(id) }
	}},
	{"planned stop", func(x *chaosRun) func() {
		id := x.pickEntry()
		x.cell.entries[id].signal(syscall.SIGTERM)
		return func() {
			Eventually(x.cell.entries[id].exited, maxWait).Should(BeClosed())
			x.cell.start(id)
			x.free(id)
		}
	}},
	{"hall replaced", func(x *chaosRun) func() {
		hall := halls[x.rng.IntN(len(halls))]
		ids := []string{hall + "-a", hall + "-b"}
		if x.busy[ids[0]] || x.busy[ids[1]] {
			return func() {}
		}
		for _, id := range ids {
			x.busy[id] = true
			x.cell.entries[id].kill()
		}
		return func() {
			for _, id := range ids {
				x.cell.start(id)
				x.free(id)
			}
		}
	}},
	{"store down", func(x *chaosRun) func() { return x.injectStoreFault(standin.StoreFaults{Down: true}) }},
	{"store slow", func(x *chaosRun) func() {
		return x.injectStoreFault(standin.StoreFaults{Delay: 300 * time.Millisecond})
	}},
	{"store loses answers", func(x *chaosRun) func() { return x.injectStoreFault(standin.StoreFaults{LoseAnswers: 2}) }},
	{"store limits rate", func(x *chaosRun) func() {
		return x.injectStoreFault(standin.StoreFaults{WritesPerSecond: 5, ReadsPerSecond: 10})
	}},
	{"hall cut from store", func(x *chaosRun) func() { return x.cutRandomHall(true, false, false) }},
	{"hall cut from halls", func(x *chaosRun) func() { return x.cutRandomHall(false, true, false) }},
	{"hall cut off", func(x *chaosRun) func() { return x.cutRandomHall(true, true, false) }},
	{"hall cut one way", func(x *chaosRun) func() { return x.cutRandomHall(false, true, true) }},
	{"worker lost", func(x *chaosRun) func() {
		w := x.pickWorker()
		x.cell.injectFault("worker", standin.WorkerFault{Worker: w, State: store.HostGone})
		return func() {
			x.cell.injectFault("worker", standin.WorkerFault{Worker: w, State: store.HostLive})
			x.free(w)
		}
	}},
	{"worker loses answers", func(x *chaosRun) func() {
		w := x.pickWorker()
		x.cell.injectFault("worker", standin.WorkerFault{Worker: w, LoseAnswers: 5})
		return func() { x.free(w) }
	}},
	{"settings change", func(x *chaosRun) func() {
		x.settingsChanges++
		_, _ = x.cell.foldarch("apply", "--store", x.cell.store.String(), x.cell.writeVariant(1000*int(*chaosSeed)+x.settingsChanges))
		return func() {}
	}},
}

func (x *chaosRun) free(id string) { delete(x.busy, id) }

// pickEntry reserves a random entry host without a fault. There always is one, since the other faults of a
// round, two at most, occupy no more than four of the six hosts.
func (x *chaosRun) pickEntry() string {
	return x.pick(x.cell.entryIDs)
}

func (x *chaosRun) pickWorker() string {
	var workers []string
	for _, hall := range halls {
		for i := range 3 {
			workers = append(workers, fmt.Sprintf("%s-w%d", hall, i))
		}
	}
	return x.pick(workers)
}

func (x *chaosRun) pick(ids []string) string {
	for {
		id := ids[x.rng.IntN(len(ids))]
		if !x.busy[id] {
			x.busy[id] = true
			return id
		}
	}
}

func (x *chaosRun) injectStoreFault(f standin.StoreFaults) func() {
	x.cell.injectFault("store", f)
	return func() { x.cell.injectFault("store", standin.StoreFaults{}) }
}

func (x *chaosRun) cutRandomHall(fromStore, fromHalls, oneWay bool) func() {
	hall := halls[x.rng.IntN(len(halls))]
	x.cell.cutHall(hall, fromStore, fromHalls, oneWay, true)
	return func() { x.cell.cutHall(hall, fromStore, fromHalls, oneWay, false) }
}

// injectRound injects one to three faults at a time and ends them in random order. It counts the faults by
// name.
func (x *chaosRun) injectRound(names map[string]int) {
	var ends []func()
	for range 1 + x.rng.IntN(3) {
		f := faults[x.rng.IntN(len(faults))]
		names[f.name]++
		ends = append(ends, f.inject(x))
		time.Sleep(time.Duration(x.rng.IntN(600)) * time.Millisecond)
	}
	time.Sleep(time.Duration(500+x.rng.IntN(5000)) * time.Millisecond)
	x.rng.Shuffle(len(ends), func(i, j int) { ends[i], ends[j] = ends[j], ends[i] })
	for _, end := range ends {
		end()
	}
	time.Sleep(time.Duration(x.rng.IntN(2500)) * time.Millisecond)
}

// TestChaos injects random faults, drawn from a seed, into a cell under traffic and then compares the answers
// that callers got with the run log of the stand-ins. The test fails if a hall does not recover or if answers
// and run log disagree. How many requests succeeded under the faults does not matter.
func TestChaos(t *testing.T) {
	RegisterTestingT(t)
	c := newCell(t, halls, 3, 2, "[times]\ntask_lease = \"3s\"\nreport_every = \"500ms\"\n")
	c.apply()
	c.awaitEndpoints(4)
	tr := c.startTraffic(12, *chaosSeed)
	tr.goroutines.Go(tr.watchRevisions)
	x := &chaosRun{cell: c, rng: rand.New(rand.NewPCG(*chaosSeed, 77)), busy: map[string]bool{}}
	names := map[string]int{}
	for end := time.Now().Add(time.Duration(*chaosSeconds) * time.Second); time.Now().Before(end); {
		x.injectRound(names)
	}
	faultsEnded := time.Now()
	for _, hall := range halls {
		Eventually(tr.succeededSince(hall, faultsEnded), maxWait).Should(BeTrue(), "hall "+hall+" does not recover")
	}
	violations := tr.violations()
	printSummary(tr, names, violations)
	if len(violations) > 0 {
		t.Errorf("seed %d: %d violations:\n%s", *chaosSeed, len(violations), strings.Join(violations, "\n"))
	}
}

func printSummary(tr *traffic, names map[string]int, violations []string) {
	outcomes := map[string]int{}
	for _, s := range tr.sent {
		switch {
		case s.reply.ok() || s.reply.status == 202:
			outcomes["done or accepted"]++
		case s.reply.err != nil:
			outcomes["connection lost"]++
		default:
			outcomes["ran: "+string(s.reply.problem.Ran)+", "+result.Code(s.reply.problem.Code).String()]++
		}
	}
	w := os.Stdout
	fmt.Fprintf(w, "chaos seed %d, %d s: %d requests\n", *chaosSeed, *chaosSeconds, len(tr.sent))
	for _, name := range slices.Sorted(maps.Keys(outcomes)) {
		fmt.Fprintf(w, "  %-40s %6d\n", name, outcomes[name])
	}
	fmt.Fprintln(w, "faults injected:")
	for _, name := range slices.Sorted(maps.Keys(names)) {
		fmt.Fprintf(w, "  %-40s %6d\n", name, names[name])
	}
	fmt.Fprintf(w, "violations: %d\n", len(violations))
}
