package main

import (
	"encoding/json"
	"time"
)

const (
	waveKey    = "op/wave/1"
	waveStatus = "status/wave/1"
	waveLimit  = 60 * time.Second
	// crashDelay is from the call without an answer to the crash of its machine, crashTime how long that is
	// down.
	crashDelay = time.Second
	crashTime  = 4500 * time.Millisecond
)

// waveMachines are the machines of the wave; troubled is the one that meets the disruptions.
var waveMachines = []int{0, 1, 2}

const troubled = 1

// playWave requests an upkeep of three machines, one at a time. With the disruption, the first call for one of
// them gets no answer and is not done, and its worker crashes a second later.
func playWave(e environment, trouble bool) int {
	crashed := false
	e.machines.unanswered = func(n int) bool {
		if !trouble || n != troubled || crashed {
			return false
		}
		crashed = true
		time.AfterFunc(crashDelay, func() { e.machines.crash(n, crashTime) })
		return true
	}
	c := e.customers
	until := time.Now().Add(waveLimit)
	c.group.Go(func() { c.submitOrdinary(2*ordinaryGap, time.Now().Add(waveLimit/2)) })
	var names []string
	for _, n := range waveMachines {
		names = append(names, machineName(n))
	}
	text, _ := json.Marshal(map[string]any{"rolloutWave": 1, "machineFailures": names, "durationS": waveLimit.Seconds(), "maxTasks": 1})
	e.platform.Store.Put(waveKey, text)
	c.rec.line("sent %s %s", waveKey, text)
	shown := ""
	for time.Now().Before(until) && shown != "completed" {
		time.Sleep(lookTime)
		var body struct {
			State string `json:"state"`
		}
		_ = json.Unmarshal(e.platform.Store.Value(waveStatus), &body)
		if body.State != shown {
			shown = body.State
			c.rec.line("%s shows the wave as %s; not begun: %v", waveStatus, shown, e.machines.notBegun(waveMachines))
		}
	}
	c.group.Wait()
	left := e.machines.notBegun(waveMachines)
	c.rec.line("the wave is shown as %q; machines whose upkeep has not begun: %v", shown, left)
	switch {
	case shown != "completed":
		return 2
	case len(left) > 0:
		c.rec.line("MIXED: the wave shows as completed, and the upkeep of %v has not begun", left)
		return 1
	}
	return 0
}
