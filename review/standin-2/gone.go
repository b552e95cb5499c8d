package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	goneWorkers = 8
	goneJobs    = 40
	firstStep   = 600 * time.Millisecond
	secondStep  = 300 * time.Millisecond
	// idleLimit is for how long a job may have nothing running beside room (RULES.md, LOST).
	idleLimit = 3 * time.Second
	goneTime  = 20 * time.Second
	// lossLead is for how long the worker is gone before the host is killed.
	lossLead = time.Second
)

// playGone plays jobs of two steps. While the first steps run, the host that gives the orders is killed, and one
// worker is lost for good.
func playGone(w *world) int {
	w.putConfig()
	for n := range goneWorkers {
		x, err := newWorker(w, n)
		if err != nil {
			return couldNotPlay
		}
		w.workers = append(w.workers, x)
	}
	if !w.submit("fill", "00000000000000f0", twoSteps()) {
		return couldNotPlay
	}
	time.Sleep(3 * time.Second)
	owner := w.owner()
	if owner == "" {
		w.note("no host tells who gives the orders")
		return couldNotPlay
	}
	if w.trouble {
		w.workers[goneWorkers-1].loseForGood()
		time.Sleep(lossLead)
	}
	for n := range goneJobs {
		host := n % hostCount
		if w.hosts[host].Name == owner {
			host++
		}
		if status, _ := w.call(host, http.MethodPost, "/fill/"+jobID(n), encode(twoSteps())); status != http.StatusOK {
			w.note("job %s: %d", jobID(n), status)
			return couldNotPlay
		}
		w.jobs[jobID(n)] = &jobWatch{steps: 2, idleFrom: time.Now()}
		w.note("job %s accepted by %s", jobID(n), w.hosts[host%hostCount].Name)
	}
	time.Sleep(100 * time.Millisecond)
	if w.trouble && !w.kill(owner) {
		return couldNotPlay
	}
	return w.judgeIdle()
}

func jobID(n int) string {
	return fmt.Sprintf("00000000000%05x", n+1)
}

func encode(body map[string]any) string {
	text, _ := json.Marshal(body)
	return string(text)
}

func twoSteps() map[string]any {
	return map[string]any{"spec": "steps", "steps": []any{
		map[string]any{"count": 1, "cpu": 1000, "memMb": 256, "estimatedMs": firstStep.Milliseconds()},
		map[string]any{"count": 1, "cpu": 1000, "memMb": 256, "estimatedMs": secondStep.Milliseconds(), "after": []int{0}},
	}}
}

// owner returns the host that gives the orders, as the hosts themselves tell.
func (w *world) owner() string {
	for _, h := range w.hosts {
		res, err := http.Get("http://" + h.Operator + "/owner")
		if err != nil {
			continue
		}
		var body struct {
			Name string `json:"name"`
		}
		err = json.NewDecoder(res.Body).Decode(&body)
		_ = res.Body.Close()
		if err == nil && body.Name != "" {
			return body.Name
		}
	}
	return ""
}

// pid is the process id of a host, which the script has started and starts again after 3 s; 0 while it is away.
func (w *world) pid(host string) int {
	text, err := os.ReadFile(filepath.Join(w.dir, host+".pid"))
	if err != nil {
		return 0
	}
	pid, _ := strconv.Atoi(strings.TrimSpace(string(text)))
	return pid
}

// kill kills the process of a host.
func (w *world) kill(host string) bool {
	pid := w.pid(host)
	w.note("%s is killed", host)
	return pid > 0 && syscall.Kill(pid, syscall.SIGKILL) == nil
}

// loseForGood ends the minion and its machine. Its entry goes after three heartbeats without a write.
func (x *worker) loseForGood() {
	x.mu.Lock()
	x.down = true
	x.world.note("%s is lost for good, with %d runs", x.machine, len(x.runs))
	x.runs = map[string]*run{}
	id := x.id
	x.mu.Unlock()
	time.AfterFunc(3*beat, func() { x.world.platform.Store.Remove("servers/" + id) })
}

// jobWatch is what the script sees of one job.
type jobWatch struct {
	running  bool
	steps    int // of one task each
	done     [2]bool
	idleFrom time.Time
	worst    time.Duration
	from, to time.Time // of the worst
}

// judgeIdle watches the jobs until all are done, and looks for one that has nothing running for 3 s.
func (w *world) judgeIdle() int {
	over := until(goneTime, func() bool { return w.watch(time.Now()) })
	if !over {
		w.note("not all jobs are done")
	}
	return w.countIdle()
}

// countIdle counts the jobs that had nothing running for too long.
func (w *world) countIdle() int {
	late := 0
	for id, j := range w.jobs {
		if j.worst > idleLimit {
			late++
			w.note("LOST: job %s has nothing running from %.3f to %.3f, its last step done: %t", id, w.at(j.from), w.at(j.to), j.done[j.steps-1])
		}
	}
	w.note("%d of %d jobs have nothing running for over 3 s, while under half of the room is in use", late, len(w.jobs))
	if late > 0 {
		return ruleBroken
	}
	return ruleHeld
}

// watch notes for how long each job that is not done has had nothing running. It reports whether all are done.
func (w *world) watch(now time.Time) bool {
	all := true
	used := w.look()
	for _, j := range w.jobs {
		switch {
		case j.done[j.steps-1]:
			continue
		case j.running || 2*used >= w.room():
			j.idleFrom = now
		case now.Sub(j.idleFrom) > j.worst:
			j.worst, j.from, j.to = now.Sub(j.idleFrom), j.idleFrom, now
		}
		all = false
	}
	return all
}

// look notes which jobs have a run on a worker that is up and which steps are done; it returns the processors
// in use.
func (w *world) look() (used int) {
	for _, j := range w.jobs {
		j.running = false
	}
	for _, x := range w.workers {
		x.mu.Lock()
		for _, r := range x.runs {
			if r.spec.quiet {
				continue
			}
			used++
			if j := w.jobs[r.task[:16]]; j != nil {
				j.running = true
			}
		}
		for task := range x.doneTasks {
			if j := w.jobs[task[:16]]; j != nil {
				j.done[int(task[19]-'0')] = true
			}
		}
		x.mu.Unlock()
	}
	return used
}

// room is the number of processors of the workers that are up.
func (w *world) room() int {
	n := 0
	for _, x := range w.workers {
		x.mu.Lock()
		if !x.down {
			n += 16
		}
		x.mu.Unlock()
	}
	return n
}
