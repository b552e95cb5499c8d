package main

import (
	"encoding/json"
	"fmt"
	"time"
)

const (
	waveMachines = 3
	waveWorkers  = 6
	waveDuration = 30 * time.Second
	// cloudSilence is shorter than the 5 s that the list of kinds gives for cloud_down.
	cloudSilence = 1500 * time.Millisecond
	waveTime     = 60 * time.Second // until both waves have to be shown as completed
)

// playWaves plays two waves that name the same machines. The service of machines is silent for a while, from
// the first upkeep that is asked for.
func playWaves(w *world) int {
	w.putConfig()
	for n := range waveWorkers {
		x, err := newWorker(w, n)
		if err != nil {
			return couldNotPlay
		}
		w.workers = append(w.workers, x)
	}
	job := map[string]any{"spec": "fill ms=300", "steps": []any{map[string]any{"count": 1, "cpu": 1000, "memMb": 100, "estimatedMs": 300}}}
	if !w.submit("fill", "00000000000000c3", job) {
		return couldNotPlay
	}
	time.Sleep(4 * time.Second) // leaseMs after the first owner
	if w.trouble {
		w.cloud.mu.Lock()
		w.cloud.silenceOn = cloudSilence
		w.cloud.mu.Unlock()
	}
	w.putWave(1)
	w.putWave(2)
	shown := map[int64]string{}
	complete := until(waveTime, func() bool {
		for wave := int64(1); wave <= 2; wave++ {
			if state := w.waveState(wave); state != shown[wave] {
				shown[wave] = state
				w.note("wave %d is shown as %s", wave, state)
				if state == "completed" && !w.allBegun(wave) {
					return true
				}
			}
		}
		return shown[1] == "completed" && shown[2] == "completed"
	})
	time.Sleep(2 * time.Second)
	for wave := range shown {
		if shown[wave] == "completed" && !w.allBegun(wave) {
			w.note("MIXED: wave %d is shown as completed, and of its machines only %v have begun their upkeep", wave, w.begunMachines(wave))
			return ruleBroken
		}
	}
	if !complete {
		w.note("the waves are not completed: %v", shown)
		return couldNotPlay
	}
	return ruleHeld
}

// putWave asks for a wave, as the operator does.
func (w *world) putWave(wave int64) {
	var names []string
	machines := map[string]bool{}
	for _, x := range w.workers[:waveMachines] {
		names = append(names, x.machine)
		machines[x.machine] = true
	}
	w.cloud.mu.Lock()
	w.cloud.waves[wave], w.cloud.begun[wave] = machines, map[string]bool{}
	w.cloud.mu.Unlock()
	text, _ := json.Marshal(map[string]any{"rolloutWave": wave, "machineFailures": names, "durationS": waveDuration.Seconds(), "maxTasks": 1})
	w.note("wave %d: %s", wave, text)
	w.platform.Store.Put(fmt.Sprintf("op/wave/%d", wave), text)
}

func (w *world) waveState(wave int64) string {
	var body struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(w.platform.Store.Value(fmt.Sprintf("status/wave/%d", wave)), &body)
	return body.State
}

func (w *world) begunMachines(wave int64) (names []string) {
	w.cloud.mu.Lock()
	defer w.cloud.mu.Unlock()
	for _, x := range w.workers {
		if w.cloud.begun[wave][x.machine] {
			names = append(names, x.machine)
		}
	}
	return names
}

func (w *world) allBegun(wave int64) bool {
	return len(w.begunMachines(wave)) == waveMachines
}
