package trace

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Generate generates a trace. The same name and seed always give the same trace.
func Generate(name Name, seed uint64) []Event {
	g := &generator{rng: rand.New(rand.NewPCG(seed, uint64(len(name))))}
	switch name {
	case Hanbit:
		g.hanbit()
	case Association:
		g.association()
	}
	slices.SortStableFunc(g.events, func(a, b Event) int { return cmp.Compare(a.AtMS, b.AtMS) })
	return g.events
}

type generator struct {
	rng    *rand.Rand
	events []Event
}

func (g *generator) add(e Event) {
	e.Key = fmt.Sprintf("%s-%04d", e.Workload, len(g.events))
	g.events = append(g.events, e)
}

// poisson calls f for the events of a Poisson process of rate events per second between begin and end. It
// passes the time of each event in milliseconds.
func (g *generator) poisson(begin, end time.Duration, rate float64, f func(at int64)) {
	for at := begin.Seconds(); ; {
		at += g.rng.ExpFloat64() / rate
		if at >= end.Seconds() {
			return
		}
		f(int64(at * 1000))
	}
}

// skewedMS returns a random duration in milliseconds with the given mean and a long tail.
func (g *generator) skewedMS(mean float64) int64 {
	return int64(mean*0.6 + mean*0.4*g.rng.ExpFloat64())
}

// The Hanbit trace compresses a morning into two minutes: requests for stat sheets at a constant rate, and
// games in which each goal causes a burst of score ticks, followed by requests for recaps.
const (
	hanbitLength = 2 * time.Minute
	hanbitGames  = 6
)

func (g *generator) hanbit() {
	g.poisson(0, hanbitLength, 6, func(at int64) {
		g.add(Event{AtMS: at, Workload: "sheets", Caller: fmt.Sprintf("app-%d", g.rng.IntN(20)), Class: "background", WorkMS: g.skewedMS(12), LimitMS: 8000})
	})
	for game := range hanbitGames {
		begin := time.Duration(g.rng.IntN(60)) * time.Second
		g.game(game, begin)
	}
}

// game adds the requests caused by the goals of one game.
func (g *generator) game(game int, begin time.Duration) {
	const goals = 3
	for goal := range goals {
		at := begin + time.Duration(goal)*15*time.Second + time.Duration(g.rng.IntN(8000))*time.Millisecond
		g.poisson(at, at+3*time.Second, 25, func(ms int64) {
			g.add(Event{AtMS: ms, Workload: "ticks", Caller: fmt.Sprintf("app-%d", g.rng.IntN(20)), Class: "urgent", WorkMS: g.skewedMS(4), LimitMS: 2000, NotRepeatable: true})
		})
		g.poisson(at+2*time.Second, at+10*time.Second, 1.5, func(ms int64) {
			g.add(Event{AtMS: ms, Workload: "recaps", Caller: fmt.Sprintf("broadcaster-%d", game%3), Class: "normal", WorkMS: g.skewedMS(60), LimitMS: 8000})
		})
	}
}

// The Association trace compresses a day into four minutes: fits and lookups at a constant rate, alloy
// screens in sweeps, and publications, which must not be executed more than once.
const associationLength = 4 * time.Minute

func (g *generator) association() {
	members := []string{"foundry", "polymer", "testing"}
	member := func() string { return members[g.rng.IntN(len(members))] }
	g.poisson(0, associationLength, 0.8, func(at int64) {
		g.add(Event{AtMS: at, Workload: "fit", Batch: true, Caller: member(), Team: "members", WorkMS: g.skewedMS(400), CPUMillis: 2000, MemoryMB: 4096, WindowMS: 60000})
	})
	for sweep := range 4 {
		begin := time.Duration(20+sweep*50) * time.Second
		caller := member()
		g.poisson(begin, begin+8*time.Second, 5, func(at int64) {
			g.add(Event{AtMS: at, Workload: "screen", Batch: true, Caller: caller, Team: "screens", WorkMS: g.skewedMS(250), CPUMillis: 1000, MemoryMB: 2048, WindowMS: 120000})
		})
	}
	g.poisson(0, associationLength, 0.15, func(at int64) {
		g.add(Event{AtMS: at, Workload: "publish", Batch: true, Caller: member(), Team: "members", WorkMS: g.skewedMS(80), NotRepeatable: true, CPUMillis: 500, MemoryMB: 512, WindowMS: 30000})
	})
	g.poisson(0, associationLength, 3, func(at int64) {
		g.add(Event{AtMS: at, Workload: "lookup", Caller: member(), Class: "normal", WorkMS: g.skewedMS(8), LimitMS: 5000})
	})
}
