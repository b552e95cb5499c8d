// Command foldarch-load drives a running cell and measures what callers see.
package main

import (
	"os"

	"foldarch.dev/foldarch/pkg/loadcli"
)

func main() {
	os.Exit(loadcli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
