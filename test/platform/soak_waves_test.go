package platform_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/platform/emulator"
	. "github.com/onsi/gomega"
)

const (
	soakWaveDuration = 10 * time.Second
	maxSoakWaves     = 4
	// waveCompletionTime is how long after the last fault all waves may take.
	waveCompletionTime = 60 * time.Second
)

// injectMachineFault returns a function that sets a fault of the machine service for 0.5 to 4 s.
func injectMachineFault(f emulator.MachineFault) func(*cell, *rand.Rand) {
	return func(c *cell, r *rand.Rand) {
		c.p.SetMachineFault(f)
		time.Sleep(randomDuration(r, 500*time.Millisecond, 4*time.Second))
		c.p.SetMachineFault(emulator.MachineFault{})
	}
}

var machineFaults = []soakFault{
	{"machine service silent", injectMachineFault(emulator.MachineFault{Silent: true})},
	{"machine service busy", injectMachineFault(emulator.MachineFault{Busy: true})},
	{"upkeep orders dropped", injectMachineFault(emulator.MachineFault{DroppedShare: 0.5})},
	{"upkeep orders unanswered", injectMachineFault(emulator.MachineFault{LostAnswerShare: 0.5})},
	{"upkeep orders late", injectMachineFault(emulator.MachineFault{LateShare: 0.5, LateDelay: 2500 * time.Millisecond})},
	{"machine lists incomplete", injectMachineFault(emulator.MachineFault{OmittedShare: 0.2})},
}

// startWaves requests upkeep waves over random machines, which waves share, until ctx ends, and writes some of
// them again with one more machine. The load is done when the last one has been requested.
func (c *cell) startWaves(ctx context.Context, r *rand.Rand, load *sync.WaitGroup) {
	load.Go(func() {
		var waves []emulator.Wave
		for {
			clock.Sleep(ctx, randomDuration(r, 300*time.Millisecond, 4*time.Second))
			if ctx.Err() != nil {
				return
			}
			if len(waves) < maxSoakWaves {
				waves = append(waves, c.randomWave(r, int64(len(waves)+1)))
				c.p.PutWave(waves[len(waves)-1])
				continue
			}
			w := &waves[r.IntN(len(waves))]
			w.Machines = withOneMore(w.Machines, c.p.MachinesOf(len(c.p.Workers)))
			c.p.PutWave(*w)
		}
	})
}

// randomWave returns a wave over half of the machines.
func (c *cell) randomWave(r *rand.Rand, number int64) emulator.Wave {
	machines := c.p.MachinesOf(len(c.p.Workers))
	r.Shuffle(len(machines), func(i, j int) { machines[i], machines[j] = machines[j], machines[i] })
	return emulator.Wave{Number: number, Machines: machines[:(len(machines)+1)/2], AtOnce: 1 + r.IntN(2), Duration: soakWaveDuration}
}

// withOneMore returns the machines and the first of all that is not among them, if there is one.
func withOneMore(machines, all []string) []string {
	for _, m := range all {
		if !slices.Contains(machines, m) {
			return append(slices.Clone(machines), m)
		}
	}
	return machines
}

// awaitWaves waits until all requested waves are reported as completed.
func (c *cell) awaitWaves() {
	c.p.SetMachineFault(emulator.MachineFault{})
	c.Eventually(c.p.OpenWaves, waveCompletionTime, "100ms").Should(BeEmpty(), "waves end")
	c.t.Logf("answers to upkeep orders: %v", c.p.MachineAnswers())
}
