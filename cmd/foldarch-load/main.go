// Command foldarch-load sends requests to a running cell and measures the latency and the results that
// callers get.
package main

import (
	"os"

	"foldarch.dev/foldarch/pkg/loadcli"
)

func main() {
	os.Exit(loadcli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
