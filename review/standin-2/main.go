package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// The exit codes of a case.
const (
	ruleHeld     = 0
	ruleBroken   = 1
	couldNotPlay = 2
)

// scenario plays a case and returns its exit code.
type scenario func(w *world) int

var scenarios = map[string]scenario{"pace": playPace, "waves": playWaves, "gone": playGone, "late": playLate, "flood": playFlood}

func main() {
	name := flag.String("scenario", "", "the case to play")
	dir := flag.String("dir", "", "folder for the settings of the hosts")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "bring about the disruption")
	seed := flag.Uint64("seed", 0, "seed of the draws; 0 takes one from the clock")
	flag.Parse()
	play, known := scenarios[*name]
	if !known {
		fmt.Fprintln(os.Stderr, "no scenario", *name)
		os.Exit(couldNotPlay)
	}
	if *seed == 0 {
		*seed = uint64(time.Now().UnixNano())
	}
	w, err := newWorld(*dir, *record, *trouble, *seed)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNotPlay)
	}
	code := play(w)
	w.note("result: exit code %d", code)
	w.close()
	os.Exit(code)
}
