// Command standin is the stand-in of the review's scripts: it emulates the platform of a small deployment
// (package platform/emulator) behind one recording proxy for each worker, acts as the customers, and judges
// by what customers and workers have seen.
//
// It prints a line "host NAME SETTINGS" for each entry host, which the script then starts, and ends with exit
// status 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"regexp"
	"strings"
	"time"

	"foldarch.dev/foldarch/platform/emulator"
)

// Properties of the emulated deployment.
const (
	hostCount   = 3
	workerCount = 8
	poolMillis  = workerCount * emulator.WorkerCPUMillis
	readyLimit  = 10 * time.Second
	settleTime  = time.Second // after the last host is ready
	finishTime  = 14 * time.Second
)

// cloudAddress is the part of a settings file that names the service of machines.
var cloudAddress = regexp.MustCompile(`\[cloudApi\]\naddress = "[^"]*"`)

func main() {
	dir := flag.String("dir", "", "where the settings of the hosts are written")
	recordPath := flag.String("record", "", "the file that records what was sent, answered and run")
	caseName := flag.String("case", "", "the case: progress, inflight, wave or repeats")
	trouble := flag.Bool("trouble", true, "whether the disruption happens")
	flag.Parse()
	os.Exit(run(*dir, *recordPath, *caseName, *trouble))
}

// run plays a case and returns the exit status.
func run(dir, recordPath, caseName string, trouble bool) int {
	play, ok := cases[caseName]
	if !ok {
		fmt.Fprintln(os.Stderr, "standin: unknown case", caseName)
		return 2
	}
	out, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return 2
	}
	defer func() { _ = out.Close() }()
	rec := newRecord(out)
	w := newWatcher(rec)
	machines, err := newMachineService(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return 2
	}
	p, err := emulator.Start(emulator.Options{Workers: workerCount, UnknownClients: true, KeepIDs: caseName == "inflight", AdvertisedAddress: w.addProxy})
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return 2
	}
	defer p.Close()
	machines.platform = p
	p.PutConfig(1)
	hosts, err := writeSettings(p, dir, machines.address)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return 2
	}
	if !awaitReady(hosts) {
		rec.line("the hosts were not ready within %s", readyLimit)
		return 2
	}
	time.Sleep(settleTime)
	rec.line("case %s, trouble %t: %d hosts, %d workers with %d thousandths of a core in all", caseName, trouble, hostCount, workerCount, poolMillis)
	return play(environment{platform: p, machines: machines, customers: newCustomers(rec, w, hosts)}, trouble)
}

// environment is what a case plays with.
type environment struct {
	platform  *emulator.Platform
	machines  *machineService
	customers *customers
}

// writeSettings writes the settings of the hosts and prints a line for each.
func writeSettings(p *emulator.Platform, dir, machines string) ([]emulator.Host, error) {
	var hosts []emulator.Host
	for n := range hostCount {
		h, err := p.WriteSettings(dir, fmt.Sprintf("host-%d", n+1), p.StoreAddress())
		if err != nil {
			return nil, err
		}
		if err := completeSettings(h.Settings, machines); err != nil {
			return nil, err
		}
		fmt.Printf("host %s %s\n", h.Name, h.Settings)
		hosts = append(hosts, h)
	}
	return hosts, nil
}

// completeSettings adds to a settings file what the emulator leaves out of the settings of a small
// deployment, and names the service of machines.
func completeSettings(path, machines string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	more := strings.NewReplacer(
		"[limits]\n", "[limits]\ncpuShare = 0.4\ncpuCores = 1\nmaxFds = 4200\nlinkMbps = 1000.0\ndiskMb = 0\n",
		"[bounds]\n", "[bounds]\nrestoreMs = 250\nstatus_s = 120\n",
		"leaseMs = 1000", "leaseMs = 3000",
	).Replace(string(text))
	more = cloudAddress.ReplaceAllString(more, fmt.Sprintf("[cloudApi]\naddress = %q", machines))
	return os.WriteFile(path, []byte(more), 0o600)
}
