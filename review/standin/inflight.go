package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"foldarch.dev/foldarch/platform/emulator"
)

const (
	inflightID = "00000000000f0000"
	// drainTime is how long the worker serves on after it has said that it drains (drainMs and a little more), and
	// downTime how long it takes to start again under its id.
	drainTime    = 3500 * time.Millisecond
	downTime     = time.Second
	inflightTime = 16 * time.Second
	// An order that meets a worker that is still down is delivered a little later.
	deliveryTime  = 100 * time.Millisecond
	maxDeliveries = 20
)

// delayedOrder is an order to start a task that was held back on its way to the worker.
type delayedOrder struct {
	worker  int
	address string
	header  http.Header
	body    []byte
	task    string
}

// playInflight hands in a job of one task of 6 s. With the disruptions, the order that starts it is delayed on
// its way, the host that sent it loses power at once, and the worker drains, ends and starts again under its
// id; then the order arrives.
func playInflight(e environment, trouble bool) int {
	c := e.customers
	var once sync.Once
	delivered := make(chan struct{})
	if trouble {
		c.seen.delay = func(o delayedOrder) (delayed bool) {
			if !strings.HasPrefix(o.task, inflightID) {
				return false
			}
			once.Do(func() {
				delayed = true
				go func() {
					defer close(delivered)
					e.delayOrder(o)
				}()
			})
			return delayed
		}
	} else {
		close(delivered)
	}
	c.submit(&jobView{id: inflightID, measured: true, body: jobBody{
		Spec: "ms=6000", Steps: []step{{Count: 1, CPU: 1000, MemoryMB: 100, Estimate: 6000}},
	}}, true)
	time.Sleep(inflightTime)
	select {
	case <-delivered:
	default:
		c.rec.line("the order was not delivered")
		return 2
	}
	violations := e.platform.Checker.Violations()
	c.rec.line("tasks that ran in two places at once, as the emulator saw them: %v", violations)
	if len(violations) > 0 {
		c.rec.line("TWICE: %v", violations)
		return 1
	}
	return 0
}

// delayOrder plays the disruptions from the moment at which an order is held back.
func (e environment) delayOrder(o delayedOrder) {
	rec, w := e.customers.rec, e.platform.Workers[o.worker]
	rec.line("the order to start %s on %s is delayed on its way", o.task, w.ID())
	e.killOwner()
	rec.line("%s drains, ends after %s and starts again under its id after %s", w.ID(), drainTime, downTime)
	w.Drain(drainTime)
	time.Sleep(drainTime + downTime)
	for range maxDeliveries {
		if status := o.deliver(); status != 0 {
			rec.line("the delayed order arrives at %s: answered %d", w.ID(), status)
			return
		}
	}
	rec.line("the delayed order met no answer")
}

// deliver sends the order to the worker's address and returns the status of the answer; 0 without one.
func (o delayedOrder) deliver() (status int) {
	client := &http.Client{Timeout: deliveryTime}
	r, err := http.NewRequest(http.MethodPost, "http://"+o.address+"/run-start", bytes.NewReader(o.body))
	if err != nil {
		return 0
	}
	r.Header = o.header
	res, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	return res.StatusCode
}

// killOwner kills the host that owns the pool; the operators' address tells which one that is.
func (e environment) killOwner() {
	rec := e.customers.rec
	for _, h := range e.customers.hosts {
		name, err := ownerByHost(h)
		if err != nil {
			continue
		}
		text, err := os.ReadFile(filepath.Join(filepath.Dir(h.Settings), name+".pid"))
		pid, convErr := strconv.Atoi(strings.TrimSpace(string(text)))
		if err != nil || convErr != nil {
			rec.line("no process id of %s", name)
			return
		}
		rec.line("kill -9 %s, the owner: %v", name, syscall.Kill(pid, syscall.SIGKILL))
		return
	}
}

// ownerByHost returns the name of the owner that a host knows.
func ownerByHost(h emulator.Host) (string, error) {
	res, err := http.Get("http://" + h.Operator + "/owner")
	if err != nil {
		return "", err
	}
	defer func() { _ = res.Body.Close() }()
	var record struct {
		Name string `json:"name"`
	}
	if err := json.NewDecoder(res.Body).Decode(&record); err != nil || record.Name == "" {
		return "", fmt.Errorf("no owner: %w", err)
	}
	return record.Name, nil
}
