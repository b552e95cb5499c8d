package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	floodWorkers = 48
	floodTasks   = 100_000
	floodFrom    = 5 * time.Second
	floodTime    = 30 * time.Second
	ordinaryGap  = 500 * time.Millisecond
	memoryMB     = 284 // limits.memoryMb of the hosts
)

// playFlood plays ordinary jobs, two a second, and among them one job of many small tasks. The platform kills a
// host that goes over its memory; the script starts it again.
func playFlood(w *world) int {
	w.putConfig()
	for n := range floodWorkers {
		x, err := newWorker(w, n)
		if err != nil {
			return couldNotPlay
		}
		w.workers = append(w.workers, x)
	}
	job := map[string]any{"spec": "fill ms=300", "steps": []any{map[string]any{"count": 1, "cpu": 1000, "memMb": 256, "estimatedMs": 300}}}
	if !w.submit("serve", "00000000000000f0", job) {
		return couldNotPlay
	}
	large := map[string]any{"spec": "flood ms=3000", "steps": []any{map[string]any{
		"count": floodTasks, "cpu": 1000, "memMb": 1, "estimatedMs": 3000, "utilization": true}}}
	accepted := make(chan string)
	began, sent, n := time.Now(), !w.trouble, 0
	for last := (time.Time{}); time.Since(began) < floodTime; time.Sleep(50 * time.Millisecond) {
		if !sent && time.Since(began) > floodFrom {
			sent = true
			go w.hand(0, "fill", "00000000000000f1", encode(large), nil)
		}
		if time.Since(last) > ordinaryGap {
			last = time.Now()
			go w.hand(n, "serve", jobID(n), encode(job), accepted)
			n++
		}
		select {
		case id := <-accepted:
			w.jobs[id] = &jobWatch{steps: 1, idleFrom: time.Now()}
		default:
		}
		w.watch(time.Now())
		w.killLarge()
	}
	return w.countIdle()
}

// hand hands a job in once, and reports it if it was accepted.
func (w *world) hand(host int, queue, id, body string, accepted chan<- string) {
	status, _ := w.call(host, http.MethodPost, "/"+queue+"/"+id, body)
	w.note("job %s by %s: %d", id, w.hosts[host%len(w.hosts)].Name, status)
	if status == http.StatusOK && accepted != nil {
		accepted <- id
	}
}

// killLarge kills the hosts that use more memory than they have, as the platform does.
func (w *world) killLarge() {
	for _, h := range w.hosts {
		pid := w.pid(h.Name)
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		if pid == 0 || err != nil {
			continue
		}
		_, rest, _ := strings.Cut(string(text), "VmRSS:")
		var kb int
		if _, err := fmt.Sscan(rest, &kb); err == nil && kb > memoryMB<<10 {
			w.note("%s uses %d MB of %d and is killed by the platform", h.Name, kb>>10, memoryMB)
			_ = syscall.Kill(pid, syscall.SIGKILL)
			_ = os.Remove(filepath.Join(w.dir, h.Name+".pid"))
		}
	}
}
