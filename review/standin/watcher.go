package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// watcher sees all calls to the workers: there is a proxy before each of them.
type watcher struct {
	rec *record

	mu      sync.Mutex
	workers []*workerView
	starts  map[string][]time.Time // of each job
	quiet   map[string]bool        // jobs whose starts are counted and not recorded one by one
	// delay, if set, is called with each order that starts a task. If it returns true, the order is held back
	// and gets no answer.
	delay func(delayedOrder) bool
}

// workerView is what the calls to one worker have shown.
type workerView struct {
	number int
	listed map[int64]time.Time // when each end was listed first that was not taken note of
	noted  int                 // ends that were taken note of
	active []string            // the tasks in the last list
}

func newWatcher(rec *record) *watcher {
	return &watcher{rec: rec, starts: map[string][]time.Time{}, quiet: map[string]bool{}}
}

// addProxy starts a proxy before a worker and returns its address. If it can't, it returns the worker's own
// address.
func (w *watcher) addProxy(address string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return address
	}
	v := &workerView{number: len(w.workers), listed: map[int64]time.Time{}}
	w.workers = append(w.workers, v)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
			w.forward(out, r, client, address, v)
		}))
	}()
	return l.Addr().String()
}

// order is what a call to a worker holds, as far as the watcher reads it.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"runId"`
	LastSeen int64  `json:"lastSeen"`
}

func (w *watcher) forward(out http.ResponseWriter, r *http.Request, client *http.Client, address string, v *workerView) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	var o order
	_ = json.Unmarshal(body, &o)
	if w.delay != nil && r.URL.Path == "/run-start" && w.delay(delayedOrder{v.number, address, r.Header.Clone(), body, o.Task}) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	sent, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+address+r.URL.Path, bytes.NewReader(body))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	sent.Header = r.Header.Clone()
	res, err := client.Do(sent)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = res.Body.Close() }()
	answer, err := io.ReadAll(res.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.see(r.URL.Path, r.Header.Get("X-Expect-Instance"), o, res.StatusCode, answer, v)
	out.Header().Set("Content-Type", res.Header.Get("Content-Type"))
	out.WriteHeader(res.StatusCode)
	_, _ = out.Write(answer)
}

// see takes in one call to a worker and its answer.
func (w *watcher) see(path, worker string, o order, status int, answer []byte, v *workerView) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case status != http.StatusOK:
	case path == "/run-start":
		id, _, _ := strings.Cut(o.Task, ".")
		w.starts[id] = append(w.starts[id], time.Now())
		if !w.quiet[id] {
			w.rec.line("run %s, run %d, on %s", o.Task, o.Run, worker)
		}
	case path == "/hold":
		v.seeHold(o.LastSeen, answer)
	}
}

// seeHold takes in a list of a worker.
func (v *workerView) seeHold(lastSeen int64, answer []byte) {
	for number := range v.listed {
		if number <= lastSeen {
			delete(v.listed, number)
			v.noted++
		}
	}
	var lists struct {
		Active   [][]any `json:"active"`
		Finished [][]any `json:"finished"`
	}
	if json.Unmarshal(answer, &lists) != nil {
		return
	}
	for _, row := range lists.Finished {
		number, ok := row[0].(float64)
		if _, known := v.listed[int64(number)]; ok && !known && int64(number) > lastSeen {
			v.listed[int64(number)] = time.Now()
		}
	}
	v.active = v.active[:0]
	for _, row := range lists.Active {
		if task, ok := row[0].(string); ok {
			v.active = append(v.active, task)
		}
	}
}

// startsOf returns how many starts of a job were seen, and the first one.
func (w *watcher) startsOf(id string) (n int, first time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if list := w.starts[id]; len(list) > 0 {
		return len(list), list[0]
	}
	return 0, time.Time{}
}

// poolView is what the workers do at a moment.
type poolView struct {
	usedMillis           int64
	noted, unnoted, late int // ends; late ones were listed ackTimeout ago and not taken note of
}

// ackTimeout is ackTimeoutMs of the small deployments.
const ackTimeout = 4 * time.Second

// pool returns what the workers do now; millis tells what a task of a job takes.
func (w *watcher) pool(millis func(job string) int64) poolView {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out poolView
	for _, v := range w.workers {
		for _, task := range v.active {
			id, _, _ := strings.Cut(task, ".")
			out.usedMillis += millis(id)
		}
		out.noted += v.noted
		out.unnoted += len(v.listed)
		for _, at := range v.listed {
			if time.Since(at) > ackTimeout {
				out.late++
			}
		}
	}
	return out
}
