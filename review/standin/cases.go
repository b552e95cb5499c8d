package main

import (
	"fmt"
	"time"
)

// cases are the cases by name; each plays one, with or without its disruption.
var cases = map[string]func(e environment, trouble bool) (status int){
	"progress": playProgress,
	"repeats":  playRepeats,
	"wave":     playWave,
	"inflight": playInflight,
}

// Sizes of the cases.
const (
	ordinaryGap = 500 * time.Millisecond

	wideTraffic  = 60 * time.Second
	wideCount    = 48
	wideMillis   = 100
	wideInterval = 50 * time.Millisecond
	wideTimes    = int(wideTraffic / wideInterval)

	repeatTraffic  = 40 * time.Second
	repeatInterval = time.Second
	shortRepeats   = 30
	// endlessRepeats is the largest number of 32 bits: a job that is to be repeated for good.
	endlessRepeats = 1<<31 - 1
)

// wideJob is a job of wideCount short tasks. At one such job each wideInterval they take a third of the pool.
func wideJob(id string) *jobView {
	return &jobView{id: id, body: jobBody{
		Spec: "ms=200", Steps: []step{{Count: wideCount, CPU: wideMillis, MemoryMB: 10, Estimate: 200}},
	}}
}

// playProgress hands in one timed job that runs wideCount tasks at each of wideTimes times; without the
// disruption, as many jobs without times, one at each of these times.
func playProgress(e environment, trouble bool) int {
	c := e.customers
	until := time.Now().Add(wideTraffic)
	c.group.Go(func() { c.submitOrdinary(ordinaryGap, until) })
	c.group.Go(func() {
		if trouble {
			j := wideJob("00000000000b0000")
			j.body.Repeat, j.body.StartAt, j.body.Interval = int64(wideTimes), time.Now().UnixMilli(), wideInterval.Milliseconds()
			c.submit(j, true)
			return
		}
		c.rec.line("sent from now on: every %s a job of %d tasks", wideInterval, wideCount)
		ticker := time.NewTicker(wideInterval)
		defer ticker.Stop()
		for n := range wideTimes {
			c.group.Go(func() { c.submit(wideJob(fmt.Sprintf("%016x", 0xc0000+n)), false) })
			<-ticker.C
		}
	})
	c.watch(until.Add(finishTime))
	c.group.Wait()
	return c.judge(e.platform.Checker.Violations())
}

// playRepeats hands in one timed job of one task, repeated each second for good; without the disruption,
// shortRepeats times.
func playRepeats(e environment, trouble bool) int {
	c := e.customers
	until := time.Now().Add(repeatTraffic)
	c.group.Go(func() { c.submitOrdinary(ordinaryGap, until) })
	c.group.Go(func() {
		time.Sleep(3 * time.Second)
		j := &jobView{id: "00000000000d0000", body: jobBody{
			Spec: "ms=300", Steps: []step{{Count: 1, CPU: 500, MemoryMB: 100, Estimate: 300}},
			Repeat: endlessRepeats, StartAt: time.Now().UnixMilli(), Interval: repeatInterval.Milliseconds(),
		}}
		if !trouble {
			j.body.Repeat = shortRepeats
		}
		c.submit(j, true)
	})
	c.watch(until.Add(finishTime))
	c.group.Wait()
	return c.judge(e.platform.Checker.Violations())
}
